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

static int64_t changed_after_ms;
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

int main(void)
{
	Suite *s = suite_create("directory");
	TCase *t = tcase_create("exits");

	tcase_add_checked_fixture(t, setup, teardown);
	tcase_add_test(t, old_entry_of_a_scan_does_not_delay_the_exit);
	tcase_add_test(t, late_row_of_the_feed_does_not_advance_the_exit);
	tcase_add_test(t, repeated_scan_does_not_delay_the_exit);
	tcase_add_test(t, scan_does_not_replace_what_the_feed_says);
	suite_add_tcase(s, t);
	return run_suite(s);
}
