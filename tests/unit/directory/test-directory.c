#include <string.h>
#include <unistd.h>

#include "../../../cmd/tgflowd/board.h"
#include "../flow/fleet.h"
#include "../run.h"

/* Entries of workers, which are read in a scan or from the feed. */

#define HEARTBEAT_MS 1500

static struct board b;
static struct tg_worker_entry entry;

/* --- what directory.c and fence.c call --- */

static int64_t changed_after_ms, changed_after_clock_ms;
static int64_t answered_since_ms;
static struct tg_table_watch_opts watch;

struct tg_table_watch *tg_table_watch_new(const struct tg_table_watch_opts *o)
{
	watch = *o;
	return NULL;
}

void tg_table_watch_free(struct tg_table_watch *f)
{
	(void)f;
}

int64_t tg_table_watch_changed_after_ms(const struct tg_table_watch *f)
{
	(void)f;
	return changed_after_ms;
}

int64_t tg_table_watch_changed_after_clock_ms(const struct tg_table_watch *f)
{
	(void)f;
	return changed_after_clock_ms;
}

int64_t tg_table_watch_settled_clock_ms(const struct tg_table_watch *f)
{
	(void)f;
	return changed_after_clock_ms;
}

int64_t tg_table_watch_answered_since_ms(const struct tg_table_watch *f)
{
	(void)f;
	return answered_since_ms;
}

bool owner_is_current(const struct board *board)
{
	(void)board;
	return true;
}

struct link *link_find(struct board *board, const char *id)
{
	struct link *l;

	HASH_FIND(hh, board->links, id, strlen(id), l);
	return l;
}

void link_free(struct link *l)
{
	HASH_DEL(l->board->links, l);
	tg_worker_entry_clear(&l->entry);
	free(l);
}

void link_set_failed(struct link *l, bool failed)
{
	l->failed = failed;
}

void link_check_entry(struct link *l)
{
	(void)l;
}

bool lease_is_bounded(const char *worker)
{
	(void)worker;
	return false;
}

void link_poll_if_due(struct link *l)
{
	(void)l;
}

void round_wake(struct board *board)
{
	(void)board;
}

void writer_wake(struct board *board)
{
	(void)board;
}

void link_expect_former_leases(struct link *l)
{
	(void)l;
}

void speeds_open(struct board *board)
{
	(void)board;
}

void speeds_close(void)
{
}

void accounts_open(struct board *board)
{
	(void)board;
}

void accounts_close(void)
{
}

void owner_check_recovered(struct board *board)
{
	(void)board;
}

static int decode(const struct tg_row *row, struct tg_worker_entry *e)
{
	(void)row;
	*e = entry;
	tg_set_str(&e->service, "s");
	return 0;
}

static const struct tg_port_ops port_ops = { .worker = decode };

/* --- tests --- */

static void setup(void)
{
	memset(&b, 0, sizeof(b));
	memset(&entry, 0, sizeof(entry));
	b.role = ROLE_OWNER;
	b.site.ops = &port_ops;
	b.site.set.heartbeat_ms = HEARTBEAT_MS;
	b.site.set.row_bytes = 65536;
	b.flow = fleet_new();
	tg_strlcpy(entry.id, "w1", sizeof(entry.id));
	entry.boot_ms = 1;
	entry.draining = true;
	links_open(&b);
}

static void teardown(void)
{
	links_close(&b);
	flow_free(b.flow);
}

/* Return: the worker's earliest exit, from its row read now. */
static int64_t read_row(int64_t remaining_ms, int64_t after_ms)
{
	struct tg_row row = { .key = "w1", .value = "" };

	entry.remaining_ms = remaining_ms;
	changed_after_ms = after_ms;
	watch.on_row(&row, watch.arg);
	return link_find(&b, "w1")->earliest_exit_ms;
}

/*
 * Guards against stops that are due only after the exit: an entry that was old
 * when a scan read it, as after an outage of the store, announced a later exit
 * than the worker's next entry, read from the feed.
 */
START_TEST(old_entry_of_a_scan_does_not_delay_the_exit)
{
	int64_t now_ms = tg_now_ms();
	/* Written 4 s ago, so that it exits in 2 s. */
	int64_t exit_ms = now_ms - 4000 + 6000;

	read_row(6000, 0);
	/* The next entry, written now and known to be at most 100 ms old. */
	ck_assert_int_le(read_row(2000, now_ms - 100), exit_ms);
}
END_TEST

/* What the feed says bounds the exit from below, also if rows come late. */
START_TEST(late_row_of_the_feed_does_not_advance_the_exit)
{
	int64_t now_ms = tg_now_ms(), exit_ms = read_row(6000, now_ms);

	ck_assert_int_eq(exit_ms, now_ms + 6000);
	ck_assert_int_eq(read_row(5000, now_ms - 3000), exit_ms);
}
END_TEST

/* Guards against scans that put off the exit each time they read the entry. */
START_TEST(repeated_scan_does_not_delay_the_exit)
{
	int64_t exit_ms = read_row(6000, 0);

	usleep(20000);
	ck_assert_int_le(read_row(6000, 0), exit_ms);
}
END_TEST

START_TEST(scan_does_not_replace_what_the_feed_says)
{
	int64_t now_ms = tg_now_ms(), exit_ms = read_row(6000, now_ms);

	ck_assert_int_eq(read_row(1000, 0), exit_ms);
	ck_assert_int_eq(read_row(9000, 0), exit_ms);
}
END_TEST

/* --- what a former owner knew of draining workers --- */

#define STORE_MS 500000

/*
 * Worker w2 has left before this owner reads the directory, and a former owner
 * has recorded a run there.  Its entry was written @written_ms ago by what
 * that owner knew, and the store has answered since @since_ms ago.
 */
static struct link *read_absent_worker(int64_t written_ms, int64_t since_ms)
{
	json_t *o = json_loads("{\"state\":0,\"steps\":[{\"done\":\"\","
			       "\"tasks\":{},\"runs\":[[0,1,\"w2\"]]}]}",
			       0, NULL);
	int64_t now_ms = tg_now_ms();
	struct tg_worker_exit x = {
		.addr = "127.0.0.1:9",
		.boot_ms = 7,
		.exit_clock_ms = STORE_MS - 500,
		.written_clock_ms = STORE_MS - written_ms,
		.version = 12,
	};

	b.role = ROLE_RECOVERING;
	b.store_seen = (struct store_seen){
		.since_clock_ms = STORE_MS - since_ms,
		.last = { STORE_MS, now_ms, now_ms },
	};
	tg_owner_row_add_exit(&b.owner, "w2", &x, 65536);
	b.owner.exits_clock_ms = STORE_MS - 1000;
	fleet_add_job(b.flow, "j1", "normal", fleet_new_spec(1, 1, false), 0);
	ck_assert(flow_progress_decode(b.flow, "j1", o));
	json_decref(o);
	answered_since_ms = now_ms;
	watch.on_scan_done(watch.arg);
	return link_find(&b, "w2");
}

static void refuse_connections(struct link *l)
{
	l->failures = 2;
	l->closed = true;
	l->first_failure_ms = tg_now_ms();
}

/* Guards against a wait for leases of a worker that has left (review/12). */
START_TEST(exit_before_the_first_read_is_proved)
{
	struct link *l = read_absent_worker(2000, 60000);

	ck_assert_str_eq(l->addr, "127.0.0.1:9");
	ck_assert(!link_has_exited(l));
	refuse_connections(l);
	ck_assert(link_has_exited(l));
	/* A failed read of the directory: its entry may have expired. */
	answered_since_ms++;
	ck_assert(!link_has_exited(l));
}
END_TEST

START_TEST(entry_that_may_have_expired_proves_no_exit)
{
	struct link *l = read_absent_worker(HEARTBEAT_MS * 5 / 2 + 10, 60000);

	refuse_connections(l);
	ck_assert(!link_has_exited(l));
}
END_TEST

START_TEST(outage_of_the_store_proves_no_exit)
{
	struct link *l = read_absent_worker(2000, 1000);

	refuse_connections(l);
	ck_assert(!link_has_exited(l));
}
END_TEST

/* Of the entry at version @version, read in the first scan. */
static int64_t written_age_ms(int64_t version)
{
	struct tg_row row = { .key = "w2", .value = "", .version = version };

	b.role = ROLE_RECOVERING;
	tg_strlcpy(entry.id, "w2", sizeof(entry.id));
	entry.boot_ms = 7;
	entry.remaining_ms = 1000;
	watch.on_row(&row, watch.arg);
	return tg_now_ms() - link_find(&b, "w2")->written_after_ms;
}

START_TEST(entry_of_a_scan_is_as_old_as_the_former_owner_says)
{
	read_absent_worker(2000, 60000);
	ck_assert_int_ge(written_age_ms(12), 2000);
	/* A later version than the former owner's, at 1 s before. */
	ck_assert_int_lt(written_age_ms(13), 2000);
	ck_assert_int_ge(written_age_ms(13), 1000);
}
END_TEST

/* The next owner needs it too, if this one ends before it learns more. */
START_TEST(what_a_former_owner_knew_is_recorded_again)
{
	struct tg_owner_row r = { .holder = "i1" };
	struct tg_worker_exit x;

	read_absent_worker(2000, 60000);
	links_record_exits(&b, &r);
	ck_assert(tg_owner_row_find_exit(&r, "w2", &x));
	ck_assert_str_eq(x.addr, "127.0.0.1:9");
	ck_assert_int_eq(x.boot_ms, 7);
	ck_assert_int_eq(x.written_clock_ms, STORE_MS - 2000);
	ck_assert_int_eq(x.exit_clock_ms, STORE_MS - 500);
	ck_assert_int_eq(x.version, 12);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("directory");
	TCase *t = tcase_create("exits");

	tcase_add_checked_fixture(t, setup, teardown);
	tcase_add_test(t, old_entry_of_a_scan_does_not_delay_the_exit);
	tcase_add_test(t, late_row_of_the_feed_does_not_advance_the_exit);
	tcase_add_test(t, repeated_scan_does_not_delay_the_exit);
	tcase_add_test(t, scan_does_not_replace_what_the_feed_says);
	tcase_add_test(t, exit_before_the_first_read_is_proved);
	tcase_add_test(t, entry_that_may_have_expired_proves_no_exit);
	tcase_add_test(t, outage_of_the_store_proves_no_exit);
	tcase_add_test(t, entry_of_a_scan_is_as_old_as_the_former_owner_says);
	tcase_add_test(t, what_a_former_owner_knew_is_recorded_again);
	suite_add_tcase(s, t);
	return run_suite(s);
}
