#ifndef TG_RPC_CODEC_H
#define TG_RPC_CODEC_H

#include "oncrpc/oncrpc.h"

/* Upper bound of the size of a message header without credentials. */
#define RPC_HEADER_SIZE_MAX 512

/* Replaces xdr_void() of libtirpc, whose prototype does not match xdrproc_t. */
bool_t rpc_xdr_void(XDR *x, ...);

/* A decoded call; the caller frees @args by rpc_free_args(). */
struct rpc_call_msg {
	uint32_t xid, program, version, proc;
	void *args;
};

enum rpc_decode_status {
	RPC_DECODED,
	RPC_BAD_HEADER, /* not a call message, or too long */
	RPC_WRONG_PROGRAM,
	RPC_WRONG_VERSION,
	RPC_WRONG_PROC,
	RPC_WRONG_ARGS,
};

enum rpc_decode_status rpc_decode_call(const void *p, size_t n,
				       struct rpc_call_msg *m);
void rpc_free_args(uint32_t proc, void *args);

/*
 * These return a buffer of *n bytes, to be freed by the caller; NULL if the
 * message exceeds TG_RPC_RECORD_MAX or a field exceeds its bound in tgrpc.x.
 */
void *rpc_encode_call(uint32_t xid, uint32_t proc, const void *args, size_t *n);
void *rpc_encode_result(uint32_t xid, uint32_t proc, const void *res,
			size_t *n);
void *rpc_encode_error(uint32_t xid, enum rpc_decode_status why, size_t *n);
/* To a call that was executed; the caller gets TG_RPC_CALL_NO_VALID_REPLY. */
void *rpc_encode_executed_error(uint32_t xid, size_t *n);

/*
 * rpc_decode_result() - decode the reply to a call of @proc
 *
 * @res is a zeroed result struct of @proc.  On TG_RPC_CALL_OK the caller frees
 * its contents by xdr_free(); otherwise there is nothing to free.
 */
enum tg_rpc_call_status rpc_decode_result(const void *p, size_t n,
					  uint32_t proc, void *res);

/* Reassembles records from a TCP stream; starts zeroed. */
struct rpc_stream {
	char *record;
	size_t n; /* bytes in @record */
	uint32_t fragments;
};

enum rpc_stream_result { RPC_NEED_MORE, RPC_RECORD, RPC_STREAM_INVALID };

/*
 * rpc_stream_next() - move data of the next record from @in to @s
 *
 * On RPC_RECORD @s holds a complete record; call rpc_stream_reset() before the
 * next call.  On RPC_STREAM_INVALID the connection must be closed.
 */
enum rpc_stream_result rpc_stream_next(struct rpc_stream *s,
				       struct evbuffer *in);
void rpc_stream_reset(struct rpc_stream *s);
/* rpc_write_record() - append @p to @out as a record of one fragment */
void rpc_write_record(struct evbuffer *out, const void *p, size_t n);

/*
 * Counters of tg_rpc_bytes_total.  Record marks are included, headers of TCP,
 * UDP and IP are not.
 */
struct tg_counter *rpc_bytes_in(void);
struct tg_counter *rpc_bytes_out(void);
struct bufferevent;
void rpc_count_bytes(struct bufferevent *bev);

#endif
