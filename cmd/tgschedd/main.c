#include <string.h>

#include "authority.h"
#include "controllers.h"
#include "fault.h"
#include "fleet.h"

#define PROG "tgschedd"

static const struct tg_event_info events[] = {
#define TG_EVENT TG_EVENT_INFO
#include "events.def"
#undef TG_EVENT
	{ 0, TG_INFO, NULL },
};

static const struct tg_setting settings[] = {
	TG_MEMBER_SETTINGS(options, true, "500", "30000"),
	TG_HTTP_LIMITS(options, http),
	TG_SETTING(options, "sched-renew-ms", TG_SET_INT, "1000", 50, 600000,
		   false, "period of the scheduler's row", sched_renew_ms),
	TG_SETTING(options, "sched-lease-ms", TG_SET_INT, "3000", 150, 1800000,
		   false,
		   "time without a change after which a standby takes the row",
		   sched_lease_ms),
	TG_SETTING(options, "lease-ms", TG_SET_INT, "30000", 500, 3600000,
		   false, "length of a task lease", lease_ms),
	TG_SETTING(options, "renew-ms", TG_SET_INT, "5000", 50, 600000, false,
		   "period of lease renewal", renew_ms),
	TG_SETTING(options, "checkpoint-ms", TG_SET_INT, "600000", 0, 86400000,
		   false, "period of checkpoints of a gang; 0 for none",
		   checkpoint_ms),
	TG_SETTING(options, "outage-renewal-max-ms", TG_SET_INT, "21600000", 0,
		   604800000, false,
		   "time after its last read of the row that a process renews",
		   outage_renewal_max_ms),
	TG_SETTING(options, "call-ms", TG_SET_INT, "1000", 50, 60000, false,
		   "limit of a call to a worker, and wait after a failed one",
		   call_ms),
	TG_SETTING(options, "worker-lost-ms", TG_SET_INT, "15000", 100, 3600000,
		   false, "silence after which a worker's tasks count as lost",
		   worker_lost_ms),
	TG_SETTING(options, "job-keep-ms", TG_SET_INT, "86400000", 0,
		   31536000000, false,
		   "time that the row of a finished job is kept", job_keep_ms),
	TG_SETTING(options, "pause-at", TG_SET_STRING, NULL, 0, 0, false,
		   "fault test: stop once at reserve, commit or start",
		   pause_at),
	TG_SETTING(options, "unsafe-ignore-epoch", TG_SET_BOOL, NULL, 0, 0,
		   false, "fault test: send no fence, never step down",
		   unsafe_ignore_epoch),
	TG_SETTING(options, "unsafe-start-before-reserved", TG_SET_BOOL, NULL,
		   0, 0, false,
		   "fault test: start members before all are reserved",
		   unsafe_start_before_reserved),
	TG_SETTING(options, "unsafe-renew-partial-gangs", TG_SET_BOOL, NULL, 0,
		   0, false, "fault test: renew gangs that lost a member",
		   unsafe_renew_partial_gangs),
	TG_SETTING(options, "unsafe-no-outage-renewal", TG_SET_BOOL, NULL, 0, 0,
		   false, "fault test: standbys do not renew",
		   unsafe_no_outage_renewal),
	TG_SETTING(options, "unsafe-restart-before-expiry", TG_SET_BOOL, NULL,
		   0, 0, false,
		   "fault test: count lost leases as expired at once",
		   unsafe_restart_before_expiry),
	TG_SETTING(options, "unsafe-reuse-attempts", TG_SET_BOOL, NULL, 0, 0,
		   false,
		   "fault test: use numbers of attempts again that were not "
		   "committed",
		   unsafe_reuse_attempts),
	TG_SETTING(options, "unsafe-assume-not-written", TG_SET_BOOL, NULL, 0,
		   0, false,
		   "fault test: count a write without answer as not done",
		   unsafe_assume_not_written),
	TG_SETTING(options, "unsafe-keep-row", TG_SET_BOOL, NULL, 0, 0, false,
		   "fault test: stop without giving up the scheduler's row",
		   unsafe_keep_row),
	TG_SETTING(options, "unsafe-no-reclaim", TG_SET_BOOL, NULL, 0, 0, false,
		   "fault test: reclaim nothing that is lent",
		   unsafe_no_reclaim),
	TG_SETTING(options, "unsafe-takeover-restarts", TG_SET_BOOL, NULL, 0, 0,
		   false, "fault test: stop the gangs found at a takeover",
		   unsafe_takeover_restarts),
	TG_SETTING(options, "unsafe-renew-with-table-only", TG_SET_BOOL, NULL,
		   0, 0, false,
		   "fault test: renew nothing while the table does not answer",
		   unsafe_renew_with_table_only),
	TG_SETTING(options, "unsafe-ignore-holder", TG_SET_BOOL, NULL, 0, 0,
		   false,
		   "fault test: take the row from a holder that answers, and "
		   "drop claims of unknown result",
		   unsafe_ignore_holder),
	TG_SETTING(options, "unsafe-ignore-renewers", TG_SET_BOOL, NULL, 0, 0,
		   false,
		   "fault test: renew without limit, and count leases as "
		   "expired that others may renew",
		   unsafe_ignore_renewers),
	{ 0 },
};

static void check_periods(const struct options *o, struct tg_findings *f)
{
	if (o->sched_lease_ms < 2 * o->sched_renew_ms)
		tg_findings_add(f, "--sched-lease-ms",
				"less than twice --sched-renew-ms");
	if (o->lease_ms < 3 * o->renew_ms)
		tg_findings_add(f, "--lease-ms",
				"less than three times --renew-ms");
}

static void update_worker(struct board *b, const struct tg_instance *in)
{
	struct worker *w = board_add_worker(b, in->name);

	w->listed = true;
	w->leaving = in->leaving;
	w->cores = in->cores;
	w->memory_gb = in->memory_gb;
	w->accelerators = in->accelerators;
	memcpy(w->rack, in->rack, sizeof(w->rack));
	if (strcmp(w->addr, in->addr) != 0) {
		memcpy(w->addr, in->addr, sizeof(w->addr));
		w->epoch_installed = false;
		w->next_call_ms = 0;
	}
	fleet_add_worker(b, w);
}

static void on_instances(const struct tg_instance *list, size_t n, void *arg)
{
	struct board *b = arg;
	struct worker *w, *tmp;
	size_t i;

	authority_note_instances(b, list, n);
	HASH_ITER(hh, b->workers, w, tmp)
		w->listed = false;
	for (i = 0; i < n; i++)
		if (list[i].kind == TG_KIND_WORKER &&
		    !strcmp(list[i].az, b->opts->az))
			update_worker(b, &list[i]);
	b->decision_due = true;
}

static void on_doc(const struct tg_doc *doc, void *arg)
{
	struct board *b = arg;

	(void)doc;
	b->doc_changed = true;
	b->decision_due = true;
}

static int run_daemon(struct board *b)
{
	static const struct tg_controller *const controllers[] = {
		&serving, &election,  &rebuild, &workers,   &gangs,
		&renewal, &admission, &outage,	&decisions, NULL
	};
	const struct options *o = b->opts;
	struct tg_daemon_opts daemon = {
		.base = b->base,
		.controllers = controllers,
		.board = b,
		.drain_grace_ms = o->drain_grace_ms,
		.drain_max_ms = o->drain_max_ms,
	};

	election.period_ms = (int32_t)o->sched_renew_ms;
	renewal.period_ms = outage.period_ms = (int32_t)o->renew_ms;
	return tg_daemon_run(&daemon);
}

static void make_clients(struct board *b)
{
	const struct options *o = b->opts;
	struct tg_http_client_opts http = { .base = b->base };
	struct tg_plat_opts plat = {
		.base = b->base,
		.addr = o->platform,
		.unsafe_assume_not_written = o->unsafe_assume_not_written,
	};
	struct tg_member_opts member = {
		.base = b->base,
		.instance = o->instance,
		.role = "sched",
		.az = o->az,
		.peers = o->peers,
		.on_doc = on_doc,
		.on_instances = on_instances,
		.arg = b,
	};

	b->http = tg_http_client_new(&http);
	/* A worker has at most one call in flight. */
	http.idle_per_addr = 1;
	b->worker_http = tg_http_client_new(&http);
	plat.http = b->http;
	b->plat = tg_plat_new(&plat);
	b->rpc = tg_rpc_client_new(b->base);
	member.plat = b->plat;
	member.rpc = b->rpc;
	b->member = tg_member_new(&member);
}

static void free_clients(struct board *b)
{
	tg_member_free(b->member);
	tg_rpc_client_free(b->rpc);
	tg_plat_free(b->plat);
	tg_http_client_free(b->worker_http);
	tg_http_client_free(b->http);
}

int main(int argc, char **argv)
{
	static const struct tg_settings_spec spec = {
		.prog = PROG,
		.summary = "Scheduler daemon of an availability zone.",
		.items = settings,
	};
	static struct options opts;
	static struct board b;
	struct tg_findings f = { 0 };
	int status;

	switch (tg_settings_load(&spec, argc, argv, &opts, NULL)) {
	case TG_SETTINGS_EXIT:
		return 0;
	case TG_SETTINGS_INVALID:
		return TG_EXIT_USAGE;
	case TG_SETTINGS_OK:
		break;
	}
	fault_check(&opts, &f);
	check_periods(&opts, &f);
	if (f.n) {
		tg_findings_print(&f, stderr, PROG);
		tg_findings_free(&f);
		return TG_EXIT_USAGE;
	}
	tg_member_log_open(PROG, opts.log_level, events);
	tg_member_warn_unsafe(EV_SCHED_UNSAFE, settings, &opts);
	b.opts = &opts;
	b.base = event_base_new();
	make_clients(&b);
	status = run_daemon(&b);
	free_clients(&b);
	event_base_free(b.base);
	return status;
}
