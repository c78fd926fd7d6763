#include "../../../cmd/tgflowd/deletions.h"
#include "../../../cmd/tgflowd/fencetoken.h"
#include "../../../cmd/tgflowd/formerowner.h"
#include "../../../cmd/tgflowd/storeseen.h"
#include "../../../cmd/tgflowd/orderoutcome.h"
#include "../../../cmd/tgflowd/workerclock.h"
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
	s.answers_at_call = 3;
	ck_assert(!process_lost_address(&s));
	s.at_its_address = true;
	s.answers_at_call = 2;
	ck_assert(!process_lost_address(&s));
	s.answers_at_call = 3;
	ck_assert(process_lost_address(&s));
}
END_TEST

/*
 * A draining worker whose connection broke at 10,000 and whose entry was
 * removed 120 ms later.
 */
static struct worker_exit_signs leaving_worker(void)
{
	return (struct worker_exit_signs){
		.failures = 2,
		.closed = true,
		.first_failure_ms = 10000,
		.removed_ms = 10120,
		.written_after_ms = 9500,
		.store_since_ms = 5000,
		.earliest_exit_ms = 10000,
		.heartbeat_ms = 1500,
	};
}

/* Guards against tasks that wait for the leases of a worker that has left. */
START_TEST(removed_directory_entry_means_exit)
{
	struct worker_exit_signs s = leaving_worker();

	ck_assert(worker_has_exited(&s));
	s.earliest_exit_ms = 0;
	ck_assert(worker_has_exited(&s));
	s.in_directory = true;
	ck_assert(!worker_has_exited(&s));
	s = leaving_worker();
	s.failures = 1;
	ck_assert(!worker_has_exited(&s));
	s = leaving_worker();
	s.earliest_exit_ms = 10121;
	ck_assert(!worker_has_exited(&s));
}
END_TEST

/* Guards against tasks that ran twice as a cut was noticed late. */
START_TEST(cut_noticed_when_entry_expires_is_not_an_exit)
{
	struct worker_exit_signs s = leaving_worker();

	s.closed = false;
	ck_assert(!worker_has_exited(&s));
}
END_TEST

/*
 * Guards against tasks that ran twice behind a path that refuses connections,
 * before the drain time or after it.
 */
START_TEST(refused_connections_and_expired_entry_are_not_an_exit)
{
	struct worker_exit_signs s = leaving_worker();

	s.in_directory = true;
	s.failures = 10;
	ck_assert(!worker_has_exited(&s));
	s.in_directory = false;
	s.removed_ms = 13100;
	s.written_after_ms = 8600;
	ck_assert(!worker_has_exited(&s));
	/* The entry had expired before the path was cut. */
	s.removed_ms = 10050;
	s.written_after_ms = 5500;
	ck_assert(!worker_has_exited(&s));
	s.removed_ms = 8400;
	s.written_after_ms = 8300;
	ck_assert(!worker_has_exited(&s));
}
END_TEST

/* Guards against an entry that expires as the store is down. */
START_TEST(entry_missing_after_outage_is_not_an_exit)
{
	struct worker_exit_signs s = leaving_worker();

	s.store_since_ms = 0;
	ck_assert(!worker_has_exited(&s));
	s.store_since_ms = 9900;
	ck_assert(!worker_has_exited(&s));
}
END_TEST

/* Guards against rows that are read late and a removal of unknown age. */
START_TEST(entry_of_unknown_age_is_not_an_exit)
{
	struct worker_exit_signs s = leaving_worker();

	s.written_after_ms = 0;
	ck_assert(!worker_has_exited(&s));
	s.written_after_ms = 6370;
	ck_assert(!worker_has_exited(&s));
	s.written_after_ms = 6371;
	ck_assert(worker_has_exited(&s));
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
/* Entries of workers may expire while the store is down. */
START_TEST(store_is_seen_without_a_gap)
{
	struct store_seen s = { 0 };

	store_seen_answer(&s, 1000, 100, 110);
	store_seen_answer(&s, 2600, 1700, 1710);
	ck_assert_int_eq(s.since_clock_ms, 1000);
	ck_assert_int_eq(store_seen_since_ms(&s), 110);
	store_seen_answer(&s, 4201, 3300, 3311);
	ck_assert_int_eq(s.since_clock_ms, 4201);
	store_seen_failure(&s);
	ck_assert_int_eq(store_seen_since_ms(&s), 0);
	store_seen_answer(&s, 4300, 3400, 3410);
	ck_assert_int_eq(s.since_clock_ms, 4300);
	/* An answer that doesn't tell the time. */
	store_seen_answer(&s, 0, 3500, 3510);
	ck_assert_int_eq(s.since_clock_ms, 0);
}
END_TEST

START_TEST(former_owner_vouches_for_the_store)
{
	struct tg_owner_row r = { .clock_ms = 5000,
				  .answered_since_clock_ms = 1000 };
	struct store_seen s = { 0 };

	store_seen_inherit(&s, &r);
	ck_assert_int_eq(s.since_clock_ms, 0);
	store_seen_answer(&s, 6600, 0, 10);
	store_seen_inherit(&s, &r);
	ck_assert_int_eq(s.since_clock_ms, 1000);
	/* What it saw ended too long before. */
	store_seen_failure(&s);
	store_seen_answer(&s, 6601, 0, 10);
	store_seen_inherit(&s, &r);
	ck_assert_int_eq(s.since_clock_ms, 6601);
	store_seen_record(&s, &r, 110);
	ck_assert_int_eq(r.answered_since_clock_ms, 6601);
	ck_assert_int_eq(r.clock_ms, 6701);
}
END_TEST

START_TEST(leases_of_all_former_owners_are_waited_for)
{
	struct former_owner f = {
		.claimed_ms = 50000,
		.lease_ms = 6000,
		.renew_max_ms = 10000,
	};

	ck_assert_int_eq(former_leases_end_ms(&f, false), 66000);
	f.ended_ms = 51000;
	ck_assert_int_eq(former_leases_end_ms(&f, false), 66000);
	f.known = true;
	ck_assert_int_eq(former_leases_end_ms(&f, false), 57000);
	f.ended_ms = 0;
	ck_assert_int_eq(former_leases_end_ms(&f, false), 66000);
	/* An answer that comes late tells no more than the claim. */
	f.ended_ms = 65000;
	ck_assert_int_eq(former_leases_end_ms(&f, false), 66000);
}
END_TEST

/* Guards against a new owner that takes a long lease for expired. */
/* Guards against a wait that counts from the claim: the last write was before.
 */
START_TEST(former_owner_renews_for_a_time_from_its_last_write)
{
	struct former_owner f = {
		.claimed_ms = 50000,
		.written_by_ms = 47000,
		.lease_ms = 6000,
		.renew_max_ms = 10000,
	};

	ck_assert_int_eq(former_leases_end_ms(&f, false), 63000);
	f.written_by_ms = 0;
	ck_assert_int_eq(former_leases_end_ms(&f, false), 66000);
}
END_TEST

START_TEST(long_leases_of_former_owners_are_waited_for)
{
	struct former_owner f = {
		.claimed_ms = 50000,
		.lease_ms = 6000,
		.long_lease_ms = 11000,
		.renew_max_ms = 10000,
	};

	ck_assert_int_eq(former_leases_end_ms(&f, true), 71000);
	f.ended_ms = 51000;
	f.known = true;
	ck_assert_int_eq(former_leases_end_ms(&f, true), 62000);
	ck_assert_int_eq(former_leases_end_ms(&f, false), 57000);
}
END_TEST

/* Guards against leases that a process grants by a clock of its own. */
START_TEST(clock_of_another_process_does_not_go_on)
{
	const struct worker_clock known = { 60000, 5000 }, none = { 0, 5000 };
	static const struct {
		int64_t clock_ms, at_ms;
		bool goes_on;
	} cases[] = {
		{ 61000, 6000, true },
		/* 2% slow, and an answer that was on its way for 200 ms. */
		{ 60780, 6000, true },
		{ 60779, 6000, false },
		{ 40, 6000, false },
		/* A clock ahead of it grants less. */
		{ 90000, 6000, true },
		{ 0, 6000, false },
	};
	size_t i;

	for (i = 0; i < ARRAY_SIZE(cases); i++) {
		const struct worker_clock told = { cases[i].clock_ms,
						   cases[i].at_ms };

		ck_assert_int_eq(worker_clock_goes_on(&known, &told, 2, 200),
				 cases[i].goes_on);
		ck_assert(!worker_clock_goes_on(&none, &told, 2, 200));
	}
}
END_TEST

/*
 * What the next owner has to wait for is the end of renewals.  While an owner
 * recorded that only once leases had ended too, those of a worker that was gone
 * were waited for anew after each take-over.
 */
START_TEST(former_owners_are_settled_before_their_leases_end)
{
	struct former_owner f = {
		.claimed_ms = 50000,
		.lease_ms = 6000,
		.renew_max_ms = 10000,
	};

	ck_assert(!former_owners_settled(&f, 59999));
	ck_assert(former_owners_settled(&f, 60000));
	/* The one before the last may renew longer. */
	f.ended_ms = 51000;
	ck_assert(!former_owners_settled(&f, 51000));
	f.known = true;
	ck_assert(!former_owners_settled(&f, 50999));
	ck_assert(former_owners_settled(&f, 51000));
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

/* Guards against an owner that gives up its term for a call of its own. */
START_TEST(call_overtaken_by_a_higher_token_shows_no_later_owner)
{
	ck_assert(!fence_shows_later_owner(7, 8));
	ck_assert(fence_shows_later_owner(8, 8));
	ck_assert(fence_shows_later_owner(9, 8));
}
END_TEST

/*
 * Guards against an owner that gives up its term when it is told of a token
 * that it has recorded itself, or keeps it when a later owner began above that.
 */
START_TEST(recorded_token_shows_no_later_owner)
{
	ck_assert(!ping_shows_later_owner(7, 9));
	ck_assert(!ping_shows_later_owner(9, 9));
	ck_assert(ping_shows_later_owner(10, 9));
}
END_TEST

/* Guards against a job that runs again after a late read of its deleted row. */
START_TEST(row_read_before_its_deletion_is_void)
{
	struct deletion *d = NULL;

	ck_assert(!deletions_cover(d, "j1", 3));
	deletions_add(&d, "j1", 7);
	deletions_add(&d, "j2", 9);
	ck_assert(deletions_cover(d, "j1", 3));
	ck_assert(deletions_cover(d, "j1~cancel", 6));
	ck_assert(!deletions_cover(d, "j10", 3));
	/* It was written again, and deleted again. */
	ck_assert(!deletions_cover(d, "j1", 8));
	deletions_add(&d, "j1", 12);
	ck_assert(deletions_cover(d, "j1", 8));
	deletions_forget(&d, 9);
	ck_assert(deletions_cover(d, "j1", 8));
	ck_assert(!deletions_cover(d, "j2", 8));
	deletions_forget(&d, 12);
	ck_assert_ptr_null(d);
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
	tcase_add_test(t, store_is_seen_without_a_gap);
	tcase_add_test(t, former_owner_vouches_for_the_store);
	tcase_add_test(t, leases_of_all_former_owners_are_waited_for);
	tcase_add_test(t, former_owner_renews_for_a_time_from_its_last_write);
	tcase_add_test(t, long_leases_of_former_owners_are_waited_for);
	tcase_add_test(t, clock_of_another_process_does_not_go_on);
	tcase_add_test(t, former_owners_are_settled_before_their_leases_end);
	tcase_add_test(t, answer_of_an_earlier_term_proves_nothing);
	tcase_add_test(t,
		       call_overtaken_by_a_higher_token_shows_no_later_owner);
	tcase_add_test(t, recorded_token_shows_no_later_owner);
	suite_add_tcase(s, t);
	t = tcase_create("workers that exit");
	tcase_add_test(t, answer_of_earlier_process_is_not_a_restart);
	tcase_add_test(t, known_process_or_none_is_not_replaced);
	tcase_add_test(t, other_worker_at_address_ends_only_who_answered_there);
	tcase_add_test(t, removed_directory_entry_means_exit);
	tcase_add_test(t, cut_noticed_when_entry_expires_is_not_an_exit);
	tcase_add_test(t,
		       refused_connections_and_expired_entry_are_not_an_exit);
	tcase_add_test(t, entry_missing_after_outage_is_not_an_exit);
	tcase_add_test(t, entry_of_unknown_age_is_not_an_exit);
	suite_add_tcase(s, t);
	t = tcase_create("jobs");
	tcase_add_test(t, row_read_before_its_deletion_is_void);
	suite_add_tcase(s, t);
	return run_suite(s);
}
