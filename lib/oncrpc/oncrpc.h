#ifndef TG_ONCRPC_H
#define TG_ONCRPC_H

#include "base/base.h"
#include "oncrpc/tgrpc.h"

/**
 * DOC: RPC library
 *
 * ONC RPC over TCP with record marking, and over UDP, on the event loop.  The
 * messages are in tgrpc.x.  Strings in arguments and results must not be NULL.
 */

enum {
#define TG_EVENT TG_EVENT_ENUM
#include "oncrpc/events.def"
#undef TG_EVENT
};
/** tg_rpc_events - register with tg_log_register() */
extern const struct tg_event_info tg_rpc_events[];

/** Longest record in bytes; all bodies in tgrpc.x fit into it. */
#define TG_RPC_RECORD_MAX (1 << 20)
/** Longest datagram in bytes; stays below the usual limits of UDP. */
#define TG_RPC_DATAGRAM_MAX 60000
#define TG_RPC_N_PROCS 15

/** struct tg_rpc_proc - how a procedure is encoded */
struct tg_rpc_proc {
	const char *name;
	xdrproc_t xdr_args, xdr_res;
	size_t args_size, res_size; /* 0 for void */
};
extern const struct tg_rpc_proc tg_rpc_procs[TG_RPC_N_PROCS];

/* --- server --- */

struct tg_rpc_server;
struct tg_rpc_req;

/**
 * typedef tg_rpc_handler - serve one call
 * @req: to be answered now or later, exactly once, by tg_rpc_reply()
 * @args: decoded; valid until the reply
 */
typedef void (*tg_rpc_handler)(struct tg_rpc_req *req, void *args, void *arg);

/**
 * struct tg_rpc_server_opts - options of a server
 * @addr: IP:PORT, port 0 for any; TCP and UDP use the same number
 * @handlers: by procedure number, called with @arg; may be NULL
 * @common: of the procedures without a handler, called with @common_arg; may be
 *	NULL.  A procedure in neither is refused with PROC_UNAVAIL.
 * @max_connections: further ones are closed at once; 0 for 256
 * @idle_ms: a connection without traffic is closed; 0 for 300,000
 */
struct tg_rpc_server_opts {
	struct event_base *base;
	const char *addr;
	const tg_rpc_handler *handlers, *common;
	size_t max_connections;
	int64_t idle_ms;
	void *arg, *common_arg;
};

/** tg_rpc_server_new() - listen; NULL (logged) if the address can't be had */
struct tg_rpc_server *tg_rpc_server_new(const struct tg_rpc_server_opts *opts);
void tg_rpc_server_free(struct tg_rpc_server *s);
/** tg_rpc_server_addr() - IP:PORT with the port in use */
const char *tg_rpc_server_addr(const struct tg_rpc_server *s);
/** tg_rpc_server_in_progress() - calls not yet answered */
size_t tg_rpc_server_in_progress(const struct tg_rpc_server *s);
/**
 * tg_rpc_reply() - answer a call and free it and its arguments
 * @res: result of the procedure, NULL for void
 *
 * A void procedure that came by UDP is not answered on the wire.
 */
void tg_rpc_reply(struct tg_rpc_req *req, const void *res);
/**
 * tg_rpc_decode_call() - decode one record as a server does, for tests
 *
 * Return: the procedure number, or -1 if the record is refused.
 */
int tg_rpc_decode_call(const void *record, size_t n);

/* --- client --- */

struct tg_rpc_client;

enum tg_rpc_end {
	TG_RPC_END_OK,
	TG_RPC_END_NOT_SENT, /* no connection; the peer saw nothing */
	TG_RPC_END_TIMEOUT, /* the peer may have acted */
	TG_RPC_END_BROKEN, /* the peer may have acted */
	TG_RPC_END_REFUSED, /* version, procedure or arguments; did not act */
};

/** typedef tg_rpc_done - @res is valid during the call, NULL unless OK */
typedef void (*tg_rpc_done)(enum tg_rpc_end end, const void *res, void *arg);

struct tg_rpc_client *tg_rpc_client_new(struct event_base *base);
/** tg_rpc_client_free() - drops all calls without calling back */
void tg_rpc_client_free(struct tg_rpc_client *c);
/**
 * tg_rpc_call() - call a procedure over TCP
 * @addr: IP:PORT
 * @proc: TG_RPC_...
 * @timeout_ms: after which the call ends with TG_RPC_END_TIMEOUT
 * @done: called exactly once, never from inside tg_rpc_call()
 */
void tg_rpc_call(struct tg_rpc_client *c, const char *addr, uint32_t proc,
		 const void *args, int64_t timeout_ms, tg_rpc_done done,
		 void *arg);
/** tg_rpc_send() - send a void procedure by UDP, without answer */
void tg_rpc_send(struct tg_rpc_client *c, const char *addr, uint32_t proc,
		 const void *args);

#endif
