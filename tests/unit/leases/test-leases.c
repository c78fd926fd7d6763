#include <string.h>

#include "../../../cmd/tgflowd/board.h"
#include "../flow/fleet.h"
#include "../run.h"

/* How long the leases on a worker are counted. */

#define LEASE_MS 6000
#define LEASE_MAX_MS 10000
/* By a clock that is 2% slow, with the margin. */
#define LONG_LEASE_MS (LEASE_MAX_MS * 100 / 98 + EXPIRY_MARGIN_MS)

static struct board b;
static struct link l;
static struct orders o;
static int n_verdicts, n_bounds_changed;
static int64_t stored_bound_ms;
static bool only_confirmed;

/* --- what leases.c calls --- */

void link_declare_runs_lost(struct link *link, const struct link_proof *p)
{
	n_verdicts++;
	only_confirmed = p->only_confirmed;
	link->may_have_runs = p->only_confirmed;
}

void link_adopt_address(struct link *link)
{
	(void)link;
}

int64_t lease_bound_former_ms(const struct board *board, const char *worker)
{
	(void)board;
	(void)worker;
	return stored_bound_ms;
}

void lease_bound_changed(const struct link *link)
{
	(void)link;
	n_bounds_changed++;
}

/* --- tests --- */

/* The worker w1, which a new owner has not reached yet. */
static void setup(void)
{
	memset(&b, 0, sizeof(b));
	memset(&l, 0, sizeof(l));
	n_verdicts = n_bounds_changed = 0;
	stored_bound_ms = 0;
	b.role = ROLE_RECOVERING;
	b.set.lease_ms = LEASE_MS;
	b.site.set.lease_max_ms = LEASE_MAX_MS;
	b.site.set.row_bytes = 65536;
	b.former = (struct former_owner){
		.claimed_ms = tg_now_ms(),
		.ended_ms = tg_now_ms(),
		.known = true,
		.lease_ms = 6322,
		.long_lease_ms = 11404,
		.renew_max_ms = 10000,
	};
	b.flow = fleet_new();
	fleet_add_worker(b.flow, "w1", "r1", 8);
	tg_strlcpy(l.entry.id, "w1", sizeof(l.entry.id));
	l.board = &b;
	l.may_have_runs = true;
	HASH_ADD(hh, b.links, entry.id, 2, &l);
}

static void teardown(void)
{
	link_expect_no_long_lease(&l);
	HASH_CLEAR(hh, b.links);
	flow_free(b.flow);
}

static void answer(int64_t clock_ms)
{
	l.clock_ms = clock_ms;
	l.clock_at_ms = tg_now_ms();
}

static const char *listed(void)
{
	static struct tg_owner_row r;

	links_record_long_leases(&b, &r);
	return r.long_leases;
}

static void check_at(int64_t ms)
{
	link_check_expiry(&l, ms);
}

/* Guards against a new owner that takes a long lease for expired. */
START_TEST(listed_worker_is_waited_for_and_stays_listed)
{
	int64_t end_ms = b.former.ended_ms + b.former.long_lease_ms;

	tg_strlcpy(b.owner.long_leases, ",w1,", sizeof(b.owner.long_leases));
	link_expect_former_leases(&l);
	check_at(end_ms - 1);
	ck_assert_int_eq(n_verdicts, 0);
	ck_assert_str_eq(listed(), ",w1,");
	check_at(end_ms);
	ck_assert_int_eq(n_verdicts, 1);
	ck_assert(!only_confirmed);
}
END_TEST

START_TEST(other_worker_is_waited_for_as_its_leases_were_asked_for)
{
	int64_t end_ms = b.former.ended_ms + b.former.lease_ms;

	tg_strlcpy(b.owner.long_leases, ",w2,", sizeof(b.owner.long_leases));
	link_expect_former_leases(&l);
	ck_assert_str_eq(listed(), "");
	check_at(end_ms - 1);
	ck_assert_int_eq(n_verdicts, 0);
	check_at(end_ms);
	ck_assert_int_eq(n_verdicts, 1);
}
END_TEST

/* The former owner's end is proved later than the links are made. */
START_TEST(proof_of_the_former_owners_end_shortens_both_waits)
{
	int64_t ended_ms = b.former.ended_ms;
	bool is_long = _i;

	b.former.ended_ms = 0;
	if (is_long)
		tg_strlcpy(b.owner.long_leases, "*",
			   sizeof(b.owner.long_leases));
	link_expect_former_leases(&l);
	ck_assert_int_gt(l.leases_end_ms, ended_ms + b.former.long_lease_ms);
	b.former.ended_ms = ended_ms;
	links_limit_leases(&b);
	ck_assert_int_eq(
		l.leases_end_ms,
		ended_ms +
			(is_long ? b.former.long_lease_ms : b.former.lease_ms));
	answer(100);
	link_expect_long_lease(&l);
	links_limit_leases(&b);
	ck_assert_int_eq(l.leases_end_ms, l.clock_at_ms + LONG_LEASE_MS);
}
END_TEST

/* Guards against a second new owner that takes a long lease for expired. */
START_TEST(worker_is_listed_after_its_first_answer)
{
	link_expect_former_leases(&l);
	answer(100);
	link_expect_long_lease(&l);
	ck_assert_str_eq(listed(), ",w1,");
	check_at(l.clock_at_ms + LONG_LEASE_MS - 1);
	ck_assert_int_eq(n_verdicts, 0);
	l.long_lease_until_ms = tg_now_ms();
	ck_assert_str_eq(listed(), "");
	ck_assert_ptr_null(b.long_leases);
}
END_TEST

/* Guards against a hold for the process before that arrives just after. */
START_TEST(calls_to_the_process_before_may_still_arrive)
{
	answer(60000);
	link_expiry(&l);
	answer(100);
	link_expect_long_lease(&l);
	ck_assert_int_ge(l.leases_end_ms,
			 l.until_sent_ms + CALL_ARRIVES_MS + LONG_LEASE_MS);
}
END_TEST

/* Guards against a start that another process has carried out. */
START_TEST(unconfirmed_start_outlasts_the_other_leases)
{
	struct flow_run_ref r;
	int64_t end_ms;

	b.role = ROLE_OWNER;
	fleet_add_job(b.flow, "job", "normal", fleet_new_spec(1, 8, false), 0);
	fleet_decide_unwritten(b.flow, &o, 1);
	/* In the write that records the run. */
	ck_assert_str_eq(listed(), ",w1,");
	fleet_write(b.flow);
	fleet_start_recorded(b.flow, &o, 1);
	r = fleet_run_ref(&o.starts[0]);
	answer(60000);
	flow_start_sent(b.flow, &r, "w1");
	link_expiry(&l);
	end_ms = l.until_sent_ms + CALL_ARRIVES_MS + LONG_LEASE_MS;
	check_at(l.leases_end_ms - 1);
	ck_assert_int_eq(n_verdicts, 0);
	check_at(l.leases_end_ms);
	ck_assert_int_eq(n_verdicts, 1);
	ck_assert(only_confirmed);
	check_at(end_ms - 1);
	ck_assert_int_eq(n_verdicts, 1);
	check_at(end_ms);
	ck_assert_int_eq(n_verdicts, 2);
	ck_assert(!only_confirmed);
	flow_start_confirmed(b.flow, &r, "w1");
	ck_assert_str_eq(listed(), "");
}
END_TEST

/* Guards against the longest wait for all workers of a large site. */
START_TEST(workers_that_do_not_fit_have_a_time)
{
	static struct link many[300];
	static struct tg_owner_row r;
	int64_t now_ms = tg_now_ms();
	int i;

	memset(many, 0, sizeof(many));
	b.store_seen.last = (struct tg_store_clock){ 500, now_ms - 7, now_ms };
	for (i = 0; i < 300; i++) {
		snprintf(many[i].entry.id, sizeof(many[i].entry.id), "m%d", i);
		many[i].board = &b;
		many[i].runs_known = i > 0;
		many[i].clock_at_ms = now_ms - 1000 + (i * 7) % 300;
		link_expect_long_lease(&many[i]);
	}
	links_record_long_leases(&b, &r);
	ck_assert(!tg_owner_row_any_long_lease(&r));
	/* The first one may get a later time, the others have the latest. */
	ck_assert(tg_owner_row_has_long_lease(&r, "m0"));
	ck_assert(tg_owner_row_has_long_lease(&r, "m257"));
	for (i = 0; i < 300; i++)
		ck_assert(tg_owner_row_has_long_lease(&r, many[i].entry.id) ||
			  many[i].long_lease_until_ms + 7 <=
				  r.other_leases_clock_ms - 500 + now_ms);
	for (i = 0; i < 300; i++)
		many[i].runs_known = false;
	links_record_long_leases(&b, &r);
	ck_assert(tg_owner_row_any_long_lease(&r));
}
END_TEST

/* Guards against a third owner that takes a long lease for expired. */
START_TEST(time_for_workers_not_listed_is_waited_for_and_handed_on)
{
	int64_t end_ms = b.former.ended_ms + b.former.lease_ms + 2000;

	b.former.other_leases_ms = end_ms;
	link_expect_former_leases(&l);
	ck_assert_int_eq(l.leases_end_ms, end_ms);
	ck_assert_str_eq(listed(), ",w1,");
	b.former.other_leases_ms += 10000;
	links_limit_leases(&b);
	ck_assert_int_eq(l.leases_end_ms,
			 b.former.ended_ms + b.former.long_lease_ms);
}
END_TEST

START_TEST(clock_is_compared_with_the_last_list)
{
	answer(60000);
	ck_assert(link_clock_goes_on(&l, 60010));
	ck_assert(!link_clock_goes_on(&l, 59000));
	l.clock_ms = 0;
	ck_assert(!link_clock_goes_on(&l, 60010));
}
END_TEST

int main(void)
{
	Suite *s = suite_create("leases");
	TCase *t = tcase_create("leases");

	tcase_add_checked_fixture(t, setup, teardown);
	tcase_add_test(t, listed_worker_is_waited_for_and_stays_listed);
	tcase_add_test(t,
		       other_worker_is_waited_for_as_its_leases_were_asked_for);
	tcase_add_loop_test(
		t, proof_of_the_former_owners_end_shortens_both_waits, 0, 2);
	tcase_add_test(t, worker_is_listed_after_its_first_answer);
	tcase_add_test(t, calls_to_the_process_before_may_still_arrive);
	tcase_add_test(t, unconfirmed_start_outlasts_the_other_leases);
	tcase_add_test(t, workers_that_do_not_fit_have_a_time);
	tcase_add_test(t,
		       time_for_workers_not_listed_is_waited_for_and_handed_on);
	tcase_add_test(t, clock_is_compared_with_the_last_list);
	suite_add_tcase(s, t);
	return run_suite(s);
}
