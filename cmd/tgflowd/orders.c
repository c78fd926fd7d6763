#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "board.h"
#include "orderoutcome.h"

/*
 * Sends start and stop orders to workers.  A round may decide on thousands of
 * them.  They are sent in turns that leave the loop to others in between, stop
 * orders first, since what starts often waits for them.
 */

#define ORDER_TIMEOUT_MS 900
/* Orders are sent for this long before other events get their turn. */
#define TURN_US 10000
/*
 * Attempts in all at a start that gets no answer.  Each copy names the same
 * run, so a second one has no effect.
 */
#define START_TRIES 3
/* Delay after which an order to a worker without a link fails as not sent. */
#define NOT_SENT_DELAY_MS 200
/*
 * Orders in progress at a time on one worker, each on a connection of its own.
 * Together with the poll that stays below the limit on descriptors.
 */
#define ORDERS_PER_WORKER 2
/*
 * Orders in progress in all: one in this many descriptors, and without a limit
 * on those ORDERS_MAX.  More would only wait for their answers to be read.
 */
#define ORDER_FDS_SHARE 8
#define ORDERS_MAX 1024
/*
 * A worker whose speed is not known is polled this long after a start, since
 * the long poll may last longer than the run.
 */
#define PROGRESS_POLL_MS 700

struct order {
	struct board *board;
	uint64_t term;
	bool start;
	char worker[TG_KEY_MAX + 1];
	struct tg_task_id task;
	int32_t run;
	char saved[FLOW_CHECKPOINT_LEN + 1]; /* of a start */
	int tries;
	bool withheld; /* the last copy was not sent, for a stored bound */
	uint64_t process, fence; /* of the link when it was last sent */
	int64_t queued_ms, sent_ms;
	struct order *prev, *next; /* in a queue or in a lane */
};

/** struct lane - orders for one worker, while there are any */
struct lane {
	char worker[TG_KEY_MAX + 1];
	int in_progress;
	/* Until fewer are in progress. */
	struct order *waiting_stops, *waiting_starts;
	UT_hash_handle hh;
};

/* Orders to be sent, in order. */
static struct order *stops, *starts;
static struct lane *lanes;
static int n_in_progress; /* in all lanes */
static struct event *turn_timer;
static struct tg_gauge *queued;
static struct tg_hist *wait_ms;

static struct lane *get_lane(const char *worker)
{
	struct lane *n;

	HASH_FIND_STR(lanes, worker, n);
	if (n)
		return n;
	n = tg_xcalloc(1, sizeof(*n));
	tg_strlcpy(n->worker, worker, sizeof(n->worker));
	HASH_ADD_STR(lanes, worker, n);
	return n;
}

static void free_lane_if_idle(struct lane *n)
{
	if (n->in_progress || n->waiting_stops || n->waiting_starts)
		return;
	HASH_DEL(lanes, n);
	free(n);
}

static void wake(void)
{
	struct timeval now = { 0 };

	if (!event_pending(turn_timer, EV_TIMEOUT, NULL))
		event_add(turn_timer, &now);
}

static void enqueue(struct order *o)
{
	if (o->start)
		DL_APPEND(starts, o);
	else
		DL_APPEND(stops, o);
	queued->value++;
	wake();
}

static void dequeue(struct order *o)
{
	if (o->start)
		DL_DELETE(starts, o);
	else
		DL_DELETE(stops, o);
	queued->value--;
}

static void wait_in_lane(struct order *o, struct lane *n)
{
	if (o->start)
		DL_APPEND(n->waiting_starts, o);
	else
		DL_APPEND(n->waiting_stops, o);
	queued->value++;
}

/* An order of the lane has ended or was dropped: the next one can be sent. */
static void advance_lane(struct lane *n)
{
	struct order **list =
		n->waiting_stops ? &n->waiting_stops : &n->waiting_starts;
	struct order *next = *list;

	if (next) {
		DL_DELETE(*list, next);
		queued->value--;
		enqueue(next);
	}
	free_lane_if_idle(n);
}

static int orders_max(const struct board *b)
{
	int64_t fds_max = b->site.set.fds_max;

	return fds_max ? (int)(fds_max / ORDER_FDS_SHARE) : ORDERS_MAX;
}

static void release_lane(const struct order *o)
{
	struct lane *n = get_lane(o->worker);

	n->in_progress--;
	advance_lane(n);
	if (n_in_progress-- == orders_max(o->board))
		wake();
}

static struct order *new_order(struct board *b, bool start,
			       const struct flow_run_ref *r, const char *worker)
{
	struct order *o = tg_xcalloc(1, sizeof(*o));

	o->board = b;
	o->term = b->term;
	o->start = start;
	o->queued_ms = tg_now_ms();
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
		       "outcome=%s after_ms=%lld queued_ms=%lld",
		       o->start ? "start" : "stop", o->task.job,
		       o->task.occurrence, o->task.step, o->task.index, o->run,
		       o->worker, names[end],
		       (long long)(tg_now_ms() - o->sent_ms),
		       (long long)(o->sent_ms - o->queued_ms));
}

static struct flow_run_ref ref_of(const struct order *o)
{
	return ref_of_task(&o->task, o->run);
}

/** struct stopped - a run whose stop was confirmed */
struct stopped {
	struct board *board;
	uint64_t term;
	char worker[TG_KEY_MAX + 1];
	struct flow_run_ref ref;
	char job[FLOW_JOB_ID_LEN + 1];
};

static void on_stop_over(evutil_socket_t fd, short what, void *arg)
{
	struct stopped *s = arg;
	struct board *b = s->board;
	struct link *l = s->term == b->term ? link_find(b, s->worker) : NULL;

	(void)fd;
	(void)what;
	s->ref.job = s->job;
	if (l && flow_is_stopping(b->flow, &s->ref, s->worker))
		link_poll(l);
	free(s);
}

/*
 * A run that its worker never had is not in a list of ends, so that the long
 * poll is not answered when its stop is over.
 */
static void poll_after_stop(const struct order *o)
{
	struct stopped *s = tg_xcalloc(1, sizeof(*s));
	int64_t ms = stop_max_ms(o->board) + STOP_POLL_MARGIN_MS;
	struct timeval tv = {
		.tv_sec = ms / 1000,
		.tv_usec = ms % 1000 * 1000,
	};

	s->board = o->board;
	s->term = o->term;
	s->ref = ref_of(o);
	tg_strlcpy(s->job, o->task.job, sizeof(s->job));
	tg_strlcpy(s->worker, o->worker, sizeof(s->worker));
	event_base_once(o->board->base, -1, EV_TIMEOUT, on_stop_over, s, &tv);
}

/*
 * What an earlier process of the worker has confirmed does not hold for the one
 * that serves now.
 */
static enum tg_order_end stop_end(const struct order *o, const struct link *l,
				  enum tg_order_end end)
{
	return l && l->process != o->process ? TG_ORDER_UNKNOWN : end;
}

/*
 * The expiry in a start is by the clock of the known process.  If another one
 * carries it out, its clock shows, and so does a list.
 */
static void check_lease(const struct order *o, struct link *l, int64_t clock_ms)
{
	struct flow_run_ref ref = ref_of(o);

	if (l->process != o->process)
		return;
	if (link_clock_goes_on(l, clock_ms)) {
		flow_start_confirmed(l->board->flow, &ref, o->worker);
		/* While it is listed, a new owner waits longer for it. */
		writer_wake(l->board);
		/* A poll that settles runs must not be put off. */
		if (!l->extra_poll_ms &&
		    flow_wants_progress(l->board->flow, o->worker))
			link_poll_at(l, tg_now_ms() + PROGRESS_POLL_MS);
		return;
	}
	tg_log(EV_FLOW_OTHER_CLOCK,
	       "job=%s task=%d.%d.%d run=%d worker=%s boot=%lld clock_ms=%lld "
	       "known_clock_ms=%lld known_age_ms=%lld",
	       o->task.job, o->task.occurrence, o->task.step, o->task.index,
	       o->run, o->worker, (long long)l->boot_ms, (long long)clock_ms,
	       (long long)l->clock_ms,
	       (long long)(tg_now_ms() - l->clock_at_ms));
	link_poll_at(l, tg_now_ms() + 1);
}

static enum flow_order_result start_result(const struct order *o,
					   enum tg_order_end end)
{
	enum flow_order_result r = order_outcome(end, true, o->tries);

	return o->withheld && r == FLOW_ORDER_NOT_DONE ? FLOW_ORDER_WITHHELD :
							 r;
}

static void on_order(enum tg_order_end end, int64_t clock_ms, void *arg)
{
	struct order *o = arg;
	struct board *b = o->board;
	struct flow_run_ref ref = ref_of(o);
	struct link *l;

	if (o->term != b->term)
		goto out;
	release_lane(o);
	log_answer(o, end);
	l = link_find(b, o->worker);
	if (end == TG_ORDER_FENCED && fence_is_exceeded(b, l, o->fence)) {
		owner_lost(b, "a worker has seen a higher fence");
		goto out;
	}
	/* A call to the next process has overtaken it. */
	if (end == TG_ORDER_FENCED)
		end = TG_ORDER_UNKNOWN;
	if (l && end == TG_ORDER_UNKNOWN && o->start &&
	    o->tries < START_TRIES) {
		flow_start_unanswered(b->flow, &ref, o->worker);
		o->queued_ms = tg_now_ms();
		enqueue(o);
		return;
	}
	if (l && o->start && end == TG_ORDER_DONE)
		check_lease(o, l, clock_ms);
	if (o->start)
		flow_start_answered(b->flow, &ref, o->worker,
				    start_result(o, end), tg_now_ms());
	else
		flow_stop_answered(
			b->flow, &ref, o->worker,
			order_outcome(stop_end(o, l, end), false, o->tries),
			tg_now_ms());
	/* A list requested in the same millisecond settles nothing. */
	if (l && end == TG_ORDER_UNKNOWN && o->start)
		link_poll_at(l, tg_now_ms() + 1);
	if (end == TG_ORDER_DONE && !o->start)
		poll_after_stop(o);
	if (end != TG_ORDER_DONE)
		round_wake(b);
out:
	free(o);
}

static void on_not_sent(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	on_order(TG_ORDER_NOT_SENT, 0, arg);
}

/* For a worker that is known from recorded runs only, or whose bound is not
 * removed yet. */
static void fail_later(struct order *o)
{
	struct timeval soon = { .tv_usec = NOT_SENT_DELAY_MS * 1000 };

	event_base_once(o->board->base, -1, EV_TIMEOUT, on_not_sent, o, &soon);
}

/* @text is of the job's specification. */
static void send_order(struct order *o, const char *text)
{
	struct board *b = o->board;
	struct link *l = link_find(b, o->worker);
	struct tg_worker_ref ref;
	struct tg_order msg = {
		.task = o->task,
		.run = o->run,
		.spec = text,
		.saved = o->saved,
		.timeout_ms = ORDER_TIMEOUT_MS,
	};

	o->tries++;
	o->sent_ms = tg_now_ms();
	tg_hist_add(wait_ms, (uint64_t)(o->sent_ms - o->queued_ms));
	/* Its expiry would be beyond the stored bound. */
	o->withheld = o->start && lease_is_bounded(o->worker);
	if (!l || o->withheld) {
		fail_later(o);
		return;
	}
	o->process = l->process;
	o->fence = msg.fence = l->fence;
	ref.id = l->entry.id;
	ref.addr = l->addr;
	if (o->start) {
		struct flow_run_ref r = ref_of(o);

		flow_start_sent(b->flow, &r, o->worker);
		msg.until_ms = link_expiry(l);
		b->site.ops->start(b->site.port, &ref, &msg, on_order, o);
	} else {
		b->site.ops->stop(b->site.port, &ref, &msg, on_order, o);
	}
}

/* The worker's next list tells whether an earlier copy was carried out. */
static void give_up_copies(const struct order *o)
{
	struct flow_run_ref ref = ref_of(o);
	struct link *l = link_find(o->board, o->worker);

	if (!o->tries)
		return;
	flow_start_answered(o->board->flow, &ref, o->worker, FLOW_ORDER_UNKNOWN,
			    tg_now_ms());
	if (l)
		link_poll_at(l, tg_now_ms() + 1);
}

/* Sends what it can of a queue; false if the turn has ended. */
static bool send_queue(struct board *b, struct order **queue, int64_t end_us)
{
	struct order *o;

	while ((o = *queue) && n_in_progress < orders_max(b)) {
		struct flow_run_ref ref = ref_of(o);
		const char *text = NULL;
		struct lane *n;

		if (tg_now_us() >= end_us)
			return false;
		n = get_lane(o->worker);
		if (o->start)
			text = flow_starting_text(b->flow, &ref, o->worker);
		dequeue(o);
		if (n->in_progress >= ORDERS_PER_WORKER) {
			wait_in_lane(o, n);
		} else if (o->start && !text) {
			/*
			 * The run has been stopped or lost meanwhile, or its
			 * AZ was evacuated.
			 */
			give_up_copies(o);
			free(o);
			advance_lane(n);
		} else {
			n->in_progress++;
			n_in_progress++;
			send_order(o, text);
		}
	}
	return true;
}

static void on_turn(evutil_socket_t fd, short what, void *arg)
{
	struct board *b = arg;
	int64_t end_us = tg_now_us() + TURN_US;

	(void)fd;
	(void)what;
	/* The next write that succeeds wakes the queue. */
	if (!owner_may_renew(b))
		return;
	tg_turn_begin();
	/* A read of the evacuated AZs wakes the queue as well. */
	if (!send_queue(b, &stops, end_us) ||
	    (!starts_are_held(b) && !send_queue(b, &starts, end_us)))
		wake();
	tg_turn_end("orders");
}

void orders_wake(void)
{
	if (stops || starts)
		wake();
}

static void free_list(struct order **list)
{
	struct order *o;

	while ((o = *list)) {
		DL_DELETE(*list, o);
		free(o);
	}
}

void orders_reset(void)
{
	struct lane *n, *tmp;

	free_list(&stops);
	free_list(&starts);
	HASH_ITER(hh, lanes, n, tmp) {
		free_list(&n->waiting_stops);
		free_list(&n->waiting_starts);
		HASH_DEL(lanes, n);
		free(n);
	}
	queued->value = 0;
	n_in_progress = 0;
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
	tg_strlcpy(o->saved, s->saved, sizeof(o->saved));
	enqueue(o);
}

static void order_stop(const struct flow_stop_order *s, void *arg)
{
	struct order *o = new_order(arg, false, &s->ref, s->worker);

	tg_log(EV_FLOW_STOP, "job=%s task=%d.%d.%d run=%d worker=%s why=%s",
	       s->ref.job, s->ref.occurrence, s->ref.step, s->ref.index,
	       s->ref.run, s->worker, s->reason);
	enqueue(o);
}

static void log_drop(const struct flow_stop_order *s, void *arg)
{
	(void)arg;
	tg_log(EV_FLOW_START_DROPPED,
	       "job=%s task=%d.%d.%d run=%d worker=%s why=%s", s->ref.job,
	       s->ref.occurrence, s->ref.step, s->ref.index, s->ref.run,
	       s->worker, s->reason);
}

const struct flow_ops orders_flow_ops = {
	.start = order_start,
	.stop = order_stop,
	.drop = log_drop,
	.reservation = usage_log_reservation,
};

static int start(void *board)
{
	struct board *b = board;

	turn_timer = event_new(b->base, -1, 0, on_turn, b);
	queued = tg_gauge("tg_flow_orders_queued",
			  "start and stop orders that wait to be sent", NULL);
	wait_ms = tg_histogram("tg_flow_order_wait_ms",
			       "time from a decision until its order is sent",
			       NULL);
	return 0;
}

static void stop(void *board)
{
	(void)board;
	orders_reset();
	event_free(turn_timer);
}

const struct tg_controller orders_controller = {
	.name = "orders",
	.start = start,
	.stop = stop,
};
