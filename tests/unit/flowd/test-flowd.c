#include "../../../cmd/tgflowd/orderend.h"
#include "../../../cmd/tgflowd/left.h"
#include "../../../cmd/tgflowd/standing.h"
#include "../run.h"

/*
 * A refusal of the second copy of a start counted as "never started", while the
 * first copy had run or ran later beside the next run (TWICE).
 */
START_TEST(refused_copy_does_not_settle_a_start)
{
	int end;

	for (end = TG_ORDER_DONE; end <= TG_ORDER_UNKNOWN; end++) {
		enum flow_order_end got =
			order_end((enum tg_order_end)end, true, 2);

		ck_assert_int_eq(got,
				 end == TG_ORDER_DONE ? FLOW_ORDER_DONE :
							FLOW_ORDER_UNKNOWN);
	}
}
END_TEST

START_TEST(first_answers)
{
	static const struct {
		enum tg_order_end end;
		enum flow_order_end start, stop;
	} cases[] = {
		{ TG_ORDER_DONE, FLOW_ORDER_DONE, FLOW_ORDER_DONE },
		{ TG_ORDER_OLD_RUN, FLOW_ORDER_OLD_RUN, FLOW_ORDER_DONE },
		{ TG_ORDER_INVALID, FLOW_ORDER_INVALID, FLOW_ORDER_DONE },
		{ TG_ORDER_UNHEALTHY, FLOW_ORDER_NOT_DONE,
		  FLOW_ORDER_NOT_DONE },
		{ TG_ORDER_NO_ROOM, FLOW_ORDER_NOT_DONE, FLOW_ORDER_NOT_DONE },
		{ TG_ORDER_NOT_SENT, FLOW_ORDER_NOT_DONE, FLOW_ORDER_NOT_DONE },
		{ TG_ORDER_UNKNOWN, FLOW_ORDER_UNKNOWN, FLOW_ORDER_UNKNOWN },
	};
	size_t i;

	for (i = 0; i < ARRAY_SIZE(cases); i++) {
		ck_assert_int_eq(order_end(cases[i].end, true, 1),
				 cases[i].start);
		ck_assert_int_eq(order_end(cases[i].end, false, 1),
				 cases[i].stop);
	}
}
END_TEST

/* A draining worker at @now_ms whose connection broke at 10,000. */
static struct worker_signs leaving(int64_t now_ms)
{
	return (struct worker_signs){
		.listed = true,
		.failures = 3,
		.refusals = 2,
		.broken_ms = 10000,
		.beat_ms = 9500,
		.leaves_ms = 10000,
		.heartbeat_ms = 1500,
		.now_ms = now_ms,
	};
}

/*
 * Tasks of a worker that left without a word to the directory waited for its
 * leases to expire, 6 s (incident inc-04b5).
 */
START_TEST(refusing_worker_that_drained_has_left)
{
	struct worker_signs s = leaving(12000);

	ck_assert(worker_has_left(&s));
}
END_TEST

/* A path that is cut may refuse connections while the worker runs on (TWICE).
 */
START_TEST(refusal_alone_is_no_end)
{
	struct worker_signs s = leaving(12000);

	s.beat_ms = 11000;
	ck_assert(!worker_has_left(&s));
	s = leaving(12000);
	s.leaves_ms = 13000;
	ck_assert(!worker_has_left(&s));
	s.leaves_ms = 0;
	ck_assert(!worker_has_left(&s));
	s = leaving(12000);
	s.refusals = 0;
	ck_assert(!worker_has_left(&s));
	s = leaving(10500);
	ck_assert(!worker_has_left(&s));
}
END_TEST

/* An entry that expires disappears two heartbeats after the last contact. */
START_TEST(removed_entry_tells)
{
	struct worker_signs s = leaving(10200);

	s.refusals = 0;
	s.listed = false;
	s.unlisted_ms = 10120;
	ck_assert(worker_has_left(&s));
	s.unlisted_ms = 13100;
	ck_assert(!worker_has_left(&s));
}
END_TEST

/*
 * An owner that the store refused went on for 1.6 s before a standby took over;
 * what ended meanwhile was shown late (jurisum-grown, trouble-1).
 */
START_TEST(refused_owner_gives_way_soon)
{
	struct owner_standing s = { .written_ms = 10000, .refused_ms = 10010 };

	s.now_ms = 10400;
	ck_assert(owner_stands(&s));
	s.now_ms = 10510;
	ck_assert(!owner_stands(&s));
}
END_TEST

/* A slow store is slow for all: no other owner would do better. */
START_TEST(owner_stays_while_the_store_is_slow)
{
	struct owner_standing s = { .written_ms = 10000, .now_ms = 11500 };

	ck_assert(owner_stands(&s));
	s.now_ms = 11600;
	ck_assert(!owner_stands(&s));
}
END_TEST

int main(void)
{
	Suite *s = suite_create("flowd");
	TCase *t = tcase_create("orders");

	tcase_add_test(t, refused_copy_does_not_settle_a_start);
	tcase_add_test(t, first_answers);
	suite_add_tcase(s, t);
	t = tcase_create("ownership");
	tcase_add_test(t, refused_owner_gives_way_soon);
	tcase_add_test(t, owner_stays_while_the_store_is_slow);
	suite_add_tcase(s, t);
	t = tcase_create("workers that leave");
	tcase_add_test(t, refusing_worker_that_drained_has_left);
	tcase_add_test(t, refusal_alone_is_no_end);
	tcase_add_test(t, removed_entry_tells);
	suite_add_tcase(s, t);
	return run_suite(s);
}
