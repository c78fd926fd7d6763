#include <stdlib.h>
#include <string.h>

#include "member/member_internal.h"

#define ROW_KEY "config/current"
#define POLL_MS 1000
#define POLL_SLOW_MS 10000
/* Entry daemons of an AZ that poll fast; a second one covers the first. */
#define FAST_POLLERS 2
#define PULL_DEADLINE_MS 2000
#define PUSH_DEADLINE_MS 2000
/* The body is expected this long after an offer was taken. */
#define OFFER_MS 500

static uint64_t held_generation(const struct tg_member *m)
{
	return m->doc ? m->doc->generation : 0;
}

static bool is_applicable(const struct tg_member *m, uint64_t generation)
{
	if (m->opts.unsafe_apply_any)
		return generation != held_generation(m);
	return generation > held_generation(m);
}

static void refuse(struct tg_member *m, uint64_t generation,
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

	if (!is_applicable(m, generation))
		return TG_RPC_STALE;
	doc = tg_doc_parse(text, n, &f);
	if (!doc)
		refuse(m, generation, &f);
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

static void on_pushed(enum tg_rpc_end end, const void *res, void *arg)
{
	(void)end;
	(void)res;
	/* A peer that was missed learns the generation from a ping. */
	member_call_free(arg);
}

static void send_body(struct tg_member *m, const char *addr)
{
	struct tg_rpc_doc args = {
		.generation = m->doc->generation,
		.body = { .body_len = (u_int)m->doc->text_bytes,
			  .body_val = m->doc->text },
	};

	m->pushes->value++;
	tg_rpc_call(m->opts.rpc, addr, TG_RPC_DOC_PUSH, &args, PUSH_DEADLINE_MS,
		    on_pushed, member_call_new(m, addr));
}

static void on_offered(enum tg_rpc_end end, const void *res, void *arg)
{
	const struct tg_rpc_doc_result *r = res;
	struct peer_call *c = arg;

	if (end == TG_RPC_END_OK && r->status == TG_RPC_OK)
		send_body(c->m, c->addr);
	member_call_free(c);
}

/*
 * Several daemons of an AZ may see a new generation at the same time.  An
 * offer costs a peer some hundred bytes, each body up to 256 KiB.
 */
void member_doc_push(struct tg_member *m)
{
	struct tg_rpc_doc offer = { .generation = m->doc->generation };
	size_t i;

	for (i = 0; i < m->n_peers; i++) {
		const struct tg_member_peer *p = &m->peers[i].pub;

		if (!p->live || strcmp(p->az, m->opts.az) != 0 ||
		    p->generation >= offer.generation)
			continue;
		tg_rpc_call(m->opts.rpc, p->rpc_addr, TG_RPC_DOC_PUSH, &offer,
			    PUSH_DEADLINE_MS, on_offered,
			    member_call_new(m, p->rpc_addr));
	}
}

static void end_poll(struct tg_member *m)
{
	m->poll_in_flight = false;
}

static void bad_object(struct tg_member *m, const char *why)
{
	tg_log(EV_MEMBER_DOC_BAD, "generation=%llu why=%s",
	       (unsigned long long)m->loading.generation, why);
	end_poll(m);
}

static void on_object(enum tg_plat_end end, const void *body, size_t n,
		      void *arg)
{
	struct tg_member *m = arg;
	char digest[17];

	if (end == TG_PLAT_NOT_FOUND) {
		bad_object(m, "missing");
		return;
	}
	if (end != TG_PLAT_OK) {
		end_poll(m);
		return;
	}
	tg_doc_digest(body, n, digest);
	if (*m->loading.digest && strcmp(digest, m->loading.digest) != 0) {
		bad_object(m, "digest");
		return;
	}
	if (member_doc_apply(m, m->loading.generation, body, n) == TG_RPC_OK)
		member_doc_push(m);
	end_poll(m);
}

static void on_row(enum tg_plat_end end, const struct tg_row *row, void *arg)
{
	struct tg_member *m = arg;
	const char *object, *digest;
	json_int_t generation;

	if (end != TG_PLAT_OK) {
		end_poll(m);
		return;
	}
	generation =
		json_integer_value(json_object_get(row->value, "generation"));
	object = json_string_value(json_object_get(row->value, "object"));
	digest = json_string_value(json_object_get(row->value, "digest"));
	if (generation <= 0 || !object ||
	    !is_applicable(m, (uint64_t)generation) ||
	    (uint64_t)generation <= m->refused_generation) {
		end_poll(m);
		return;
	}
	m->loading.generation = (uint64_t)generation;
	tg_strlcpy(m->loading.digest, digest ? digest : "",
		   sizeof(m->loading.digest));
	tg_object_get(m->opts.plat, object, on_object, m);
}

/* Ranks the live entry daemons of the AZ by rendezvous hashing. */
static bool is_fast_poller(const struct tg_member *m)
{
	uint64_t own = tg_rendezvous(m->opts.instance, ROW_KEY);
	size_t i, before = 0;

	if (strcmp(m->opts.role, "entry") != 0)
		return false;
	for (i = 0; i < m->n_peers; i++) {
		const struct tg_member_peer *p = &m->peers[i].pub;

		before += p->live && !strcmp(p->role, "entry") &&
			!strcmp(p->az, m->opts.az) &&
			tg_rendezvous(p->instance, ROW_KEY) > own;
	}
	return before < FAST_POLLERS;
}

void member_doc_tick(struct tg_member *m, int64_t now_ms)
{
	int64_t period_ms = POLL_SLOW_MS;

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
	tg_row_get(m->opts.plat, ROW_KEY, on_row, m);
}

static void on_pulled(enum tg_rpc_end end, const void *res, void *arg)
{
	const struct tg_rpc_doc *r = res;
	struct peer_call *c = arg;
	struct tg_member *m = c->m;

	member_call_free(c);
	m->pull_in_flight = false;
	if (end == TG_RPC_END_OK && r->body.body_len &&
	    r->generation > m->refused_generation)
		member_doc_apply(m, r->generation, r->body.body_val,
				 r->body.body_len);
}

static bool is_expected(const struct tg_member *m, uint64_t generation)
{
	return generation <= m->offered_generation &&
		tg_now_ms() < m->offered_until_ms;
}

void member_doc_seen(struct tg_member *m, const char *addr, uint64_t generation)
{
	struct tg_rpc_generation args = { .generation = held_generation(m) };

	if (m->pull_in_flight || generation <= args.generation ||
	    generation <= m->refused_generation || is_expected(m, generation) ||
	    (m->doc && m->opts.unsafe_no_doc_polls))
		return;
	m->pull_in_flight = true;
	tg_rpc_call(m->opts.rpc, addr, TG_RPC_DOC_PULL, &args, PULL_DEADLINE_MS,
		    on_pulled, member_call_new(m, addr));
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

enum tg_rpc_status tg_member_offer(struct tg_member *m, uint64_t generation,
				   const char *text, size_t n)
{
	enum tg_rpc_status s = member_doc_apply(m, generation, text, n);

	if (s == TG_RPC_OK)
		member_doc_push(m);
	return s;
}

static enum tg_rpc_status take_offer(struct tg_member *m, uint64_t generation)
{
	if (generation <= held_generation(m) || is_expected(m, generation))
		return TG_RPC_STALE;
	m->offered_generation = generation;
	m->offered_until_ms = tg_now_ms() + OFFER_MS;
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
		res.status = take_offer(m, args->generation);
	else
		res.status = member_doc_apply(m, args->generation,
					      args->body.body_val,
					      args->body.body_len);
	res.generation = held_generation(m);
	tg_rpc_reply(req, &res);
}

void member_serve_doc_pull(struct tg_rpc_req *req, void *call, void *member)
{
	const struct tg_rpc_generation *args = call;
	struct tg_member *m = member;
	struct tg_rpc_doc res = { .generation = held_generation(m) };

	if (m->doc && m->doc->generation > args->generation) {
		res.body.body_val = m->doc->text;
		res.body.body_len = (u_int)m->doc->text_bytes;
	}
	tg_rpc_reply(req, &res);
}
