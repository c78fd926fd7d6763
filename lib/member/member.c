#include <stdlib.h>
#include <string.h>

#include "member/member_internal.h"

#define TICK_MS 100

const tg_rpc_handler tg_member_rpc_handlers[TG_RPC_N_PROCS] = {
	[TG_RPC_PING] = member_serve_ping,
	[TG_RPC_DOC_PUSH] = member_serve_doc_push,
	[TG_RPC_DOC_PULL] = member_serve_doc_pull,
	[TG_RPC_INSTANCE_LIST] = member_serve_instance_list,
};

const struct tg_event_info tg_member_events[] = {
#define TG_EVENT TG_EVENT_INFO
#include "member/events.def"
#undef TG_EVENT
	{ 0, TG_INFO, NULL },
};

static int64_t count_live_peers(const struct tg_member *m)
{
	int64_t n = 0;
	size_t i;

	for (i = 0; i < m->n_peers; i++)
		n += m->peers[i].info.live;
	return n;
}

static void on_tick_timer(evutil_socket_t fd, short what, void *arg)
{
	struct tg_member *m = arg;
	int64_t now_ms = tg_now_ms();

	(void)fd;
	(void)what;
	member_peers_tick(m, now_ms);
	member_doc_tick(m, now_ms);
	m->live->value = count_live_peers(m);
}

static void generate_boot(char out[17])
{
	char token[TG_TOKEN_LEN + 1];

	tg_random_token(token);
	tg_strlcpy(out, token, 17);
}

static void create_metrics(struct tg_member *m)
{
	m->docs_applied = tg_counter("tg_documents_applied_total",
				     "Documents put in force.", NULL);
	m->docs_refused = tg_counter("tg_documents_refused_total",
				     "Documents that did not validate.", NULL);
	m->pings = tg_counter("tg_pings_total", "Pings sent to peers.", NULL);
	m->pushes = tg_counter("tg_document_pushes_total",
			       "Documents pushed to peers.", NULL);
	m->live = tg_gauge("tg_peers_live", "Peers that answer pings.", NULL);
	m->generation = tg_gauge("tg_document_generation",
				 "Generation of the document in force.", NULL);
}

/* The report tool detects a restart of an instance by its boot label. */
static void publish_process_info(const struct tg_member *m)
{
	char labels[320];

	snprintf(labels, sizeof(labels),
		 "instance=\"%s\",role=\"%s\",boot=\"%s\"", m->opts.instance,
		 m->opts.role, m->boot);
	tg_gauge("tg_process_info", "Name, role and boot of the process.",
		 labels)
		->value = 1;
}

struct tg_member *tg_member_new(const struct tg_member_opts *opts)
{
	struct tg_member *m = tg_xcalloc(1, sizeof(*m));

	m->opts = *opts;
	m->opts.instance = tg_xstrdup(opts->instance);
	m->opts.role = tg_xstrdup(opts->role);
	m->opts.az = tg_xstrdup(opts->az);
	m->opts.peers = opts->peers ? tg_xstrdup(opts->peers) : NULL;
	generate_boot(m->boot);
	create_metrics(m);
	publish_process_info(m);
	return m;
}

void tg_member_start(struct tg_member *m, const char *rpc_addr)
{
	struct timeval tv = { .tv_usec = TICK_MS * 1000 };

	tg_strlcpy(m->own_rpc_addr, rpc_addr, sizeof(m->own_rpc_addr));
	member_add_static_peers(m);
	m->timer = event_new(m->opts.base, -1, EV_PERSIST, on_tick_timer, m);
	event_add(m->timer, &tv);
	on_tick_timer(-1, 0, m);
}

void tg_member_free(struct tg_member *m)
{
	if (!m)
		return;
	while (m->calls)
		member_free_peer_call(m->calls);
	if (m->timer)
		event_free(m->timer);
	if (m->doc)
		tg_doc_free(m->doc);
	free(m->peers);
	free(m->peer_infos);
	free(m->instances);
	free(m->pulled_instances);
	free((char *)m->opts.instance);
	free((char *)m->opts.role);
	free((char *)m->opts.az);
	free((char *)m->opts.peers);
	free(m);
}

const char *tg_member_boot_id(const struct tg_member *m)
{
	return m->boot;
}

void tg_member_set_scheduler_state(struct tg_member *m, uint64_t epoch,
				   bool active)
{
	m->epoch = epoch;
	m->active = active;
}
