#include <fcntl.h>
#include <stdlib.h>
#include <string.h>
#include <sys/syscall.h>
#include <time.h>
#include <unistd.h>

#include "base/base.h"
#include "../run.h"

/* Time for which the machine was suspended, in this process's view. */
static int64_t suspended_s;

/* In place of the C library's. */
int clock_gettime(clockid_t id, struct timespec *ts)
{
	int r = (int)syscall(SYS_clock_gettime, id, ts);

	if (id == CLOCK_BOOTTIME || id == CLOCK_REALTIME)
		ts->tv_sec += suspended_s;
	return r;
}

/*
 * On a clock that stands still while the machine is suspended, the owner's
 * permission lasted for as much longer than the others thought.
 */
START_TEST(clock_counts_suspended_time)
{
	int64_t before_ms = tg_now_ms();

	suspended_s = 30;
	ck_assert_int_ge(tg_now_ms() - before_ms, 30000);
	suspended_s = 0;
}
END_TEST

/* A misparsed expiry time would end a guarantee too early or too late. */
START_TEST(utc_timestamps)
{
	static const struct {
		const char *text;
		int64_t ms;
		int ok;
	} cases[] = {
		{ "1970-01-01T00:00:00Z", 0, 1 },
		{ "2026-12-06T21:00:00Z", 1796590800000, 1 },
		{ "2028-02-29T23:59:59Z", 1835481599000, 1 },
		{ "2026-02-31T00:00:00Z", 0, 0 },
		{ "2026-12-06T21:00:00", 0, 0 },
		{ "2026-12-06T21:00:00+01:00", 0, 0 },
		{ "", 0, 0 },
	};
	char formatted[32];
	int64_t ms;
	size_t i;

	for (i = 0; i < ARRAY_SIZE(cases); i++) {
		int r = tg_parse_utc(cases[i].text, &ms);

		ck_assert_msg((r == 0) == cases[i].ok, "%s", cases[i].text);
		if (r)
			continue;
		ck_assert_int_eq(ms, cases[i].ms);
		tg_format_utc(ms, formatted, sizeof(formatted));
		ck_assert_str_eq(formatted, cases[i].text);
	}
}
END_TEST

/* Names are used in table keys and metric labels without quoting. */
START_TEST(names_and_addresses)
{
	char max[TG_NAME_MAX + 2];

	memset(max, 'a', sizeof(max));
	max[TG_NAME_MAX] = '\0';
	ck_assert(tg_name_valid(max));
	max[TG_NAME_MAX] = 'a';
	max[TG_NAME_MAX + 1] = '\0';
	ck_assert(!tg_name_valid(max));
	ck_assert(tg_name_valid("w-17"));
	ck_assert(!tg_name_valid("-a"));
	ck_assert(!tg_name_valid(""));
	ck_assert(!tg_name_valid("A"));
	ck_assert(!tg_name_valid("a/b"));
	ck_assert(tg_addr_valid("127.0.0.1:0"));
	ck_assert(tg_addr_valid("[::1]:80"));
	ck_assert(!tg_addr_valid("127.0.0.1"));
	ck_assert(!tg_addr_valid("127.0.0.1:65536"));
	ck_assert(!tg_addr_valid("127.0.0.1:-1"));
	ck_assert(!tg_addr_valid("localhost:80"));
	ck_assert(!tg_addr_valid("[::1:80"));
}
END_TEST

/* Quantiles must be at most 1/16 above the exact value at all magnitudes. */
START_TEST(histogram_error_is_bounded)
{
	uint64_t v;

	for (v = 1; v < (1ULL << 39); v = v * 3 + 1) {
		struct tg_hist *h = tg_xcalloc(1, sizeof(*h));
		uint64_t q;

		tg_hist_add(h, v);
		tg_hist_add(h, v * 2);
		q = tg_hist_quantile(h, 0);
		ck_assert_uint_ge(q, v);
		ck_assert_uint_le(q, v + v / 16);
		ck_assert_uint_eq(tg_hist_quantile(h, 1), v * 2);
		free(h);
	}
}
END_TEST

struct opts {
	const char *addr;
	const char *name;
	int64_t n;
	bool flag;
};

static const struct tg_setting items[] = {
	{ "addr", TG_SET_ADDR, NULL, 0, 0, true, "address",
	  offsetof(struct opts, addr) },
	{ "name", TG_SET_NAME, "x", 0, 0, false, "name",
	  offsetof(struct opts, name) },
	{ "n", TG_SET_INT, "5", 1, 10, false, "number",
	  offsetof(struct opts, n) },
	{ "flag", TG_SET_BOOL, NULL, 0, 0, false, "flag",
	  offsetof(struct opts, flag) },
	{ 0 },
};

static const struct tg_settings_spec spec = { "t", "test", items, NULL, 0, 0 };

/* Flags take precedence over the environment, and that over defaults. */
START_TEST(settings_precedence)
{
	char *argv[] = { "t", "--addr", "127.0.0.1:1", "--flag", NULL };
	struct opts o = { 0 };

	setenv("TG_ADDR", "127.0.0.1:2", 1);
	setenv("TG_N", "7", 1);
	ck_assert_int_eq(tg_settings_load(&spec, 4, argv, &o, NULL),
			 TG_SETTINGS_OK);
	ck_assert_str_eq(o.addr, "127.0.0.1:1");
	ck_assert_int_eq(o.n, 7);
	ck_assert_str_eq(o.name, "x");
	ck_assert(o.flag);
}
END_TEST

/* A flag that was not given read as true from an uninitialized struct. */
START_TEST(setting_without_value_is_cleared)
{
	char *argv[] = { "t", "--addr", "127.0.0.1:1", NULL };
	struct opts o;

	memset(&o, 0xff, sizeof(o));
	ck_assert_int_eq(tg_settings_load(&spec, 3, argv, &o, NULL),
			 TG_SETTINGS_OK);
	ck_assert(!o.flag);
}
END_TEST

/* Several invalid settings must all be reported in one run. */
START_TEST(settings_report_all_findings)
{
	char *argv[] = { "t", "--n", "11", "--name", "Bad", NULL };
	char text[1024] = "";
	struct opts o = { 0 };
	FILE *saved = stderr;

	stderr = fmemopen(text, sizeof(text), "w");
	ck_assert_int_eq(tg_settings_load(&spec, 5, argv, &o, NULL),
			 TG_SETTINGS_INVALID);
	fclose(stderr);
	stderr = saved;
	ck_assert_ptr_nonnull(strstr(text, "--addr: required (or TG_ADDR)"));
	ck_assert_ptr_nonnull(strstr(text, "--n: 11 is not within 1..10"));
	ck_assert_ptr_nonnull(strstr(text, "--name: \"Bad\""));
}
END_TEST

/* Label values from user input must not grow memory without bound. */
START_TEST(metric_series_are_bounded)
{
	struct tg_counter *overflow = NULL, *c;
	char labels[32];
	int i;

	for (i = 0; i < TG_SERIES_MAX + 100; i++) {
		snprintf(labels, sizeof(labels), "k=\"%d\"", i);
		c = tg_counter("many", "Many series.", labels);
		if (i >= TG_SERIES_MAX)
			ck_assert(!overflow || overflow == c);
		if (i >= TG_SERIES_MAX)
			overflow = c;
	}
	ck_assert_ptr_nonnull(overflow);
}
END_TEST

/*
 * Two series whose names share their first 320 bytes were one, and a name with
 * a quote or a line break made the page unreadable.
 */
START_TEST(metric_labels_may_be_any_text)
{
	char name[1002];
	struct evbuffer *page = evbuffer_new();
	char *a, *b, *odd = tg_metric_label("k", "a\"b\\c\nd\u00e9");

	memset(name, 'n', sizeof(name) - 2);
	strncpy(name + sizeof(name) - 2, "a", 2);
	a = tg_metric_label("k", name);
	strncpy(name + sizeof(name) - 2, "b", 2);
	b = tg_metric_label("k", name);
	tg_gauge("long", "Long names.", a)->value = 1;
	tg_gauge("long", "Long names.", b)->value = 2;
	ck_assert_int_eq(tg_gauge("long", "Long names.", a)->value, 1);
	ck_assert_str_eq(odd, "k=\"a\\\"b\\\\c\\nd\u00e9\"");
	tg_metrics_write(page);
	ck_assert_int_ge(evbuffer_search(page, a, strlen(a), NULL).pos, 0);
	ck_assert_int_ge(evbuffer_search(page, b, strlen(b), NULL).pos, 0);
	evbuffer_free(page);
	free(a);
	free(b);
	free(odd);
}
END_TEST

/* A text that is cut within a character can't be encoded as JSON. */
START_TEST(cut_text_ends_with_a_whole_character)
{
	static const char *const texts[] = { "", "ab", "a\u00e9", "a\u20ac",
					     "a\U0001d11e" };
	char cut[16];
	size_t i, n;

	for (i = 0; i < ARRAY_SIZE(texts); i++)
		for (n = 0; n <= strlen(texts[i]); n++) {
			snprintf(cut, sizeof(cut), "%.*s", (int)n, texts[i]);
			tg_utf8_trim(cut);
			if (n == strlen(texts[i]) || n < 2)
				ck_assert_uint_eq(strlen(cut), n);
			else
				ck_assert_str_eq(cut, "a");
		}
}
END_TEST

/* If a node is removed, only the keys that it owned may change owner. */
START_TEST(rendezvous_moves_only_lost_keys)
{
	static const char *const nodes[] = { "a", "b", "c", "d" };
	int i, n, moved = 0;

	for (i = 0; i < 1000; i++) {
		int best = 0, best_without_d = 0;
		char key[16];

		snprintf(key, sizeof(key), "k%d", i);
		for (n = 1; n < 4; n++) {
			if (tg_rendezvous_weight(nodes[n], key) >
			    tg_rendezvous_weight(nodes[best], key))
				best = n;
			if (n < 3 &&
			    tg_rendezvous_weight(nodes[n], key) >
				    tg_rendezvous_weight(nodes[best_without_d],
							 key))
				best_without_d = n;
		}
		if (best != best_without_d) {
			ck_assert_int_eq(best, 3);
			moved++;
		}
	}
	ck_assert_int_gt(moved, 150);
	ck_assert_int_lt(moved, 350);
}
END_TEST

static int count_lines(int fd)
{
	char buf[65536];
	ssize_t n;
	int lines = 0;

	while ((n = read(fd, buf, sizeof(buf))) > 0)
		while (n-- > 0)
			lines += buf[n] == '\n';
	return lines;
}

/* A burst of one event must be rate-limited; a full pipe must not block. */
START_TEST(logging_is_bounded)
{
	struct tg_counter *rate =
		tg_counter("tg_log_dropped_total", "", "why=\"rate\"");
	struct tg_counter *blocked =
		tg_counter("tg_log_dropped_total", "", "why=\"blocked\"");
	char fill[4096] = "";
	int fds[2], i;

	ck_assert_int_eq(pipe2(fds, O_NONBLOCK), 0);
	tg_log_open("test", "info");
	tg_log_set_fd(fds[1]);
	for (i = 0; i < 3 * TG_LOG_LINES_PER_S; i++)
		tg_log(EV_STARTED, "i=%d", i);
	/* A new second, with a new limit, may have begun once meanwhile. */
	i = count_lines(fds[0]);
	ck_assert_int_ge(i, TG_LOG_LINES_PER_S);
	ck_assert_int_le(i, 2 * TG_LOG_LINES_PER_S + 1);
	ck_assert_int_ge((int)rate->value, TG_LOG_LINES_PER_S - 1);
	while (write(fds[1], fill, sizeof(fill)) > 0)
		;
	tg_log(EV_DRAINED, "after_ms=%d", 0);
	ck_assert_int_eq((int)blocked->value, 1);
	tg_log_set_fd(STDERR_FILENO);
	close(fds[0]);
	close(fds[1]);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("base");
	TCase *t = tcase_create("base");

	tcase_add_test(t, clock_counts_suspended_time);
	tcase_add_test(t, utc_timestamps);
	tcase_add_test(t, names_and_addresses);
	tcase_add_test(t, histogram_error_is_bounded);
	tcase_add_test(t, settings_precedence);
	tcase_add_test(t, setting_without_value_is_cleared);
	tcase_add_test(t, settings_report_all_findings);
	tcase_add_test(t, metric_series_are_bounded);
	tcase_add_test(t, metric_labels_may_be_any_text);
	tcase_add_test(t, cut_text_ends_with_a_whole_character);
	tcase_add_test(t, rendezvous_moves_only_lost_keys);
	tcase_add_test(t, logging_is_bounded);
	suite_add_tcase(s, t);
	return run_suite(s);
}
