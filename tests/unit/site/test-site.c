#include <event2/event.h>
#include <stdlib.h>
#include <string.h>

#include "../run.h"
#include "site/site.h"

#define KEY_BYTES 10000

static struct tg_site site;
static char key[KEY_BYTES + 1];
static char *last_from;
static int n_gets, n_rows_seen;
static bool scan_done;

struct pending {
	tg_store_done done;
	void *arg;
	bool first;
};

/* The first page ends with the long key; the second one is empty. */
static void answer_page(evutil_socket_t fd, short what, void *arg)
{
	struct pending *p = arg;
	struct tg_row row = { .table = "servers",
			      .part = "",
			      .key = key,
			      .value = "",
			      .version = 1 };
	struct tg_store_result r = { .end = TG_STORE_OK, .version = 1 };

	(void)fd;
	(void)what;
	if (p->first) {
		r.rows = &row;
		r.n_rows = 1;
		r.more = true;
	}
	p->done(&r, p->arg);
	free(p);
}

static void get_page(struct tg_port *port, const struct tg_store_range *range,
		     tg_store_done done, void *arg)
{
	struct timeval now = { 0 };
	struct pending *p = tg_xcalloc(1, sizeof(*p));

	(void)port;
	free(last_from);
	last_from = tg_xstrdup(range->from ? range->from : "");
	p->done = done;
	p->arg = arg;
	p->first = !n_gets++;
	event_base_once(site.base, -1, EV_TIMEOUT, answer_page, p, &now);
}

/* Never answers: the test ends with the scan. */
static void feed(struct tg_port *port, const struct tg_store_feed *f,
		 tg_store_done done, void *arg)
{
	(void)port;
	(void)f;
	(void)done;
	(void)arg;
	event_base_loopbreak(site.base);
}

static void on_row(const struct tg_row *row, void *arg)
{
	(void)row;
	(void)arg;
	n_rows_seen++;
}

static void on_scan_done(void *arg)
{
	(void)arg;
	scan_done = true;
}

/*
 * The key at which a scan goes on was cut off after 255 bytes.  Behind a longer
 * one, of another writer, the same page was read again and again.
 */
START_TEST(scan_goes_on_behind_a_long_key)
{
	static const struct tg_port_ops ops = { .get = get_page, .feed = feed };
	struct tg_table_watch_opts o = {
		.site = &site,
		.table = "servers",
		.on_row = on_row,
		.on_scan_done = on_scan_done,
	};
	struct tg_table_watch *w;

	memset(key, 'k', KEY_BYTES);
	site.ops = &ops;
	site.base = event_base_new();
	w = tg_table_watch_new(&o);
	event_base_dispatch(site.base);
	ck_assert(scan_done);
	ck_assert_int_eq(n_rows_seen, 1);
	ck_assert_int_eq(n_gets, 2);
	ck_assert_uint_eq(strlen(last_from), KEY_BYTES + 1);
	ck_assert(!strncmp(last_from, key, KEY_BYTES));
	tg_table_watch_free(w);
	event_base_free(site.base);
	free(last_from);
}
END_TEST

static struct tg_table_watch *watched;
static int64_t changed_after_ms; /* of the last row */

static void on_dated_row(const struct tg_row *row, void *arg)
{
	(void)row;
	(void)arg;
	changed_after_ms = tg_table_watch_changed_after_ms(watched);
	n_rows_seen++;
}

/* The feed in progress, and when it was asked for. */
static struct {
	tg_store_done done;
	void *arg;
	int64_t asked_ms;
} fed;

static void hold_feed(struct tg_port *port, const struct tg_store_feed *f,
		      tg_store_done done, void *arg)
{
	(void)port;
	(void)f;
	fed.done = done;
	fed.arg = arg;
	fed.asked_ms = tg_now_ms();
	event_base_loopbreak(site.base);
}

/* Answers the feed in progress some time after it was asked for. */
static void answer_feed(enum tg_store_end end)
{
	struct tg_row row = { .table = "servers",
			      .part = "",
			      .key = "w1",
			      .value = "",
			      .version = 2 };
	struct tg_store_result r = { .end = end, .version = 2 };
	int64_t asked_ms = fed.asked_ms;

	if (end == TG_STORE_OK) {
		r.rows = &row;
		r.n_rows = 1;
	}
	while (tg_now_ms() < asked_ms + 5)
		;
	fed.asked_ms = 0;
	fed.done(&r, fed.arg);
	if (!fed.asked_ms)
		event_base_dispatch(site.base);
}

/* Guards against an entry that is read late being taken for a recent one. */
START_TEST(row_may_be_as_old_as_the_call_before)
{
	static const struct tg_port_ops ops = { .get = get_page,
						.feed = hold_feed };
	struct tg_table_watch_opts o = {
		.site = &site,
		.table = "servers",
		.on_row = on_dated_row,
	};
	int64_t first_ms;

	memset(key, 'k', KEY_BYTES);
	site.ops = &ops;
	site.base = event_base_new();
	changed_after_ms = -1;
	watched = tg_table_watch_new(&o);
	event_base_dispatch(site.base);
	ck_assert_int_eq(changed_after_ms, 0);
	ck_assert_int_gt(tg_table_watch_answered_since_ms(watched), 0);

	first_ms = fed.asked_ms;
	answer_feed(TG_STORE_OK);
	ck_assert_int_gt(changed_after_ms, 0);
	ck_assert_int_le(changed_after_ms, first_ms);
	answer_feed(TG_STORE_OK);
	ck_assert_int_eq(changed_after_ms, first_ms);

	first_ms = fed.asked_ms;
	answer_feed(TG_STORE_UNAVAILABLE);
	ck_assert_int_eq(tg_table_watch_answered_since_ms(watched), 0);
	answer_feed(TG_STORE_OK);
	ck_assert_int_lt(changed_after_ms, first_ms);
	ck_assert_int_gt(tg_table_watch_answered_since_ms(watched), first_ms);
	tg_table_watch_free(watched);
	event_base_free(site.base);
	free(last_from);
}
END_TEST

/* The answers of a scan of two pages and of the feed, by their versions. */
static int64_t versions[8];
static int n_answers;

static void answer_version(evutil_socket_t fd, short what, void *arg)
{
	struct pending *p = arg;
	struct tg_row row = { .table = "servers",
			      .part = "",
			      .key = "w1",
			      .value = "",
			      .version = 1 };
	struct tg_store_result r = { .end = TG_STORE_OK,
				     .version = versions[n_answers++] };

	(void)fd;
	(void)what;
	if (!r.version) {
		r.end = TG_STORE_HISTORY_GONE;
	} else if (p->first) {
		r.rows = &row;
		r.n_rows = 1;
		r.more = true;
	}
	p->done(&r, p->arg);
	free(p);
}

static void answer_later(tg_store_done done, void *arg, bool first)
{
	struct timeval now = { 0 };
	struct pending *p = tg_xcalloc(1, sizeof(*p));

	if (!versions[n_answers] && !versions[n_answers + 1]) {
		event_base_loopbreak(site.base);
		free(p);
		return;
	}
	p->done = done;
	p->arg = arg;
	p->first = first;
	event_base_once(site.base, -1, EV_TIMEOUT, answer_version, p, &now);
}

static void get_versioned(struct tg_port *port,
			  const struct tg_store_range *range,
			  tg_store_done done, void *arg)
{
	(void)port;
	answer_later(done, arg, !range->from);
}

static void feed_versioned(struct tg_port *port, const struct tg_store_feed *f,
			   tg_store_done done, void *arg)
{
	(void)port;
	(void)f;
	answer_later(done, arg, false);
}

/*
 * Guards against forgetting a deletion too early: a later page of a scan is
 * newer than what the feed goes on from.
 */
START_TEST(changes_are_settled_up_to_the_start_of_a_scan)
{
	static const struct tg_port_ops ops = { .get = get_versioned,
						.feed = feed_versioned };
	/* A version 0 stands for a feed whose changes the store has dropped. */
	static const struct {
		int64_t versions[8], settled;
	} cases[] = {
		{ { 5 }, 5 },
		{ { 5, 9 }, 5 },
		{ { 5, 9, 12 }, 12 },
		{ { 5, 9, 12, 0, 20 }, 20 },
		{ { 5, 9, 12, 0, 20, 25 }, 20 },
	};
	struct tg_table_watch_opts o = {
		.site = &site,
		.table = "servers",
		.on_row = on_row,
	};
	struct tg_table_watch *w;

	memcpy(versions, cases[_i].versions, sizeof(versions));
	site.ops = &ops;
	site.base = event_base_new();
	w = tg_table_watch_new(&o);
	ck_assert_int_eq(tg_table_watch_settled_version(w), 0);
	event_base_dispatch(site.base);
	ck_assert_int_eq(tg_table_watch_settled_version(w), cases[_i].settled);
	tg_table_watch_free(w);
	event_base_free(site.base);
}
END_TEST

START_TEST(notice_tells_the_version_of_the_row)
{
	static const char row[] =
		"{\"id\":\"j1\",\"queue\":\"q\",\"workspace\":\"w\","
		"\"accepted_wall_ms\":7,"
		"\"spec\":{\"steps\":[{\"tasks\":1}]}}";
	char *notice = tg_job_notice_encode(row, 42);
	struct tg_job_row got;

	ck_assert_int_eq(tg_job_row_decode(notice, strlen(notice), &got), 0);
	ck_assert_int_eq(got.row_version, 42);
	tg_job_row_clear(&got);
	free(notice);
	/* Older queue daemons don't tell it. */
	ck_assert_int_eq(tg_job_row_decode(row, strlen(row), &got), 0);
	ck_assert_int_eq(got.row_version, 0);
	tg_job_row_clear(&got);
}
END_TEST

/*
 * Names of queues and workspaces were cut after 63 bytes.  A row of a name that
 * was cut within a character could not be encoded.
 */
START_TEST(job_row_keeps_long_names)
{
	char name[200 + sizeof("\u00e9")];
	struct flow_step step = { .tasks = 1 };
	struct flow_spec spec = { .text = "", .n_steps = 1, .steps = &step };
	struct tg_job_row row = { .id = "00000000000000a1", .spec = &spec };
	struct tg_job_row got;
	size_t n;
	char *text;

	row.queue = row.workspace = name;
	for (n = 50; n <= 200; n++) {
		memset(name, 'n', n);
		memcpy(name + n, "\u00e9", sizeof("\u00e9"));
		text = tg_job_row_encode(&row);
		ck_assert_ptr_nonnull(text);
		ck_assert_int_eq(tg_job_row_decode(text, strlen(text), &got),
				 0);
		ck_assert_str_eq(got.queue, name);
		ck_assert_str_eq(got.workspace, name);
		tg_job_row_clear(&got);
		free(text);
	}
}
END_TEST

/* Such a text can't come from the document; it must not end the process. */
START_TEST(job_row_of_invalid_text_is_refused)
{
	char name[] = "\xc3";
	struct flow_step step = { .tasks = 1 };
	struct flow_spec spec = { .text = "", .n_steps = 1, .steps = &step };
	struct tg_job_row row = { .id = "00000000000000a1",
				  .queue = name,
				  .workspace = name,
				  .spec = &spec };

	ck_assert_ptr_null(tg_job_row_encode(&row));
}
END_TEST

/*
 * The lists of silent workers filled 16 KiB, so that the store refused the
 * owner's row where a row holds no more than that.
 */
START_TEST(owner_row_fits_with_many_silent_workers)
{
	static const int64_t limits[] = { 1024, 4096, 16384, 65536 };
	struct tg_owner_row r = { .fence = UINT32_MAX,
				  .term = UINT32_MAX,
				  .seq = INT64_MAX,
				  .other_leases_clock_ms = INT64_MAX };
	struct tg_silent_worker s = { .boot_ms = INT64_MAX };
	struct tg_former_owner o = { .addr = "" };
	char worker[TG_NAME_MAX + 1], long_leases[TG_LONG_LEASES_SIZE], *text;
	int n = 0, i;

	memset(r.holder, 'h', TG_KEY_MAX);
	memset(r.addr, 'a', TG_ADDR_MAX);
	memset(r.boot, 'b', TG_TOKEN_LEN);
	memset(o.addr, 'a', TG_ADDR_MAX);
	memset(o.boot, 'b', TG_TOKEN_LEN);
	/* A row of 1 KB has no room for all their names. */
	for (i = 0; limits[_i] > 1024 && i < TG_FORMER_OWNERS_MAX; i++)
		tg_owner_row_add_former(&r, &o);
	memset(s.addr, '1', TG_ADDR_MAX);
	do
		snprintf(worker, sizeof(worker), "%060d", n++);
	while (tg_owner_row_add_silent(&r, worker, &s, limits[_i]));
	while (n++ < 400)
		tg_owner_row_add_silent(&r, worker, &s, limits[_i]);
	while (strcmp(r.long_leases, "*") != 0) {
		tg_strlcpy(long_leases, r.long_leases, sizeof(long_leases));
		snprintf(worker, sizeof(worker), "%060d", n++);
		tg_owner_row_add_long_lease(&r, worker, limits[_i]);
	}
	tg_strlcpy(r.long_leases, long_leases, sizeof(r.long_leases));
	text = tg_owner_row_encode(&r);
	ck_assert_uint_le(strlen(text), (size_t)limits[_i]);
	free(text);
}
END_TEST

static struct tg_owner_row decode_owner_row(char *text)
{
	struct tg_row row = { .value = text, .value_bytes = strlen(text) };
	struct tg_owner_row r;

	ck_assert_int_eq(tg_owner_row_decode(&row, &r), 0);
	return r;
}

/* Guards against a token that has been raised being taken for a later term. */
START_TEST(raised_token_leaves_the_term)
{
	struct tg_owner_row r = { .fence = 9, .term = 7 };
	char *text = tg_owner_row_encode(&r);

	r = decode_owner_row(text);
	ck_assert_uint_eq(r.fence, 9);
	ck_assert_uint_eq(r.term, 7);
	free(text);
}
END_TEST

START_TEST(token_of_an_older_version_is_that_of_its_claim)
{
	char text[] = "{\"holder\":\"i1\",\"addr\":\"127.0.0.1:1\","
		      "\"boot\":\"b\",\"fence\":7,\"seq\":3,"
		      "\"silent\":\"\",\"released\":false}";
	struct tg_owner_row r = decode_owner_row(text);

	ck_assert_uint_eq(r.fence, 7);
	ck_assert_uint_eq(r.term, 7);
}
END_TEST
static struct tg_owner_row store_owner_row(const struct tg_owner_row *r)
{
	char *text = tg_owner_row_encode(r);
	struct tg_owner_row got = decode_owner_row(text);

	free(text);
	return got;
}

/*
 * Guards against a third owner that doesn't ask the first one whether it has
 * ended, since the row told only that it wasn't known (review/12).
 */
START_TEST(former_owners_are_named_or_not_known)
{
	struct tg_former_owner o = { "127.0.0.1:7000", "boot-1" };
	struct tg_former_owner got[TG_FORMER_OWNERS_MAX];
	struct tg_owner_row r = { .holder = "i1" }, stored;
	int i;

	stored = store_owner_row(&r);
	ck_assert_int_eq(tg_owner_row_formers(&stored, got), 0);
	for (i = 1; i <= TG_FORMER_OWNERS_MAX; i++) {
		snprintf(o.boot, sizeof(o.boot), "boot-%d", i);
		tg_owner_row_add_former(&r, &o);
		stored = store_owner_row(&r);
		ck_assert_int_eq(tg_owner_row_formers(&stored, got), i);
		ck_assert_str_eq(got[i - 1].boot, o.boot);
		ck_assert_str_eq(got[i - 1].addr, o.addr);
	}
	/* Owners that are killed every 0.4 s while the first may renew. */
	ck_assert_int_gt(i, 10000 / 400);
	for (i = 0; i < 10; i++)
		tg_owner_row_add_former(&r, &o);
	stored = store_owner_row(&r);
	ck_assert_int_eq(tg_owner_row_formers(&stored, got), -1);
	tg_strlcpy(r.former, ",no address,", sizeof(r.former));
	ck_assert_int_eq(tg_owner_row_formers(&r, got), -1);
}
END_TEST

START_TEST(draining_workers_are_listed)
{
	const struct tg_worker_exit x = { "127.0.0.1:9", 5, 6000, 4000, 12 };
	struct tg_owner_row r = { .holder = "i1", .exits_clock_ms = 4500 };
	struct tg_worker_exit got;
	int i;

	for (i = 0; i < 1000; i++)
		tg_owner_row_add_exit(&r, i ? "w" : "w1", &x, 65536);
	r = store_owner_row(&r);
	ck_assert(tg_owner_row_find_exit(&r, "w1", &got));
	ck_assert_str_eq(got.addr, x.addr);
	ck_assert_int_eq(got.boot_ms, 5);
	ck_assert_int_eq(got.exit_clock_ms, 6000);
	ck_assert_int_eq(got.written_clock_ms, 4000);
	ck_assert_int_eq(got.version, 12);
	ck_assert_int_eq(r.exits_clock_ms, 4500);
	ck_assert(!tg_owner_row_find_exit(&r, "w2", &got));
}
END_TEST

/* Guards against a new owner that takes a long lease for expired. */
START_TEST(long_leases_are_listed_or_any_worker_may_hold_one)
{
	char older[] = "{\"holder\":\"i1\",\"addr\":\"127.0.0.1:1\","
		       "\"boot\":\"b\",\"fence\":7,\"seq\":3,"
		       "\"silent\":\"\",\"released\":false}";
	struct tg_owner_row r = { .fence = 9 }, got;
	char *text, worker[16];
	int i;

	got = decode_owner_row(older);
	ck_assert(tg_owner_row_has_long_lease(&got, "w1"));
	for (i = 0; i < 2; i++) {
		tg_owner_row_add_long_lease(&r, "w1", 65536);
		tg_owner_row_add_long_lease(&r, "w22", 65536);
	}
	text = tg_owner_row_encode(&r);
	got = decode_owner_row(text);
	free(text);
	ck_assert_str_eq(got.long_leases, ",w1,w22,");
	ck_assert(tg_owner_row_has_long_lease(&got, "w22"));
	ck_assert(!tg_owner_row_has_long_lease(&got, "w2"));
	for (i = 0; i < 400; i++) {
		snprintf(worker, sizeof(worker), "w%d", 1000 + i);
		tg_owner_row_add_long_lease(&r, worker, 65536);
	}
	text = tg_owner_row_encode(&r);
	got = decode_owner_row(text);
	free(text);
	ck_assert(tg_owner_row_has_long_lease(&got, "w1399"));
	ck_assert(tg_owner_row_has_long_lease(&got, "w2"));
}
END_TEST

/* Guards against an older version that takes a long lease for ended. */
START_TEST(older_versions_read_a_time_for_others_as_any_worker)
{
	struct tg_owner_row r = { .long_leases = ",w1,",
				  .other_leases_clock_ms = 5 };
	struct tg_owner_row got = { .fence = 9 };
	char *text = tg_owner_row_encode(&r);

	ck_assert_ptr_nonnull(strstr(text, "\"long_leases\":\"*\""));
	free(text);
	tg_owner_row_copy_workers(&got, &r);
	got = store_owner_row(&got);
	ck_assert_int_eq(got.other_leases_clock_ms, 5);
	ck_assert_str_eq(got.long_leases, ",w1,");
}
END_TEST

int main(void)
{
	Suite *s = suite_create("site");
	TCase *t = tcase_create("follow");

	tcase_add_test(t, scan_goes_on_behind_a_long_key);
	tcase_add_test(t, row_may_be_as_old_as_the_call_before);
	tcase_add_loop_test(t, changes_are_settled_up_to_the_start_of_a_scan, 0,
			    5);
	suite_add_tcase(s, t);
	t = tcase_create("rows");
	tcase_add_test(t, notice_tells_the_version_of_the_row);
	tcase_add_test(t, job_row_keeps_long_names);
	tcase_add_test(t, job_row_of_invalid_text_is_refused);
	tcase_add_loop_test(t, owner_row_fits_with_many_silent_workers, 0, 4);
	tcase_add_test(t, raised_token_leaves_the_term);
	tcase_add_test(t, token_of_an_older_version_is_that_of_its_claim);
	tcase_add_test(t, former_owners_are_named_or_not_known);
	tcase_add_test(t, draining_workers_are_listed);
	tcase_add_test(t, long_leases_are_listed_or_any_worker_may_hold_one);
	tcase_add_test(t, older_versions_read_a_time_for_others_as_any_worker);
	suite_add_tcase(s, t);
	return run_suite(s);
}
