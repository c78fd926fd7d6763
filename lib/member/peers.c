#include <stdlib.h>
#include <string.h>

#include "member/member_internal.h"

#define PEERS_MAX 512
#define AZ_LIST_MS 2000
/*
 * Other AZs are read one at a time: a list of 9,200 workers in all AZs took
 * the entry daemon to 41 MB in a trial.
 */
#define OTHER_LIST_MS 10000
/*
 * An entry takes about 240 bytes, so that a list is read at 6 KB/s at most.
 * Every 2 s, a list of 800 workers took 95 KB/s of a daemon.  Lists of up to
 * 50 entries are not read less often.
 */
#define LIST_ENTRY_MS 40
#define AZS_MAX TG_DOC_AZS_MAX
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

static void update_view(struct tg_member *m)
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
	update_view(m);
}

static const char *role_of(enum tg_instance_kind kind)
{
	static const char *const roles[] = {
		[TG_KIND_ENTRY] = "entry",
		[TG_KIND_SCHED] = "sched",
		[TG_KIND_CONSOLE] = "console",
	};

	return kind == TG_KIND_WORKER ? "" : roles[kind];
}

static void note_listed(struct tg_member *m, const struct tg_instance *in)
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
	tg_strlcpy(p->pub.role, role_of(in->kind), sizeof(p->pub.role));
	tg_strlcpy(p->pub.az, in->az, sizeof(p->pub.az));
}

/* A peer that left the list is kept while it answers. */
static void drop_unlisted(struct tg_member *m)
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

struct azs {
	char names[AZS_MAX][TG_NAME_MAX + 1];
	size_t n;
};

static bool has_az(const struct azs *a, const char *az)
{
	size_t i;

	for (i = 0; i < a->n; i++)
		if (!strcmp(a->names[i], az))
			return true;
	return false;
}

static void add_az(const struct tg_member *m, struct azs *a, const char *az)
{
	if (*az && strcmp(az, m->opts.az) != 0 && !has_az(a, az) &&
	    a->n < AZS_MAX)
		tg_strlcpy(a->names[a->n++], az, sizeof(a->names[0]));
}

/* The AZs that the document or a peer names, the own one aside. */
static void collect_azs(const struct tg_member *m, struct azs *a)
{
	const struct tg_doc *d = m->doc;
	size_t i, k;

	a->n = 0;
	for (i = 0; d && i < d->n_services; i++)
		for (k = 0; k < d->services[i].n_azs; k++)
			add_az(m, a, d->services[i].azs[k]);
	for (i = 0; d && i < d->n_workspaces; i++)
		for (k = 0; k < d->workspaces[i].n_guarantees; k++)
			add_az(m, a, d->workspaces[i].guarantees[k].az);
	for (i = 0; i < m->n_peers; i++)
		add_az(m, a, m->peers[i].pub.az);
}

/* Whether an entry of an earlier list stays when that of list_az comes. */
static bool is_kept(const struct tg_member *m, const struct azs *a,
		    const struct tg_instance *in)
{
	return strcmp(in->az, m->list_az) != 0 &&
		(!strcmp(in->az, m->opts.az) || has_az(a, in->az));
}

static void merge_instances(struct tg_member *m, const struct tg_instance *list,
			    size_t n)
{
	struct tg_instance *all =
		tg_xcalloc(n + m->n_instances + 1, sizeof(*all));
	size_t i, n_all = 0;
	struct azs azs;

	collect_azs(m, &azs);
	for (i = 0; i < m->n_instances; i++)
		if (is_kept(m, &azs, &m->instances[i]))
			all[n_all++] = m->instances[i];
	for (i = 0; i < n; i++)
		all[n_all++] = list[i];
	free(m->instances);
	m->instances = all;
	m->n_instances = n_all;
	m->have_instances = true;
}

static void on_list(enum tg_plat_end end, const struct tg_instance *list,
		    size_t n, void *arg)
{
	struct tg_member *m = arg;
	size_t i;

	m->list_in_flight = false;
	if (end != TG_PLAT_OK)
		return;
	merge_instances(m, list, n);
	for (i = 0; i < m->n_peers; i++)
		m->peers[i].pub.listed = false;
	for (i = 0; i < m->n_instances; i++)
		note_listed(m, &m->instances[i]);
	drop_unlisted(m);
	update_view(m);
	if (m->opts.on_instances)
		m->opts.on_instances(m->instances, m->n_instances, m->opts.arg);
}

static int64_t count_az(const struct tg_member *m, const char *az)
{
	int64_t n = 0;
	size_t i;

	for (i = 0; i < m->n_instances; i++)
		n += !strcmp(m->instances[i].az, az);
	return n;
}

/* Counts from the size of the last list; an AZ without one is read at once. */
static int64_t list_wait_ms(const struct tg_member *m, const char *az)
{
	int64_t ms = count_az(m, az) * LIST_ENTRY_MS;

	return ms > AZ_LIST_MS ? ms : AZ_LIST_MS;
}

static void read_list(struct tg_member *m, const char *az)
{
	tg_strlcpy(m->list_az, az, sizeof(m->list_az));
	m->list_in_flight = true;
	tg_instances_list(m->opts.plat, az, on_list, m);
}

static void read_other_list(struct tg_member *m, int64_t now_ms)
{
	struct azs azs;
	int64_t wait_ms;

	collect_azs(m, &azs);
	if (!azs.n)
		return;
	read_list(m, azs.names[m->next_other++ % azs.n]);
	wait_ms = OTHER_LIST_MS / (int64_t)azs.n;
	if (wait_ms < list_wait_ms(m, azs.names[m->next_other % azs.n]))
		wait_ms = list_wait_ms(m, azs.names[m->next_other % azs.n]);
	m->next_other_list_ms = now_ms + wait_ms;
}

static void poll_list(struct tg_member *m, int64_t now_ms)
{
	if (!m->opts.plat || m->list_in_flight)
		return;
	if (!m->own_list_ms ||
	    now_ms - m->own_list_ms >= list_wait_ms(m, m->opts.az)) {
		m->own_list_ms = now_ms;
		read_list(m, m->opts.az);
	} else if (now_ms >= m->next_other_list_ms) {
		read_other_list(m, now_ms);
	}
}

static void note_pong(struct tg_member *m, struct peer *p,
		      const struct tg_rpc_peer *r)
{
	tg_strlcpy(p->pub.instance, r->instance, sizeof(p->pub.instance));
	tg_strlcpy(p->pub.role, r->role, sizeof(p->pub.role));
	tg_strlcpy(p->pub.az, r->az, sizeof(p->pub.az));
	tg_strlcpy(p->pub.boot, r->boot, sizeof(p->pub.boot));
	p->pub.generation = r->generation;
	p->pub.epoch = r->epoch;
	p->pub.active = r->active;
	p->pub.draining = r->draining;
	p->last_answer_ms = tg_now_ms();
	set_live(p, true);
	update_view(m);
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

	if (p->pub.live && now_ms - p->last_answer_ms > live_ms) {
		set_live(p, false);
		update_view(m);
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

	poll_list(m, now_ms);
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

const struct tg_instance *tg_member_instances(const struct tg_member *m,
					      size_t *n)
{
	*n = m->n_instances;
	return m->have_instances ? m->instances : NULL;
}

void tg_member_serve_ping(struct tg_member *m, struct tg_rpc_req *req,
			  const struct tg_rpc_peer *args)
{
	struct tg_rpc_peer self;

	(void)args;
	member_fill_self(m, &self);
	tg_rpc_reply(req, &self);
}
