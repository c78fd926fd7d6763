#ifndef TG_ONCRPC_H
#define TG_ONCRPC_H

#include "base/base.h"
#include "oncrpc/tgrpc.h"

/**
 * DOC: RPC library
 *
 * ONC RPC (RFC 5531) over TCP with record marking and over UDP, driven by the
 * event loop.  tgrpc.x defines the procedures.  Strings in arguments and
 * results must not be NULL.
 */

enum {
#define TG_EVENT TG_EVENT_ENUM
#include "oncrpc/events.def"
#undef TG_EVENT
};
/** tg_rpc_events - register with tg_log_register() */
extern const struct tg_event_info tg_rpc_events[];

/** Maximum size of a record in bytes; every message of tgrpc.x fits. */
#define TG_RPC_RECORD_MAX (1 << 20)
/** Maximum size of a datagram in bytes; UDP over IPv4 allows 65,507. */
#define TG_RPC_DATAGRAM_MAX 60000
#define TG_RPC_N_PROCS 15

/** struct tg_rpc_proc - XDR routines of a procedure */
struct tg_rpc_proc {
	const char *name;
	xdrproc_t xdr_args, xdr_res;
	size_t args_size, res_size; /* of the C structs; 0 for void */
};
extern const struct tg_rpc_proc tg_rpc_procs[TG_RPC_N_PROCS];

/* --- server --- */

struct tg_rpc_server;
struct tg_rpc_req;

/**
 * typedef tg_rpc_handler - handle a call
 * @req: must be passed to tg_rpc_reply() exactly once, before the handler
 *	returns or later
 * @args: decoded arguments, valid until tg_rpc_reply(); NULL for void
 * @arg: from struct tg_rpc_server_opts
 */
typedef void (*tg_rpc_handler)(struct tg_rpc_req *req, void *args, void *arg);

/**
 * struct tg_rpc_server_opts - options of a server
 * @base: event loop
 * @addr: IP:PORT to listen on by TCP and UDP; port 0 lets the kernel choose one
 * @handlers: TG_RPC_N_PROCS handlers by procedure number, called with @arg; may
 *	be NULL
 * @common: handlers, called with @common_arg, of the procedures that have none
 *	in @handlers; may be NULL.  Calls to a procedure that is in neither are
 *	rejected with PROC_UNAVAIL.
 * @max_connections: beyond this number the connection that has been idle
 *	longest is closed, or the new one if calls are in progress on all; 0 for
 *	256
 * @priority: of the connections' events in @base; 0 is served first
 * @idle_ms: connections without traffic for this long are closed; 0 for 300,000
 * @arg: passed to @handlers
 * @common_arg: passed to @common
 */
struct tg_rpc_server_opts {
	struct event_base *base;
	const char *addr;
	const tg_rpc_handler *handlers, *common;
	size_t max_connections;
	int priority;
	int64_t idle_ms;
	void *arg, *common_arg;
};

/** tg_rpc_server_new() - listen; NULL, after logging, if that fails */
struct tg_rpc_server *tg_rpc_server_new(const struct tg_rpc_server_opts *opts);
void tg_rpc_server_free(struct tg_rpc_server *s);
/** tg_rpc_server_addr() - IP:PORT that the server listens on */
const char *tg_rpc_server_addr(const struct tg_rpc_server *s);
/** tg_rpc_server_in_progress() - number of calls not yet replied to */
size_t tg_rpc_server_in_progress(const struct tg_rpc_server *s);
/**
 * tg_rpc_reply() - reply to a call, and free the request and its arguments
 * @res: result of the procedure, NULL for void
 *
 * Nothing is sent for a void procedure called over UDP, nor if the connection
 * has closed.  A result that can't be encoded or exceeds TG_RPC_RECORD_MAX is
 * replaced by a SYSTEM_ERR error; the caller then sees
 * TG_RPC_CALL_NO_VALID_REPLY, since the call was executed.
 */
void tg_rpc_reply(struct tg_rpc_req *req, const void *res);
/**
 * tg_rpc_decode_call() - decode a record like a server, for tests
 *
 * Return: the procedure number, or -1 if the record is not a valid call.
 */
int tg_rpc_decode_call(const void *record, size_t n);

/* --- client --- */

struct tg_rpc_client;

/** enum tg_rpc_call_status - outcome of a call */
enum tg_rpc_call_status {
	TG_RPC_CALL_OK,
	TG_RPC_CALL_NOT_SENT, /* not connected; the peer received nothing */
	TG_RPC_CALL_TIMEOUT, /* no reply in time; the call may have run */
	TG_RPC_CALL_NO_VALID_REPLY, /* connection lost or invalid reply; may
				       have run */
	TG_RPC_CALL_REJECTED, /* version, procedure or arguments; did not run */
};

/**
 * typedef tg_rpc_done - callback for the end of a call
 * @res: result, valid only during the callback; NULL unless TG_RPC_CALL_OK
 */
typedef void (*tg_rpc_done)(enum tg_rpc_call_status end, const void *res,
			    void *arg);

struct tg_rpc_client *tg_rpc_client_new(struct event_base *base);
/** tg_rpc_client_free() - cancel all calls without running their callbacks */
void tg_rpc_client_free(struct tg_rpc_client *c);
/**
 * tg_rpc_call() - call a procedure over TCP
 * @addr: IP:PORT of the peer; calls to one address share a connection
 * @proc: procedure number, TG_RPC_...
 * @args: encoded before the function returns
 * @timeout_ms: the call then ends with TG_RPC_CALL_TIMEOUT, or with
 *	TG_RPC_CALL_NOT_SENT if the connection is not established by then
 * @done: called exactly once, unless the client is freed before; never from
 *	within tg_rpc_call()
 */
void tg_rpc_call(struct tg_rpc_client *c, const char *addr, uint32_t proc,
		 const void *args, int64_t timeout_ms, tg_rpc_done done,
		 void *arg);
/**
 * tg_rpc_send_datagram() - call a void procedure over UDP, without a reply
 *
 * Best effort: errors are ignored, and so are calls that exceed
 * TG_RPC_DATAGRAM_MAX.
 */
void tg_rpc_send_datagram(struct tg_rpc_client *c, const char *addr,
			  uint32_t proc, const void *args);

#endif
