#include "../../../cmd/tgflowd/orderend.h"
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

int main(void)
{
	Suite *s = suite_create("flowd");
	TCase *t = tcase_create("orders");

	tcase_add_test(t, refused_copy_does_not_settle_a_start);
	tcase_add_test(t, first_answers);
	suite_add_tcase(s, t);
	return run_suite(s);
}
