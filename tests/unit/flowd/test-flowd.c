#include "../../../cmd/tgflowd/formerowner.h"
#include "../../../cmd/tgflowd/orderoutcome.h"
#include "../../../cmd/tgflowd/workerexit.h"
#include "../../../cmd/tgflowd/workerprocess.h"
#include "../../../cmd/tgflowd/ownerwrites.h"
#include "../run.h"

/*
 * A refusal of the second copy of a start was taken to mean that the run was
 * never started, although the first copy had been carried out or was carried
 * out later.  The task was started again and ran twice.
 */
START_TEST(refused_repeat_leaves_start_unknown)
{
	int end;

	for (end = TG_ORDER_DONE; end <= TG_ORDER_UNKNOWN; end++) {
		enum flow_order_result got =
			order_outcome((enum tg_order_end)end, true, 2);

		ck_assert_int_eq(got,
				 end == TG_ORDER_DONE ? FLOW_ORDER_DONE :
							FLOW_ORDER_UNKNOWN);
	}
}
END_TEST

START_TEST(outcome_of_first_attempt)
{
	static const struct {
		enum tg_order_end end;
		enum flow_order_result start, stop;
	} cases[] = {
		{ TG_ORDER_DONE, FLOW_ORDER_DONE, FLOW_ORDER_DONE },
		{ TG_ORDER_OLD_RUN, FLOW_ORDER_STALE_RUN, FLOW_ORDER_DONE },
		{ TG_ORDER_INVALID, FLOW_ORDER_INVALID, FLOW_ORDER_DONE },
		{ TG_ORDER_UNHEALTHY, FLOW_ORDER_NOT_DONE,
		  FLOW_ORDER_NOT_DONE },
		{ TG_ORDER_NO_CAPACITY, FLOW_ORDER_NOT_DONE,
		  FLOW_ORDER_NOT_DONE },
		{ TG_ORDER_NOT_SENT, FLOW_ORDER_NOT_DONE, FLOW_ORDER_NOT_DONE },
		{ TG_ORDER_UNKNOWN, FLOW_ORDER_UNKNOWN, FLOW_ORDER_UNKNOWN },
	};
	size_t i;

	for (i = 0; i < ARRAY_SIZE(cases); i++) {
		ck_assert_int_eq(order_outcome(cases[i].end, true, 1),
				 cases[i].start);
		ck_assert_int_eq(order_outcome(cases[i].end, false, 1),
				 cases[i].stop);
	}
}
END_TEST

/* Guards against tasks that ran twice after an answer of an earlier process. */
START_TEST(answer_of_earlier_process_is_not_a_restart)
{
	struct process_signs s = {
		.known_boot_ms = 2000,
		.boot_ms = 1000,
		.answers_at_call = 0,
		.answers = 1,
	};

	ck_assert_int_eq(process_sign_of(&s), PROCESS_UNORDERED);
	/* The time of day may have stepped, so a higher boot tells nothing. */
	s.boot_ms = 3000;
	ck_assert_int_eq(process_sign_of(&s), PROCESS_UNORDERED);
	s.answers_at_call = 1;
	ck_assert_int_eq(process_sign_of(&s), PROCESS_REPLACED);
	s.boot_ms = 1000;
	ck_assert_int_eq(process_sign_of(&s), PROCESS_REPLACED);
}
END_TEST

START_TEST(known_process_or_none_is_not_replaced)
{
	struct process_signs s = { .known_boot_ms = 2000, .boot_ms = 2000 };

	ck_assert_int_eq(process_sign_of(&s), PROCESS_ANSWERS);
	s.boot_ms = 0;
	ck_assert_int_eq(process_sign_of(&s), PROCESS_ANSWERS);
	s = (struct process_signs){ .boot_ms = 2000 };
	ck_assert_int_eq(process_sign_of(&s), PROCESS_ANSWERS);
}
END_TEST

/* Guards against an older address of a worker being taken for its end. */
START_TEST(other_worker_at_address_ends_only_who_answered_there)
{
	struct process_signs s = { .known_boot_ms = 2000 };

	ck_assert(!process_lost_address(&s));
	s.answers = 3;
	s.answers_at_call = 2;
	ck_assert(!process_lost_address(&s));
	s.answers_at_call = 3;
	ck_assert(process_lost_address(&s));
}
END_TEST

/* A draining worker at @now_ms whose connection broke at 10,000. */
static struct worker_exit_signs draining_worker(int64_t now_ms)
{
	return (struct worker_exit_signs){
		.in_directory = true,
		.failures = 3,
		.refusals = 2,
		.first_failure_ms = 10000,
		.last_heartbeat_ms = 9500,
		.earliest_exit_ms = 10000,
		.heartbeat_ms = 1500,
		.now_ms = now_ms,
	};
}

/*
 * When a worker exited without removing its directory entry, its tasks waited 6
 * s for its leases to expire before they were started again (incident
 * inc-04b5).
 */
START_TEST(drained_worker_refusing_connections_has_exited)
{
	struct worker_exit_signs s = draining_worker(12000);

	ck_assert(worker_has_exited(&s));
}
END_TEST

/*
 * A broken network path may refuse connections while the worker keeps running.
 * Taking that for an exit would run its tasks twice.
 */
START_TEST(refused_connections_alone_are_not_an_exit)
{
	struct worker_exit_signs s = draining_worker(12000);

	s.last_heartbeat_ms = 11000;
	ck_assert(!worker_has_exited(&s));
	s = draining_worker(12000);
	s.earliest_exit_ms = 13000;
	ck_assert(!worker_has_exited(&s));
	s.earliest_exit_ms = 0;
	ck_assert(!worker_has_exited(&s));
	s = draining_worker(12000);
	s.refusals = 0;
	ck_assert(!worker_has_exited(&s));
	s = draining_worker(10500);
	ck_assert(!worker_has_exited(&s));
}
END_TEST

/*
 * An entry removed within one heartbeat interval of the first failure was
 * removed by the worker.  One that expires disappears two intervals after the
 * last contact.
 */
START_TEST(removed_directory_entry_means_exit)
{
	struct worker_exit_signs s = draining_worker(10200);

	s.refusals = 0;
	s.in_directory = false;
	s.removed_ms = 10120;
	ck_assert(worker_has_exited(&s));
	s.removed_ms = 13100;
	ck_assert(!worker_has_exited(&s));
}
END_TEST

/*
 * An owner whose writes the store refused kept ownership for 1.6 s before a
 * standby took over, so jobs that ended in that time were reported late (seen
 * in jurisum-grown, trouble-1).
 */
START_TEST(owner_refused_by_store_is_replaced_early)
{
	struct owner_writes s = { .written_ms = 10000,
				  .refused_since_ms = 10010 };

	s.now_ms = 10400;
	ck_assert(owner_reaches_store(&s));
	s.now_ms = 10510;
	ck_assert(!owner_reaches_store(&s));
}
END_TEST

/* A slow store is slow for all instances: another owner would gain nothing. */
START_TEST(owner_is_kept_while_store_is_slow)
{
	struct owner_writes s = { .written_ms = 10000, .now_ms = 11500 };

	ck_assert(owner_reaches_store(&s));
	s.now_ms = 11600;
	ck_assert(!owner_reaches_store(&s));
}
END_TEST

/*
 * A refused connection counted as the end of the owner's process, although a
 * path that is cut refuses as well.  The owner lived on and renewed leases that
 * its successor held for expired (review/1).
 */
START_TEST(refused_connection_does_not_prove_an_end)
{
	ck_assert_int_eq(owner_sign_of(TG_RPC_CALL_NOT_SENT, false, 1),
			 OWNER_UNREACHABLE);
	ck_assert_int_eq(owner_sign_of(TG_RPC_CALL_NOT_SENT, false, 400),
			 OWNER_SILENT);
	ck_assert_int_eq(owner_sign_of(TG_RPC_CALL_TIMEOUT, false, 1),
			 OWNER_SILENT);
	ck_assert_int_eq(owner_sign_of(TG_RPC_CALL_OK, true, 1), OWNER_ANSWERS);
	ck_assert_int_eq(owner_sign_of(TG_RPC_CALL_OK, false, 1),
			 OWNER_REPLACED);
}
END_TEST

/*
 * The end of the last owner says nothing of the one before it, which may be cut
 * off and renew leases until RENEW_MAX_MS after its own last write.
 */
START_TEST(leases_of_all_former_owners_are_waited_for)
{
	struct former_owner f = {
		.claimed_ms = 50000,
		.lease_ms = 6000,
		.renew_max_ms = 10000,
	};

	ck_assert_int_eq(former_leases_end_ms(&f), 66000);
	f.ended_ms = 51000;
	ck_assert_int_eq(former_leases_end_ms(&f), 66000);
	f.settled = true;
	ck_assert_int_eq(former_leases_end_ms(&f), 57000);
	f.ended_ms = 0;
	ck_assert_int_eq(former_leases_end_ms(&f), 66000);
	/* An answer that comes late tells no more than the claim. */
	f.ended_ms = 65000;
	ck_assert_int_eq(former_leases_end_ms(&f), 66000);
}
END_TEST

/*
 * An answer that came after this daemon had lost the ownership and claimed it
 * again counted as that of the former owner of the new term, which lived on.
 */
START_TEST(answer_of_an_earlier_term_proves_nothing)
{
	ck_assert(former_owner_yielded(TG_RPC_CALL_OK, false, 7, 7));
	ck_assert(!former_owner_yielded(TG_RPC_CALL_OK, false, 5, 7));
	ck_assert(!former_owner_yielded(TG_RPC_CALL_OK, true, 7, 7));
	ck_assert(!former_owner_yielded(TG_RPC_CALL_TIMEOUT, false, 7, 7));
}
END_TEST

int main(void)
{
	Suite *s = suite_create("flowd");
	TCase *t = tcase_create("orders");

	tcase_add_test(t, refused_repeat_leaves_start_unknown);
	tcase_add_test(t, outcome_of_first_attempt);
	suite_add_tcase(s, t);
	t = tcase_create("ownership");
	tcase_add_test(t, owner_refused_by_store_is_replaced_early);
	tcase_add_test(t, owner_is_kept_while_store_is_slow);
	tcase_add_test(t, refused_connection_does_not_prove_an_end);
	tcase_add_test(t, leases_of_all_former_owners_are_waited_for);
	tcase_add_test(t, answer_of_an_earlier_term_proves_nothing);
	suite_add_tcase(s, t);
	t = tcase_create("workers that exit");
	tcase_add_test(t, answer_of_earlier_process_is_not_a_restart);
	tcase_add_test(t, known_process_or_none_is_not_replaced);
	tcase_add_test(t, other_worker_at_address_ends_only_who_answered_there);
	tcase_add_test(t, drained_worker_refusing_connections_has_exited);
	tcase_add_test(t, refused_connections_alone_are_not_an_exit);
	tcase_add_test(t, removed_directory_entry_means_exit);
	suite_add_tcase(s, t);
	return run_suite(s);
}
