#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "../standin/common/loop.h"
#include "load.h"

#define PROG "tgload"

#define SETTING(flag, type, def, min, max, help, field) \
	TG_SETTING(opts, flag, type, def, min, max, false, help, field)

static const struct tg_setting settings[] = {
	TG_SETTING(opts, "target", TG_SET_ADDR, NULL, 0, 0, true,
		   "entry daemon, or backend server with --mode direct",
		   target),
	SETTING("mode", TG_SET_STRING, "requests", 0, 0,
		"requests, direct or jobs", mode),
	SETTING("service", TG_SET_NAME, "responder", 0, 0, "service", service),
	SETTING("workspace", TG_SET_NAME, "courts", 0, 0, "workspace",
		workspace),
	SETTING("method", TG_SET_STRING, "GET", 0, 0, "method of requests",
		method),
	SETTING("key", TG_SET_STRING, "none", 0, 0, "none, caller or issued",
		key),
	SETTING("az", TG_SET_NAME, "any", 0, 0, "AZ of jobs", az),
	SETTING("query", TG_SET_STRING, "", 0, 0,
		"query of requests, such as work_ms=5", query),
	SETTING("rate", TG_SET_INT, "0", 0, 100000,
		"arrivals per second; 0: a new call when one ends", rate),
	SETTING("concurrency", TG_SET_INT, "16", 1, 4096,
		"calls in flight at most", concurrency),
	SETTING("count", TG_SET_INT, "1000", 1, 2000000, "calls", count),
	SETTING("body-bytes", TG_SET_INT, "0", 0, 1048576,
		"body of POST, PUT and PATCH", body_bytes),
	SETTING("deadline-ms", TG_SET_INT, "10000", 1, 60000,
		"deadline of a request", deadline_ms),
	SETTING("seed", TG_SET_INT, "1", 0, INT64_MAX / 2,
		"of bodies, keys and jobs", seed),
	SETTING("max-ms", TG_SET_INT, "60000", 1, 3600000,
		"no new calls after this time", max_ms),
	SETTING("job-ms", TG_SET_INT, "2000", 1, 86400000,
		"median run time of jobs", job_ms),
	{ 0 },
};

struct tg_rng call_rng(const struct call *c)
{
	struct tg_rng r = { .state = (uint64_t)c->load->opts.seed };

	r.state = tg_rng_next(&r) + (uint64_t)c->number;
	return r;
}

static int64_t due_us(const struct load *l)
{
	return l->start_us + l->sent * 1000000 / l->opts.rate;
}

static bool is_over(const struct load *l, int64_t now_us)
{
	return l->sent >= l->opts.count ||
		now_us - l->start_us >= l->opts.max_ms * 1000;
}

static void start_call(struct load *l, int64_t arrival_us)
{
	struct call *c = tg_xcalloc(1, sizeof(*c));

	c->load = l;
	c->number = l->sent++;
	c->arrival_us = arrival_us;
	l->in_flight++;
	if (l->mode == MODE_JOBS)
		job_start(c);
	else
		request_start(c);
}

/* With a rate a call that must wait for others counts from when it was due. */
static void start_due(struct load *l)
{
	int64_t now_us = tg_now_us();

	while (l->in_flight < l->opts.concurrency && !is_over(l, now_us)) {
		int64_t due = l->opts.rate ? due_us(l) : now_us;
		int64_t wait_us = due - now_us;
		struct timeval tv = { .tv_sec = wait_us / 1000000,
				      .tv_usec = wait_us % 1000000 };

		if (wait_us > 0) {
			event_add(l->timer, &tv);
			return;
		}
		start_call(l, due);
	}
	if (!l->in_flight && is_over(l, now_us))
		event_base_loopbreak(l->base);
}

static void on_timer(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	start_due(arg);
}

void call_status(struct call *c, const struct tg_http_result *r)
{
	if (r->end == TG_HTTP_COMPLETE && r->status > 0 &&
	    r->status < (int)ARRAY_SIZE(c->load->statuses))
		c->load->statuses[r->status]++;
}

void call_done(struct call *c, enum outcome outcome)
{
	struct load *l = c->load;
	struct timeval now = { 0 };

	l->end_us = tg_now_us();
	l->outcomes[outcome]++;
	if (outcome == OUTCOME_ANSWERED)
		l->latencies_us[l->n_latencies++] = l->end_us - c->arrival_us;
	l->in_flight--;
	free(c->body);
	free(c);
	event_add(l->timer, &now);
}

static int find(const char *const *names, const char *s)
{
	int i;

	for (i = 0; names[i]; i++)
		if (!strcmp(names[i], s))
			return i;
	return -1;
}

static int read_choices(struct load *l)
{
	static const char *const modes[] = { "requests", "direct", "jobs",
					     NULL };
	static const char *const keys[] = { "none", "caller", "issued", NULL };
	int mode = find(modes, l->opts.mode), key = find(keys, l->opts.key);
	struct tg_findings f = { 0 };
	int bad;

	l->method = tg_http_parse_method(l->opts.method);
	if (mode < 0)
		tg_findings_add(&f, "--mode", "\"%s\" is no mode",
				l->opts.mode);
	if (key < 0)
		tg_findings_add(&f, "--key", "\"%s\" is no kind of key",
				l->opts.key);
	if (!l->method)
		tg_findings_add(&f, "--method", "\"%s\" is no method",
				l->opts.method);
	if (mode == MODE_DIRECT && key == KEY_ISSUED)
		tg_findings_add(&f, "--key", "a backend server issues no keys");
	l->mode = (enum mode)mode;
	l->key = (enum key_kind)key;
	tg_findings_print(&f, stderr, PROG);
	bad = f.n ? -1 : 0;
	tg_findings_free(&f);
	return bad;
}

int main(int argc, char **argv)
{
	static const struct tg_settings_spec spec = {
		.prog = PROG,
		.summary = "Sends load in a bounded count and time.",
		.items = settings,
	};
	static struct load l;
	struct tg_http_client_opts http = { .body_bytes = 32 << 20 };

	switch (tg_settings_load(&spec, argc, argv, &l.opts, NULL)) {
	case TG_SETTINGS_EXIT:
		return 0;
	case TG_SETTINGS_INVALID:
		return TG_EXIT_USAGE;
	case TG_SETTINGS_OK:
		break;
	}
	if (read_choices(&l))
		return TG_EXIT_USAGE;
	signal(SIGPIPE, SIG_IGN);
	http.base = l.base = new_precise_loop();
	http.idle_per_addr = (int)l.opts.concurrency;
	l.http = tg_http_client_new(&http);
	l.timer = event_new(l.base, -1, 0, on_timer, &l);
	l.latencies_us =
		tg_xcalloc((size_t)l.opts.count, sizeof(*l.latencies_us));
	l.start_us = l.end_us = tg_now_us();
	start_due(&l);
	event_base_dispatch(l.base);
	report_print(&l);
	event_free(l.timer);
	tg_http_client_free(l.http);
	event_base_free(l.base);
	free(l.latencies_us);
	return l.wrong ? 1 : 0;
}
