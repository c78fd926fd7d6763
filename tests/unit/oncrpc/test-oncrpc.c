#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

#include "oncrpc/codec.h"
#include "../run.h"

#define XID 0x12345678
#define LAST_FRAGMENT 0x80000000U
#define ROUNDS 20000

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

/* A field that is lost on the way would be acted on as 0 or empty. */
START_TEST(calls_round_trip)
{
	uint32_t proc = (uint32_t)_i;
	struct rpc_call_msg m;
	size_t n, back_n;
	void *p = sample_call(proc, &n), *back;

	ck_assert_int_eq(rpc_decode_call(p, n, &m), RPC_DECODED);
	ck_assert_uint_eq(m.xid, XID);
	ck_assert_uint_eq(m.proc, proc);
	back = rpc_encode_call(XID, proc, m.args, &back_n);
	ck_assert_uint_eq(n, back_n);
	ck_assert_mem_eq(p, back, n);
	ck_assert_int_eq(tg_rpc_decode_call(p, n), (int)proc);
	rpc_free_args(proc, m.args);
	free(back);
	free(p);
}
END_TEST

START_TEST(results_round_trip)
{
	const struct tg_rpc_proc *info = &tg_rpc_procs[_i];
	uint32_t proc = (uint32_t)_i;
	size_t n, back_n;
	void *p = rpc_encode_result(XID, proc, samples[proc].res, &n), *back;
	void *res = tg_xcalloc(1, info->res_size);

	ck_assert_ptr_nonnull(p);
	ck_assert_int_eq(rpc_decode_result(p, n, proc, res), TG_RPC_END_OK);
	back = rpc_encode_result(XID, proc, info->res_size ? res : NULL,
				 &back_n);
	ck_assert_uint_eq(n, back_n);
	ck_assert_mem_eq(p, back, n);
	if (info->res_size)
		xdr_free(info->xdr_res, res);
	free(res);
	free(back);
	free(p);
}
END_TEST

/* A cut record must not be taken for a shorter one. */
START_TEST(cut_calls_are_refused)
{
	size_t n, cut;
	void *p = sample_call((uint32_t)_i, &n);

	for (cut = 0; cut < n; cut++) {
		/* A copy of the exact size lets the sanitizer see overreads. */
		void *part = malloc(cut + !cut);

		memcpy(part, p, cut);
		ck_assert_int_eq(tg_rpc_decode_call(part, cut), -1);
		free(part);
	}
	free(p);
}
END_TEST

START_TEST(cut_results_are_refused)
{
	const struct tg_rpc_proc *info = &tg_rpc_procs[_i];
	size_t n, cut;
	void *p = rpc_encode_result(XID, (uint32_t)_i, samples[_i].res, &n);
	void *res = tg_xcalloc(1, info->res_size + 1);

	for (cut = 0; cut < n; cut++) {
		void *part = malloc(cut + !cut);

		memcpy(part, p, cut);
		ck_assert_int_eq(
			rpc_decode_result(part, cut, (uint32_t)_i, res),
			TG_RPC_END_BROKEN);
		free(part);
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
START_TEST(wrong_headers_are_refused)
{
	static const struct {
		size_t word;
		uint32_t value;
		enum rpc_decode why;
	} cases[] = {
		{ 1, REPLY, RPC_GARBAGE },
		{ 1, 77, RPC_GARBAGE },
		{ 2, 3, RPC_GARBAGE },
		{ 3, TG_RPC_PROGRAM + 1, RPC_WRONG_PROGRAM },
		{ 4, 0, RPC_WRONG_VERSION },
		{ 4, 2, RPC_WRONG_VERSION },
		{ 5, TG_RPC_N_PROCS, RPC_WRONG_PROC },
		{ 5, UINT32_MAX, RPC_WRONG_PROC },
		{ 7, MAX_AUTH_BYTES + 1, RPC_GARBAGE },
		{ 7, UINT32_MAX, RPC_GARBAGE },
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

/* The caller must learn that a refused call did not act. */
START_TEST(refusals_say_so)
{
	static const enum rpc_decode whys[] = { RPC_WRONG_PROGRAM,
						RPC_WRONG_VERSION,
						RPC_WRONG_PROC,
						RPC_WRONG_ARGS };
	struct tg_rpc_peer res = { 0 };
	size_t i, n;

	for (i = 0; i < ARRAY_SIZE(whys); i++) {
		void *p = rpc_encode_refusal(XID, whys[i], &n);

		ck_assert_ptr_nonnull(p);
		ck_assert_int_eq(rpc_decode_result(p, n, TG_RPC_PING, &res),
				 TG_RPC_END_REFUSED);
		free(p);
	}
}
END_TEST

/* Counts inside a record must not exceed the bounds of tgrpc.x. */
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

/* TCP may deliver any piece of a record at a time. */
START_TEST(stream_of_pieces)
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

/* An empty fragment at the start and an empty record are valid. */
START_TEST(stream_of_empty_fragments)
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

/* A record that never ends must not fill the memory. */
START_TEST(stream_of_endless_fragments)
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

START_TEST(stream_of_huge_fragment)
{
	struct evbuffer *in = evbuffer_new();
	struct rpc_stream s = { 0 };

	add_mark(in, LAST_FRAGMENT | (TG_RPC_RECORD_MAX + 1));
	ck_assert_int_eq(rpc_stream_next(&s, in), RPC_STREAM_INVALID);
	rpc_stream_reset(&s);
	evbuffer_free(in);
}
END_TEST

/* Any record may come from the network: it is decoded or refused. */
START_TEST(fuzz_calls)
{
	struct tg_rng r = { .state = (uint64_t)_i };
	int round;

	for (round = 0; round < ROUNDS; round++) {
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

	for (round = 0; round < ROUNDS; round++) {
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
		if (rpc_decode_result(p, n, proc, res) == TG_RPC_END_OK &&
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
	tcase_add_loop_test(c, cut_calls_are_refused, 0, TG_RPC_N_PROCS);
	tcase_add_loop_test(c, cut_results_are_refused, 0, TG_RPC_N_PROCS);
	tcase_add_test(c, wrong_headers_are_refused);
	tcase_add_test(c, refusals_say_so);
	tcase_add_test(c, overlong_fields_are_refused);
	tcase_add_test(c, stream_of_pieces);
	tcase_add_test(c, stream_of_empty_fragments);
	tcase_add_test(c, stream_of_endless_fragments);
	tcase_add_test(c, stream_of_huge_fragment);
	tcase_add_loop_test(c, fuzz_calls, 1, 6);
	tcase_add_loop_test(c, fuzz_results, 1, 6);
	tcase_add_loop_test(c, fuzz_stream, 1, 6);
	suite_add_tcase(s, c);
	return run_suite(s);
}
