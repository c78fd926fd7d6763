#include <stdlib.h>
#include <string.h>

#include "../../../cmd/tgschedd/digest.h"
#include "../../../cmd/tgschedd/gang.h"
#include "../../../cmd/tgschedd/lease.h"
#include "../../../cmd/tgschedd/outage.h"
#include "../../../cmd/tgschedd/spec.h"
#include "../run.h"

/*
 * Guards against a lease that counts as expired too early, so that two attempts
 * of a job run at the same time.
 */
START_TEST(lease_arithmetic)
{
	static const struct {
		int64_t response_ms, left_ms, local_expiry_ms;
	} cases[] = {
		/* 30 s, 2% and 500 ms */
		{ 1000, 30000, 1000 + 30000 + 600 + 500 },
		/* 2% of a short lease is rounded up */
		{ 0, 10, 10 + 1 + 500 },
		{ 0, 50, 50 + 1 + 500 },
		{ 0, 51, 51 + 2 + 500 },
		/* expired already by the worker's clock */
		{ 7, 0, 507 },
		{ 7, -40000, 507 },
		{ 0, 3600000, 3600000 + 72000 + 500 },
	};
	size_t i;

	for (i = 0; i < ARRAY_SIZE(cases); i++)
		ck_assert_int_eq(lease_local_expiry_ms(cases[i].response_ms,
						       cases[i].left_ms),
				 cases[i].local_expiry_ms);
	ck_assert_int_eq(lease_worker_expiry_ms(123456, 30000), 153456);
}
END_TEST

/*
 * Guards against a task that still runs when its lease counts as expired: with
 * any clock rate within 2%, the worker's lease ends before the local expiry.
 */
START_TEST(worker_lease_ends_before_local_expiry)
{
	int64_t ttl_ms, percent;

	for (percent = 98; percent <= 102; percent++)
		for (ttl_ms = 1; ttl_ms < 100000; ttl_ms += 37) {
			/* Local time in which the worker clock advances. */
			double elapsed_ms =
				(double)ttl_ms * 100 / (double)percent;

			ck_assert(elapsed_ms <
				  (double)lease_local_expiry_ms(0, ttl_ms));
		}
}
END_TEST

#define OK COMMIT_OK
#define PENDING COMMIT_PENDING
#define FAILED COMMIT_FAILED
#define UNKNOWN COMMIT_UNKNOWN

/*
 * Guards against a wrong transition, which would start only part of a gang,
 * restart it while its former attempt still runs, or block it forever.
 */
START_TEST(gang_transitions)
{
	static const struct {
		const char *what;
		enum gang_state from;
		struct gang_inputs f;
		enum gang_state to;
	} cases[] = {
		{ "nothing to do", GANG_NONE, { .members = 2 }, GANG_NONE },
		{ "one of two reserved",
		  GANG_RESERVING,
		  { .members = 2, .reserved = 1 },
		  GANG_RESERVING },
		{ "all reserved",
		  GANG_RESERVING,
		  { .members = 2, .reserved = 2 },
		  GANG_COMMITTING },
		{ "one refused",
		  GANG_RESERVING,
		  { .members = 2, .reserved = 1, .gone = 1, .failed = 1 },
		  GANG_STOPPING },
		{ "all reserved, one lost since",
		  GANG_RESERVING,
		  { .members = 2, .reserved = 2, .failed = 1 },
		  GANG_STOPPING },
		{ "reservations took too long",
		  GANG_RESERVING,
		  { .members = 2, .reserved = 1, .start_timed_out = true },
		  GANG_STOPPING },
		{ "reclaimed while reserving",
		  GANG_RESERVING,
		  { .members = 2, .reserved = 2, .stop = true },
		  GANG_STOPPING },
		{ "commit in flight",
		  GANG_COMMITTING,
		  { .members = 2, .reserved = 2, .commit = PENDING },
		  GANG_COMMITTING },
		{ "commit in flight and a member lost: waits for the result",
		  GANG_COMMITTING,
		  { .members = 2, .failed = 1, .commit = PENDING },
		  GANG_COMMITTING },
		{ "committed",
		  GANG_COMMITTING,
		  { .members = 2, .reserved = 2, .commit = OK },
		  GANG_STARTING },
		{ "committed, but a member is lost",
		  GANG_COMMITTING,
		  { .members = 2, .reserved = 1, .failed = 1, .commit = OK },
		  GANG_STOPPING },
		{ "not committed",
		  GANG_COMMITTING,
		  { .members = 2, .reserved = 2, .commit = FAILED },
		  GANG_STOPPING },
		{ "result of the commit unknown",
		  GANG_COMMITTING,
		  { .members = 2, .reserved = 2, .commit = UNKNOWN },
		  GANG_STOPPING },
		{ "one of two started",
		  GANG_STARTING,
		  { .members = 2, .reserved = 2, .running = 1, .commit = OK },
		  GANG_STARTING },
		{ "all started",
		  GANG_STARTING,
		  { .members = 2, .running = 2, .commit = OK },
		  GANG_RUNNING },
		{ "all started, one done already",
		  GANG_STARTING,
		  { .members = 2, .running = 1, .done = 1, .commit = OK },
		  GANG_RUNNING },
		/* A takeover may find these two; the job must not run again. */
		{ "all done while a stop was requested, after a takeover",
		  GANG_STARTING,
		  { .members = 2, .done = 2, .commit = OK, .stop = true },
		  GANG_RUNNING },
		{ "all done, found after the start limit, after a takeover",
		  GANG_STARTING,
		  { .members = 2,
		    .done = 2,
		    .commit = OK,
		    .start_timed_out = true },
		  GANG_RUNNING },
		{ "a start failed",
		  GANG_STARTING,
		  { .members = 2, .running = 1, .failed = 1, .commit = OK },
		  GANG_STOPPING },
		{ "start took too long",
		  GANG_STARTING,
		  { .members = 2,
		    .running = 1,
		    .commit = OK,
		    .start_timed_out = true },
		  GANG_STOPPING },
		{ "running",
		  GANG_RUNNING,
		  { .members = 2,
		    .running = 2,
		    .commit = OK,
		    .start_timed_out = true },
		  GANG_RUNNING },
		{ "one done, the other running",
		  GANG_RUNNING,
		  { .members = 2, .running = 1, .done = 1 },
		  GANG_RUNNING },
		{ "all done",
		  GANG_RUNNING,
		  { .members = 2, .done = 2 },
		  GANG_RECORDING },
		{ "all done while a stop was requested",
		  GANG_RUNNING,
		  { .members = 2, .done = 2, .stop = true },
		  GANG_RECORDING },
		{ "a member lost",
		  GANG_RUNNING,
		  { .members = 2, .running = 1, .failed = 1 },
		  GANG_STOPPING },
		{ "cancelled",
		  GANG_RUNNING,
		  { .members = 2, .running = 2, .stop = true },
		  GANG_STOPPING },
		{ "one lease not expired yet",
		  GANG_STOPPING,
		  { .members = 2, .gone = 1 },
		  GANG_STOPPING },
		{ "all leases gone",
		  GANG_STOPPING,
		  { .members = 2, .gone = 2 },
		  GANG_RECORDING },
		{ "all done before the stop reached them",
		  GANG_STOPPING,
		  { .members = 2, .done = 2, .stop = true },
		  GANG_RECORDING },
		{ "one done, the other gone",
		  GANG_STOPPING,
		  { .members = 2, .done = 1, .gone = 1 },
		  GANG_STOPPING },
		{ "row not written",
		  GANG_RECORDING,
		  { .members = 2, .gone = 2 },
		  GANG_RECORDING },
		{ "row written",
		  GANG_RECORDING,
		  { .members = 2, .gone = 2, .recorded = true },
		  GANG_NONE },
		{ "row says done, records remain",
		  GANG_RECORDING,
		  { .members = 2, .done = 2, .recorded = true },
		  GANG_RELEASING },
		{ "one record remains",
		  GANG_RELEASING,
		  { .members = 2, .done = 1, .gone = 1, .recorded = true },
		  GANG_RELEASING },
		{ "records released",
		  GANG_RELEASING,
		  { .members = 2, .gone = 2, .recorded = true },
		  GANG_NONE },
	};
	size_t i;

	for (i = 0; i < ARRAY_SIZE(cases); i++)
		ck_assert_msg(gang_next_state(cases[i].from, &cases[i].f) ==
				      cases[i].to,
			      "%s", cases[i].what);
}
END_TEST

/* Guards against inputs that start a gang before its attempt is committed. */
START_TEST(gang_starts_only_after_commit)
{
	struct gang_inputs f;
	int bits, commit;

	for (commit = COMMIT_NONE; commit <= COMMIT_UNKNOWN; commit++)
		for (bits = 0; bits < 256; bits++) {
			enum gang_state s;

			f = (struct gang_inputs){
				.members = 2,
				.reserved = bits & 3,
				.failed = bits >> 2 & 1,
				.stop = bits >> 3 & 1,
				.start_timed_out = bits >> 4 & 1,
				.running = bits >> 5 & 1,
				.gone = bits >> 6 & 3,
				.commit = (enum gang_commit)commit,
			};
			s = gang_next_state(GANG_COMMITTING, &f);
			ck_assert(s != GANG_STARTING || commit == COMMIT_OK);
			s = gang_next_state(GANG_RESERVING, &f);
			ck_assert(s == GANG_RESERVING || s == GANG_STOPPING ||
				  s == GANG_COMMITTING);
			ck_assert(s != GANG_COMMITTING || f.reserved == 2);
		}
}
END_TEST

#define RUNS(job, attempt, index, size)                \
	{                                              \
		job, attempt, index, size, true, false \
	}
#define ENDED(job, attempt, index, size)               \
	{                                              \
		job, attempt, index, size, false, true \
	}
#define RESERVED(job, attempt, index, size)             \
	{                                               \
		job, attempt, index, size, false, false \
	}

/*
 * Guards against the renewal of an incomplete gang, whose remaining members
 * would keep running without the others.
 */
START_TEST(complete_gangs)
{
	static const struct {
		const char *what;
		struct observed_lease leases[4];
		size_t n;
		bool complete;
	} cases[] = {
		{ "gang of one", { RUNS("j", 1, 0, 1) }, 1, true },
		{ "both running",
		  { RUNS("j", 1, 0, 2), RUNS("j", 1, 1, 2) },
		  2,
		  true },
		{ "one missing", { RUNS("j", 1, 0, 2) }, 1, false },
		{ "one ended",
		  { RUNS("j", 1, 0, 2), ENDED("j", 1, 1, 2) },
		  2,
		  true },
		{ "one only reserved",
		  { RUNS("j", 1, 0, 2), RESERVED("j", 1, 1, 2) },
		  2,
		  false },
		{ "the other from another attempt",
		  { RUNS("j", 1, 0, 2), RUNS("j", 2, 1, 2) },
		  2,
		  false },
		{ "the other from another job",
		  { RUNS("j", 1, 0, 2), RUNS("k", 1, 1, 2) },
		  2,
		  false },
		{ "the same index twice",
		  { RUNS("j", 1, 0, 2), RUNS("j", 1, 0, 2) },
		  2,
		  false },
		{ "index out of range",
		  { RUNS("j", 1, 0, 2), RUNS("j", 1, 7, 2) },
		  2,
		  false },
		{ "size of 0", { RUNS("j", 1, 0, 0) }, 1, false },
		{ "all ended", { ENDED("j", 1, 0, 1) }, 1, false },
	};
	size_t i;

	for (i = 0; i < ARRAY_SIZE(cases); i++)
		ck_assert_msg(gang_is_complete(cases[i].leases, cases[i].n,
					       &cases[i].leases[0]) ==
				      cases[i].complete,
			      "%s", cases[i].what);
}
END_TEST

/*
 * Guards against a digest that differs from the worker's, which would make
 * every renew_all a mismatch.  The values are the example in
 * docs/platform-contract.md.
 */
START_TEST(digest_of_leases)
{
	uint64_t a = digest_lease("train", 1, 0);
	uint64_t b = digest_lease("train", 1, 1);
	uint64_t c = digest_lease("dyzury-7", 12, 3);
	char text[DIGEST_SIZE];

	ck_assert_uint_eq(a, 0xfcf9008ffc9ee085);
	ck_assert_uint_eq(b, 0x59922560c622e954);
	ck_assert_uint_eq(c, 0xb2564ac1cfb6c197);
	digest_format(a + b + c, text);
	ck_assert_str_eq(text, "08e170b292788b70");
	digest_format(0, text);
	ck_assert_str_eq(text, "0000000000000000");
}
END_TEST

static int count_findings(const char *text, const char *place)
{
	struct tg_findings f = { 0 };
	struct job_spec spec;
	json_t *in = json_loads(text, JSON_DECODE_ANY, NULL);
	json_t *out;
	int n = 0;
	size_t i;

	ck_assert_ptr_nonnull(in);
	out = spec_parse(in, "a", &spec, &f);
	for (i = 0; i < f.n; i++)
		n += !strcmp(f.items[i].place, place);
	ck_assert((out == NULL) == (f.n > 0));
	json_decref(in);
	json_decref(out);
	tg_findings_free(&f);
	return n;
}

/*
 * Guards against an invalid spec that is accepted: its row could not be decoded
 * by any scheduler.
 */
START_TEST(spec_findings)
{
	static const struct {
		const char *text, *place;
	} cases[] = {
		{ "[]", "/" },
		{ "{\"workspace\":\"w\",\"tasks\":1}", "/job" },
		{ "{\"workspace\":\"W\",\"job\":\"j\",\"tasks\":1}",
		  "/workspace" },
		{ "{\"workspace\":\"w\",\"job\":\"j\"}", "/tasks" },
		{ "{\"workspace\":\"w\",\"job\":\"j\",\"tasks\":1025}",
		  "/tasks" },
		{ "{\"workspace\":\"w\",\"job\":\"j\",\"tasks\":1.5}",
		  "/tasks" },
		{ "{\"workspace\":\"w\",\"job\":\"j\",\"tasks\":1,"
		  "\"accelerators_per_task\":-1}",
		  "/accelerators_per_task" },
		{ "{\"workspace\":\"w\",\"job\":\"j\",\"tasks\":1,"
		  "\"class\":\"best\"}",
		  "/class" },
		{ "{\"workspace\":\"w\",\"job\":\"j\",\"tasks\":1,\"az\":\"b\"}",
		  "/az" },
		{ "{\"workspace\":\"w\",\"job\":\"j\",\"tasks\":1,"
		  "\"within_rack\":1}",
		  "/within_rack" },
		{ "{\"workspace\":\"w\",\"job\":\"j\",\"tasks\":1,\"task\":1}",
		  "/task" },
		{ "{\"workspace\":\"w\",\"job\":\"j\",\"tasks\":1,"
		  "\"declared_ms\":0}",
		  "/declared_ms" },
		{ "{\"workspace\":\"w\",\"job\":\"j\",\"tasks\":1,\"cpu\":1}",
		  "/cpu" },
	};
	size_t i;

	for (i = 0; i < ARRAY_SIZE(cases); i++)
		ck_assert_msg(count_findings(cases[i].text, cases[i].place) ==
				      1,
			      "%s", cases[i].text);
}
END_TEST

/*
 * Guards against a repeated submission that is refused as another job because
 * it states defaults that the first one left out, or the reverse.
 */
START_TEST(spec_defaults)
{
	static const char *const texts[] = {
		"{\"workspace\":\"w\",\"job\":\"j\",\"tasks\":1}",
		"{\"tasks\":1,\"job\":\"j\",\"workspace\":\"w\","
		"\"class\":\"lent\",\"az\":\"any\",\"within_rack\":false}",
		"{\"workspace\":\"w\",\"job\":\"j\",\"tasks\":1,\"az\":\"a\","
		"\"task\":{},\"cores_per_task\":0}",
	};
	struct tg_findings f = { 0 };
	struct job_spec spec;
	json_t *first = NULL;
	size_t i;

	for (i = 0; i < ARRAY_SIZE(texts); i++) {
		json_t *in = json_loads(texts[i], 0, NULL);
		json_t *out = spec_parse(in, "a", &spec, &f);

		ck_assert_ptr_nonnull(out);
		if (!first)
			first = json_incref(out);
		ck_assert(json_equal(first, out));
		json_decref(in);
		json_decref(out);
	}
	json_decref(first);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("sched");
	TCase *t = tcase_create("all");

	tcase_add_test(t, lease_arithmetic);
	tcase_add_test(t, worker_lease_ends_before_local_expiry);
	tcase_add_test(t, gang_transitions);
	tcase_add_test(t, gang_starts_only_after_commit);
	tcase_add_test(t, complete_gangs);
	tcase_add_test(t, digest_of_leases);
	tcase_add_test(t, spec_findings);
	tcase_add_test(t, spec_defaults);
	suite_add_tcase(s, t);
	return run_suite(s);
}
