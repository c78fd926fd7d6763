#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

#include <event2/bufferevent.h>

#include "oncrpc/codec.h"

#define LAST_FRAGMENT 0x80000000U
/* A record with more fragments than this is an attack or a peer's fault. */
#define FRAGMENTS_PER_RECORD_MAX 64

bool_t rpc_xdr_void(XDR *x, ...)
{
	(void)x;
	return TRUE;
}

static void set_auth_buffers(struct rpc_msg *m, char *cred, char *verf)
{
	m->rm_call.cb_cred.oa_base = cred;
	m->rm_call.cb_verf.oa_base = verf;
}

static enum rpc_decode_status check_header(const struct rpc_msg *m)
{
	if (m->rm_call.cb_prog != TG_RPC_PROGRAM)
		return RPC_WRONG_PROGRAM;
	if (m->rm_call.cb_vers != TG_RPC_V1)
		return RPC_WRONG_VERSION;
	if (m->rm_call.cb_proc >= TG_RPC_N_PROCS)
		return RPC_WRONG_PROC;
	return RPC_DECODED;
}

static enum rpc_decode_status decode_args(XDR *x, struct rpc_call_msg *m)
{
	const struct tg_rpc_proc *p = &tg_rpc_procs[m->proc];

	if (!p->args_size)
		return RPC_DECODED;
	m->args = tg_xcalloc(1, p->args_size);
	if (p->xdr_args(x, m->args))
		return RPC_DECODED;
	rpc_free_args(m->proc, m->args);
	m->args = NULL;
	return RPC_WRONG_ARGS;
}

enum rpc_decode_status rpc_decode_call(const void *p, size_t n,
				       struct rpc_call_msg *m)
{
	char cred[MAX_AUTH_BYTES], verf[MAX_AUTH_BYTES];
	struct rpc_msg msg = { 0 };
	enum rpc_decode_status status;
	XDR x;

	memset(m, 0, sizeof(*m));
	if (n > TG_RPC_RECORD_MAX)
		return RPC_BAD_HEADER;
	xdrmem_create(&x, (char *)p, (unsigned int)n, XDR_DECODE);
	set_auth_buffers(&msg, cred, verf);
	if (!xdr_callmsg(&x, &msg))
		return RPC_BAD_HEADER;
	m->xid = (uint32_t)msg.rm_xid;
	m->program = (uint32_t)msg.rm_call.cb_prog;
	m->version = (uint32_t)msg.rm_call.cb_vers;
	m->proc = (uint32_t)msg.rm_call.cb_proc;
	status = check_header(&msg);
	return status == RPC_DECODED ? decode_args(&x, m) : status;
}

void rpc_free_args(uint32_t proc, void *args)
{
	if (!args)
		return;
	xdr_free(tg_rpc_procs[proc].xdr_args, args);
	free(args);
}

static void *encode_message(struct rpc_msg *msg, xdrproc_t body,
			    const void *value, size_t *n)
{
	size_t size = RPC_HEADER_SIZE_MAX;
	char *buf;
	XDR x;

	if (value)
		size += xdr_sizeof(body, (void *)value);
	if (size > TG_RPC_RECORD_MAX)
		return NULL;
	buf = tg_xcalloc(1, size);
	xdrmem_create(&x, buf, (unsigned int)size, XDR_ENCODE);
	if (msg->rm_direction == CALL) {
		if (!xdr_callmsg(&x, msg) ||
		    (value && !body(&x, (void *)value)))
			goto fail;
	} else if (!xdr_replymsg(&x, msg)) {
		goto fail;
	}
	*n = xdr_getpos(&x);
	return buf;
fail:
	free(buf);
	return NULL;
}

void *rpc_encode_call(uint32_t xid, uint32_t proc, const void *args, size_t *n)
{
	struct rpc_msg msg = { 0 };

	msg.rm_xid = xid;
	msg.rm_direction = CALL;
	msg.rm_call.cb_rpcvers = RPC_MSG_VERSION;
	msg.rm_call.cb_prog = TG_RPC_PROGRAM;
	msg.rm_call.cb_vers = TG_RPC_V1;
	msg.rm_call.cb_proc = proc;
	return encode_message(&msg, tg_rpc_procs[proc].xdr_args, args, n);
}

static void init_reply(struct rpc_msg *msg, uint32_t xid)
{
	msg->rm_xid = xid;
	msg->rm_direction = REPLY;
	msg->rm_reply.rp_stat = MSG_ACCEPTED;
	msg->acpted_rply.ar_results.proc = rpc_xdr_void;
}

void *rpc_encode_result(uint32_t xid, uint32_t proc, const void *res, size_t *n)
{
	struct rpc_msg msg = { 0 };

	init_reply(&msg, xid);
	msg.acpted_rply.ar_stat = SUCCESS;
	if (res) {
		msg.acpted_rply.ar_results.where = (char *)res;
		msg.acpted_rply.ar_results.proc = tg_rpc_procs[proc].xdr_res;
	}
	return encode_message(&msg, tg_rpc_procs[proc].xdr_res, res, n);
}

void *rpc_encode_executed_error(uint32_t xid, size_t *n)
{
	struct rpc_msg msg = { 0 };

	init_reply(&msg, xid);
	msg.acpted_rply.ar_stat = SYSTEM_ERR;
	return encode_message(&msg, rpc_xdr_void, NULL, n);
}

void *rpc_encode_error(uint32_t xid, enum rpc_decode_status why, size_t *n)
{
	struct rpc_msg msg = { 0 };

	init_reply(&msg, xid);
	msg.acpted_rply.ar_vers.low = TG_RPC_V1;
	msg.acpted_rply.ar_vers.high = TG_RPC_V1;
	switch (why) {
	case RPC_WRONG_PROGRAM:
		msg.acpted_rply.ar_stat = PROG_UNAVAIL;
		break;
	case RPC_WRONG_VERSION:
		msg.acpted_rply.ar_stat = PROG_MISMATCH;
		break;
	case RPC_WRONG_PROC:
		msg.acpted_rply.ar_stat = PROC_UNAVAIL;
		break;
	default:
		msg.acpted_rply.ar_stat = GARBAGE_ARGS;
		break;
	}
	return encode_message(&msg, rpc_xdr_void, NULL, n);
}

enum tg_rpc_call_status rpc_decode_result(const void *p, size_t n,
					  uint32_t proc, void *res)
{
	const struct tg_rpc_proc *info = &tg_rpc_procs[proc];
	char verf[MAX_AUTH_BYTES];
	struct rpc_msg msg = { 0 };
	XDR x;

	xdrmem_create(&x, (char *)p, (unsigned int)n, XDR_DECODE);
	msg.acpted_rply.ar_verf.oa_base = verf;
	msg.acpted_rply.ar_results.where = res;
	msg.acpted_rply.ar_results.proc =
		info->res_size ? info->xdr_res : rpc_xdr_void;
	if (!xdr_replymsg(&x, &msg)) {
		if (info->res_size) {
			xdr_free(info->xdr_res, res);
			memset(res, 0, info->res_size);
		}
		return TG_RPC_CALL_NO_VALID_REPLY;
	}
	if (msg.rm_reply.rp_stat == MSG_ACCEPTED &&
	    msg.acpted_rply.ar_stat == SUCCESS)
		return TG_RPC_CALL_OK;
	if (msg.rm_reply.rp_stat == MSG_ACCEPTED &&
	    msg.acpted_rply.ar_stat == SYSTEM_ERR)
		return TG_RPC_CALL_NO_VALID_REPLY;
	return TG_RPC_CALL_REJECTED;
}

static void add_fragment(struct rpc_stream *s, struct evbuffer *in,
			 uint32_t size)
{
	s->record = tg_xrealloc(s->record, s->n + size);
	evbuffer_drain(in, sizeof(uint32_t));
	evbuffer_remove(in, s->record + s->n, size);
	s->n += size;
}

enum rpc_stream_result rpc_stream_next(struct rpc_stream *s,
				       struct evbuffer *in)
{
	uint32_t mark, size;

	while (evbuffer_copyout(in, &mark, sizeof(mark)) == sizeof(mark)) {
		mark = ntohl(mark);
		size = mark & ~LAST_FRAGMENT;
		if (size > TG_RPC_RECORD_MAX - s->n ||
		    ++s->fragments > FRAGMENTS_PER_RECORD_MAX)
			return RPC_STREAM_INVALID;
		if (evbuffer_get_length(in) < sizeof(mark) + size) {
			s->fragments--;
			return RPC_NEED_MORE;
		}
		add_fragment(s, in, size);
		if (mark & LAST_FRAGMENT)
			return RPC_RECORD;
	}
	return RPC_NEED_MORE;
}

void rpc_stream_reset(struct rpc_stream *s)
{
	free(s->record);
	*s = (struct rpc_stream){ 0 };
}

void rpc_write_record(struct evbuffer *out, const void *p, size_t n)
{
	uint32_t mark = htonl((uint32_t)n | LAST_FRAGMENT);

	evbuffer_add(out, &mark, sizeof(mark));
	evbuffer_add(out, p, n);
}

static struct tg_counter *bytes_counter(const char *labels)
{
	return tg_counter("tg_rpc_bytes_total",
			  "Bytes of RPC received and sent.", labels);
}

struct tg_counter *rpc_bytes_in(void)
{
	static struct tg_counter *c;

	if (!c)
		c = bytes_counter("direction=\"in\"");
	return c;
}

struct tg_counter *rpc_bytes_out(void)
{
	static struct tg_counter *c;

	if (!c)
		c = bytes_counter("direction=\"out\"");
	return c;
}

void rpc_count_bytes(struct bufferevent *bev)
{
	tg_count_bytes(bufferevent_get_input(bev), rpc_bytes_in());
	tg_count_bytes(bufferevent_get_output(bev), rpc_bytes_out());
}
