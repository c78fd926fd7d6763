#include <event2/event.h>
#include <stdlib.h>
#include <string.h>

#include "../run.h"
#include "site/evacuations.h"

/*
 * The list of evacuated AZs against a store that answers as each test says, on
 * a clock that the test advances.
 */

#define BOUND_MS 5000

static struct tg_site site;
static struct tg_evacuations *list;
static int64_t now_ms;
static int n_gets, n_changes;

/* The call that the store has not answered. */
static struct {
	tg_store_done done;
	void *arg;
	char from[64], to[64];
} waiting;

/* The linker puts it in the place of tg_now_ms(). */
int64_t fake_now_ms(void) __asm__("__wrap_tg_now_ms");

int64_t fake_now_ms(void)
{
	return now_ms;
}

static void get(struct tg_port *port, const struct tg_store_range *r,
		tg_store_done done, void *arg)
{
	(void)port;
	n_gets++;
	waiting.done = done;
	waiting.arg = arg;
	tg_strlcpy(waiting.from, r->from, sizeof(waiting.from));
	tg_strlcpy(waiting.to, r->to, sizeof(waiting.to));
}

static const struct tg_port_ops port_ops = {
	.get = get,
	.document_table = "op",
	.evacuation_prefix = "evacuate/",
};

static void on_change(void *arg)
{
	(void)arg;
	n_changes++;
}

static void setup(void)
{
	struct tg_evacuations_opts o = {
		.site = &site,
		.bound_ms = BOUND_MS,
		.on_change = on_change,
	};

	tg_log_register(tg_site_events);
	now_ms = 100000;
	n_gets = n_changes = 0;
	site.ops = &port_ops;
	site.base = event_base_new();
	list = tg_evacuations_new(&o);
}

static void teardown(void)
{
	tg_evacuations_free(list);
	event_base_free(site.base);
}

/* Runs the loop until the store is called again. */
static void await_get(void)
{
	int n = n_gets;

	while (n_gets == n)
		event_base_loop(site.base, EVLOOP_ONCE);
}

static void answer(const char *const *keys, size_t n, bool more)
{
	struct tg_row rows[4] = { { .table = "op" } };
	struct tg_store_result r = {
		.end = TG_STORE_OK, .rows = rows, .n_rows = n, .more = more
	};
	size_t i;

	for (i = 0; i < n; i++)
		rows[i] = (struct tg_row){ .table = "op",
					   .part = "",
					   .key = keys[i],
					   .value = "\xff",
					   .value_bytes = 1 };
	waiting.done(&r, waiting.arg);
}

static void refuse(void)
{
	const struct tg_store_result r = { .end = TG_STORE_UNAVAILABLE };

	waiting.done(&r, waiting.arg);
}

static void check_azs(const char *expected)
{
	const char *const *azs;
	size_t n = tg_evacuations_azs(list, &azs), i, at = 0;
	char text[256] = "";

	for (i = 0; i < n && at < sizeof(text); i++)
		at += (size_t)snprintf(text + at, sizeof(text) - at, "%s ",
				       azs[i]);
	ck_assert_str_eq(text, expected);
}

/* A new owner must not start anything before it has read the list. */
START_TEST(nothing_is_known_before_the_first_read)
{
	ck_assert(!tg_evacuations_are_current(list));
	await_get();
	ck_assert_str_eq(waiting.from, "evacuate/");
	ck_assert_str_eq(waiting.to, "evacuate0");
	ck_assert(!tg_evacuations_are_current(list));
	answer(NULL, 0, false);
	ck_assert(tg_evacuations_are_current(list));
	ck_assert_int_eq(n_changes, 1);
}
END_TEST

/* The value plays no part, so that a row that can't be read is in force. */
START_TEST(key_alone_names_the_az)
{
	static const char *const keys[] = { "evacuate/a", "evacuate/",
					    "evacuate/b" };

	await_get();
	answer(keys, 3, false);
	check_azs("a b ");
}
END_TEST

START_TEST(list_of_several_pages_is_read_to_its_end)
{
	static const char *const first[] = { "evacuate/a", "evacuate/b" };
	static const char *const second[] = { "evacuate/b", "evacuate/c" };

	await_get();
	answer(first, 2, true);
	ck_assert(!tg_evacuations_are_current(list));
	ck_assert_str_eq(waiting.from, "evacuate/b");
	answer(second, 2, false);
	check_azs("a b c ");
}
END_TEST

START_TEST(az_is_in_use_again_when_its_row_is_removed)
{
	static const char *const keys[] = { "evacuate/a" };

	await_get();
	answer(keys, 1, false);
	await_get();
	answer(NULL, 0, false);
	check_azs("");
	ck_assert_int_eq(n_changes, 2);
}
END_TEST

/*
 * An owner that the store refuses may act on its list only for as long as a
 * request that it doesn't know of isn't in force.
 */
START_TEST(list_ages_while_the_store_refuses)
{
	static const char *const keys[] = { "evacuate/a" };
	int64_t max_ms = tg_evacuations_max_age_ms(BOUND_MS);

	await_get();
	now_ms += 300; /* the answer takes this long */
	answer(keys, 1, false);
	await_get();
	now_ms += max_ms - 300;
	refuse();
	ck_assert(tg_evacuations_are_current(list));
	now_ms++;
	ck_assert(!tg_evacuations_are_current(list));
	check_azs("a ");
	await_get();
	answer(keys, 1, false);
	ck_assert(tg_evacuations_are_current(list));
	/* Who holds starts back goes on. */
	ck_assert_int_eq(n_changes, 2);
}
END_TEST

/* An order that is sent at the last moment needs time to arrive. */
START_TEST(age_leaves_time_for_the_order)
{
	int64_t bound_ms;

	for (bound_ms = 200; bound_ms <= 10000; bound_ms += 200)
		ck_assert(tg_evacuations_max_age_ms(bound_ms) < bound_ms);
	ck_assert_int_le(tg_evacuations_max_age_ms(5000), 4000);
}
END_TEST

/* The answer of a call that nobody waits for any more is dropped. */
START_TEST(late_answer_after_the_end_is_dropped)
{
	struct tg_evacuations_opts o = { .site = &site, .bound_ms = BOUND_MS };

	await_get();
	tg_evacuations_free(list);
	refuse();
	list = tg_evacuations_new(&o);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("evacuations");
	TCase *t = tcase_create("list");

	tcase_add_checked_fixture(t, setup, teardown);
	tcase_add_test(t, nothing_is_known_before_the_first_read);
	tcase_add_test(t, key_alone_names_the_az);
	tcase_add_test(t, list_of_several_pages_is_read_to_its_end);
	tcase_add_test(t, az_is_in_use_again_when_its_row_is_removed);
	tcase_add_test(t, list_ages_while_the_store_refuses);
	tcase_add_test(t, age_leaves_time_for_the_order);
	tcase_add_test(t, late_answer_after_the_end_is_dropped);
	suite_add_tcase(s, t);
	return run_suite(s);
}
