#include <limits.h>
#include <signal.h>
#include <stdlib.h>
#include <sys/resource.h>
#include <unistd.h>

#include "base/base.h"

#define DRAIN_PERIOD_MS 50
/* Longest time in which no urgent events are looked for. */
#define LOOK_FOR_URGENT_MS 20

struct started_controller {
	const struct tg_controller *controller;
	void *board;
	struct event *timer;
};

struct run_state {
	const struct tg_daemon_opts *opts;
	struct started_controller *started;
	size_t n_started;
	struct event *term, *interrupt, *drain;
	int64_t drain_start_ms, drain_tick_ms;
	bool drain_tick_late;
	int status;
};

static bool draining;

bool tg_daemon_draining(void)
{
	return draining;
}

static struct timeval ms_to_timeval(int64_t ms)
{
	return (struct timeval){ .tv_sec = ms / 1000,
				 .tv_usec = (ms % 1000) * 1000 };
}

static void on_tick(evutil_socket_t fd, short what, void *arg)
{
	struct started_controller *s = arg;

	(void)fd;
	(void)what;
	tg_turn_begin();
	s->controller->tick(s->board, tg_now_ms());
	tg_turn_end(s->controller->name);
}

struct event_base *tg_loop_new(void)
{
	const struct timeval interval = { .tv_usec =
						  LOOK_FOR_URGENT_MS * 1000 };
	struct event_config *c = event_config_new();
	struct event_base *base;

	/* A call that is made and answered would need some four epoll_ctl(). */
	event_config_set_flag(c, EVENT_BASE_FLAG_EPOLL_USE_CHANGELIST);
	event_config_set_max_dispatch_interval(c, &interval, INT_MAX,
					       TG_PRIORITY_NORMAL);
	base = event_base_new_with_config(c);
	event_config_free(c);
	event_base_priority_init(base, TG_PRIORITIES);
	return base;
}

static bool drain_controllers(struct run_state *run, int64_t now_ms)
{
	bool done = true;
	size_t i;

	for (i = 0; i < run->n_started; i++) {
		const struct tg_controller *c = run->started[i].controller;

		if (c->drain && !c->drain(run->opts->board, now_ms))
			done = false;
	}
	return done;
}

/*
 * While the loop was held up, connections and requests may have arrived that it
 * has not seen yet.  They are handled before the next tick.
 */
static bool was_held_up(struct run_state *run, int64_t now_ms)
{
	bool late = now_ms - run->drain_tick_ms > 2 * DRAIN_PERIOD_MS;
	bool first = late && !run->drain_tick_late;

	run->drain_tick_ms = now_ms;
	run->drain_tick_late = late;
	return first;
}

static void on_drain_timer(evutil_socket_t fd, short what, void *arg)
{
	struct run_state *run = arg;
	int64_t now_ms = tg_now_ms();
	int64_t waited_ms = now_ms - run->drain_start_ms;
	bool done = drain_controllers(run, now_ms);

	(void)fd;
	(void)what;
	if (was_held_up(run, now_ms))
		return;
	if (done && waited_ms >= run->opts->drain_grace_ms) {
		tg_log(EV_DRAINED, "after_ms=%lld", (long long)waited_ms);
		event_base_loopbreak(run->opts->base);
	} else if (waited_ms >= run->opts->drain_max_ms) {
		tg_log(EV_DRAIN_CUT, "after_ms=%lld", (long long)waited_ms);
		run->status = 1;
		event_base_loopbreak(run->opts->base);
	}
}

static void on_signal(evutil_socket_t signal_number, short what, void *arg)
{
	struct run_state *run = arg;
	struct timeval tv = ms_to_timeval(DRAIN_PERIOD_MS);

	(void)what;
	if (draining)
		return;
	draining = true;
	run->drain_start_ms = run->drain_tick_ms = tg_now_ms();
	tg_log(EV_DRAINING, "signal=%d", (int)signal_number);
	event_add(run->drain, &tv);
}

static int start_controllers(struct run_state *run)
{
	const struct tg_controller *const *c;

	for (c = run->opts->controllers; *c; c++) {
		struct started_controller *s = &run->started[run->n_started];

		if ((*c)->start && (*c)->start(run->opts->board)) {
			tg_log(EV_START_FAILED, "controller=%s", (*c)->name);
			return -1;
		}
		s->controller = *c;
		s->board = run->opts->board;
		run->n_started++;
		if ((*c)->tick) {
			struct timeval tv = ms_to_timeval((*c)->period_ms);

			s->timer = event_new(run->opts->base, -1, EV_PERSIST,
					     on_tick, s);
			event_add(s->timer, &tv);
		}
	}
	return 0;
}

static void stop_controllers(struct run_state *run)
{
	while (run->n_started) {
		struct started_controller *s = &run->started[--run->n_started];

		if (s->timer)
			event_free(s->timer);
		if (s->controller->stop)
			s->controller->stop(run->opts->board);
	}
}

int tg_daemon_run(const struct tg_daemon_opts *opts)
{
	struct run_state run = { .opts = opts };
	size_t count = 0;

	while (opts->controllers[count])
		count++;
	run.started = tg_xcalloc(count + 1, sizeof(*run.started));
	signal(SIGPIPE, SIG_IGN);
	run.term = evsignal_new(opts->base, SIGTERM, on_signal, &run);
	run.interrupt = evsignal_new(opts->base, SIGINT, on_signal, &run);
	run.drain = event_new(opts->base, -1, EV_PERSIST, on_drain_timer, &run);
	event_add(run.term, NULL);
	event_add(run.interrupt, NULL);
	if (start_controllers(&run)) {
		run.status = 1;
	} else {
		tg_log(EV_STARTED, "pid=%d", (int)getpid());
		event_base_dispatch(opts->base);
	}
	stop_controllers(&run);
	event_free(run.term);
	event_free(run.interrupt);
	event_free(run.drain);
	free(run.started);
	return run.status;
}

void tg_print_ready_line(const char *prog, const char *http_addr,
			 const char *rpc_addr)
{
	printf("%s: ready http=%s rpc=%s\n", prog, http_addr ? http_addr : "-",
	       rpc_addr ? rpc_addr : "-");
	fflush(stdout);
}

int64_t tg_rss_kb(void)
{
	long long size, pages = 0;
	FILE *f = fopen("/proc/self/statm", "r");

	if (!f)
		return 0;
	if (fscanf(f, "%lld %lld", &size, &pages) != 2)
		pages = 0;
	fclose(f);
	return pages * (sysconf(_SC_PAGESIZE) / 1024);
}

int64_t tg_cpu_us(void)
{
	struct rusage u;

	getrusage(RUSAGE_SELF, &u);
	return ((int64_t)u.ru_utime.tv_sec + u.ru_stime.tv_sec) * 1000000 +
		u.ru_utime.tv_usec + u.ru_stime.tv_usec;
}
