#include <stdlib.h>
#include <string.h>

#include "member/member_internal.h"

#define LIST_INTERVAL_MS 2000
/*
 * The lists of other AZs are read one at a time: one list of 9,200 workers in
 * all AZs raised the memory use of the entry daemon to 41 MB in a trial.
 */
#define OTHER_AZ_LIST_INTERVAL_MS 10000
/*
 * Minimum interval per list entry, which limits the traffic: an entry takes
 * about 240 bytes, so a list is read at 6 KB/s at most.  Read every 2 s, a list
 * of 800 workers caused 95 KB/s for one daemon.  Lists of up to 50 entries are
 * still read every 2 s.  So are lists with an entity tag, since an unchanged
 * one costs only some hundred bytes.
 */
#define LIST_INTERVAL_PER_ENTRY_MS 40
#define OTHER_AZS_MAX TG_DOC_AZS_MAX
#define PULL_DEADLINE_MS 1000

struct azs {
	char names[OTHER_AZS_MAX][TG_NAME_MAX + 1];
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
	    a->n < OTHER_AZS_MAX)
		tg_strlcpy(a->names[a->n++], az, sizeof(a->names[0]));
}

/* Collects the AZs named by the document or a peer, except the own one. */
static void collect_other_azs(const struct tg_member *m, struct azs *a)
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
		add_az(m, a, m->peers[i].info.az);
}

static struct list_etag *find_etag(struct tg_member *m, const char *az)
{
	size_t i;

	for (i = 0; i < ARRAY_SIZE(m->etags); i++)
		if (!strcmp(m->etags[i].az, az))
			return &m->etags[i];
	return NULL;
}

static void set_etag(struct tg_member *m, const char *az, const char *etag)
{
	struct list_etag *t = find_etag(m, az);

	if (!t && *etag)
		t = find_etag(m, "");
	if (!t)
		return;
	tg_strlcpy(t->az, *etag ? az : "", sizeof(t->az));
	tg_strlcpy(t->etag, etag, sizeof(t->etag));
}

/*
 * Without the tag, the list of an AZ whose instances are no longer kept is read
 * in full the next time.
 */
static void forget_stale_etags(struct tg_member *m, const struct azs *a)
{
	size_t i;

	for (i = 0; i < ARRAY_SIZE(m->etags); i++)
		if (*m->etags[i].az &&
		    strcmp(m->etags[i].az, m->opts.az) != 0 &&
		    !has_az(a, m->etags[i].az))
			memset(&m->etags[i], 0, sizeof(m->etags[i]));
}

/* Whether an entry is kept when the list of list_in_flight_az is merged. */
static bool is_instance_kept(const struct tg_member *m, const struct azs *a,
			     const struct tg_instance *in)
{
	return strcmp(in->az, m->list_in_flight_az) != 0 &&
		(!strcmp(in->az, m->opts.az) || has_az(a, in->az));
}

static void merge_instances(struct tg_member *m, const struct tg_instance *list,
			    size_t n)
{
	struct tg_instance *merged =
		tg_xcalloc(n + m->n_instances + 1, sizeof(*merged));
	size_t i, n_merged = 0;
	struct azs azs;

	collect_other_azs(m, &azs);
	forget_stale_etags(m, &azs);
	for (i = 0; i < m->n_instances; i++)
		if (is_instance_kept(m, &azs, &m->instances[i]))
			merged[n_merged++] = m->instances[i];
	for (i = 0; i < n; i++)
		merged[n_merged++] = list[i];
	free(m->instances);
	m->instances = merged;
	m->n_instances = n_merged;
	m->has_instances = true;
}

static int64_t count_instances(const struct tg_member *m, const char *az)
{
	int64_t n = 0;
	size_t i;

	for (i = 0; i < m->n_instances; i++)
		n += !strcmp(m->instances[i].az, az);
	return n;
}

/* The interval for the size of the last list; the minimum if there is none. */
static int64_t list_interval_by_size_ms(const struct tg_member *m,
					const char *az)
{
	int64_t ms = count_instances(m, az) * LIST_INTERVAL_PER_ENTRY_MS;

	return ms > LIST_INTERVAL_MS ? ms : LIST_INTERVAL_MS;
}

static int64_t list_interval_ms(struct tg_member *m, const char *az)
{
	return find_etag(m, az) ? LIST_INTERVAL_MS :
				  list_interval_by_size_ms(m, az);
}

static void report_instances(struct tg_member *m)
{
	m->instances_reported_ms = tg_now_ms();
	if (m->opts.on_instances)
		m->opts.on_instances(m->instances, m->n_instances, m->opts.arg);
}

static void apply_list(struct tg_member *m, const struct tg_instance *list,
		       size_t n)
{
	size_t i;

	merge_instances(m, list, n);
	for (i = 0; i < m->n_peers; i++)
		m->peers[i].info.listed = false;
	for (i = 0; i < m->n_instances; i++)
		member_add_listed_peer(m, &m->instances[i]);
	member_remove_unlisted_peers(m);
	member_update_peer_infos(m);
	report_instances(m);
}

/* Notes a list from the platform if it is that of the own AZ. */
static void record_own_list(struct tg_member *m, const struct tg_instance *list,
			    size_t n)
{
	size_t i;

	if (strcmp(m->list_in_flight_az, m->opts.az) != 0)
		return;
	m->own_list_as_of_ms = m->own_list_requested_ms;
	for (i = 0; i < n && !m->first_listed_ms; i++)
		if (!strcmp(list[i].name, m->opts.instance) &&
		    !strcmp(member_role_name(list[i].kind), m->opts.role))
			m->first_listed_ms = tg_now_ms();
}

static void on_list_read(enum tg_plat_result result,
			 const struct tg_instance *list, size_t n,
			 const char *etag, void *arg)
{
	struct tg_member *m = arg;

	m->list_in_flight = false;
	m->list_failed = result == TG_PLAT_UNAVAILABLE;
	if (m->list_failed)
		return;
	if (result == TG_PLAT_OK) {
		record_own_list(m, list, n);
		set_etag(m, m->list_in_flight_az, etag);
		apply_list(m, list, n);
		return;
	}
	record_own_list(m, m->instances, m->n_instances);
	/*
	 * on_instances is called for an unchanged list as well, because the
	 * callers remove instances that left the list only when it is called.
	 */
	if (tg_now_ms() - m->instances_reported_ms >=
	    list_interval_by_size_ms(m, m->opts.az))
		report_instances(m);
}

static void decode_instance(const struct tg_rpc_instance *r,
			    struct tg_instance *in)
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

static bool is_valid_instance(const struct tg_member *m,
			      const struct tg_instance *in)
{
	return in->kind <= TG_KIND_CONSOLE && tg_name_valid(in->name) &&
		!strcmp(in->az, m->opts.az);
}

static void pull_page(struct tg_member *m, const char *addr);

static void add_pulled_page(struct tg_member *m,
			    const struct tg_rpc_instances *r)
{
	size_t i, n = r->list.list_len;

	m->pulled_instances = tg_xrealloc(m->pulled_instances,
					  (m->n_pulled_instances + n + 1) *
						  sizeof(*m->pulled_instances));
	for (i = 0; i < n; i++) {
		struct tg_instance *in =
			&m->pulled_instances[m->n_pulled_instances];

		decode_instance(&r->list.list_val[i], in);
		m->n_pulled_instances += is_valid_instance(m, in);
	}
	m->pull_offset += (uint32_t)n;
}

static void end_pull(struct tg_member *m)
{
	free(m->pulled_instances);
	m->pulled_instances = NULL;
	m->n_pulled_instances = 0;
	m->list_in_flight = false;
}

static void on_page_pulled(enum tg_rpc_call_status result, const void *res,
			   void *arg)
{
	const struct tg_rpc_instances *r = res;
	struct peer_call *c = arg;
	struct tg_member *m = c->m;
	char addr[TG_ADDR_MAX + 1];

	tg_strlcpy(addr, c->addr, sizeof(addr));
	member_free_peer_call(c);
	if (result != TG_RPC_CALL_OK || r->status != TG_RPC_OK) {
		end_pull(m);
		return;
	}
	add_pulled_page(m, r);
	if (r->more && r->list.list_len) {
		pull_page(m, addr);
		return;
	}
	tg_log(EV_MEMBER_LIST_PULLED, "from=%s entries=%zu", addr,
	       m->n_pulled_instances);
	apply_list(m, m->pulled_instances, m->n_pulled_instances);
	end_pull(m);
}

static void pull_page(struct tg_member *m, const char *addr)
{
	struct tg_rpc_instance_page args = {
		.az = (char *)m->opts.az,
		.from = m->pull_offset,
	};

	tg_rpc_call(m->opts.rpc, addr, TG_RPC_INSTANCE_LIST, &args,
		    PULL_DEADLINE_MS, on_page_pulled,
		    member_new_peer_call(m, addr));
}

/*
 * A process that starts while the platform does not answer has no instance
 * list, so it reads that of a live peer.  A process that has a list keeps it,
 * since that of a peer is no newer.
 */
static void pull_list_from_peer(struct tg_member *m, int64_t now_ms)
{
	size_t i;

	if (m->has_instances || !m->list_failed || now_ms < m->next_pull_ms)
		return;
	for (i = 0; i < m->n_peers; i++)
		if (m->peer_infos[i].live &&
		    !strcmp(m->peer_infos[i].az, m->opts.az))
			break;
	if (i == m->n_peers)
		return;
	m->next_pull_ms = now_ms + LIST_INTERVAL_MS;
	m->list_in_flight = true;
	m->pull_offset = 0;
	tg_strlcpy(m->list_in_flight_az, m->opts.az,
		   sizeof(m->list_in_flight_az));
	pull_page(m, m->peer_infos[i].rpc_addr);
}

static void encode_instance(const struct tg_instance *in,
			    struct tg_rpc_instance *r)
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
	uint32_t n_seen = 0;
	size_t i;

	if (m->has_instances)
		res.status = TG_RPC_OK;
	res.list.list_val = page;
	for (i = 0; i < m->n_instances && !res.more; i++) {
		if (strcmp(m->instances[i].az, args->az) != 0 ||
		    n_seen++ < args->from)
			continue;
		if (res.list.list_len == TG_RPC_INSTANCES_MAX)
			res.more = true;
		else
			encode_instance(&m->instances[i],
					&page[res.list.list_len++]);
	}
	tg_rpc_reply(req, &res);
	free(page);
}

static void request_list(struct tg_member *m, const char *az)
{
	const struct list_etag *etag;

	tg_strlcpy(m->list_in_flight_az, az, sizeof(m->list_in_flight_az));
	m->list_in_flight = true;
	etag = find_etag(m, az);
	tg_instances_list(m->opts.plat, az, etag ? etag->etag : "",
			  on_list_read, m);
}

static void request_other_az_list(struct tg_member *m, int64_t now_ms)
{
	struct azs azs;
	int64_t interval_ms;

	collect_other_azs(m, &azs);
	if (!azs.n)
		return;
	request_list(m, azs.names[m->next_other_az++ % azs.n]);
	interval_ms = OTHER_AZ_LIST_INTERVAL_MS / (int64_t)azs.n;
	if (interval_ms <
	    list_interval_ms(m, azs.names[m->next_other_az % azs.n]))
		interval_ms = list_interval_ms(
			m, azs.names[m->next_other_az % azs.n]);
	m->next_other_az_list_ms = now_ms + interval_ms;
}

void member_list_tick(struct tg_member *m, int64_t now_ms)
{
	if (m->list_in_flight)
		return;
	pull_list_from_peer(m, now_ms);
	if (!m->opts.plat || m->list_in_flight)
		return;
	if (!m->own_list_read_ms ||
	    now_ms - m->own_list_read_ms >= list_interval_ms(m, m->opts.az)) {
		m->own_list_read_ms = m->own_list_requested_ms = now_ms;
		request_list(m, m->opts.az);
	} else if (now_ms >= m->next_other_az_list_ms) {
		request_other_az_list(m, now_ms);
	}
}

void tg_member_refresh_list(struct tg_member *m)
{
	m->own_list_read_ms = 0;
}

int64_t tg_member_own_list_as_of_ms(const struct tg_member *m)
{
	return m->own_list_as_of_ms;
}

int64_t tg_member_first_listed_ms(const struct tg_member *m)
{
	return m->first_listed_ms;
}

const struct tg_instance *tg_member_instances(const struct tg_member *m,
					      size_t *n)
{
	*n = m->n_instances;
	return m->has_instances ? m->instances : NULL;
}
