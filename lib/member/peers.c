#include <stdlib.h>
#include <string.h>

#include "member/member_internal.h"

#define PEERS_MAX 512
#define PING_INTERVAL_MS 1000
#define PING_INTERVAL_OTHER_AZ_MS 10000
#define PING_DEADLINE_MS 500
/* Three pings: a busy peer may miss a single one. */
#define LIVE_TIMEOUT_MS 3000
#define LIVE_TIMEOUT_OTHER_AZ_MS 30000

struct peer_call *member_new_peer_call(struct tg_member *m, const char *addr)
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

void member_free_peer_call(struct peer_call *c)
{
	if (c->prev)
		c->prev->next = c->next;
	else
		c->m->calls = c->next;
	if (c->next)
		c->next->prev = c->prev;
	free(c);
}

struct peer *member_find_peer_by_addr(struct tg_member *m, const char *addr)
{
	size_t i;

	for (i = 0; i < m->n_peers; i++)
		if (!strcmp(m->peers[i].info.rpc_addr, addr))
			return &m->peers[i];
	return NULL;
}

void member_update_peer_infos(struct tg_member *m)
{
	size_t i;

	m->peer_infos = tg_xrealloc(m->peer_infos,
				    (m->n_peers + 1) * sizeof(*m->peer_infos));
	for (i = 0; i < m->n_peers; i++)
		m->peer_infos[i] = m->peers[i].info;
}

static bool is_other_az(const struct tg_member *m, const struct peer *p)
{
	return *p->info.az && strcmp(p->info.az, m->opts.az) != 0;
}

static void set_live(struct peer *p, bool live)
{
	if (p->info.live == live)
		return;
	p->info.live = live;
	tg_log(live ? EV_MEMBER_PEER_UP : EV_MEMBER_PEER_DOWN,
	       "instance=%s role=%s rpc=%s", p->info.instance, p->info.role,
	       p->info.rpc_addr);
	if (!live)
		p->info.active = false;
}

static struct peer *add_peer(struct tg_member *m, const char *addr)
{
	struct peer *p = member_find_peer_by_addr(m, addr);

	if (p || !strcmp(addr, m->own_rpc_addr) || m->n_peers >= PEERS_MAX)
		return p;
	m->peers = tg_xrealloc(m->peers, (m->n_peers + 1) * sizeof(*m->peers));
	p = &m->peers[m->n_peers++];
	memset(p, 0, sizeof(*p));
	tg_strlcpy(p->info.rpc_addr, addr, sizeof(p->info.rpc_addr));
	return p;
}

void member_add_static_peers(struct tg_member *m)
{
	char *addrs = m->opts.peers ? tg_xstrdup(m->opts.peers) : NULL;
	char *addr, *rest = addrs;

	while (rest && (addr = strsep(&rest, ","))) {
		struct peer *p = *addr ? add_peer(m, addr) : NULL;

		if (p)
			p->is_static = true;
	}
	free(addrs);
	member_update_peer_infos(m);
}

const char *member_role_name(enum tg_instance_kind kind)
{
	static const char *const roles[] = {
		[TG_KIND_ENTRY] = "entry",
		[TG_KIND_SCHED] = "sched",
		[TG_KIND_CONSOLE] = "console",
	};

	return kind == TG_KIND_WORKER ? "" : roles[kind];
}

void member_add_listed_peer(struct tg_member *m, const struct tg_instance *in)
{
	struct peer *p;

	if (in->kind == TG_KIND_WORKER || !tg_addr_valid(in->rpc_addr))
		return;
	p = add_peer(m, in->rpc_addr);
	if (!p)
		return;
	p->info.listed = true;
	p->info.leaving = in->leaving;
	tg_strlcpy(p->info.http_addr, in->addr, sizeof(p->info.http_addr));
	/* The answers of a live peer take precedence over the list. */
	if (p->info.live)
		return;
	tg_strlcpy(p->info.instance, in->name, sizeof(p->info.instance));
	tg_strlcpy(p->info.role, member_role_name(in->kind),
		   sizeof(p->info.role));
	tg_strlcpy(p->info.az, in->az, sizeof(p->info.az));
}

/* A peer that is no longer listed is kept while it answers. */
void member_remove_unlisted_peers(struct tg_member *m)
{
	size_t i = 0;

	while (i < m->n_peers) {
		struct peer *p = &m->peers[i];

		if (p->is_static || p->info.listed || p->info.live)
			i++;
		else
			*p = m->peers[--m->n_peers];
	}
}

static void update_peer(struct tg_member *m, struct peer *p,
			const struct tg_rpc_peer *r)
{
	if (!p->info.boot_ms || strcmp(p->info.boot, r->boot) != 0)
		p->info.boot_ms = tg_now_ms();
	tg_strlcpy(p->info.instance, r->instance, sizeof(p->info.instance));
	tg_strlcpy(p->info.role, r->role, sizeof(p->info.role));
	tg_strlcpy(p->info.az, r->az, sizeof(p->info.az));
	tg_strlcpy(p->info.boot, r->boot, sizeof(p->info.boot));
	p->info.generation = r->generation;
	p->info.epoch = r->epoch;
	p->info.active = r->active;
	p->info.draining = r->draining;
	p->info.answered_ms = tg_now_ms();
	set_live(p, true);
	member_update_peer_infos(m);
	member_doc_pull_if_newer(m, p->info.rpc_addr, r->generation);
}

/* Members have names of up to TG_NAME_MAX bytes, unlike flow daemons. */
static bool is_member(const struct tg_rpc_peer *r)
{
	return strlen(r->instance) <= TG_NAME_MAX &&
		strlen(r->az) <= TG_NAME_MAX;
}

static void on_ping_answered(enum tg_rpc_call_status result, const void *res,
			     void *arg)
{
	struct peer_call *c = arg;
	struct tg_member *m = c->m;
	struct peer *p = member_find_peer_by_addr(m, c->addr);

	member_free_peer_call(c);
	if (!p)
		return;
	p->ping_in_flight = false;
	if (result == TG_RPC_CALL_OK && is_member(res))
		update_peer(m, p, res);
}

static void send_ping(struct tg_member *m, struct peer *p, int64_t now_ms)
{
	struct tg_rpc_peer own_info;

	p->ping_in_flight = true;
	p->next_ping_ms = now_ms +
		(is_other_az(m, p) ? PING_INTERVAL_OTHER_AZ_MS :
				     PING_INTERVAL_MS);
	m->pings->value++;
	member_describe_self(m, &own_info);
	tg_rpc_call(m->opts.rpc, p->info.rpc_addr, TG_RPC_PING, &own_info,
		    PING_DEADLINE_MS, on_ping_answered,
		    member_new_peer_call(m, p->info.rpc_addr));
}

static void update_liveness_and_ping(struct tg_member *m, struct peer *p,
				     int64_t now_ms)
{
	int64_t live_timeout_ms =
		is_other_az(m, p) ? LIVE_TIMEOUT_OTHER_AZ_MS : LIVE_TIMEOUT_MS;

	if (p->info.live && now_ms - p->info.answered_ms > live_timeout_ms) {
		set_live(p, false);
		member_update_peer_infos(m);
	}
	if (p->ping_in_flight || now_ms < p->next_ping_ms)
		return;
	/*
	 * Of other AZs only the schedulers are needed, for job calls, and
	 * traffic to other AZs is billed.
	 */
	if (is_other_az(m, p) && strcmp(p->info.role, "sched") != 0)
		return;
	send_ping(m, p, now_ms);
}

void member_peers_tick(struct tg_member *m, int64_t now_ms)
{
	size_t i;

	member_list_tick(m, now_ms);
	for (i = 0; i < m->n_peers; i++)
		update_liveness_and_ping(m, &m->peers[i], now_ms);
}

void member_describe_self(const struct tg_member *m, struct tg_rpc_peer *out)
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
	return m->peer_infos;
}

const struct tg_member_peer *tg_member_find_peer(const struct tg_member *m,
						 const char *instance,
						 const char *role)
{
	const struct tg_member_peer *found = NULL;
	size_t i;

	for (i = 0; i < m->n_peers; i++) {
		const struct tg_member_peer *p = &m->peer_infos[i];

		if (strcmp(p->instance, instance) != 0 ||
		    strcmp(p->role, role) != 0)
			continue;
		/* A replaced process may still be listed at its old address. */
		if (!found || (p->live && !found->live))
			found = p;
	}
	return found;
}

const struct tg_member_peer *
tg_member_find_peer_by_addr(const struct tg_member *m, const char *rpc_addr)
{
	size_t i;

	for (i = 0; i < m->n_peers; i++)
		if (!strcmp(m->peer_infos[i].rpc_addr, rpc_addr))
			return &m->peer_infos[i];
	return NULL;
}

const struct tg_member_peer *
tg_member_active_scheduler(const struct tg_member *m, const char *az)
{
	const struct tg_member_peer *newest = NULL;
	size_t i;

	for (i = 0; i < m->n_peers; i++) {
		const struct tg_member_peer *p = &m->peer_infos[i];

		if (p->live && p->active && !strcmp(p->role, "sched") &&
		    !strcmp(p->az, az) && (!newest || p->epoch > newest->epoch))
			newest = p;
	}
	return newest;
}

size_t tg_member_count_live(const struct tg_member *m, const char *role)
{
	size_t i, n = !strcmp(m->opts.role, role);

	for (i = 0; i < m->n_peers; i++) {
		const struct tg_member_peer *p = &m->peer_infos[i];

		n += p->live && !strcmp(p->role, role) &&
			!strcmp(p->az, m->opts.az);
	}
	return n;
}

void member_serve_ping(struct tg_rpc_req *req, void *call, void *member)
{
	struct tg_member *m = member;
	struct tg_rpc_peer own_info;

	(void)call;
	member_describe_self(m, &own_info);
	tg_rpc_reply(req, &own_info);
}
