#include <string.h>
#include <utlist.h>

#include "../../../cmd/tgflowd/board.h"
#include "../run.h"

/* Bounds of leases on silent workers, which the next owner reads. */

/* Own time and the store's clock differ by this; calls take CALL_MS. */
#define OFFSET_MS 500000
#define CALL_MS 10

static struct board b;
static struct link l;
static struct tg_table_watch_opts watch;
static char stored[LEASE_BOUND_ROWS][256];
static int n_polls, n_opened;

/* --- what leasebounds.c calls --- */

struct tg_table_watch *tg_table_watch_new(const struct tg_table_watch_opts *o)
{
	watch = *o;
	return NULL;
}

void tg_table_watch_free(struct tg_table_watch *f)
{
	(void)f;
}

struct link *link_find(struct board *board, const char *id)
{
	(void)board;
	return strcmp(id, l.entry.id) ? NULL : &l;
}

int64_t link_leases_end_ms(const struct link *link)
{
	return link->leases_end_ms;
}

void link_update_suspect(struct link *link)
{
	(void)link;
}

void round_wake(struct board *board)
{
	(void)board;
}

void link_poll_if_due(struct link *link)
{
	(void)link;
	n_polls++;
}

void writer_wake(struct board *board)
{
	board->write_wanted = true;
}

/* --- tests --- */

static void on_open(struct board *board)
{
	(void)board;
	n_opened++;
}

static void read_rows(void)
{
	char key[16];
	int i;

	for (i = 0; i < LEASE_BOUND_ROWS; i++) {
		struct tg_row row = {
			.key = key,
			.value = stored[i],
			.value_bytes = strlen(stored[i]),
		};

		snprintf(key, sizeof(key), "%02d", i);
		if (*stored[i])
			watch.on_row(&row, watch.arg);
	}
	watch.on_scan_done(watch.arg);
}

/* The next owner, which has claimed @row. */
static void take_over(struct tg_owner_row row)
{
	lease_bounds_close();
	if (l.failed)
		DL_DELETE2(b.failed, &l, failed_prev, failed_next);
	memset(&b, 0, sizeof(b));
	memset(&l, 0, sizeof(l));
	b.owner = row;
	b.site.set.row_bytes = 65536;
	b.directory_read = true;
	b.store_seen.last = (struct tg_store_clock){
		.clock_ms = OFFSET_MS + 1000,
		.from_ms = 1000 - CALL_MS,
		.to_ms = 1000 + CALL_MS,
	};
	tg_strlcpy(l.entry.id, "w1", sizeof(l.entry.id));
	l.board = &b;
	l.may_have_runs = true;
	lease_bounds_open(&b, on_open);
	read_rows();
}

/* Takes what a write would hold; the store applies it. */
static void write_rows(void)
{
	char key[LEASE_BOUND_KEY_LEN + 1], *text;

	while ((text = lease_bounds_next_row(&b, key, sizeof(key)))) {
		tg_strlcpy(stored[atoi(key)], text, sizeof(stored[0]));
		free(text);
	}
	lease_bounds_record(&b.owner);
}

static void fall_silent(int64_t leases_end_ms)
{
	l.leases_end_ms = leases_end_ms;
	l.failed = true;
	l.failures = 2;
	DL_APPEND2(b.failed, &l, failed_prev, failed_next);
	lease_bound_changed(&l);
}

static void answer(void)
{
	l.clock_at_ms = 1;
	l.failed = false;
	DL_DELETE2(b.failed, &l, failed_prev, failed_next);
	lease_bound_changed(&l);
}

static void setup(void)
{
	memset(stored, 0, sizeof(stored));
	n_polls = n_opened = 0;
	memset(&l, 0, sizeof(l));
	take_over((struct tg_owner_row){ 0 });
	write_rows();
	lease_bounds_written(&b);
}

/* Guards against a bound that a renewal has passed, or an earlier one. */
START_TEST(next_owner_reads_the_bound_and_rounds_it_up)
{
	int64_t ms;

	ck_assert(b.owner.lease_bounds);
	fall_silent(8000);
	write_rows();
	ck_assert_int_eq(lease_bound_former_ms(&b, "w1"), 0);
	lease_bounds_written(&b);
	take_over(b.owner);
	ms = lease_bound_former_ms(&b, "w1");
	ck_assert_int_ge(ms, 8000);
	ck_assert_int_le(ms, 8000 + 2 * CALL_MS);
	ck_assert(lease_is_bounded("w1"));
	ck_assert_int_eq(lease_bound_former_ms(&b, "w2"), 0);
}
END_TEST

START_TEST(worker_that_answers_is_renewed_once_the_removal_is_durable)
{
	fall_silent(8000);
	write_rows();
	ck_assert(lease_is_bounded("w1"));
	answer();
	ck_assert(b.write_wanted);
	lease_bounds_written(&b);
	ck_assert(lease_is_bounded("w1"));
	write_rows();
	lease_bounds_not_written(&b);
	ck_assert(lease_is_bounded("w1"));
	ck_assert(lease_bounds_wait());
	write_rows();
	ck_assert_int_eq(n_polls, 0);
	lease_bounds_written(&b);
	ck_assert(!lease_is_bounded("w1"));
	ck_assert_int_eq(n_polls, 1);
	take_over(b.owner);
	ck_assert_int_eq(lease_bound_former_ms(&b, "w1"), 0);
}
END_TEST

START_TEST(bound_is_carried_on_while_the_worker_has_not_answered)
{
	int64_t ms;

	fall_silent(8000);
	write_rows();
	lease_bounds_written(&b);
	take_over(b.owner);
	/* Counted from the former owner's end, it would be later. */
	fall_silent(14000);
	write_rows();
	lease_bounds_written(&b);
	take_over(b.owner);
	ms = lease_bound_former_ms(&b, "w1");
	ck_assert_int_ge(ms, 8000);
	ck_assert_int_le(ms, 8000 + 4 * CALL_MS);
}
END_TEST

/* An owner of an older version renews whatever the rows say. */
START_TEST(rows_are_void_after_an_owner_of_an_older_version)
{
	fall_silent(8000);
	write_rows();
	lease_bounds_written(&b);
	b.owner.lease_bounds = false;
	take_over(b.owner);
	ck_assert_int_eq(lease_bound_former_ms(&b, "w1"), 0);
	ck_assert(!lease_is_bounded("w1"));
	write_rows();
	ck_assert(!b.owner.lease_bounds);
	lease_bounds_written(&b);
	write_rows();
	ck_assert(b.owner.lease_bounds);
	take_over(b.owner);
	ck_assert_int_eq(lease_bound_former_ms(&b, "w1"), 0);
}
END_TEST

/*
 * Guards against the bound of a process that is kept for the next one, which
 * may have carried out calls to the first one with leases of the longest
 * duration.
 */
START_TEST(bound_of_a_process_is_not_kept_for_the_next_one)
{
	fall_silent(8000);
	write_rows();
	lease_bounds_written(&b);
	/* The next process answers, and falls silent before the next write. */
	lease_bound_process_ended(&l);
	answer();
	fall_silent(20000);
	write_rows();
	lease_bounds_written(&b);
	take_over(b.owner);
	ck_assert(!lease_bound_former_ms(&b, "w1") ||
		  lease_bound_former_ms(&b, "w1") >= 20000);
}
END_TEST

/* Guards against a renewal beyond a bound that an earlier copy has stored. */
START_TEST(write_that_is_given_up_may_have_stored_its_bounds)
{
	fall_silent(8000);
	write_rows();
	answer();
	lease_bounds_not_written(&b);
	ck_assert(lease_is_bounded("w1"));
	ck_assert_int_eq(n_polls, 0);
	write_rows();
	lease_bounds_written(&b);
	ck_assert(!lease_is_bounded("w1"));
}
END_TEST

int main(void)
{
	Suite *s = suite_create("leasebounds");
	TCase *t = tcase_create("rows");

	tcase_add_checked_fixture(t, setup, lease_bounds_close);
	tcase_add_test(t, next_owner_reads_the_bound_and_rounds_it_up);
	tcase_add_test(
		t, worker_that_answers_is_renewed_once_the_removal_is_durable);
	tcase_add_test(t,
		       bound_is_carried_on_while_the_worker_has_not_answered);
	tcase_add_test(t, rows_are_void_after_an_owner_of_an_older_version);
	tcase_add_test(t, bound_of_a_process_is_not_kept_for_the_next_one);
	tcase_add_test(t, write_that_is_given_up_may_have_stored_its_bounds);
	suite_add_tcase(s, t);
	return run_suite(s);
}
