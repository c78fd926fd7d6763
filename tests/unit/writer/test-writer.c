#include <string.h>

#include "../../../cmd/tgflowd/board.h"
#include "../flow/fleet.h"
#include "../run.h"

/* The owner's writes, whose answers may be late. */

#define CALLS_MAX 8

struct call {
	tg_store_done done;
	void *arg;
	size_t n_puts;
	struct tg_owner_row row;
};

static struct board b;
static struct call calls[CALLS_MAX];
static int n_calls, n_written, n_lost;

/* --- what writer.c calls --- */

char *speeds_next_row(struct board *board, char *key, size_t size)
{
	(void)board;
	(void)key;
	(void)size;
	return NULL;
}

char *accounts_next_row(struct board *board, char *key, size_t size)
{
	(void)board;
	(void)key;
	(void)size;
	return NULL;
}

char *lease_bounds_next_row(struct board *board, char *key, size_t size)
{
	(void)board;
	(void)key;
	(void)size;
	return NULL;
}

bool lease_bounds_wait(void)
{
	return false;
}

void lease_bounds_record(struct tg_owner_row *r)
{
	(void)r;
}

void lease_bounds_written(struct board *board)
{
	(void)board;
}

void lease_bounds_not_written(struct board *board)
{
	(void)board;
}

void links_record_silent(const struct board *board, struct tg_owner_row *r)
{
	(void)board;
	(void)r;
}

void links_record_exits(const struct board *board, struct tg_owner_row *r)
{
	(void)board;
	(void)r;
}

void standby_record_former(const struct board *board, struct tg_owner_row *r)
{
	(void)board;
	(void)r;
}

void links_record_long_leases(struct board *board, struct tg_owner_row *r)
{
	r->long_leases[0] = '\0';
	tg_owner_row_add_long_lease(r, "w1", board->site.set.row_bytes);
}

void links_write_started(struct board *board)
{
	(void)board;
}

void links_write_done(struct board *board)
{
	(void)board;
}

uint64_t fence_to_record(const struct board *board)
{
	return board->owner.fence;
}

void links_fence_recorded(struct board *board)
{
	(void)board;
}

void owner_written(struct board *board, int64_t started_ms)
{
	(void)board;
	(void)started_ms;
	n_written++;
}

void owner_lost(struct board *board, const char *why)
{
	(void)board;
	(void)why;
	n_lost++;
}

void round_start_recorded(struct board *board)
{
	(void)board;
}

void round_wake(struct board *board)
{
	(void)board;
}

/* --- the port --- */

static void transact(struct tg_port *p, const struct tg_store_tx *tx,
		     tg_store_done done, void *arg)
{
	struct call *c = &calls[n_calls++];

	(void)p;
	ck_assert_int_le(n_calls, CALLS_MAX);
	c->done = done;
	c->arg = arg;
	c->n_puts = tx->n_puts;
	ck_assert_int_eq(tg_owner_row_decode(&tx->puts[0], &c->row), 0);
	event_base_loopbreak(b.base);
}

static const struct tg_port_ops port_ops = { .tx = transact };

/* --- tests --- */

static void begin_term(void)
{
	b.term++;
	b.flow = fleet_new();
	fleet_add_worker(b.flow, "w1", "r", 8);
}

static void end_term(void)
{
	b.term++;
	writer_reset(&b);
	flow_free(b.flow);
	b.flow = NULL;
}

static void setup(void)
{
	memset(&b, 0, sizeof(b));
	n_calls = n_written = n_lost = 0;
	b.base = tg_loop_new();
	b.site.ops = &port_ops;
	b.site.set.row_bytes = 65536;
	b.site.set.tx_bytes = 1000000;
	b.role = ROLE_OWNER;
	b.progress_read = true;
	b.claim_fence = b.owner.fence = 3;
	tg_strlcpy(b.boot, "boot", sizeof(b.boot));
	tg_strlcpy(b.owner.boot, "boot", sizeof(b.owner.boot));
	writer_controller.start(&b);
	begin_term();
}

static void teardown(void)
{
	end_term();
	writer_controller.stop(&b);
	event_base_free(b.base);
}

/* Decides on a run of a new job; the write that records it is in progress. */
static struct call *write_run(void)
{
	static struct orders o;

	fleet_add_job(b.flow, "j1", "normal", fleet_new_spec(1, 1, false), 0);
	fleet_decide_unwritten(b.flow, &o, 1);
	writer_wake(&b);
	event_base_dispatch(b.base);
	return &calls[n_calls - 1];
}

static void answer(const struct call *c, enum tg_store_end end,
		   const struct tg_owner_row *now)
{
	struct tg_row row = { .version = 90 };
	struct tg_store_result r = { .end = end, .version = 90 };
	char *text = now ? tg_owner_row_encode(now) : NULL;

	if (text) {
		row.value = text;
		row.value_bytes = strlen(text);
		r.rows = &row;
		r.n_rows = 1;
	}
	c->done(&r, c->arg);
	free(text);
}

static bool is_recorded(void)
{
	struct flow_job_status v;

	ck_assert(flow_job_status(b.flow, "j1", &v));
	return v.durable;
}

/*
 * Guards against a long lease that the next owner doesn't learn of, if this one
 * is replaced before it knows the workers itself.
 */
START_TEST(long_leases_of_former_owners_stay_listed_during_recovery)
{
	tg_strlcpy(b.owner.long_leases, ",w7,", sizeof(b.owner.long_leases));
	b.role = ROLE_RECOVERING;
	b.progress_read = false;
	writer_wake(&b);
	event_base_dispatch(b.base);
	ck_assert_str_eq(calls[0].row.long_leases, ",w7,");
	answer(&calls[0], TG_STORE_OK, NULL);
	b.role = ROLE_OWNER;
	b.progress_read = true;
	ck_assert_str_eq(write_run()->row.long_leases, ",w1,");
}
END_TEST

/* Guards against starts that are ordered before the write that records them. */
START_TEST(answer_to_a_write_of_an_earlier_term_is_ignored)
{
	struct call *old = write_run(), *now;

	end_term();
	begin_term();
	now = write_run();
	answer(old, TG_STORE_OK, NULL);
	ck_assert_int_eq(n_written, 0);
	ck_assert(!is_recorded());
	answer(now, TG_STORE_OK, NULL);
	ck_assert_int_eq(n_written, 1);
	ck_assert(is_recorded());
}
END_TEST

/* The same, if the row in the store is that of the earlier write. */
START_TEST(row_of_an_earlier_term_is_not_that_of_the_write)
{
	struct tg_owner_row old = write_run()->row;
	struct call *now;

	end_term();
	begin_term();
	now = write_run();
	answer(now, TG_STORE_CONFLICT, &old);
	ck_assert_int_eq(n_written, 0);
	ck_assert_int_eq(n_lost, 1);
	ck_assert(!is_recorded());
}
END_TEST

START_TEST(row_of_an_earlier_copy_shows_that_it_took_effect)
{
	struct call *c = write_run();

	answer(c, TG_STORE_CONFLICT, &c->row);
	ck_assert_int_eq(n_written, 1);
	ck_assert_int_eq(n_lost, 0);
	ck_assert(is_recorded());
}
END_TEST

/* Guards against progress that is overwritten before it is read. */
START_TEST(no_record_is_written_before_all_are_read)
{
	struct call *c;

	b.progress_read = false;
	c = write_run();
	ck_assert_uint_eq(c->n_puts, 1);
	answer(c, TG_STORE_OK, NULL);
	ck_assert_int_eq(n_written, 1);
	ck_assert(!is_recorded());

	b.progress_read = true;
	writer_wake(&b);
	event_base_dispatch(b.base);
	c = &calls[n_calls - 1];
	ck_assert_uint_eq(c->n_puts, 2);
	answer(c, TG_STORE_OK, NULL);
	ck_assert(is_recorded());
}
END_TEST

int main(void)
{
	Suite *s = suite_create("writer");
	TCase *t = tcase_create("writes");

	tcase_add_checked_fixture(t, setup, teardown);
	tcase_add_test(
		t, long_leases_of_former_owners_stay_listed_during_recovery);
	tcase_add_test(t, answer_to_a_write_of_an_earlier_term_is_ignored);
	tcase_add_test(t, row_of_an_earlier_term_is_not_that_of_the_write);
	tcase_add_test(t, row_of_an_earlier_copy_shows_that_it_took_effect);
	tcase_add_test(t, no_record_is_written_before_all_are_read);
	suite_add_tcase(s, t);
	return run_suite(s);
}
