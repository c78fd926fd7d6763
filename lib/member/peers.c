#include <stdlib.h>
#include <string.h>

#include "member/member_internal.h"

#define PEERS_MAX 512
#define PING_MS 1000
#define PING_OTHER_AZ_MS 10000
#define PING_DEADLINE_MS 500
/* Three lost pings; a single one may be lost to a busy peer. */
#define LIVE_MS 3000
#define LIVE_OTHER_AZ_MS 30000

struct peer_call *member_call_new(struct tg_member *m, const char *addr)
{
	struct peer_call *c = tg_xcalloc(1, sizeof(*c));

	c->m = m;
	tg_strlcpy(c->addr, addr, sizeof(c->addr));
	c->next = m->calls;
	if (c->next)
		c->next->prev = c;
	m->calls = c;
	return c;
}

void member_call_free(struct peer_call *c)
{
	if (c->prev)
		c->prev->next = c->next;
	else
		c->m->calls = c->next;
	if (c->next)
		c->next->prev = c->prev;
	free(c);
}

struct peer *member_peer_at(struct tg_member *m, const char *addr)
{
	size_t i;

	for (i = 0; i < m->n_peers; i++)
		if (!strcmp(m->peers[i].pub.rpc_addr, addr))
			return &m->peers[i];
	return NULL;
}

void member_update_view(struct tg_member *m)
{
	size_t i;

	m->view = tg_xrealloc(m->view, (m->n_peers + 1) * sizeof(*m->view));
	for (i = 0; i < m->n_peers; i++)
		m->view[i] = m->peers[i].pub;
}

static bool is_other_az(const struct tg_member *m, const struct peer *p)
{
	return *p->pub.az && strcmp(p->pub.az, m->opts.az) != 0;
}

static void set_live(struct peer *p, bool live)
{
	if (p->pub.live == live)
		return;
	p->pub.live = live;
	tg_log(live ? EV_MEMBER_PEER_UP : EV_MEMBER_PEER_DOWN,
	       "instance=%s role=%s rpc=%s", p->pub.instance, p->pub.role,
	       p->pub.rpc_addr);
	if (!live)
		p->pub.active = false;
}

static struct peer *add_peer(struct tg_member *m, const char *addr)
{
	struct peer *p = member_peer_at(m, addr);

	if (p || !strcmp(addr, m->self_addr) || m->n_peers >= PEERS_MAX)
		return p;
	m->peers = tg_xrealloc(m->peers, (m->n_peers + 1) * sizeof(*m->peers));
	p = &m->peers[m->n_peers++];
	memset(p, 0, sizeof(*p));
	tg_strlcpy(p->pub.rpc_addr, addr, sizeof(p->pub.rpc_addr));
	return p;
}

void member_add_static(struct tg_member *m)
{
	char *list = m->opts.peers ? tg_xstrdup(m->opts.peers) : NULL;
	char *addr, *rest = list;

	while (rest && (addr = strsep(&rest, ","))) {
		struct peer *p = *addr ? add_peer(m, addr) : NULL;

		if (p)
			p->is_static = true;
	}
	free(list);
	member_update_view(m);
}

const char *member_role_of(enum tg_instance_kind kind)
{
	static const char *const roles[] = {
		[TG_KIND_ENTRY] = "entry",
		[TG_KIND_SCHED] = "sched",
		[TG_KIND_CONSOLE] = "console",
	};

	return kind == TG_KIND_WORKER ? "" : roles[kind];
}

void member_note_listed(struct tg_member *m, const struct tg_instance *in)
{
	struct peer *p;

	if (in->kind == TG_KIND_WORKER || !tg_addr_valid(in->rpc_addr))
		return;
	p = add_peer(m, in->rpc_addr);
	if (!p)
		return;
	p->pub.listed = true;
	p->pub.leaving = in->leaving;
	tg_strlcpy(p->pub.http_addr, in->addr, sizeof(p->pub.http_addr));
	/* What a live peer says of itself beats the list. */
	if (p->pub.live)
		return;
	tg_strlcpy(p->pub.instance, in->name, sizeof(p->pub.instance));
	tg_strlcpy(p->pub.role, member_role_of(in->kind), sizeof(p->pub.role));
	tg_strlcpy(p->pub.az, in->az, sizeof(p->pub.az));
}

/* A peer that left the list is kept while it answers. */
void member_drop_unlisted(struct tg_member *m)
{
	size_t i = 0;

	while (i < m->n_peers) {
		struct peer *p = &m->peers[i];

		if (p->is_static || p->pub.listed || p->pub.live)
			i++;
		else
			*p = m->peers[--m->n_peers];
	}
}

static void note_pong(struct tg_member *m, struct peer *p,
		      const struct tg_rpc_peer *r)
{
	if (!p->pub.boot_ms || strcmp(p->pub.boot, r->boot) != 0)
		p->pub.boot_ms = tg_now_ms();
	tg_strlcpy(p->pub.instance, r->instance, sizeof(p->pub.instance));
	tg_strlcpy(p->pub.role, r->role, sizeof(p->pub.role));
	tg_strlcpy(p->pub.az, r->az, sizeof(p->pub.az));
	tg_strlcpy(p->pub.boot, r->boot, sizeof(p->pub.boot));
	p->pub.generation = r->generation;
	p->pub.epoch = r->epoch;
	p->pub.active = r->active;
	p->pub.draining = r->draining;
	p->pub.answered_ms = tg_now_ms();
	set_live(p, true);
	member_update_view(m);
	member_doc_seen(m, p->pub.rpc_addr, r->generation);
}

static void on_pong(enum tg_rpc_end end, const void *res, void *arg)
{
	struct peer_call *c = arg;
	struct tg_member *m = c->m;
	struct peer *p = member_peer_at(m, c->addr);

	member_call_free(c);
	if (!p)
		return;
	p->ping_in_flight = false;
	if (end == TG_RPC_END_OK)
		note_pong(m, p, res);
}

static void ping(struct tg_member *m, struct peer *p, int64_t now_ms)
{
	struct tg_rpc_peer self;

	p->ping_in_flight = true;
	p->next_ping_ms =
		now_ms + (is_other_az(m, p) ? PING_OTHER_AZ_MS : PING_MS);
	m->pings->value++;
	member_fill_self(m, &self);
	tg_rpc_call(m->opts.rpc, p->pub.rpc_addr, TG_RPC_PING, &self,
		    PING_DEADLINE_MS, on_pong,
		    member_call_new(m, p->pub.rpc_addr));
}

static void check_peer(struct tg_member *m, struct peer *p, int64_t now_ms)
{
	int64_t live_ms = is_other_az(m, p) ? LIVE_OTHER_AZ_MS : LIVE_MS;

	if (p->pub.live && now_ms - p->pub.answered_ms > live_ms) {
		set_live(p, false);
		member_update_view(m);
	}
	if (p->ping_in_flight || now_ms < p->next_ping_ms)
		return;
	/* Other AZs matter for job calls only, and their traffic is billed. */
	if (is_other_az(m, p) && strcmp(p->pub.role, "sched") != 0)
		return;
	ping(m, p, now_ms);
}

void member_peers_tick(struct tg_member *m, int64_t now_ms)
{
	size_t i;

	member_list_tick(m, now_ms);
	for (i = 0; i < m->n_peers; i++)
		check_peer(m, &m->peers[i], now_ms);
}

void member_fill_self(const struct tg_member *m, struct tg_rpc_peer *out)
{
	*out = (struct tg_rpc_peer){
		.instance = (char *)m->opts.instance,
		.role = (char *)m->opts.role,
		.az = (char *)m->opts.az,
		.boot = (char *)m->boot,
		.generation = m->doc ? m->doc->generation : 0,
		.epoch = m->epoch,
		.active = m->active,
		.draining = tg_daemon_draining(),
	};
}

const struct tg_member_peer *tg_member_peers(const struct tg_member *m,
					     size_t *n)
{
	*n = m->n_peers;
	return m->view;
}

const struct tg_member_peer *tg_member_find(const struct tg_member *m,
					    const char *instance,
					    const char *role)
{
	const struct tg_member_peer *found = NULL;
	size_t i;

	for (i = 0; i < m->n_peers; i++) {
		const struct tg_member_peer *p = &m->view[i];

		if (strcmp(p->instance, instance) != 0 ||
		    strcmp(p->role, role) != 0)
			continue;
		/* A replaced process may still be listed at its old address. */
		if (!found || (p->live && !found->live))
			found = p;
	}
	return found;
}

const struct tg_member_peer *tg_member_peer_at(const struct tg_member *m,
					       const char *rpc_addr)
{
	size_t i;

	for (i = 0; i < m->n_peers; i++)
		if (!strcmp(m->view[i].rpc_addr, rpc_addr))
			return &m->view[i];
	return NULL;
}

const struct tg_member_peer *tg_member_scheduler(const struct tg_member *m,
						 const char *az)
{
	const struct tg_member_peer *best = NULL;
	size_t i;

	for (i = 0; i < m->n_peers; i++) {
		const struct tg_member_peer *p = &m->view[i];

		if (p->live && p->active && !strcmp(p->role, "sched") &&
		    !strcmp(p->az, az) && (!best || p->epoch > best->epoch))
			best = p;
	}
	return best;
}

size_t tg_member_live_count(const struct tg_member *m, const char *role)
{
	size_t i, n = !strcmp(m->opts.role, role);

	for (i = 0; i < m->n_peers; i++) {
		const struct tg_member_peer *p = &m->view[i];

		n += p->live && !strcmp(p->role, role) &&
			!strcmp(p->az, m->opts.az);
	}
	return n;
}

void member_serve_ping(struct tg_rpc_req *req, void *call, void *member)
{
	struct tg_member *m = member;
	struct tg_rpc_peer self;

	(void)call;
	member_fill_self(m, &self);
	tg_rpc_reply(req, &self);
}
