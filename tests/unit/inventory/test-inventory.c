#include <string.h>

#include "../../../cmd/tgschedd/message_internal.h"
#include "../run.h"

/* Of response.c, for a board with one job. */
static struct member member;

void message_add_orphan(struct board *b, struct worker *w, const char *job,
			int64_t attempt, int64_t index)
{
	(void)b;
	(void)w;
	(void)job;
	(void)attempt;
	(void)index;
}

struct member *message_find_member(struct board *b, const struct worker *w,
				   const char *job, int64_t attempt,
				   int64_t index)
{
	(void)b;
	(void)w;
	(void)job;
	(void)attempt;
	(void)index;
	return &member;
}

void message_update_checkpoint(struct member *m, const json_t *v)
{
	(void)m;
	(void)v;
}

static int64_t reconcile(int64_t local_expiry_ms)
{
	struct board board = { 0 };
	struct worker worker = {
		.name = "w1",
		.response_ms = 100000,
		.clock_ms = 500000,
		.inventory =
			json_pack("[{s:s, s:i, s:i, s:I, s:s}]", "job", "j",
				  "attempt", 1, "index", 0, "expires_ms",
				  (json_int_t)520000, "state", "running"),
	};
	struct job job = { .spec = { .job = "j" }, .attempt = 1 };

	member = (struct member){
		.job = &job,
		.worker = &worker,
		.state = MEMBER_RUNNING,
		.local_expiry_ms = local_expiry_ms,
	};
	worker.members = &member;
	worker_reconcile(&board, &worker);
	ck_assert_int_eq(member.state, MEMBER_RUNNING);
	return member.local_expiry_ms;
}

/*
 * Guards against a task that still runs when its lease counts as expired: a
 * renewal that was sent before and not answered may reach the worker after its
 * inventory was taken.
 */
START_TEST(inventory_does_not_shorten_a_renewal_that_may_arrive_late)
{
	int64_t listed_ms = 100000 + 20000 + 400 + 500;

	ck_assert_int_eq(reconcile(125000), 125000);
	ck_assert_int_eq(reconcile(0), listed_ms);
	ck_assert_int_eq(reconcile(listed_ms - 1), listed_ms);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("inventory");
	TCase *t = tcase_create("all");

	tcase_add_test(
		t, inventory_does_not_shorten_a_renewal_that_may_arrive_late);
	suite_add_tcase(s, t);
	return run_suite(s);
}
