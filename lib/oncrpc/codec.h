#ifndef TG_RPC_CODEC_H
#define TG_RPC_CODEC_H

#include "oncrpc/oncrpc.h"

/* Room for the header of a message without credentials. */
#define RPC_HEADER_ROOM 512

/* xdr_void() of libtirpc has no prototype that fits xdrproc_t. */
bool_t rpc_xdr_void(XDR *x, ...);

/* A decoded call; @args is owned by the caller. */
struct rpc_call_msg {
	uint32_t xid, program, version, proc;
	void *args;
};

enum rpc_decode {
	RPC_DECODED,
	RPC_GARBAGE, /* not a call at all */
	RPC_WRONG_PROGRAM,
	RPC_WRONG_VERSION,
	RPC_WRONG_PROC,
	RPC_WRONG_ARGS,
};

enum rpc_decode rpc_decode_call(const void *p, size_t n,
				struct rpc_call_msg *m);
void rpc_free_args(uint32_t proc, void *args);

/* These return a buffer of *n bytes to be freed, or NULL if it is too long. */
void *rpc_encode_call(uint32_t xid, uint32_t proc, const void *args, size_t *n);
void *rpc_encode_result(uint32_t xid, uint32_t proc, const void *res,
			size_t *n);
void *rpc_encode_refusal(uint32_t xid, enum rpc_decode why, size_t *n);

/*
 * rpc_decode_result() - decode the reply to a call of @proc into @res, which
 * has the size of the procedure's result.  On TG_RPC_END_OK the caller frees
 * the contents of @res by xdr_free().
 */
enum tg_rpc_end rpc_decode_result(const void *p, size_t n, uint32_t proc,
				  void *res);

/* State of a stream of records. */
struct rpc_stream {
	char *record;
	size_t n; /* bytes of the record so far */
	uint32_t fragments;
};

enum rpc_stream_result { RPC_NEED_MORE, RPC_RECORD, RPC_STREAM_INVALID };

/*
 * rpc_stream_next() - take the next record out of @in.  On RPC_RECORD the
 * record is in @s until rpc_stream_reset().
 */
enum rpc_stream_result rpc_stream_next(struct rpc_stream *s,
				       struct evbuffer *in);
void rpc_stream_reset(struct rpc_stream *s);
/* rpc_write_record() - add @p with its record mark */
void rpc_write_record(struct evbuffer *out, const void *p, size_t n);

/*
 * Bytes of RPC in tg_rpc_bytes_total, record marks included, without the
 * headers of TCP, UDP and IP.
 */
struct tg_counter *rpc_bytes_in(void);
struct tg_counter *rpc_bytes_out(void);
struct bufferevent;
void rpc_count_bytes(struct bufferevent *bev);

#endif
