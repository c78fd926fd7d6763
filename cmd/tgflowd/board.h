#ifndef TGFLOWD_BOARD_H
#define TGFLOWD_BOARD_H

#include <uthash.h>

#include "flow/flow.h"
#include "fencetoken.h"
#include "formerowner.h"
#include "handover.h"
#include "leasebounds.h"
#include "storeseen.h"
#include "http/http.h"
#include "site/evacuations.h"
#include "site/site.h"

/**
 * DOC: shared state of the flow daemon
 *
 * struct board holds the state that the daemon's controllers share.  One flow
 * daemon of a site, the owner, schedules; the others are standbys.  A term is
 * the time in which this daemon is the owner.  Answers to calls that were made
 * in an earlier term are ignored.
 */

enum {
#define TG_EVENT TG_EVENT_ENUM
#include "events.def"
#undef TG_EVENT
};

/* The platform states that a worker's clock may be slow by up to this. */
#define CLOCK_SLOW_PERCENT 2
/* Role of the flow daemons in pings. */
#define FLOW_ROLE "flow"
/* Added before a lease counts as expired, for rounding and late timers. */
#define EXPIRY_MARGIN_MS 200
/* A call that is not carried out late reaches its worker within this time. */
#define CALL_ARRIVES_MS 1000

struct settings {
	struct tg_site_flags flags;
	int64_t lease_ms, keep_ms;
	bool follow_speed, fair_shares;
};

enum role {
	ROLE_STANDBY,
	ROLE_CLAIMING, /* waiting for the result of its claim */
	ROLE_RECOVERING, /* owner that has not read all it needs yet */
	ROLE_OWNER,
	ROLE_STOPPING, /* shutting down; makes no further claims */
};

struct board;

/** enum poll_kind - polls of which a worker gets one at a time */
enum poll_kind {
	POLL_LONG,
	POLL_EXTRA, /* in parallel to the long poll */
	POLL_PROBE, /* at the address in the directory, if that is another */
	POLL_KINDS,
};

/**
 * struct link - connection to one worker and what is known about the worker
 *
 * A worker numbers the ends of its runs.  @processed_n, @writing_n and
 * @durable_n are the highest of these numbers that the flow engine has
 * processed, that the write in progress covers and that are durable.
 */
struct link {
	struct board *board;
	struct tg_worker_entry entry;
	bool in_directory;
	bool failed; /* the last poll got no answer; see link_set_failed() */
	struct link *failed_prev, *failed_next; /* in @failed of the board */
	bool unacked; /* it lists ends that are not durable yet */
	struct link *unacked_prev, *unacked_next; /* in @unacked of the board */
	bool runs_known; /* the worker's lists were applied in this term */
	bool opening; /* a poll is in progress, and they were not */
	bool may_have_runs;
	bool in_progress[POLL_KINDS];
	bool poll_again;
	bool seen_in_scan; /* by the directory scan in progress */
	uint64_t fence; /* token of its calls; see fence.c */
	bool awaits_fence; /* calls to an earlier process carried it as well */
	struct link *awaits_fence_prev, *awaits_fence_next; /* on the board */
	/*
	 * The process that the owner calls: its number on the board, its boot
	 * (0 until it is known) and address, how often it has answered, when
	 * last, and the latest start of a call that it answered.
	 */
	uint64_t process;
	int64_t boot_ms;
	char addr[TG_ADDR_MAX + 1];
	bool has_answered_there; /* at this address */
	int64_t n_answers, answered_ms, asked_ms;
	int64_t next_probe_ms;
	int64_t extra_poll_ms; /* when an extra poll is due; or 0 */
	int64_t clock_ms, clock_at_ms; /* worker's clock; own time of receipt */
	int64_t lease_until_ms; /* latest expiry sent, by the worker's clock */
	int64_t leases_end_ms; /* all leases have expired, by the own clock */
	const char *leases_of; /* what that bound is derived from, for logs */
	/*
	 * Until then, or if it is in the list that a new owner reads, the
	 * worker may hold a longer lease than owners ask for; see leases.c.
	 */
	int64_t long_lease_until_ms; /* or 0, then it is not in the list */
	bool long_lease_grows; /* that time is not known for good */
	struct link *long_lease_prev, *long_lease_next; /* on the board */
	bool had_long_lease; /* the former owner's row says so */
	int64_t told_end_ms; /* the former owner has told this end; or 0 */
	int64_t until_sent_ms; /* when a call with an expiry was last sent */
	int64_t processed_n, writing_n, durable_n;
	/* That the worker has forgotten; and whether to tell it more, see
	 * acks.c. */
	int64_t acked_n;
	bool may_ack;
	int64_t next_poll_ms;
	int32_t failures;
	int32_t refusals; /* consecutive refused connections */
	bool closed; /* the first failed call ended as its connection closed */
	int64_t first_failure_ms, removed_ms; /* removed from the directory */
	int64_t written_after_ms; /* lower bound of the entry's last write; 0 */
	int64_t lost_ms; /* its runs were last declared to have ended */
	/* The process of that verdict until it answers, or 0; what proved it */
	int64_t lost_boot_ms;
	const char *lost_source;
	int64_t last_heartbeat_ms; /* its entry last changed */
	int64_t entry_ms; /* since then it has named this process there */
	/* The same bound on its last write, by the store's clock; or 0. */
	int64_t written_clock_ms;
	int64_t entry_version;
	bool exiting; /* its entry says that it drains; see exits.c */
	struct link *exiting_prev, *exiting_next; /* on the board */
	int64_t earliest_exit_ms; /* of a draining worker, or 0 */
	bool exit_is_estimate; /* it is not a bound that the feed gives */
	int64_t unknown_since_ms; /* it lists runs of unknown jobs; or 0 */
	UT_hash_handle hh;
};

/** struct waiter - a JOB_CANCEL call that is answered once it is durable */
struct waiter {
	struct tg_rpc_req *req;
	char job[FLOW_JOB_ID_LEN + 1];
	struct waiter *next;
};

/** struct stored_cancel - a row that requests the cancellation of a job */
struct stored_cancel {
	char job[FLOW_JOB_ID_LEN + 1];
	struct stored_cancel *next;
};

struct board {
	struct settings set;
	struct event_base *base;
	struct tg_rng rng;
	struct tg_site site;
	struct tg_rpc_server *rpc;
	struct tg_rpc_client *peers;
	struct tg_http_server *metrics;
	char boot[TG_TOKEN_LEN + 1];

	/* ownership */
	enum role role;
	uint64_t term;
	uint64_t claim_fence; /* of this term; that of @owner may be higher */
	struct tg_owner_row owner; /* as last read or written */
	int64_t owner_version;
	uint64_t told_term; /* highest one of an owner that a peer knew */
	struct former_owner former;
	struct store_seen store_seen;
	int64_t directory_since_ms; /* when it was first read in the term */
	int64_t written_ms; /* start of the last write that succeeded */
	int64_t refused_since_ms; /* first of the refused writes, or 0 */
	int64_t ticked_ms; /* when the loop was last seen to run */
	int64_t held_up_ms; /* it went on then; no write since; or 0 */
	/* The former owner had recorded every run when it lost the site. */
	bool former_runs_recorded;

	/* set only on the owner */
	struct flow *flow;
	struct link *links;
	/* Lists of such links; long leases in the order of their ends. */
	struct link *failed, *unacked, *awaits_fence, *long_leases, *exiting;
	int n_opening; /* links that are being opened */
	uint64_t n_processes; /* that links have turned to */
	struct tg_document *document;
	struct tg_evacuations *evacuations; /* NULL if there are none */
	struct tg_table_watch *jobs, *progress, *directory;
	bool progress_read, directory_read;
	struct stored_cancel *cancels; /* that wait for the progress */
	struct waiter *waiters;

	bool round_wanted, write_wanted;
};

#define IS_OWNER(b) ((b)->role == ROLE_OWNER || (b)->role == ROLE_RECOVERING)

/** starts_are_held() - whether it isn't known in which AZs nothing may start */
static inline bool starts_are_held(const struct board *b)
{
	return b->evacuations && !tg_evacuations_are_current(b->evacuations);
}

/* A list is requested this long after a stop is over, for late timers. */
#define STOP_POLL_MARGIN_MS 10

/** stop_max_ms() - longest time from a confirmed stop to the end of the run */
static inline int64_t stop_max_ms(const struct board *b)
{
	return b->site.set.stop_ms * 100 / (100 - CLOCK_SLOW_PERCENT) + 1;
}

/** ref_of_task() - a run of a task, as the flow engine names it */
static inline struct flow_run_ref ref_of_task(const struct tg_task_id *t,
					      int32_t run)
{
	return (struct flow_run_ref){
		.job = t->job,
		.occurrence = t->occurrence,
		.step = t->step,
		.index = t->index,
		.run = run,
	};
}

/** long_lease_ms() - longest time by the own clock that a lease can last */
static inline int64_t long_lease_ms(const struct board *b)
{
	return b->site.set.lease_max_ms * 100 / (100 - CLOCK_SLOW_PERCENT) +
		EXPIRY_MARGIN_MS;
}

/* leases.c */
/** link_expiry() - expiry of leases renewed now, by the worker's clock */
int64_t link_expiry(struct link *l);
/** link_expect_former_leases() - a new link; former owners' leases may run */
void link_expect_former_leases(struct link *l);
/**
 * link_expect_long_lease() - the process that has just answered may hold a
 * lease of the longest duration
 */
void link_expect_long_lease(struct link *l);
/** link_expect_no_long_lease() - remove the link from the board's list */
void link_expect_no_long_lease(struct link *l);
/**
 * link_clock_goes_on() - whether @clock_ms, in an answer that has just arrived,
 * is not below what the known process lets expect; see worker_clock_goes_on()
 */
bool link_clock_goes_on(const struct link *l, int64_t clock_ms);
/** link_leases_end_ms() - when all leases on the worker have expired */
int64_t link_leases_end_ms(const struct link *l);
/**
 * link_limit_leases() - the former owner tells when all leases have expired
 *
 * Return: whether that is sooner than was known; false if the worker has
 * answered this owner.
 */
bool link_limit_leases(struct link *l, int64_t end_ms);
/** links_limit_leases() - former owners act no more */
void links_limit_leases(struct board *b);
/** links_record_long_leases() - list workers that may hold long leases in @r */
void links_record_long_leases(struct board *b, struct tg_owner_row *r);
/** link_check_expiry() - end the runs of an unreachable worker without a lease
 */
void link_check_expiry(struct link *l, int64_t now_ms);

/* lists.c */
/**
 * link_apply_lists() - apply a worker's list of runs and ends
 *
 * Return: whether they are complete and the jobs of all of them are known.
 */
bool link_apply_lists(struct link *l, const struct tg_worker_poll_result *r,
		      int64_t asked_ms);

/* acks.c */
/** link_take_ack() - number of the last end that a poll is to acknowledge, or 0
 */
int64_t link_take_ack(struct link *l);
/** link_ack_answered() - the known process has answered a poll with @acked_n */
void link_ack_answered(struct link *l, int64_t acked_n);
/** link_expect_ack() - the link has processed ends that are not durable yet */
void link_expect_ack(struct link *l);
/** link_expect_no_ack() - all ends of the link are durable, or void */
void link_expect_no_ack(struct link *l);
/** links_write_started() - a write that covers all processed ends starts */
void links_write_started(struct board *b);
/** links_write_done() - the ends that the write covers are durable */
void links_write_done(struct board *b);

/* fence.c */
/**
 * link_raise_fence() - give the link a token above those of its calls so far
 *
 * The link awaits a write if the owner's row has no such token yet.
 */
void link_raise_fence(struct link *l);
/** link_await_no_fence() - the link needs no other token any more */
void link_await_no_fence(struct link *l);
/** fence_to_record() - token that the next write has to record */
uint64_t fence_to_record(const struct board *b);
/** links_fence_recorded() - the token in b->owner has become durable */
void links_fence_recorded(struct board *b);
/**
 * fence_is_exceeded() - whether a refusal shows that the worker has seen a
 * token above all of this owner's
 * @l: link to the worker, or NULL
 * @fence: token of the refused call
 */
bool fence_is_exceeded(const struct board *b, const struct link *l,
		       uint64_t fence);

/* standby.c */
/** standby_watch() - look after the owner and take over if it is gone */
void standby_watch(struct board *b, int64_t now_ms);
/** standby_notify_former() - tell former owners that they are replaced */
void standby_notify_former(struct board *b, int64_t now_ms);
/** standby_record_former() - name those not proved to have ended in @r */
void standby_record_former(const struct board *b, struct tg_owner_row *r);
/** standby_count_former() - former owners not proved to have ended */
int standby_count_former(void);
/** standby_reset() - watch the owner from now on */
void standby_reset(void);

/* owner.c */
/**
 * owner_begin_term() - begin a term after a claim
 * @started_ms: when the call began that showed that the claim succeeded
 */
void owner_begin_term(struct board *b, const char *why, int64_t started_ms);
/**
 * owner_former_ended() - the former owner was proved to act no more
 *
 * Leases that it granted on workers that don't answer expire sooner then.
 */
void owner_former_ended(struct board *b);
/** owner_written() - a write that began at @started_ms has succeeded */
void owner_written(struct board *b, int64_t started_ms);
/** owner_lost() - end the term, since another daemon is or will be the owner */
void owner_lost(struct board *b, const char *why);
/** owner_check_recovered() - end the recovery if every run is known or ended */
void owner_check_recovered(struct board *b);
/**
 * owner_was_held_up() - whether it is unknown if this is still the owner
 *
 * The process was stopped for a while, and no write has succeeded since.  It
 * must not call any worker.
 */
bool owner_was_held_up(struct board *b);
/** owner_may_renew() - whether leases may be renewed and orders sent */
bool owner_may_renew(struct board *b);
/** owner_is_current() - whether this is the owner and reaches the store */
bool owner_is_current(const struct board *b);

/* writer.c */
/** writer_wake() - schedule a write of all changes */
void writer_wake(struct board *b);
/** writer_delete_progress() - delete the progress row of a deleted job */
void writer_delete_progress(struct board *b, const char *job);
/** writer_reset() - drop pending writes; waiters get TG_RPC_UNKNOWN */
void writer_reset(struct board *b);
/** writer_is_stuck() - whether a write takes longer than one normally does */
bool writer_is_stuck(void);
/** writer_idle() - whether no write is in progress or scheduled */
bool writer_idle(const struct board *b);

/* jobs.c */
void jobs_open(struct board *b);
void jobs_close(struct board *b);
/** jobs_add_notified() - add a job that a queue daemon says it has stored */
void jobs_add_notified(struct board *b, const struct tg_row *row);

/* purge.c */
/** purge_has_deleted() - whether a row that was read is deleted by now */
bool purge_has_deleted(const char *key, int64_t row_version);
/** purge_reset() - forget the deletions, as all reads of the term have ended */
void purge_reset(void);

/* exits.c */
/** link_set_exiting() - whether the worker's entry says that it drains */
void link_set_exiting(struct link *l, bool exiting);
/** link_expect_exit() - take over what a former owner knew of the worker */
void link_expect_exit(struct link *l);
/** link_note_written() - the entry @e was read, at @version of the store */
void link_note_written(struct link *l, const struct tg_worker_entry *e,
		       int64_t version);
/** link_has_exited() - whether the draining worker is proved to have exited */
bool link_has_exited(const struct link *l);
/** links_record_exits() - list draining workers that may have runs in @r */
void links_record_exits(const struct board *b, struct tg_owner_row *r);

/* directory.c */
/** links_open() - follow the directory and create a link for each worker */
void links_open(struct board *b);
void links_close(struct board *b);

/** link_is_described() - whether the directory has an entry of the process */
bool link_is_described(const struct link *l);
/**
 * link_update_suspect() - tell the flow engine whether the worker may get no
 * starts: it doesn't answer, is not described, or its leases are bounded
 */
void link_update_suspect(struct link *l);
/**
 * link_describe_worker() - give the flow engine what the entry says
 *
 * Without an entry of the known process the worker gets no starts, since its
 * kind and its capacity are not known.
 */
void link_describe_worker(struct link *l);
/**
 * link_entry_is_doubtful() - whether the entry names another process or another
 * address than the known one, which has not answered since the entry was read
 */
bool link_entry_is_doubtful(const struct link *l);
/**
 * link_adopt_address() - call the address in the entry from now on, unless the
 * known process may have runs
 */
void link_adopt_address(struct link *l);

/* verdict.c */
/**
 * struct link_proof - what proves that all runs of a worker's process have
 * ended
 * @source: kind of observation, for log lines
 * @why: what it proves, for log lines
 * @boot_ms: process that was seen instead; 0 if none
 * @asked_ms: when the call began whose answer proves it; 0 if it is not one
 * @clock_ms: clock of that process in its answer; 0 if there is none
 * @at_its_address: that process has its address, so that orders in progress may
 *	reach it
 * @only_confirmed: it says nothing of runs that may hold another lease
 */
struct link_proof {
	const char *source, *why;
	int64_t boot_ms, asked_ms, clock_ms;
	bool at_its_address, only_confirmed;
};
/** link_declare_runs_lost() - runs of the worker have ended */
void link_declare_runs_lost(struct link *l, const struct link_proof *p);
/** link_declare_replaced() - the same, as another process took its place */
void link_declare_replaced(struct link *l, const struct link_proof *p);
/** link_check_verdict() - whether the first list after a verdict disproves it
 */
void link_check_verdict(struct link *l, const struct tg_worker_poll_result *r);

/* links.c */
/* Pause after a failed poll, multiplied by the number of failures. */
#define LINK_RETRY_MS 150

struct link *link_find(struct board *b, const char *id);
/** link_set_failed() - record whether the last poll got no answer */
void link_set_failed(struct link *l, bool failed);
/** link_free() - remove the link from the board and free it */
void link_free(struct link *l);
/** link_check_entry() - ask if the entry names another process than the link */
void link_check_entry(struct link *l);
/** link_poll_if_due() - start the next long poll of the worker if it is due */
void link_poll_if_due(struct link *l);
/** link_poll() - poll the worker at once, in parallel to the long poll */
void link_poll(struct link *l);
/** link_poll_at() - poll at @at_ms at the earliest, or some ms later */
void link_poll_at(struct link *l, int64_t at_ms);
/** link_poll_after_stop() - poll once a stop confirmed now is over */
void link_poll_after_stop(struct link *l);
/** links_record_silent() - list unreachable workers with runs in @r */
void links_record_silent(const struct board *b, struct tg_owner_row *r);

/* orders.c */
/** orders_flow_ops - queue the orders of a round */
extern const struct flow_ops orders_flow_ops;
/** orders_wake() - go on with the queue */
void orders_wake(void);
/** orders_reset() - drop all orders that have not been sent */
void orders_reset(void);

/* round.c */
/** round_wake() - schedule a scheduling round */
void round_wake(struct board *b);
/** round_start_recorded() - start the runs whose record has become durable */
void round_start_recorded(struct board *b);

/* explain.c */
/** explain_job() - new reference; NULL if the job is not known */
json_t *explain_job(const struct board *b, const char *job);

/* speeds.c */
/** speeds_open() - read the speeds that a former owner has stored */
void speeds_open(struct board *b);
void speeds_close(void);
/**
 * speeds_next_row() - the row of TG_OWNER_PART that is to be written now
 * @key: set to its key
 *
 * Return: its value, to be freed; NULL if none is due.
 */
char *speeds_next_row(struct board *b, char *key, size_t size);
#define SPEEDS_TABLE "speeds"

/* accounts.c */
/** accounts_open() - read the accounts that a former owner has stored */
void accounts_open(struct board *b);
void accounts_close(void);
/** accounts_next_row() - as speeds_next_row() */
char *accounts_next_row(struct board *b, char *key, size_t size);
#define ACCOUNTS_TABLE "accounts"

/* awaited.c */
/**
 * awaited_report() - report runs on workers that don't answer
 * @log: in the log as well, not only in metrics
 */
void awaited_report(const struct board *b, int64_t now_ms, bool log);

/* usage.c */
/** usage_report() - report the use of capacity if this is the owner */
void usage_report(const struct board *b, int64_t now_ms);
/** usage_log_reservation() - log the state of a reservation */
void usage_log_reservation(const struct flow_reservation *r, void *arg);

extern const struct tg_controller rpc_controller;
extern const struct tg_controller owner_controller;
extern const struct tg_controller writer_controller;
extern const struct tg_controller orders_controller;
extern const struct tg_controller links_controller;
extern const struct tg_controller verdict_controller;
extern const struct tg_controller round_controller;
extern const struct tg_controller metrics_controller;
extern const struct tg_controller purge_controller;

#endif
