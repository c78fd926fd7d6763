#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

#include "oncrpc/codec.h"
#include "../run.h"
#include "suites.h"

#define XID 0x12345678
#define LAST_FRAGMENT 0x80000000U
#define FUZZ_ROUNDS 20000

static struct tg_rpc_worker_note notes[] = {
	{ "w-1", "b1", 7, 5, TG_RPC_WORKER_UP, 8, 3, 12 },
	{ "w-2", "b2", UINT64_MAX, INT64_MAX, TG_RPC_WORKER_DRAINING, 8, 0, 0 },
};
static struct tg_rpc_peer peer = { .instance = "e-1",
				   .role = "entry",
				   .az = "a",
				   .boot = "b",
				   .generation = 1ULL << 40,
				   .epoch = 3,
				   .active = true };
static struct tg_rpc_doc doc = { 9, { 13, "{\"version\":1}" } };
static struct tg_rpc_generation generation = { UINT64_MAX };
static struct tg_rpc_doc_result doc_result = { TG_RPC_STALE, 10 };
static struct tg_rpc_job job = { "courts", "j-1", { 2, "{}" } };
static struct tg_rpc_list list = { "", "j-0", 500 };
static struct tg_rpc_answer answer = { TG_RPC_REFUSED, 4, { 2, "[]" }, "why" };
static struct tg_rpc_request request = {
	.workspace = "courts",
	.service = "responder",
	.key = "tgk1.a.e-1.b.1",
	.method = "POST",
	.path = "/x?y=1",
	.content_type = "text/plain",
	.deadline_ms = 10000,
	.ask = true,
	.body = { 5, "a\0b\0c" },
};
static struct tg_rpc_response response = {
	.outcome = TG_RPC_NOT_RUN,
	.http_status = 503,
	.content_type = "text/plain",
	.reason = "no backend server",
	.body = { 0, "" },
};
static struct tg_rpc_worker_notes worker_notes = {
	"e-1", "b", { ARRAY_SIZE(notes), notes }
};

static struct tg_rpc_instance_page instance_page = { "a", 1024 };
static struct tg_rpc_instance instance_list[] = {
	{ "w-1", 0, "a", "r-1", "127.0.0.1:1", "127.0.0.1:2", "", true, 128,
	  256, 8, 7, 64 },
	{ "e-1", 1, "a", "", "127.0.0.1:3", "", "127.0.0.1:4", false, 0, 0, 0,
	  0, 0 },
};
static struct tg_rpc_instances instances = {
	TG_RPC_OK, true, { ARRAY_SIZE(instance_list), instance_list }
};

static const struct {
	void *args, *res;
} samples[TG_RPC_N_PROCS] = {
	[TG_RPC_NULL] = { NULL, NULL },
	[TG_RPC_PING] = { &peer, &peer },
	[TG_RPC_DOC_PUSH] = { &doc, &doc_result },
	[TG_RPC_DOC_PULL] = { &generation, &doc },
	[TG_RPC_JOB_SUBMIT] = { &job, &answer },
	[TG_RPC_JOB_CANCEL] = { &job, &answer },
	[TG_RPC_JOB_STATUS] = { &job, &answer },
	[TG_RPC_JOB_LIST] = { &list, &answer },
	[TG_RPC_JOB_EXPLAIN] = { &job, &answer },
	[TG_RPC_REQUEST_FORWARD] = { &request, &response },
	[TG_RPC_WORKER_NOTES] = { &worker_notes, NULL },
	[TG_RPC_WORKER_LIST] = { &list, &answer },
	[TG_RPC_GUARANTEE_LIST] = { &list, &answer },
	[TG_RPC_INSTANCE_LIST] = { &instance_page, &instances },
	[TG_RPC_JOB_STORE] = { &job, &answer },
};

static void *sample_call(uint32_t proc, size_t *n)
{
	void *p = rpc_encode_call(XID, proc, samples[proc].args, n);

	ck_assert_ptr_nonnull(p);
	return p;
}

/* A field lost in encoding or decoding would be read as 0 or empty. */
START_TEST(calls_round_trip)
{
	uint32_t proc = (uint32_t)_i;
	struct rpc_call_msg m;
	size_t n, recoded_n;
	void *p = sample_call(proc, &n), *recoded;

	ck_assert_int_eq(rpc_decode_call(p, n, &m), RPC_DECODED);
	ck_assert_uint_eq(m.xid, XID);
	ck_assert_uint_eq(m.proc, proc);
	recoded = rpc_encode_call(XID, proc, m.args, &recoded_n);
	ck_assert_uint_eq(n, recoded_n);
	ck_assert_mem_eq(p, recoded, n);
	ck_assert_int_eq(tg_rpc_decode_call(p, n), (int)proc);
	rpc_free_args(proc, m.args);
	free(recoded);
	free(p);
}
END_TEST

START_TEST(results_round_trip)
{
	const struct tg_rpc_proc *info = &tg_rpc_procs[_i];
	uint32_t proc = (uint32_t)_i;
	size_t n, recoded_n;
	void *p = rpc_encode_result(XID, proc, samples[proc].res, &n), *recoded;
	void *res = tg_xcalloc(1, info->res_size);

	ck_assert_ptr_nonnull(p);
	ck_assert_int_eq(rpc_decode_result(p, n, proc, res), TG_RPC_CALL_OK);
	recoded = rpc_encode_result(XID, proc, info->res_size ? res : NULL,
				    &recoded_n);
	ck_assert_uint_eq(n, recoded_n);
	ck_assert_mem_eq(p, recoded, n);
	if (info->res_size)
		xdr_free(info->xdr_res, res);
	free(res);
	free(recoded);
	free(p);
}
END_TEST

/* A truncated record must not decode as a shorter valid one. */
START_TEST(truncated_calls_are_refused)
{
	size_t n, len;
	void *p = sample_call((uint32_t)_i, &n);

	for (len = 0; len < n; len++) {
		/* With a copy of exact size the sanitizer detects overreads. */
		void *copy = malloc(len + !len);

		memcpy(copy, p, len);
		ck_assert_int_eq(tg_rpc_decode_call(copy, len), -1);
		free(copy);
	}
	free(p);
}
END_TEST

START_TEST(truncated_results_refused)
{
	const struct tg_rpc_proc *info = &tg_rpc_procs[_i];
	size_t n, len;
	void *p = rpc_encode_result(XID, (uint32_t)_i, samples[_i].res, &n);
	void *res = tg_xcalloc(1, info->res_size + 1);

	for (len = 0; len < n; len++) {
		void *copy = malloc(len + !len);

		memcpy(copy, p, len);
		ck_assert_int_eq(
			rpc_decode_result(copy, len, (uint32_t)_i, res),
			TG_RPC_CALL_NO_VALID_REPLY);
		free(copy);
	}
	free(res);
	free(p);
}
END_TEST

static void set_word(void *p, size_t i, uint32_t v)
{
	v = htonl(v);
	memcpy((char *)p + 4 * i, &v, sizeof(v));
}

/* Words of a call: xid, direction, RPC version, program, version, procedure. */
START_TEST(invalid_headers_are_refused)
{
	static const struct {
		size_t word;
		uint32_t value;
		enum rpc_decode_status why;
	} cases[] = {
		{ 1, REPLY, RPC_BAD_HEADER },
		{ 1, 77, RPC_BAD_HEADER },
		{ 2, 3, RPC_BAD_HEADER },
		{ 3, TG_RPC_PROGRAM + 1, RPC_WRONG_PROGRAM },
		{ 4, 0, RPC_WRONG_VERSION },
		{ 4, 2, RPC_WRONG_VERSION },
		{ 5, TG_RPC_N_PROCS, RPC_WRONG_PROC },
		{ 5, UINT32_MAX, RPC_WRONG_PROC },
		{ 7, MAX_AUTH_BYTES + 1, RPC_BAD_HEADER },
		{ 7, UINT32_MAX, RPC_BAD_HEADER },
	};
	struct rpc_call_msg m;
	size_t i, n;

	for (i = 0; i < ARRAY_SIZE(cases); i++) {
		void *p = sample_call(TG_RPC_PING, &n);

		set_word(p, cases[i].word, cases[i].value);
		ck_assert_msg(rpc_decode_call(p, n, &m) == cases[i].why,
			      "case %zu", i);
		ck_assert_ptr_null(m.args);
		ck_assert_int_eq(tg_rpc_decode_call(p, n), -1);
		free(p);
	}
}
END_TEST

/* A caller must be able to tell a rejected call from one that may have run. */
START_TEST(error_replies_end_as_refused)
{
	static const enum rpc_decode_status statuses[] = { RPC_WRONG_PROGRAM,
							   RPC_WRONG_VERSION,
							   RPC_WRONG_PROC,
							   RPC_WRONG_ARGS };
	struct tg_rpc_peer res = { 0 };
	size_t i, n;

	for (i = 0; i < ARRAY_SIZE(statuses); i++) {
		void *p = rpc_encode_error(XID, statuses[i], &n);

		ck_assert_ptr_nonnull(p);
		ck_assert_int_eq(rpc_decode_result(p, n, TG_RPC_PING, &res),
				 TG_RPC_CALL_REJECTED);
		free(p);
	}
}
END_TEST

/* The call ran, so its caller must not take the reply for a rejection. */
START_TEST(unencodable_result_is_no_rejection)
{
	struct tg_rpc_peer res = { 0 };
	size_t n;
	void *p = rpc_encode_executed_error(XID, &n);

	ck_assert_ptr_nonnull(p);
	ck_assert_int_eq(rpc_decode_result(p, n, TG_RPC_PING, &res),
			 TG_RPC_CALL_NO_VALID_REPLY);
	free(p);
}
END_TEST

/* Lengths in a record beyond the bounds of tgrpc.x must not be accepted. */
START_TEST(overlong_fields_are_refused)
{
	char name[TG_RPC_NAME_MAX + 2];
	struct tg_rpc_job j = job;
	size_t n;
	void *p;

	memset(name, 'a', sizeof(name));
	name[TG_RPC_NAME_MAX] = '\0';
	j.workspace = name;
	p = rpc_encode_call(XID, TG_RPC_JOB_STATUS, &j, &n);
	ck_assert_int_eq(tg_rpc_decode_call(p, n), TG_RPC_JOB_STATUS);
	free(p);
	name[TG_RPC_NAME_MAX] = 'a';
	name[TG_RPC_NAME_MAX + 1] = '\0';
	ck_assert_ptr_null(rpc_encode_call(XID, TG_RPC_JOB_STATUS, &j, &n));
	p = sample_call(TG_RPC_JOB_STATUS, &n);
	set_word(p, 10, TG_RPC_NAME_MAX + 1);
	ck_assert_int_eq(tg_rpc_decode_call(p, n), -1);
	set_word(p, 10, UINT32_MAX);
	ck_assert_int_eq(tg_rpc_decode_call(p, n), -1);
	free(p);
}
END_TEST

static void add_mark(struct evbuffer *in, uint32_t mark)
{
	mark = htonl(mark);
	evbuffer_add(in, &mark, sizeof(mark));
}

/* TCP may split a record at any byte; fragments must be reassembled. */
START_TEST(stream_byte_by_byte)
{
	struct evbuffer *in = evbuffer_new(), *whole = evbuffer_new();
	struct rpc_stream s = { 0 };
	int records = 0;
	char c;

	add_mark(whole, 3);
	evbuffer_add(whole, "abc", 3);
	add_mark(whole, 0);
	add_mark(whole, LAST_FRAGMENT | 2);
	evbuffer_add(whole, "de", 2);
	rpc_write_record(whole, "abcde", 5);
	while (evbuffer_remove(whole, &c, 1) == 1) {
		enum rpc_stream_result r;

		evbuffer_add(in, &c, 1);
		r = rpc_stream_next(&s, in);
		ck_assert_int_ne(r, RPC_STREAM_INVALID);
		if (r != RPC_RECORD)
			continue;
		records++;
		ck_assert_uint_eq(s.n, 5);
		ck_assert_mem_eq(s.record, "abcde", 5);
		rpc_stream_reset(&s);
	}
	ck_assert_int_eq(records, 2);
	evbuffer_free(in);
	evbuffer_free(whole);
}
END_TEST

/* Empty fragments and empty records are valid record marking. */
START_TEST(stream_with_empty_fragments)
{
	struct evbuffer *in = evbuffer_new();
	struct rpc_stream s = { 0 };

	add_mark(in, 0);
	add_mark(in, 0);
	add_mark(in, LAST_FRAGMENT);
	ck_assert_int_eq(rpc_stream_next(&s, in), RPC_RECORD);
	ck_assert_uint_eq(s.n, 0);
	ck_assert_int_eq(tg_rpc_decode_call(s.record, s.n), -1);
	rpc_stream_reset(&s);
	evbuffer_free(in);
}
END_TEST

/* A record without a last fragment must not exhaust memory. */
START_TEST(stream_without_last_fragment)
{
	static const uint32_t sizes[] = { 0, 1, 4096, TG_RPC_RECORD_MAX };
	char *filler = tg_xcalloc(1, TG_RPC_RECORD_MAX);
	size_t i;
	int turn;

	for (i = 0; i < ARRAY_SIZE(sizes); i++) {
		enum rpc_stream_result r = RPC_NEED_MORE;
		struct evbuffer *in = evbuffer_new();
		struct rpc_stream s = { 0 };

		for (turn = 0; turn < 1000 && r == RPC_NEED_MORE; turn++) {
			add_mark(in, sizes[i]);
			evbuffer_add(in, filler, sizes[i]);
			r = rpc_stream_next(&s, in);
			ck_assert_uint_le(s.n, TG_RPC_RECORD_MAX);
		}
		ck_assert_int_eq(r, RPC_STREAM_INVALID);
		rpc_stream_reset(&s);
		evbuffer_free(in);
	}
	free(filler);
}
END_TEST

START_TEST(stream_with_oversized_fragment)
{
	struct evbuffer *in = evbuffer_new();
	struct rpc_stream s = { 0 };

	add_mark(in, LAST_FRAGMENT | (TG_RPC_RECORD_MAX + 1));
	ck_assert_int_eq(rpc_stream_next(&s, in), RPC_STREAM_INVALID);
	rpc_stream_reset(&s);
	evbuffer_free(in);
}
END_TEST

/* Arbitrary bytes from the network must be decoded or rejected safely. */
START_TEST(fuzz_calls)
{
	struct tg_rng r = { .state = (uint64_t)_i };
	int round;

	for (round = 0; round < FUZZ_ROUNDS; round++) {
		uint32_t proc = (uint32_t)tg_rng_below(&r, TG_RPC_N_PROCS);
		uint64_t edits = 1 + tg_rng_below(&r, 4);
		size_t n;
		char *p = sample_call(proc, &n);

		while (edits--) {
			size_t at = tg_rng_below(&r, n);

			if (tg_rng_below(&r, 2))
				p[at] = (char)tg_rng_next(&r);
			else
				set_word(p, at / 4,
					 (uint32_t)tg_rng_next(&r) >>
						 tg_rng_below(&r, 32));
		}
		if (!tg_rng_below(&r, 4))
			n = tg_rng_below(&r, n);
		ck_assert_int_lt(tg_rpc_decode_call(p, n), TG_RPC_N_PROCS);
		free(p);
	}
}
END_TEST

START_TEST(fuzz_results)
{
	struct tg_rng r = { .state = (uint64_t)_i };
	int round;

	for (round = 0; round < FUZZ_ROUNDS; round++) {
		uint32_t proc = (uint32_t)tg_rng_below(&r, TG_RPC_N_PROCS);
		const struct tg_rpc_proc *info = &tg_rpc_procs[proc];
		void *res = tg_xcalloc(1, info->res_size + 1);
		size_t n, at;
		char *p = rpc_encode_result(XID, proc, samples[proc].res, &n);

		at = tg_rng_below(&r, n);
		if (tg_rng_below(&r, 2))
			p[at] = (char)tg_rng_next(&r);
		else
			set_word(p, at / 4, (uint32_t)tg_rng_next(&r));
		if (rpc_decode_result(p, n, proc, res) == TG_RPC_CALL_OK &&
		    info->res_size)
			xdr_free(info->xdr_res, res);
		free(res);
		free(p);
	}
}
END_TEST

START_TEST(fuzz_stream)
{
	struct tg_rng r = { .state = (uint64_t)_i };
	int round;

	for (round = 0; round < 200; round++) {
		enum rpc_stream_result result = RPC_NEED_MORE;
		struct evbuffer *in = evbuffer_new();
		struct rpc_stream s = { 0 };
		int piece;

		for (piece = 0; piece < 100 && result != RPC_STREAM_INVALID;
		     piece++) {
			uint32_t size = (uint32_t)tg_rng_below(&r, 64);
			char bytes[64];

			add_mark(in,
				 tg_rng_below(&r, 100) ?
					 size |
						 (tg_rng_below(&r, 2) ?
							  LAST_FRAGMENT :
							  0) :
					 (uint32_t)tg_rng_next(&r));
			memset(bytes, (int)size, sizeof(bytes));
			evbuffer_add(in, bytes, size);
			while ((result = rpc_stream_next(&s, in)) ==
			       RPC_RECORD) {
				tg_rpc_decode_call(s.record, s.n);
				rpc_stream_reset(&s);
			}
			ck_assert_uint_le(s.n, TG_RPC_RECORD_MAX);
		}
		rpc_stream_reset(&s);
		evbuffer_free(in);
	}
}
END_TEST

int main(void)
{
	Suite *s = suite_create("oncrpc");
	TCase *c = tcase_create("oncrpc");

	tcase_set_timeout(c, 120);
	tcase_add_loop_test(c, calls_round_trip, 0, TG_RPC_N_PROCS);
	tcase_add_loop_test(c, results_round_trip, 0, TG_RPC_N_PROCS);
	tcase_add_loop_test(c, truncated_calls_are_refused, 0, TG_RPC_N_PROCS);
	tcase_add_loop_test(c, truncated_results_refused, 0, TG_RPC_N_PROCS);
	tcase_add_test(c, invalid_headers_are_refused);
	tcase_add_test(c, error_replies_end_as_refused);
	tcase_add_test(c, unencodable_result_is_no_rejection);
	tcase_add_test(c, overlong_fields_are_refused);
	tcase_add_test(c, stream_byte_by_byte);
	tcase_add_test(c, stream_with_empty_fragments);
	tcase_add_test(c, stream_without_last_fragment);
	tcase_add_test(c, stream_with_oversized_fragment);
	tcase_add_loop_test(c, fuzz_calls, 1, 6);
	tcase_add_loop_test(c, fuzz_results, 1, 6);
	tcase_add_loop_test(c, fuzz_stream, 1, 6);
	suite_add_tcase(s, c);
	suite_add_tcase(s, server_tcase());
	return run_suite(s);
}
