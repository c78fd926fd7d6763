#include <stdlib.h>
#include <string.h>

#include "../../../cmd/tgentryd/budget.h"
#include "../../../cmd/tgentryd/key.h"
#include "../../../cmd/tgentryd/limits.h"
#include "../../../cmd/tgentryd/queue.h"
#include "../../../cmd/tgentryd/route.h"
#include "../run.h"

struct test_item {
	struct queue_item item; /* first */
	char name;
};

static void push(struct queue *q, struct test_item *e, char name,
		 const char *workspace, uint32_t cost)
{
	memset(e, 0, sizeof(*e));
	e->name = name;
	e->item.cost = cost;
	queue_push(q, &e->item, workspace);
}

static void pop_all(struct queue *q, char *out)
{
	struct queue_item *item;

	while ((item = queue_pop(q)))
		*out++ = ((struct test_item *)item)->name;
	*out = '\0';
}

/*
 * Guards against a workspace with many or large requests delaying the others.
 */
START_TEST(queue_shares_by_cost)
{
	static const struct {
		const char *arrivals; /* workspace a, b or c */
		uint32_t cost_a, cost_b, cost_c;
		const char *order;
	} cases[] = {
		{ "", 1, 1, 1, "" },
		{ "aaa", 1, 1, 1, "012" },
		/* The quantum of 8 pays for one request of cost 8. */
		{ "aaab", 8, 8, 1, "0312" },
		{ "aaaabbbb", 4, 4, 1, "01452367" },
		/* b may send two requests of half the cost in each turn. */
		{ "aaabbbb", 8, 4, 1, "0341562" },
		/* A request of c costs two quanta and waits for the second. */
		{ "caabb", 8, 8, 16, "13024" },
	};
	struct test_item e[16];
	char got[17];
	size_t i, k;

	for (i = 0; i < ARRAY_SIZE(cases); i++) {
		struct queue q = { 0 };

		for (k = 0; cases[i].arrivals[k]; k++) {
			char ws[2] = { cases[i].arrivals[k], '\0' };
			uint32_t cost = *ws == 'a' ? cases[i].cost_a :
				*ws == 'b'	   ? cases[i].cost_b :
						     cases[i].cost_c;

			push(&q, &e[k], (char)('0' + k), ws, cost);
		}
		ck_assert_uint_eq(q.n, k);
		pop_all(&q, got);
		ck_assert_msg(!strcmp(got, cases[i].order), "case %zu: %s", i,
			      got);
		ck_assert_uint_eq(q.n, 0);
		ck_assert_ptr_null(q.flows);
	}
}
END_TEST

/*
 * Guards against a request that finds no worker with room losing its place, and
 * against its workspace being charged twice for it.
 */
START_TEST(queue_unpop_keeps_place_and_deficit)
{
	struct queue q = { 0 };
	struct test_item e[4];
	char got[8];
	int i;

	push(&q, &e[0], '0', "a", 8);
	push(&q, &e[1], '1', "a", 8);
	push(&q, &e[2], '2', "b", 8);
	for (i = 0; i < 5; i++) {
		struct queue_item *item = queue_pop(&q);

		ck_assert_ptr_eq(item, &e[0].item);
		queue_unpop(&q, item, "a");
		ck_assert_uint_eq(q.n, 3);
	}
	pop_all(&q, got);
	ck_assert_str_eq(got, "021");
}
END_TEST

START_TEST(queue_unpop_last_item)
{
	struct queue q = { 0 };
	struct test_item e[2];
	char got[8];

	push(&q, &e[0], '0', "a", 3);
	queue_unpop(&q, queue_pop(&q), "a");
	push(&q, &e[1], '1', "b", 1);
	ck_assert_uint_eq(q.n, 2);
	pop_all(&q, got);
	ck_assert_str_eq(got, "01");
}
END_TEST

/*
 * Guards against a request that ends while it is queued being freed but left in
 * the queue.
 */
START_TEST(queue_remove_anywhere)
{
	struct test_item e[5];
	char got[8];
	int removed;

	for (removed = 0; removed < 5; removed++) {
		struct queue q = { 0 };
		char want[8] = "", *p = want;
		int i;

		for (i = 0; i < 5; i++) {
			push(&q, &e[i], (char)('0' + i), i < 3 ? "a" : "b", 1);
			if (i != removed)
				*p++ = (char)('0' + i);
		}
		queue_remove(&q, &e[removed].item);
		pop_all(&q, got);
		ck_assert_str_eq(got, want);
	}
}
END_TEST

START_TEST(queue_cost_by_body_size)
{
	ck_assert_uint_eq(queue_cost(0), 1);
	ck_assert_uint_eq(queue_cost(QUEUE_COST_BYTES - 1), 1);
	ck_assert_uint_eq(queue_cost(QUEUE_COST_BYTES), 2);
	ck_assert_uint_eq(queue_cost(48 * QUEUE_COST_BYTES), 49);
}
END_TEST

/*
 * Guards against a rate below one request per second that admits nothing, and
 * against a pause that is followed by a burst beyond the rate.
 */
START_TEST(rate_limit)
{
	static const struct {
		double rate;
		int64_t gap_ms;
		int requested, admitted;
	} cases[] = {
		{ 0, 0, 100, 100 },  { 10, 0, 100, 10 }, { 10, 100, 50, 50 },
		{ 10, 50, 41, 30 },  { 0.5, 0, 10, 1 },	 { 0.5, 1000, 10, 5 },
		{ 2, 100000, 5, 5 },
	};
	size_t i;

	for (i = 0; i < ARRAY_SIZE(cases); i++) {
		struct bucket b = { 0 };
		int64_t now_ms = 1000;
		int k, n = 0;

		for (k = 0; k < cases[i].requested; k++) {
			n += bucket_take(&b, cases[i].rate, now_ms);
			now_ms += cases[i].gap_ms;
		}
		ck_assert_msg(n == cases[i].admitted, "case %zu: %d", i, n);
	}
}
END_TEST

/* After a long pause there are tokens for one second and no more. */
START_TEST(rate_limit_caps_unused_tokens)
{
	struct bucket b = { 0 };
	int i, n = 0;

	ck_assert(bucket_take(&b, 5, 1));
	for (i = 0; i < 100; i++)
		n += bucket_take(&b, 5, 3600000);
	ck_assert_int_eq(n, 5);
}
END_TEST

START_TEST(limit_share_per_instance)
{
	static const struct {
		int32_t limit;
		size_t entries;
		int32_t share;
	} cases[] = {
		{ 0, 3, 0 }, { 64, 1, 64 }, { 64, 3, 22 },
		{ 2, 9, 1 }, { 64, 0, 64 }, { INT32_MAX, 2, 1073741824 },
	};
	size_t i;

	for (i = 0; i < ARRAY_SIZE(cases); i++)
		ck_assert_int_eq(limits_share(cases[i].limit, cases[i].entries),
				 cases[i].share);
}
END_TEST

/*
 * Guards against unbounded retries, which multiply the load on backend servers
 * that fail.
 */
START_TEST(retry_budget_limits)
{
	struct budget b;
	int i, n = 0;

	budget_init(&b);
	for (i = 0; i < 100; i++)
		n += budget_withdraw(&b);
	ck_assert_int_eq(n, BUDGET_BURST);
	for (i = 0; i < 9; i++)
		budget_deposit(&b);
	ck_assert(!budget_withdraw(&b));
	budget_deposit(&b);
	ck_assert(budget_withdraw(&b));
	ck_assert(!budget_withdraw(&b));
	for (i = 0, n = 0; i < 100000; i++)
		budget_deposit(&b);
	for (i = 0; i < 100; i++)
		n += budget_withdraw(&b);
	ck_assert_int_eq(n, BUDGET_BURST);
}
END_TEST

/* Guards against a cap that leaves slots unused or overloads the worker. */
START_TEST(request_cap)
{
	static const struct {
		uint32_t slots;
		size_t entries;
		uint32_t cap;
	} cases[] = {
		{ 8, 1, 8 }, { 8, 2, 5 }, { 8, 3, 4 }, { 8, 8, 2 },
		{ 8, 9, 2 }, { 1, 9, 1 }, { 0, 3, 0 }, { 8, 0, 8 },
	};
	size_t i;

	for (i = 0; i < ARRAY_SIZE(cases); i++)
		ck_assert_uint_eq(route_cap(cases[i].slots, cases[i].entries),
				  cases[i].cap);
}
END_TEST

/*
 * Counts in counts[1 + i] how often candidate i of up to four is chosen, and in
 * counts[0] how often none is.
 */
static void count_choices(const struct route_candidate *c, size_t n,
			  int *counts)
{
	struct tg_rng rng = { 42 };
	int i;

	memset(counts, 0, 5 * sizeof(*counts));
	for (i = 0; i < 4000; i++)
		counts[1 + route_choose(c, n, &rng)]++;
}

START_TEST(choose_less_loaded)
{
	struct route_candidate c[4] = { 0 };
	int counts[5], *chosen = counts + 1;
	size_t i;

	count_choices(c, 0, counts);
	ck_assert_int_eq(counts[0], 4000);
	for (i = 0; i < 4; i++)
		c[i] = (struct route_candidate){ 3, 8, 0, 5 };
	/* With equal load each gets about a quarter. */
	count_choices(c, 4, counts);
	for (i = 0; i < 4; i++)
		ck_assert_msg(chosen[i] > 800 && chosen[i] < 1200, "%d",
			      chosen[i]);
	/* The most loaded one is never the less loaded of two. */
	c[2].load = 7;
	count_choices(c, 4, counts);
	ck_assert_int_eq(chosen[2], 0);
	/*
	 * The least loaded one is chosen from each pair that has it: half of
	 * them.
	 */
	c[1].load = 0;
	count_choices(c, 4, counts);
	ck_assert_msg(chosen[1] > 1800 && chosen[1] < 2200, "%d", chosen[1]);
	/*
	 * A candidate at its cap is never chosen; none is once all are at
	 * theirs.
	 */
	c[1].in_flight = 5;
	count_choices(c, 4, counts);
	ck_assert_int_eq(chosen[1], 0);
	ck_assert_int_eq(counts[0], 0);
	for (i = 0; i < 4; i++)
		c[i].in_flight = c[i].cap;
	count_choices(c, 4, counts);
	ck_assert_int_eq(counts[0], 4000);
}
END_TEST

/*
 * Guards against comparing slots in use without regard to the number of slots.
 */
START_TEST(choose_compares_load_per_slot)
{
	struct route_candidate c[2] = { { 4, 8, 0, 8 }, { 5, 16, 0, 16 } };
	int counts[5];

	count_choices(c, 2, counts);
	ck_assert_int_eq(counts[1 + 1], 4000);
}
END_TEST

#define LONG_64 \
	"aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"

/*
 * Guards against two spellings of one key, with which a request would run
 * twice.
 */
START_TEST(key_spelling)
{
	static const struct {
		const char *text;
		enum key_kind kind;
	} cases[] = {
		{ NULL, KEY_NONE },
		{ "", KEY_INVALID },
		{ "a", KEY_CALLER },
		{ "A.b_c-9", KEY_CALLER },
		{ "a/b", KEY_INVALID },
		{ "a b", KEY_INVALID },
		{ "a\n", KEY_INVALID },
		{ "\xc3\xa4", KEY_INVALID },
		{ LONG_64 LONG_64, KEY_CALLER },
		{ LONG_64 LONG_64 "a", KEY_INVALID },
		{ "tgk1", KEY_CALLER },
		{ "tgk1.", KEY_INVALID },
		{ "tgk1.a.e-1.b0.1", KEY_ISSUED },
		{ "tgk1.a.e-1.b0.18446744073709551615", KEY_ISSUED },
		{ "tgk1.a.e-1.b0.18446744073709551616", KEY_INVALID },
		{ "tgk1.a.e-1.b0.01", KEY_INVALID },
		{ "tgk1.a.e-1.b0.-1", KEY_INVALID },
		{ "tgk1.a.e-1.b0.1.2", KEY_INVALID },
		{ "tgk1.a.e-1.b0.", KEY_INVALID },
		{ "tgk1.a.e-1.1", KEY_INVALID },
		{ "tgk1..e-1.b0.1", KEY_INVALID },
		{ "tgk1.A.e-1.b0.1", KEY_INVALID },
		{ "tgk1." LONG_64 ".e-1.b0.1", KEY_INVALID },
	};
	struct issued_key k;
	char text[KEY_MAX + 1];
	size_t i;

	for (i = 0; i < ARRAY_SIZE(cases); i++) {
		ck_assert_msg(key_parse(cases[i].text, &k) == cases[i].kind,
			      "%s", cases[i].text);
		if (cases[i].kind != KEY_ISSUED)
			continue;
		ck_assert(key_format(&k, text, sizeof(text)));
		ck_assert_str_eq(text, cases[i].text);
	}
	ck_assert(!key_format(&k, text, 8));
}
END_TEST

int main(void)
{
	Suite *s = suite_create("entry");
	TCase *t = tcase_create("entry");

	tcase_add_test(t, queue_shares_by_cost);
	tcase_add_test(t, queue_unpop_keeps_place_and_deficit);
	tcase_add_test(t, queue_unpop_last_item);
	tcase_add_test(t, queue_remove_anywhere);
	tcase_add_test(t, queue_cost_by_body_size);
	tcase_add_test(t, rate_limit);
	tcase_add_test(t, rate_limit_caps_unused_tokens);
	tcase_add_test(t, limit_share_per_instance);
	tcase_add_test(t, retry_budget_limits);
	tcase_add_test(t, request_cap);
	tcase_add_test(t, choose_less_loaded);
	tcase_add_test(t, choose_compares_load_per_slot);
	tcase_add_test(t, key_spelling);
	suite_add_tcase(s, t);
	return run_suite(s);
}
