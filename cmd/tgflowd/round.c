#include <stdlib.h>
#include <string.h>

#include "board.h"
#include "orderoutcome.h"

/* Runs scheduling rounds and sends their start and stop orders to workers. */

/* Changes are collected this long before a round. */
#define BATCH_DELAY_MS 3
/*
 * The pause after a round is this many times as long as the round, so that
 * calls and answers are handled in time on an instance with little CPU.
 */
#define PAUSE_FACTOR 2
#define PAUSE_MAX_MS 200
/* Start times, ends of quarantines and missed answers need no finer checks. */
#define PERIOD_MS 100
#define ORDER_TIMEOUT_MS 900
/*
 * Attempts in all at a start that gets no answer.  Each copy names the same
 * run, so a second one has no effect.
 */
#define START_TRIES 3
/* Delay after which an order to a worker without a link fails as not sent. */
#define NOT_SENT_DELAY_MS 200

static struct event *timer;
static struct tg_hist *round_us;
static int64_t last_round_us;

struct order {
	struct board *board;
	uint64_t term;
	bool start;
	char worker[TG_NAME_MAX + 1];
	struct tg_task_id task;
	int32_t run;
	char *text, *saved; /* of a start */
	int tries;
	int64_t sent_ms;
};

static void free_order(struct order *o)
{
	free(o->text);
	free(o->saved);
	free(o);
}

static void send_order(struct order *o);

static struct order *new_order(struct board *b, bool start,
			       const struct flow_run_ref *r, const char *worker)
{
	struct order *o = tg_xcalloc(1, sizeof(*o));

	o->board = b;
	o->term = b->term;
	o->start = start;
	o->run = r->run;
	tg_strlcpy(o->worker, worker, sizeof(o->worker));
	tg_strlcpy(o->task.job, r->job, sizeof(o->task.job));
	o->task.occurrence = r->occurrence;
	o->task.step = r->step;
	o->task.index = r->index;
	return o;
}

static void log_answer(const struct order *o, enum tg_order_end end)
{
	static const char *const names[] = {
		[TG_ORDER_DONE] = "done",
		[TG_ORDER_FENCED] = "fenced",
		[TG_ORDER_OLD_RUN] = "old-run",
		[TG_ORDER_LEASE_EXPIRED] = "late",
		[TG_ORDER_NO_CAPACITY] = "no-room",
		[TG_ORDER_NO_TICKET] = "ticket",
		[TG_ORDER_INVALID] = "invalid",
		[TG_ORDER_UNHEALTHY] = "unhealthy",
		[TG_ORDER_OTHER_BOOT] = "other-boot",
		[TG_ORDER_NOT_SENT] = "not-sent",
		[TG_ORDER_CONN_REFUSED] = "nobody",
		[TG_ORDER_UNKNOWN] = "unknown",
	};

	if (end != TG_ORDER_DONE)
		tg_log(EV_FLOW_START_ANSWER,
		       "order=%s job=%s task=%d.%d.%d run=%d worker=%s "
		       "outcome=%s after_ms=%lld",
		       o->start ? "start" : "stop", o->task.job,
		       o->task.occurrence, o->task.step, o->task.index, o->run,
		       o->worker, names[end],
		       (long long)(tg_now_ms() - o->sent_ms));
}

static void on_order(enum tg_order_end end, int64_t clock_ms, void *arg)
{
	struct order *o = arg;
	struct board *b = o->board;
	struct flow_run_ref ref = { .job = o->task.job,
				    .occurrence = o->task.occurrence,
				    .step = o->task.step,
				    .index = o->task.index,
				    .run = o->run };
	struct link *l;

	(void)clock_ms;
	if (o->term != b->term)
		goto out;
	log_answer(o, end);
	l = link_find(b, o->worker);
	if (l && end == TG_ORDER_UNKNOWN && o->start &&
	    o->tries < START_TRIES && owner_may_renew(b)) {
		send_order(o);
		return;
	}
	if (end == TG_ORDER_FENCED) {
		owner_lost(b, "a worker has seen a higher fence");
		goto out;
	}
	if (o->start)
		flow_start_answered(b->flow, &ref, o->worker,
				    order_outcome(end, true, o->tries),
				    tg_now_ms());
	else
		flow_stop_answered(b->flow, &ref, o->worker,
				   order_outcome(end, false, o->tries),
				   tg_now_ms());
	if (l && end == TG_ORDER_UNKNOWN && o->start)
		link_poll(l);
	if (end != TG_ORDER_DONE)
		round_wake(b);
out:
	free_order(o);
}

static void on_not_sent(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	on_order(TG_ORDER_NOT_SENT, 0, arg);
}

/*
 * Fails the order from the event loop, since the flow must not be called from
 * within flow_decide().
 */
static void fail_unsent_later(struct order *o)
{
	struct timeval soon = { .tv_usec = NOT_SENT_DELAY_MS * 1000 };

	event_base_once(o->board->base, -1, EV_TIMEOUT, on_not_sent, o, &soon);
}

static void send_order(struct order *o)
{
	struct board *b = o->board;
	struct link *l = link_find(b, o->worker);
	struct tg_worker_ref ref;
	struct tg_order msg = {
		.task = o->task,
		.run = o->run,
		.fence = b->fence,
		.spec = o->text,
		.saved = o->saved,
		.timeout_ms = ORDER_TIMEOUT_MS,
	};

	o->tries++;
	o->sent_ms = tg_now_ms();
	if (!l) {
		/* The worker is known only from recorded runs. */
		fail_unsent_later(o);
		return;
	}
	ref.id = l->entry.id;
	ref.addr = l->entry.addr;
	if (o->start) {
		msg.until_ms = link_expiry(l);
		b->site.ops->start(b->site.port, &ref, &msg, on_order, o);
	} else {
		b->site.ops->stop(b->site.port, &ref, &msg, on_order, o);
	}
}

static void order_start(const struct flow_start_order *s, void *arg)
{
	struct board *b = arg;
	struct link *l = link_find(b, s->worker);
	struct order *o = new_order(b, true, &s->ref, s->worker);

	tg_log(EV_FLOW_START,
	       "job=%s task=%d.%d.%d run=%d worker=%s saved=%d why=%s "
	       "clock_age_ms=%lld",
	       s->ref.job, s->ref.occurrence, s->ref.step, s->ref.index,
	       s->ref.run, s->worker, *s->saved != '\0', s->reason,
	       l ? (long long)(tg_now_ms() - l->clock_at_ms) : -1LL);
	o->text = tg_xstrdup(s->text);
	o->saved = tg_xstrdup(s->saved);
	send_order(o);
}

static void order_stop(const struct flow_stop_order *s, void *arg)
{
	struct order *o = new_order(arg, false, &s->ref, s->worker);

	tg_log(EV_FLOW_STOP, "job=%s task=%d.%d.%d run=%d worker=%s why=%s",
	       s->ref.job, s->ref.occurrence, s->ref.step, s->ref.index,
	       s->ref.run, s->worker, s->reason);
	send_order(o);
}

static const struct flow_ops order_ops = {
	.start = order_start,
	.stop = order_stop,
};

static void decide(struct board *b)
{
	int64_t from_us = tg_now_us();

	b->round_wanted = false;
	/* The next owner starts new tasks once the release is written. */
	if (!owner_may_renew(b) || !b->directory_read || b->owner.released ||
	    tg_now_ms() < b->stops_end_ms)
		return;
	if (flow_decide(b->flow, tg_now_ms(), tg_wall_ms(), &order_ops, b))
		writer_wake(b);
	last_round_us = tg_now_us() - from_us;
	tg_hist_add(round_us, (uint64_t)last_round_us);
}

static void on_timer(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	decide(arg);
}

void round_wake(struct board *b)
{
	int64_t pause_us = PAUSE_FACTOR * last_round_us;
	struct timeval tv = { 0 };

	if (b->round_wanted)
		return;
	b->round_wanted = true;
	if (pause_us < BATCH_DELAY_MS * 1000)
		pause_us = BATCH_DELAY_MS * 1000;
	if (pause_us > PAUSE_MAX_MS * 1000)
		pause_us = PAUSE_MAX_MS * 1000;
	tv.tv_usec = pause_us;
	event_add(timer, &tv);
}

static int start(void *board)
{
	struct board *b = board;

	timer = event_new(b->base, -1, 0, on_timer, b);
	round_us = tg_histogram("tg_flow_round_us",
				"duration of a scheduling round", NULL);
	return 0;
}

static void tick(void *board, int64_t now_ms)
{
	(void)now_ms;
	round_wake(board);
}

static void stop(void *board)
{
	(void)board;
	event_free(timer);
}

const struct tg_controller round_controller = {
	.name = "round",
	.period_ms = PERIOD_MS,
	.start = start,
	.tick = tick,
	.stop = stop,
};
