#include <stdlib.h>
#include <string.h>

#include "member/member_internal.h"

#define AZ_LIST_MS 2000
/*
 * Other AZs are read one at a time: a list of 9,200 workers in all AZs took
 * the entry daemon to 41 MB in a trial.
 */
#define OTHER_LIST_MS 10000
/*
 * An entry takes about 240 bytes, so that a list is read at 6 KB/s at most.
 * Every 2 s, a list of 800 workers took 95 KB/s of a daemon.  Lists of up to
 * 50 entries are not read less often.  With an entity tag an unchanged list
 * costs some hundred bytes, and it is read at the full rate.
 */
#define LIST_ENTRY_MS 40
#define AZS_MAX TG_DOC_AZS_MAX
#define PULL_DEADLINE_MS 1000

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

static struct list_tag *find_tag(struct tg_member *m, const char *az)
{
	size_t i;

	for (i = 0; i < ARRAY_SIZE(m->tags); i++)
		if (!strcmp(m->tags[i].az, az))
			return &m->tags[i];
	return NULL;
}

static void set_tag(struct tg_member *m, const char *az, const char *tag)
{
	struct list_tag *t = find_tag(m, az);

	if (!t && *tag)
		t = find_tag(m, "");
	if (!t)
		return;
	tg_strlcpy(t->az, *tag ? az : "", sizeof(t->az));
	tg_strlcpy(t->tag, tag, sizeof(t->tag));
}

/* A list that is no longer kept has to be read whole the next time. */
static void drop_tags(struct tg_member *m, const struct azs *a)
{
	size_t i;

	for (i = 0; i < ARRAY_SIZE(m->tags); i++)
		if (*m->tags[i].az && strcmp(m->tags[i].az, m->opts.az) != 0 &&
		    !has_az(a, m->tags[i].az))
			memset(&m->tags[i], 0, sizeof(m->tags[i]));
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
	drop_tags(m, &azs);
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

static int64_t count_az(const struct tg_member *m, const char *az)
{
	int64_t n = 0;
	size_t i;

	for (i = 0; i < m->n_instances; i++)
		n += !strcmp(m->instances[i].az, az);
	return n;
}

/* Counts from the size of the last list; an AZ without one is read at once. */
static int64_t size_wait_ms(const struct tg_member *m, const char *az)
{
	int64_t ms = count_az(m, az) * LIST_ENTRY_MS;

	return ms > AZ_LIST_MS ? ms : AZ_LIST_MS;
}

static int64_t list_wait_ms(struct tg_member *m, const char *az)
{
	return find_tag(m, az) ? AZ_LIST_MS : size_wait_ms(m, az);
}

static void pass_list(struct tg_member *m)
{
	m->own_passed_ms = tg_now_ms();
	if (m->opts.on_instances)
		m->opts.on_instances(m->instances, m->n_instances, m->opts.arg);
}

static void take_list(struct tg_member *m, const struct tg_instance *list,
		      size_t n)
{
	size_t i;

	merge_instances(m, list, n);
	for (i = 0; i < m->n_peers; i++)
		m->peers[i].pub.listed = false;
	for (i = 0; i < m->n_instances; i++)
		member_note_listed(m, &m->instances[i]);
	member_drop_unlisted(m);
	member_update_view(m);
	pass_list(m);
}

/* A list of the own AZ, as opposed to one that a peer passed on. */
static void note_own_list(struct tg_member *m, const struct tg_instance *list,
			  size_t n)
{
	size_t i;

	if (strcmp(m->list_az, m->opts.az) != 0)
		return;
	m->list_ms = m->own_list_asked_ms;
	for (i = 0; i < n && !m->listed_ms; i++)
		if (!strcmp(list[i].name, m->opts.instance) &&
		    !strcmp(member_role_of(list[i].kind), m->opts.role))
			m->listed_ms = tg_now_ms();
}

static void on_list(enum tg_plat_end end, const struct tg_instance *list,
		    size_t n, const char *tag, void *arg)
{
	struct tg_member *m = arg;

	m->list_in_flight = false;
	m->list_failed = end == TG_PLAT_UNAVAILABLE;
	if (m->list_failed)
		return;
	if (end == TG_PLAT_OK) {
		note_own_list(m, list, n);
		set_tag(m, m->list_az, tag);
		take_list(m, list, n);
		return;
	}
	note_own_list(m, m->instances, m->n_instances);
	/* Entries that left the list wait for this to be dropped. */
	if (tg_now_ms() - m->own_passed_ms >= size_wait_ms(m, m->opts.az))
		pass_list(m);
}

static void decode(const struct tg_rpc_instance *r, struct tg_instance *in)
{
	*in = (struct tg_instance){
		.kind = (enum tg_instance_kind)r->kind,
		.leaving = r->leaving,
		.cores = (int32_t)r->cores,
		.memory_gb = (int32_t)r->memory_gb,
		.accelerators = (int32_t)r->accelerators,
		.slots = (int32_t)r->slots,
		.connections = (int32_t)r->connections,
	};
	tg_strlcpy(in->name, r->name, sizeof(in->name));
	tg_strlcpy(in->az, r->az, sizeof(in->az));
	tg_strlcpy(in->rack, r->rack, sizeof(in->rack));
	tg_strlcpy(in->addr, r->addr, sizeof(in->addr));
	tg_strlcpy(in->service_addr, r->service_addr, sizeof(in->service_addr));
	tg_strlcpy(in->rpc_addr, r->rpc_addr, sizeof(in->rpc_addr));
}

static bool is_valid(const struct tg_member *m, const struct tg_instance *in)
{
	return in->kind <= TG_KIND_CONSOLE && tg_name_valid(in->name) &&
		!strcmp(in->az, m->opts.az);
}

static void pull_page(struct tg_member *m, const char *addr);

static void add_page(struct tg_member *m, const struct tg_rpc_instances *r)
{
	size_t i, n = r->list.list_len;

	m->pulled = tg_xrealloc(m->pulled,
				(m->n_pulled + n + 1) * sizeof(*m->pulled));
	for (i = 0; i < n; i++) {
		struct tg_instance *in = &m->pulled[m->n_pulled];

		decode(&r->list.list_val[i], in);
		m->n_pulled += is_valid(m, in);
	}
	m->pull_from += (uint32_t)n;
}

static void end_pull(struct tg_member *m)
{
	free(m->pulled);
	m->pulled = NULL;
	m->n_pulled = 0;
	m->list_in_flight = false;
}

static void on_page(enum tg_rpc_end end, const void *res, void *arg)
{
	const struct tg_rpc_instances *r = res;
	struct peer_call *c = arg;
	struct tg_member *m = c->m;
	char addr[TG_ADDR_MAX + 1];

	tg_strlcpy(addr, c->addr, sizeof(addr));
	member_call_free(c);
	if (end != TG_RPC_END_OK || r->status != TG_RPC_OK) {
		end_pull(m);
		return;
	}
	add_page(m, r);
	if (r->more && r->list.list_len) {
		pull_page(m, addr);
		return;
	}
	tg_log(EV_MEMBER_LIST_PULLED, "from=%s entries=%zu", addr, m->n_pulled);
	take_list(m, m->pulled, m->n_pulled);
	end_pull(m);
}

static void pull_page(struct tg_member *m, const char *addr)
{
	struct tg_rpc_instance_page args = {
		.az = (char *)m->opts.az,
		.from = m->pull_from,
	};

	tg_rpc_call(m->opts.rpc, addr, TG_RPC_INSTANCE_LIST, &args,
		    PULL_DEADLINE_MS, on_page, member_call_new(m, addr));
}

/*
 * A process that starts while the platform does not answer has no list; one
 * of its peers has.  A process with a list keeps its own, which is as old.
 */
static void pull_list(struct tg_member *m, int64_t now_ms)
{
	size_t i;

	if (m->have_instances || !m->list_failed || now_ms < m->next_pull_ms)
		return;
	for (i = 0; i < m->n_peers; i++)
		if (m->view[i].live && !strcmp(m->view[i].az, m->opts.az))
			break;
	if (i == m->n_peers)
		return;
	m->next_pull_ms = now_ms + AZ_LIST_MS;
	m->list_in_flight = true;
	m->pull_from = 0;
	tg_strlcpy(m->list_az, m->opts.az, sizeof(m->list_az));
	pull_page(m, m->view[i].rpc_addr);
}

static void encode(const struct tg_instance *in, struct tg_rpc_instance *r)
{
	*r = (struct tg_rpc_instance){
		.name = (char *)in->name,
		.kind = in->kind,
		.az = (char *)in->az,
		.rack = (char *)in->rack,
		.addr = (char *)in->addr,
		.service_addr = (char *)in->service_addr,
		.rpc_addr = (char *)in->rpc_addr,
		.leaving = in->leaving,
		.cores = (u_int)in->cores,
		.memory_gb = (u_int)in->memory_gb,
		.accelerators = (u_int)in->accelerators,
		.slots = (u_int)in->slots,
		.connections = (u_int)in->connections,
	};
}

void member_serve_instance_list(struct tg_rpc_req *req, void *call,
				void *member)
{
	const struct tg_rpc_instance_page *args = call;
	struct tg_member *m = member;
	struct tg_rpc_instance *page =
		tg_xcalloc(TG_RPC_INSTANCES_MAX, sizeof(*page));
	struct tg_rpc_instances res = { .status = TG_RPC_UNAVAILABLE };
	uint32_t seen = 0;
	size_t i;

	if (m->have_instances)
		res.status = TG_RPC_OK;
	res.list.list_val = page;
	for (i = 0; i < m->n_instances && !res.more; i++) {
		if (strcmp(m->instances[i].az, args->az) != 0 ||
		    seen++ < args->from)
			continue;
		if (res.list.list_len == TG_RPC_INSTANCES_MAX)
			res.more = true;
		else
			encode(&m->instances[i], &page[res.list.list_len++]);
	}
	tg_rpc_reply(req, &res);
	free(page);
}

static void read_list(struct tg_member *m, const char *az)
{
	const struct list_tag *tag;

	tg_strlcpy(m->list_az, az, sizeof(m->list_az));
	m->list_in_flight = true;
	tag = find_tag(m, az);
	tg_instances_list(m->opts.plat, az, tag ? tag->tag : "", on_list, m);
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

void member_list_tick(struct tg_member *m, int64_t now_ms)
{
	if (m->list_in_flight)
		return;
	pull_list(m, now_ms);
	if (!m->opts.plat || m->list_in_flight)
		return;
	if (!m->own_list_ms ||
	    now_ms - m->own_list_ms >= list_wait_ms(m, m->opts.az)) {
		m->own_list_ms = m->own_list_asked_ms = now_ms;
		read_list(m, m->opts.az);
	} else if (now_ms >= m->next_other_list_ms) {
		read_other_list(m, now_ms);
	}
}

void tg_member_read_list(struct tg_member *m)
{
	m->own_list_ms = 0;
}

int64_t tg_member_list_ms(const struct tg_member *m)
{
	return m->list_ms;
}

int64_t tg_member_listed_ms(const struct tg_member *m)
{
	return m->listed_ms;
}

const struct tg_instance *tg_member_instances(const struct tg_member *m,
					      size_t *n)
{
	*n = m->n_instances;
	return m->have_instances ? m->instances : NULL;
}
