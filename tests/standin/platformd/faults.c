#include <stdlib.h>
#include <string.h>

#include "platformd.h"

static const char *const outages[] = { "none", "refuse", "hang",
				       "lose_answer" };
static const char *const services[] = { "table", "objects", "instances",
					"all" };

static bool take_token(struct bucket *l)
{
	int64_t now_ms = tg_now_ms();

	if (!l->per_s)
		return true;
	l->tokens += (double)(now_ms - l->at_ms) * (double)l->per_s / 1000.0;
	if (l->tokens > (double)l->per_s)
		l->tokens = (double)l->per_s;
	l->at_ms = now_ms;
	if (l->tokens < 1)
		return false;
	l->tokens -= 1;
	return true;
}

static bool is_hit(const struct faults *f, struct evhttp_request *req,
		   enum service s)
{
	const char *uri = evhttp_request_get_uri(req);

	if (f->only >= 0 && f->only != (int)s)
		return false;
	return !f->paths || !strncmp(uri, f->paths, strlen(f->paths));
}

static void run_call(void *arg)
{
	struct call *c = arg;

	c->run(c);
	free(c);
}

static bool loses_answer(struct faults *f, bool write)
{
	if (f->outage == OUTAGE_LOSE_ANSWER)
		return true;
	if (!write || f->lose_next <= 0)
		return false;
	f->lose_next--;
	return true;
}

void call_start(struct board *b, struct evhttp_request *req, enum service s,
		bool write, void (*run)(struct call *c))
{
	struct faults *f = &b->faults;
	bool hit = is_hit(f, req, s);
	struct call *c;

	if (write)
		b->writes++;
	else
		b->reads++;
	if (hit && f->outage == OUTAGE_HANG) {
		b->hung++;
		close_without_reply(b->base, req, NO_REPLY_MS, NULL, NULL);
		return;
	}
	if (hit && f->outage == OUTAGE_REFUSE) {
		b->refused++;
		tg_http_reply_error(req, 503, NULL, "outage");
		return;
	}
	if (!take_token(write ? &b->writes_limit : &b->reads_limit)) {
		b->over_limit++;
		tg_http_reply_error(req, 503, NULL, "too many calls");
		return;
	}
	limit_bandwidth(req, hit ? f->bytes_per_s : 0);
	c = tg_xcalloc(1, sizeof(*c));
	c->board = b;
	c->req = req;
	c->run = run;
	c->lose = hit && loses_answer(f, write);
	if (hit && f->slow_ms)
		delay_call(b->base, f->slow_ms, run_call, c);
	else
		run_call(c);
}

static bool lose(struct call *c)
{
	if (!c->lose)
		return false;
	c->board->lost++;
	close_without_reply(c->board->base, c->req, 0, NULL, NULL);
	return true;
}

void call_reply(struct call *c, int status, json_t *body)
{
	if (lose(c))
		json_decref(body);
	else
		tg_http_reply_json(c->req, status, body);
}

void call_error(struct call *c, int status, const char *place, const char *text)
{
	if (!lose(c))
		tg_http_reply_error(c->req, status, place, "%s", text);
}

void call_reply_bytes(struct call *c, int status, const void *body, size_t n)
{
	if (!lose(c))
		tg_http_reply_text(c->req, status, "application/octet-stream",
				   body, n);
}

json_t *call_json(struct call *c, size_t max)
{
	struct evbuffer *in = evhttp_request_get_input_buffer(c->req);

	if (evbuffer_get_length(in) > max) {
		tg_http_reply_error(c->req, 413, "body", "more than %zu bytes",
				    max);
		return NULL;
	}
	return tg_http_parse_json_body(c->req);
}

static int find_name(const char *const *names, int n, const char *s)
{
	int i;

	for (i = 0; i < n; i++)
		if (!strcmp(names[i], s))
			return i;
	return -1;
}

/* Fields that are not given take their default, so {} ends all faults. */
void faults_set(struct evhttp_request *req, void *arg)
{
	struct board *b = arg;
	const char *outage = "none", *only = "all", *paths = NULL;
	json_int_t slow_ms = 0, lose_next = 0, bytes_per_s = 0;
	json_t *v = tg_http_parse_json_body(req);
	json_error_t e;
	int o, s;

	if (!v)
		return;
	if (json_unpack_ex(v, &e, JSON_STRICT,
			   "{s?:s, s?:I, s?:I, s?:I, s?:s, s?:s}", "outage",
			   &outage, "slow_ms", &slow_ms, "lose_next",
			   &lose_next, "bytes_per_s", &bytes_per_s, "only",
			   &only, "paths", &paths)) {
		tg_http_reply_error(req, 400, "body", "%s", e.text);
		goto out;
	}
	o = find_name(outages, ARRAY_SIZE(outages), outage);
	s = find_name(services, ARRAY_SIZE(services), only);
	if (o < 0 || s < 0 || slow_ms < 0 || lose_next < 0 || bytes_per_s < 0) {
		tg_http_reply_error(req, 400, "body", "no such fault");
		goto out;
	}
	free(b->faults.paths);
	b->faults = (struct faults){
		.outage = (enum outage)o,
		.slow_ms = slow_ms,
		.lose_next = lose_next,
		.bytes_per_s = bytes_per_s,
		.only = s == N_SERVICES ? -1 : s,
		.paths = paths ? tg_xstrdup(paths) : NULL,
	};
	tg_log(EV_PLATFORMD_FAULTS, "outage=%s only=%s", outage, only);
	tg_http_reply_json(req, 200, json_pack("{s:b}", "ok", 1));
out:
	json_decref(v);
}
