#include <string.h>
#include <unistd.h>

#include "../../../cmd/tgflowd/board.h"
#include "../flow/fleet.h"
#include "../run.h"

/*
 * The orders of a round were all sent before the round returned.  With 2,500 of
 * them the owner did nothing else for most of a second.
 */

#define WORKERS 16
#define ACCELERATORS 8
/* What it takes here to send an order. */
#define SEND_US 1000
/* Of a turn of 10 ms, and the order that exceeds it. */
#define ORDERS_PER_TURN 11
#define IN_PROGRESS_MAX 2
#define FDS_PER_ORDER 8

/* Token of the owner's claim. */
#define FENCE 7

struct sent {
	tg_order_done done;
	void *arg;
	bool start;
	uint64_t fence;
	char worker[TG_NAME_MAX + 1];
};

static struct board b;
static struct link links[WORKERS];
static struct sent sent[WORKERS * ACCELERATORS * 3];
static int n_sent, n_answered, n_writes_wanted;
static bool may_renew, other_clock, bound_holds;

/* --- what orders.c and fence.c call --- */

struct link *link_find(struct board *board, const char *id)
{
	(void)board;
	return &links[atoi(id + 1)];
}

void link_poll(struct link *l)
{
	(void)l;
}

void link_poll_at(struct link *l, int64_t at_ms)
{
	l->extra_poll_ms = at_ms;
}

void link_poll_if_due(struct link *l)
{
	(void)l;
}

void writer_wake(struct board *board)
{
	(void)board;
	n_writes_wanted++;
}

bool lease_is_bounded(const char *worker)
{
	(void)worker;
	return bound_holds;
}

int64_t link_expiry(struct link *l)
{
	(void)l;
	return 1;
}

bool link_clock_goes_on(const struct link *l, int64_t clock_ms)
{
	(void)l;
	(void)clock_ms;
	return !other_clock;
}

bool owner_may_renew(struct board *board)
{
	(void)board;
	return may_renew;
}

void owner_lost(struct board *board, const char *why)
{
	(void)board;
	ck_abort_msg("ownership lost: %s", why);
}

void round_wake(struct board *board)
{
	(void)board;
}

void usage_log_reservation(const struct flow_reservation *r, void *arg)
{
	(void)r;
	(void)arg;
}

/* --- the port --- */

static void note_order(bool start, const struct tg_worker_ref *w,
		       const struct tg_order *o, tg_order_done done, void *arg)
{
	struct sent *s = &sent[n_sent++];

	s->done = done;
	s->arg = arg;
	s->start = start;
	s->fence = o->fence;
	tg_strlcpy(s->worker, w->id, sizeof(s->worker));
	usleep(SEND_US);
}

static void start_run(struct tg_port *p, const struct tg_worker_ref *w,
		      const struct tg_order *o, tg_order_done done, void *arg)
{
	(void)p;
	ck_assert_str_eq(o->spec, "text");
	note_order(true, w, o, done, arg);
}

static void stop_run(struct tg_port *p, const struct tg_worker_ref *w,
		     const struct tg_order *o, tg_order_done done, void *arg)
{
	(void)p;
	note_order(false, w, o, done, arg);
}

static const struct tg_port_ops port_ops = { .start = start_run,
					     .stop = stop_run };

/* --- tests --- */

static void setup(void)
{
	char id[16];
	int i;

	memset(&b, 0, sizeof(b));
	memset(links, 0, sizeof(links));
	n_sent = n_answered = n_writes_wanted = 0;
	b.claim_fence = b.owner.fence = b.owner.term = FENCE;
	may_renew = true;
	other_clock = false;
	b.base = tg_loop_new();
	b.site.ops = &port_ops;
	b.flow = fleet_new();
	for (i = 0; i < WORKERS; i++) {
		snprintf(id, sizeof(id), "w%d", i);
		fleet_add_worker(b.flow, id, "r", ACCELERATORS);
		tg_strlcpy(links[i].entry.id, id, sizeof(links[i].entry.id));
		links[i].board = &b;
		links[i].fence = FENCE;
	}
	orders_controller.start(&b);
}

static void teardown(void)
{
	orders_controller.stop(&b);
	flow_free(b.flow);
	event_base_free(b.base);
}

/* Decides on a task for each accelerator of the fleet. */
static void fill_fleet(void)
{
	fleet_add_job(b.flow, "job", "normal",
		      fleet_new_spec(WORKERS * ACCELERATORS, 1, false), 0);
	flow_decide(b.flow, 100, 100, &orders_flow_ops, &b);
	fleet_write(b.flow);
	flow_start_recorded(b.flow, 100, &orders_flow_ops, &b);
}

static void run_loop(void)
{
	event_base_loop(b.base, EVLOOP_ONCE | EVLOOP_NONBLOCK);
}

static void answer(int i)
{
	sent[i].done(TG_ORDER_DONE, 1, sent[i].arg);
	n_answered++;
}

static int in_progress(const char *worker)
{
	int i, n = 0;

	for (i = n_answered; i < n_sent; i++)
		n += !strcmp(sent[i].worker, worker);
	return n;
}

START_TEST(orders_are_sent_in_turns)
{
	int before = 0, turns = 0;

	fill_fleet();
	ck_assert_int_eq(n_sent, 0);
	while (n_answered < WORKERS * ACCELERATORS && turns < 1000) {
		run_loop();
		ck_assert_int_le(n_sent - before, ORDERS_PER_TURN);
		while (n_answered < n_sent)
			answer(n_answered);
		before = n_sent;
		turns++;
	}
	ck_assert_int_eq(n_sent, WORKERS * ACCELERATORS);
}
END_TEST

/* More connections to each worker than that exceed the descriptors. */
START_TEST(few_orders_are_in_progress_on_a_worker)
{
	int i;

	fill_fleet();
	for (i = 0; i < 100; i++)
		run_loop();
	ck_assert_int_eq(n_sent, WORKERS * IN_PROGRESS_MAX);
	for (i = 0; i < WORKERS; i++)
		ck_assert_int_eq(in_progress(links[i].entry.id),
				 IN_PROGRESS_MAX);
	answer(0);
	run_loop();
	ck_assert_int_eq(n_sent, WORKERS * IN_PROGRESS_MAX + 1);
	ck_assert_str_eq(sent[n_sent - 1].worker, sent[0].worker);
}
END_TEST

START_TEST(few_orders_are_in_progress_in_all)
{
	int i;

	b.site.set.fds_max = 64;
	fill_fleet();
	for (i = 0; i < 100; i++)
		run_loop();
	ck_assert_int_eq(n_sent, 64 / FDS_PER_ORDER);
	answer(0);
	run_loop();
	ck_assert_int_eq(n_sent, 64 / FDS_PER_ORDER + 1);
}
END_TEST

START_TEST(stops_go_first_and_unsent_starts_are_dropped)
{
	int i, n_stops = 0;

	fill_fleet();
	run_loop();
	i = n_sent;
	ck_assert_int_lt(i, WORKERS * IN_PROGRESS_MAX);
	flow_cancel(b.flow, "job", 200);
	flow_decide(b.flow, 200, 200, &orders_flow_ops, &b);
	for (i = 0; i < 1000; i++) {
		run_loop();
		if (n_answered < n_sent)
			answer(n_answered);
	}
	for (i = 0; i < n_sent; i++)
		n_stops += !sent[i].start;
	/* All runs are stopped; those that weren't started yet never are. */
	ck_assert_int_eq(n_stops, WORKERS * ACCELERATORS);
	ck_assert_int_lt(n_sent - n_stops, WORKERS * IN_PROGRESS_MAX);
}
END_TEST

START_TEST(nothing_is_sent_without_permission)
{
	int i;

	may_renew = false;
	fill_fleet();
	for (i = 0; i < 10; i++)
		run_loop();
	ck_assert_int_eq(n_sent, 0);
	may_renew = true;
	orders_wake();
	run_loop();
	ck_assert_int_gt(n_sent, 0);
}
END_TEST

/* A list requested in the same millisecond doesn't settle whether it runs. */
START_TEST(list_is_requested_after_a_start_without_answer)
{
	int64_t poll_ms = 0, answered_ms = 0;
	int i;

	fill_fleet();
	for (i = 0; i < 1000 && !poll_ms; i++) {
		run_loop();
		while (n_answered < n_sent && !poll_ms) {
			struct sent *s = &sent[n_answered++];

			answered_ms = tg_now_ms();
			s->done(TG_ORDER_UNKNOWN, 0, s->arg);
			poll_ms = links[atoi(s->worker + 1)].extra_poll_ms;
		}
	}
	ck_assert_int_gt(poll_ms, answered_ms);
}
END_TEST

/*
 * Guards against a run whose lease counts as the owner's although the next
 * process of its worker has started it.
 */
START_TEST(start_answered_by_another_clock_is_not_confirmed)
{
	const char *id;
	int i;

	fill_fleet();
	run_loop();
	ck_assert_int_gt(n_sent, 2);
	id = sent[0].worker;
	answer(0);
	run_loop();
	flow_worker_lost_confirmed(b.flow, id, 200);
	ck_assert_int_eq(links[atoi(id + 1)].extra_poll_ms, 0);
	other_clock = true;
	while (n_answered < n_sent && !strcmp(sent[n_answered].worker, id))
		answer(n_answered);
	id = sent[n_answered].worker;
	answer(n_answered);
	ck_assert(flow_worker_has_unconfirmed(b.flow, id));
	ck_assert_int_gt(links[atoi(id + 1)].extra_poll_ms, 0);
	/* Neither is one that a process has answered which was replaced. */
	other_clock = false;
	for (i = 0; i < WORKERS; i++)
		links[i].process++;
	while (n_answered < n_sent)
		answer(n_answered);
	flow_worker_lost_confirmed(b.flow, id, 200);
	ck_assert(flow_worker_has_unconfirmed(b.flow, id));
}
END_TEST

START_TEST(a_term_that_ends_drops_its_orders)
{
	int i;

	fill_fleet();
	run_loop();
	b.term++;
	orders_reset();
	for (i = 0; i < n_sent; i++)
		answer(i);
	i = n_sent;
	run_loop();
	run_loop();
	ck_assert_int_eq(n_sent, i);
}
END_TEST

/* Guards against orders that the next process takes for earlier ones. */
START_TEST(order_carries_the_token_at_its_sending)
{
	int i;

	fill_fleet();
	for (i = 0; i < WORKERS; i++)
		links[i].fence = FENCE + 1;
	run_loop();
	ck_assert_int_gt(n_sent, 0);
	ck_assert_uint_eq(sent[0].fence, FENCE + 1);
}
END_TEST

/* Guards against an owner that gives up its term for a call of its own. */
START_TEST(overtaken_order_is_repeated_in_the_same_term)
{
	int i, n = 0;

	fill_fleet();
	run_loop();
	links[atoi(sent[0].worker + 1)].fence = FENCE + 1;
	sent[0].done(TG_ORDER_FENCED, 1, sent[0].arg);
	n_answered = 1;
	for (i = 0; i < 1000; i++) {
		run_loop();
		while (n_answered < n_sent)
			answer(n_answered);
	}
	ck_assert_int_eq(n_sent, WORKERS * ACCELERATORS + 1);
	for (i = 0; i < n_sent; i++)
		n += !strcmp(sent[i].worker, sent[0].worker) &&
			sent[i].fence == FENCE + 1;
	ck_assert_int_ge(n, ACCELERATORS - 1);
}
END_TEST

/*
 * Guards against tokens that are used before they are durable, so that the next
 * owner might use them as well, and against a write for each restart.
 */
START_TEST(one_recorded_token_serves_all_links_that_await_it)
{
	link_raise_fence(&links[0]);
	link_raise_fence(&links[1]);
	ck_assert_int_gt(n_writes_wanted, 0);
	ck_assert_uint_eq(links[0].fence, FENCE);
	ck_assert_uint_eq(fence_to_record(&b), FENCE + 1);
	links_fence_recorded(&b);
	ck_assert_uint_eq(links[0].fence, FENCE);

	/* The write has begun. */
	link_raise_fence(&links[2]);
	b.owner.fence = FENCE + 1;
	links_fence_recorded(&b);
	ck_assert_uint_eq(links[0].fence, FENCE + 1);
	ck_assert_uint_eq(links[1].fence, FENCE + 1);
	ck_assert_uint_eq(links[2].fence, FENCE + 1);
	ck_assert_uint_eq(fence_to_record(&b), FENCE + 1);

	n_writes_wanted = 0;
	link_raise_fence(&links[3]);
	ck_assert_uint_eq(links[3].fence, FENCE + 1);
	ck_assert_int_eq(n_writes_wanted, 0);
	link_raise_fence(&links[3]);
	ck_assert_int_eq(n_writes_wanted, 1);
	ck_assert_uint_eq(fence_to_record(&b), FENCE + 2);
	link_await_no_fence(&links[3]);
	ck_assert_uint_eq(fence_to_record(&b), FENCE + 1);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("orders");
	TCase *t = tcase_create("orders");

	tcase_add_checked_fixture(t, setup, teardown);
	tcase_add_test(t, orders_are_sent_in_turns);
	tcase_add_test(t, few_orders_are_in_progress_on_a_worker);
	tcase_add_test(t, few_orders_are_in_progress_in_all);
	tcase_add_test(t, stops_go_first_and_unsent_starts_are_dropped);
	tcase_add_test(t, nothing_is_sent_without_permission);
	tcase_add_test(t, list_is_requested_after_a_start_without_answer);
	tcase_add_test(t, start_answered_by_another_clock_is_not_confirmed);
	tcase_add_test(t, a_term_that_ends_drops_its_orders);
	tcase_add_test(t, order_carries_the_token_at_its_sending);
	tcase_add_test(t, overtaken_order_is_repeated_in_the_same_term);
	tcase_add_test(t, one_recorded_token_serves_all_links_that_await_it);
	suite_add_tcase(s, t);
	return run_suite(s);
}
