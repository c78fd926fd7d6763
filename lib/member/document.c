#include <stdlib.h>
#include <string.h>

#include "member/member_internal.h"

#define CURRENT_DOC_KEY "config/current"
#define POLL_MS 1000
#define SLOW_POLL_MS 10000
/* Fast polling entry daemons per AZ; the second covers a failed first. */
#define FAST_POLLERS 2
#define PULL_DEADLINE_MS 2000
#define PUSH_DEADLINE_MS 2000
/* How long the body is expected after an offer was accepted. */
#define OFFERED_BODY_WAIT_MS 500

static uint64_t current_generation(const struct tg_member *m)
{
	return m->doc ? m->doc->generation : 0;
}

static bool is_applicable_generation(const struct tg_member *m,
				     uint64_t generation)
{
	if (m->opts.unsafe_apply_any)
		return generation != current_generation(m);
	return generation > current_generation(m);
}

static void refuse_doc(struct tg_member *m, uint64_t generation,
		       const struct tg_findings *f)
{
	const struct tg_finding *first = f->n ? f->items : NULL;

	if (generation > m->refused_generation)
		m->refused_generation = generation;
	m->docs_refused->value++;
	tg_log(EV_DOC_REFUSED, "generation=%llu findings=%zu place=%s text=%s",
	       (unsigned long long)generation, f->total,
	       first ? first->place : "", first ? first->text : "");
}

enum tg_rpc_status member_doc_apply(struct tg_member *m, uint64_t generation,
				    const char *text, size_t n)
{
	struct tg_findings f = { 0 };
	struct tg_doc *old = m->doc, *doc;

	if (!is_applicable_generation(m, generation))
		return TG_RPC_STALE;
	doc = tg_doc_parse(text, n, &f);
	if (!doc)
		refuse_doc(m, generation, &f);
	tg_findings_free(&f);
	if (!doc)
		return TG_RPC_REFUSED;
	doc->generation = generation;
	m->doc = doc;
	m->docs_applied->value++;
	m->generation->value = (int64_t)generation;
	tg_log(EV_MEMBER_DOC, "generation=%llu",
	       (unsigned long long)generation);
	if (m->opts.on_doc)
		m->opts.on_doc(doc, m->opts.arg);
	tg_doc_free(old);
	return TG_RPC_OK;
}

static void on_body_pushed(enum tg_rpc_call_status result, const void *res,
			   void *arg)
{
	(void)result;
	(void)res;
	/* A peer without the body learns the generation from a ping. */
	member_free_peer_call(arg);
}

static void push_body(struct tg_member *m, const char *addr)
{
	struct tg_rpc_doc args = {
		.generation = m->doc->generation,
		.body = { .body_len = (u_int)m->doc->text_bytes,
			  .body_val = m->doc->text },
	};

	m->pushes->value++;
	tg_rpc_call(m->opts.rpc, addr, TG_RPC_DOC_PUSH, &args, PUSH_DEADLINE_MS,
		    on_body_pushed, member_new_peer_call(m, addr));
}

static void on_offer_answered(enum tg_rpc_call_status result, const void *res,
			      void *arg)
{
	const struct tg_rpc_doc_result *r = res;
	struct peer_call *c = arg;

	if (result == TG_RPC_CALL_OK && r->status == TG_RPC_OK)
		push_body(c->m, c->addr);
	member_free_peer_call(c);
}

/*
 * Several daemons of an AZ may learn of a new generation at the same time, so
 * the body is sent only to peers that accept an offer: an offer takes some
 * hundred bytes, a body up to 256 KiB.
 */
void member_doc_offer_to_peers(struct tg_member *m)
{
	struct tg_rpc_doc offer = { .generation = m->doc->generation };
	size_t i;

	for (i = 0; i < m->n_peers; i++) {
		const struct tg_member_peer *p = &m->peers[i].info;

		if (!p->live || strcmp(p->az, m->opts.az) != 0 ||
		    p->generation >= offer.generation)
			continue;
		tg_rpc_call(m->opts.rpc, p->rpc_addr, TG_RPC_DOC_PUSH, &offer,
			    PUSH_DEADLINE_MS, on_offer_answered,
			    member_new_peer_call(m, p->rpc_addr));
	}
}

static void end_poll(struct tg_member *m)
{
	m->poll_in_flight = false;
}

static void refuse_object(struct tg_member *m, const char *why)
{
	tg_log(EV_MEMBER_DOC_BAD, "generation=%llu why=%s",
	       (unsigned long long)m->pending_doc.generation, why);
	end_poll(m);
}

static void on_doc_object(enum tg_plat_result result, const void *body,
			  size_t n, void *arg)
{
	struct tg_member *m = arg;
	char digest[17];

	if (result == TG_PLAT_NOT_FOUND) {
		refuse_object(m, "missing");
		return;
	}
	if (result != TG_PLAT_OK) {
		end_poll(m);
		return;
	}
	tg_doc_digest(body, n, digest);
	if (*m->pending_doc.digest &&
	    strcmp(digest, m->pending_doc.digest) != 0) {
		refuse_object(m, "digest");
		return;
	}
	if (member_doc_apply(m, m->pending_doc.generation, body, n) ==
	    TG_RPC_OK)
		member_doc_offer_to_peers(m);
	end_poll(m);
}

static void on_current_doc_row(enum tg_plat_result result,
			       const struct tg_row *row, void *arg)
{
	struct tg_member *m = arg;
	const char *object, *digest;
	json_int_t generation;

	if (result != TG_PLAT_OK) {
		end_poll(m);
		return;
	}
	generation =
		json_integer_value(json_object_get(row->value, "generation"));
	object = json_string_value(json_object_get(row->value, "object"));
	digest = json_string_value(json_object_get(row->value, "digest"));
	if (generation <= 0 || !object ||
	    !is_applicable_generation(m, (uint64_t)generation) ||
	    (uint64_t)generation <= m->refused_generation) {
		end_poll(m);
		return;
	}
	m->pending_doc.generation = (uint64_t)generation;
	tg_strlcpy(m->pending_doc.digest, digest ? digest : "",
		   sizeof(m->pending_doc.digest));
	tg_object_get(m->opts.plat, object, on_doc_object, m);
}

/* Ranks the live entry daemons of the AZ by rendezvous hashing. */
static bool is_fast_poller(const struct tg_member *m)
{
	uint64_t own_rank =
		tg_rendezvous_weight(m->opts.instance, CURRENT_DOC_KEY);
	size_t i, n_higher = 0;

	if (strcmp(m->opts.role, "entry") != 0)
		return false;
	for (i = 0; i < m->n_peers; i++) {
		const struct tg_member_peer *p = &m->peers[i].info;

		n_higher += p->live && !strcmp(p->role, "entry") &&
			!strcmp(p->az, m->opts.az) &&
			tg_rendezvous_weight(p->instance, CURRENT_DOC_KEY) >
				own_rank;
	}
	return n_higher < FAST_POLLERS;
}

void member_doc_tick(struct tg_member *m, int64_t now_ms)
{
	int64_t period_ms = SLOW_POLL_MS;

	if (!m->opts.plat || m->poll_in_flight ||
	    (m->doc && m->opts.unsafe_no_doc_polls))
		return;
	if (!m->doc || is_fast_poller(m))
		period_ms = POLL_MS;
	if (m->next_poll_ms > now_ms + period_ms)
		m->next_poll_ms = now_ms + period_ms;
	if (now_ms < m->next_poll_ms)
		return;
	m->poll_in_flight = true;
	m->next_poll_ms = now_ms + period_ms;
	tg_row_get(m->opts.plat, CURRENT_DOC_KEY, on_current_doc_row, m);
}

static void on_doc_pulled(enum tg_rpc_call_status result, const void *res,
			  void *arg)
{
	const struct tg_rpc_doc *r = res;
	struct peer_call *c = arg;
	struct tg_member *m = c->m;

	member_free_peer_call(c);
	m->pull_in_flight = false;
	if (result == TG_RPC_CALL_OK && r->body.body_len &&
	    r->generation > m->refused_generation)
		member_doc_apply(m, r->generation, r->body.body_val,
				 r->body.body_len);
}

static bool is_body_expected(const struct tg_member *m, uint64_t generation)
{
	return generation <= m->expected_generation &&
		tg_now_ms() < m->expected_until_ms;
}

void member_doc_pull_if_newer(struct tg_member *m, const char *addr,
			      uint64_t generation)
{
	struct tg_rpc_generation args = { .generation = current_generation(m) };

	if (m->pull_in_flight || generation <= args.generation ||
	    generation <= m->refused_generation ||
	    is_body_expected(m, generation) ||
	    (m->doc && m->opts.unsafe_no_doc_polls))
		return;
	m->pull_in_flight = true;
	tg_rpc_call(m->opts.rpc, addr, TG_RPC_DOC_PULL, &args, PULL_DEADLINE_MS,
		    on_doc_pulled, member_new_peer_call(m, addr));
}

const struct tg_doc *tg_member_doc(const struct tg_member *m)
{
	return m->doc;
}

bool tg_member_ready(const struct tg_member *m, const char **why)
{
	if (m->doc)
		return true;
	*why = "no document: neither a peer nor the table gave one";
	return false;
}

enum tg_rpc_status tg_member_publish_doc(struct tg_member *m,
					 uint64_t generation, const char *text,
					 size_t n)
{
	enum tg_rpc_status s = member_doc_apply(m, generation, text, n);

	if (s == TG_RPC_OK)
		member_doc_offer_to_peers(m);
	return s;
}

static enum tg_rpc_status accept_offer(struct tg_member *m, uint64_t generation)
{
	if (generation <= current_generation(m) ||
	    is_body_expected(m, generation))
		return TG_RPC_STALE;
	m->expected_generation = generation;
	m->expected_until_ms = tg_now_ms() + OFFERED_BODY_WAIT_MS;
	return TG_RPC_OK;
}

void member_serve_doc_push(struct tg_rpc_req *req, void *call, void *member)
{
	const struct tg_rpc_doc *args = call;
	struct tg_member *m = member;
	struct tg_rpc_doc_result res = { 0 };

	if (args->generation <= m->refused_generation)
		res.status = TG_RPC_STALE;
	else if (!args->body.body_len)
		res.status = accept_offer(m, args->generation);
	else
		res.status = member_doc_apply(m, args->generation,
					      args->body.body_val,
					      args->body.body_len);
	res.generation = current_generation(m);
	tg_rpc_reply(req, &res);
}

void member_serve_doc_pull(struct tg_rpc_req *req, void *call, void *member)
{
	const struct tg_rpc_generation *args = call;
	struct tg_member *m = member;
	struct tg_rpc_doc res = { .generation = current_generation(m) };

	if (m->doc && m->doc->generation > args->generation) {
		res.body.body_val = m->doc->text;
		res.body.body_len = (u_int)m->doc->text_bytes;
	}
	tg_rpc_reply(req, &res);
}
