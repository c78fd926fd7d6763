#ifndef TG_SCHEDD_BOARD_H
#define TG_SCHEDD_BOARD_H

#include <jansson.h>
#include <uthash.h>
#include <utlist.h>

#include "base/base.h"
#include "decide/decide.h"
#include "gang.h"
#include "http/http.h"
#include "member/member.h"
#include "oncrpc/oncrpc.h"
#include "options.h"
#include "plat/plat.h"

/**
 * DOC: board of the scheduler
 *
 * The whole state of the process.  Controllers communicate only by reading and
 * writing it; they do not call each other.
 *
 * "Local clock" is tg_now_ms(), the monotonic clock of this process.  Fields
 * that end in _wall_ms are wall-clock times.
 */

enum {
#define TG_EVENT TG_EVENT_ENUM
#include "events.def"
#undef TG_EVENT
};

#define CKPT_MAX 199
#define REASON_MAX 199
/* Limit of operations in a message, from docs/platform-contract.md. */
#define OPS_MAX 256
/* Size of the ring of recent actions, which explain shows. */
#define ACTION_RECORDS_MAX 512

enum role {
	ROLE_STANDBY,
	ROLE_CLAIMING, /* the write that claims the row is in flight */
	ROLE_INSTALLING, /* the epoch is being installed on the workers */
	ROLE_LOADING, /* the job rows are being read */
	ROLE_ACTIVE,
	ROLE_LEAVING, /* draining; the row is released or being released */
};

enum member_state {
	MEMBER_NONE, /* nothing has been sent to the worker */
	MEMBER_UNKNOWN, /* the worker may hold a lease */
	MEMBER_RESERVED,
	MEMBER_RUNNING,
	MEMBER_DONE, /* completed; the worker keeps its record */
	MEMBER_STOPPED, /* ended otherwise; the worker keeps its record */
	MEMBER_GONE, /* no lease: released, refused, lost or expired */
};

struct worker;
struct outage_renewal;
struct job;

/**
 * struct member - one task of a gang's current attempt
 * @local_expiry_ms: local clock; by then every lease that was requested for the
 *	task has certainly expired
 * @confirmed_round: last renewal round that the worker confirmed
 * @renew_all_round: round that the renew_all in flight renews for this member;
 *	0 if there is none
 * @failed: the task failed by itself
 * @lost: the lease ended without a command of this process
 * @refused: the worker refused the reservation
 * @ckpt: latest known checkpoint; empty if there is none
 * @progress_ms: run time that @ckpt covers, over all attempts
 * @ckpt_round: checkpoint round of @ckpt
 */
struct member {
	struct job *job;
	struct worker *worker;
	int32_t index;
	enum member_state state;
	int64_t local_expiry_ms;
	uint64_t confirmed_round, renew_all_round;
	bool failed, lost, refused;
	char ckpt[CKPT_MAX + 1];
	int64_t progress_ms;
	uint64_t ckpt_round;
	struct member *prev, *next; /* list of the worker */
};

/** struct orphan - lease on a worker that belongs to no current attempt */
struct orphan {
	char job[TG_NAME_MAX + 1];
	int64_t attempt;
	int32_t index;
	struct orphan *prev, *next;
};

/**
 * struct worker - one worker of the AZ
 * @id: in the fleet; -1 until it is added
 * @listed: whether the platform's instance list contains it
 * @leaving: whether that list marks it as leaving
 * @epoch_installed: it has installed an epoch of this process since its boot
 * @reachable: the last call was answered
 * @contacted: at least one call has ended since the claim
 * @message_due: a message is to be sent, even if the poll period is not over
 * @lost: unreachable for worker_lost_ms, so that its members count as lost
 * @peer_renewals_logged: it was logged that another scheduler process may still
 *	renew leases there
 * @boot: identifies the boot of its last response
 * @clock_ms: the worker's clock in its last response
 * @response_ms: local clock when that response was received; 0 if there was
 *none
 * @next_call_ms: local clock; it is not called before
 * @epoch_seen: epoch installed on it, from its last response
 * @renew_all_unsupported: it does not implement renew_all; cleared at its next
 *	boot
 * @renew_individually: its leases differed from those expected, so the next
 *	renewals name each lease
 * @usage_seq: sequence number of the last usage change that it reported
 * @sent_epoch: highest epoch that was sent to it; it may have installed it even
 *	if no response came
 * @raised_epoch: higher epoch that was written to the row since and is withheld
 *	from the worker until it responds; 0 if there is none
 * @raised_ms: local clock when the row held that epoch
 */
struct worker {
	char name[TG_NAME_MAX + 1];
	char rack[TG_NAME_MAX + 1];
	char addr[TG_ADDR_MAX + 1];
	int32_t cores, memory_gb, accelerators;
	int32_t id;
	bool listed, leaving, epoch_installed, reachable, contacted, draining,
		quarantined;
	bool message_due, lost, peer_renewals_logged, call_in_flight;
	enum tg_worker_health health; /* as set in the fleet */
	char boot[TG_NAME_MAX + 1];
	int64_t clock_ms, response_ms, next_call_ms;
	uint64_t epoch_seen;
	bool renew_all_unsupported, renew_individually;
	int64_t usage_seq;
	uint64_t sent_epoch, raised_epoch;
	int64_t raised_ms;
	json_t *inventory; /* reported leases; NULL once reconciled */
	struct member *members;
	struct orphan *orphans;
	struct tg_http_call *call;
	void *call_arg; /* freed if the call is cancelled */
	UT_hash_handle hh;
};

enum job_state {
	JOB_INSERTING, /* its row is being inserted */
	JOB_INSERT_UNKNOWN, /* the result of the insertion is unknown */
	JOB_QUEUED,
	JOB_RUNNING, /* an attempt is committed, see struct job.gang */
	JOB_DONE,
	JOB_CANCELLED,
	JOB_PARKED,
};

/** struct job_spec - parsed body of a submission */
struct job_spec {
	char workspace[TG_NAME_MAX + 1];
	char job[TG_NAME_MAX + 1];
	enum tg_job_class class;
	int32_t tasks, accelerators, cores, memory_gb;
	bool within_rack;
	int64_t declared_ms;
};

/** struct waiter - call of a caller that is replied to later */
struct waiter {
	struct tg_rpc_req *req;
	struct waiter *next;
};

/**
 * struct job - one job
 * @spec_json: normalized spec as stored in the row
 * @version: of its row
 * @version_known: false after a write of unknown result
 * @row_call_in_flight: a write or read of its row is in flight
 * @in_fleet: the decision library knows it
 * @committed: a commit of the current attempt may have changed the row
 * @cancel_recorded: the row records the cancellation
 * @reclaim_requested: checkpoint and stop the gang to free its workers
 * @attempt: number of the last attempt that was reserved or committed
 * @attempt_floor: highest attempt of which an orphaned lease was found; the
 *	next attempt gets a higher number
 * @epoch: epoch under which that attempt was committed
 * @gang: state of the attempt
 * @round: last renewal round
 * @ckpt_round: last checkpoint round
 * @ckpt_complete_round: last checkpoint round that every member completed
 * @phase_started_ms: local clock when the reservations or the starts began
 * @ckpt_ms: local clock when the last checkpoint round began
 * @cause: why the gang is stopped
 * @faulty_worker: id of the worker at fault; -1 if there is none
 * @next_state: state to record once the gang is gone
 * @ckpts: checkpoint of each member, by index, of the last round that the whole
 *	gang completed
 * @saved_progress_ms: run time that @ckpts cover
 * @waiters: callers of the submission, replied to once the row is inserted
 * @cancel_waiters: callers of the cancellation
 * @recorded: the row holds the result of the attempt
 * @ckpt_unsaved: the row does not hold the latest @ckpts yet
 * @retry_ms: local clock; its row is not read or written before
 * @initial_progress_ms: @saved_progress_ms when the attempt began
 */
struct job {
	struct job_spec spec;
	json_t *spec_json;
	uint64_t version;
	bool version_known, row_call_in_flight, in_fleet, committed,
		cancel_recorded, reclaim_requested;
	enum job_state state;
	int64_t attempt, attempt_floor;
	uint64_t epoch;
	char reason[REASON_MAX + 1];
	int64_t submitted_wall_ms, ended_wall_ms, running_since_ms;
	enum gang_state gang;
	enum gang_commit commit;
	uint64_t round, ckpt_round, ckpt_complete_round;
	int64_t phase_started_ms, ckpt_ms;
	enum tg_stop_cause cause;
	int32_t faulty_worker;
	enum job_state next_state;
	struct member *members;
	int32_t n_members;
	json_t *ckpts;
	int64_t saved_progress_ms;
	struct waiter *waiters;
	struct waiter *cancel_waiters;
	bool cancel_requested, park_requested, recorded, ckpt_unsaved;
	int64_t retry_ms;
	int64_t initial_progress_ms;
	UT_hash_handle hh;
};

/** struct action_record - action that explain shows */
struct action_record {
	int64_t wall_ms;
	char job[TG_NAME_MAX + 1];
	char text[200];
};

struct board {
	const struct options *opts;
	struct event_base *base;
	struct tg_http_client *http;
	struct tg_http_client *worker_http;
	struct tg_http_server *http_server;
	struct tg_rpc_client *rpc;
	struct tg_rpc_server *rpc_server;
	struct tg_plat *plat;
	struct tg_member *member;

	/* election */
	enum role role;
	uint64_t epoch; /* of this process; 0 as a standby */
	uint64_t row_epoch; /* last seen in the row */
	uint64_t unknown_claim_epoch; /* claim of unknown result; 0: none */
	uint64_t row_version; /* seen, or expected after own writes */
	char row_holder[TG_NAME_MAX + 1];
	char row_boot[TG_NAME_MAX + 1];
	char row_rpc[TG_ADDR_MAX + 1];
	int64_t row_changed_ms; /* local clock; 0: not read yet */
	bool row_read_in_flight, row_write_in_flight, row_write_unknown,
		row_release_sent;
	int64_t claimed_ms;
	uint64_t term; /* epoch of the claim; unchanged by later raises */
	bool epoch_raise_wanted, epoch_raise_in_flight;
	int64_t raised_ms; /* local clock when the row held the epoch */
	int64_t row_write_sent_ms; /* last write of the row */
	int64_t row_read_sent_ms; /* last read of the row */
	bool table_down;
	int64_t table_down_ms; /* local clock; start of the last outage */
	int64_t table_up_ms; /* local clock; end of the last long outage */

	/* renewals by other processes, see authority.h */
	uint64_t highest_epoch, advertised_epoch;
	/* local clock when the last answered call for the row was sent */
	int64_t row_confirmed_ms;
	/* local clock when the last command that may renew was sent */
	int64_t last_command_ms;
	/* same for commands sent while a lower epoch was the highest known */
	int64_t lower_epoch_command_ms;
	struct tg_instance *az_schedulers; /* from the last instance list */
	size_t n_az_schedulers;
	int64_t scheduler_left_ms; /* local clock when one had last left */

	/* workers and jobs */
	struct worker *workers;
	struct job *jobs;
	struct tg_fleet *fleet;
	bool decision_due; /* the fleet has changed */
	bool doc_changed;
	bool row_list_in_flight;
	uint64_t generation; /* of the document applied to the fleet */
	int64_t next_decide_ms;

	/* outage renewal of a standby */
	bool outage_renewing;
	struct outage_renewal *outage_round;

	struct action_record action_records[ACTION_RECORDS_MAX];
	size_t n_action_records; /* total ever added */

	bool paused_once;
};

/** board_find_worker() - NULL if there is no worker of that name */
struct worker *board_find_worker(struct board *b, const char *name);
/** board_add_worker() - find a worker; creates it if it is not known */
struct worker *board_add_worker(struct board *b, const char *name);
/** board_find_job() - NULL if there is no job of that name */
struct job *board_find_job(struct board *b, const char *name);
struct job *board_add_job(struct board *b, const struct job_spec *spec);
/** board_remove_job() - free a job; waiting callers get TG_RPC_UNKNOWN */
void board_remove_job(struct board *b, struct job *j);
/** board_create_members() - members of a new attempt, without workers yet */
void board_create_members(struct job *j);
void board_assign_member(struct member *m, struct worker *w);
void board_free_members(struct job *j);
void board_add_orphan(struct worker *w, const char *job, int64_t attempt,
		      int32_t index);
void board_remove_orphan(struct worker *w, struct orphan *o);
/**
 * board_reset() - discard the state that only an active scheduler has
 *
 * Removes all jobs and the fleet and cancels the calls to workers.
 */
void board_reset(struct board *b);
void board_free(struct board *b);
/** board_record_action() - add an action to the ring that explain shows */
void board_record_action(struct board *b, const char *job, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));
/**
 * board_step_down() - become a standby
 * @why: where the loss was noticed, for the log
 * @epoch: the higher epoch, for the log; 0 if not known
 */
void board_step_down(struct board *b, const char *why, uint64_t epoch);
const char *job_state_name(enum job_state s);
/** board_may_command() - whether this process may command workers */
bool board_may_command(const struct board *b);
/** board_set_table_available() - record whether the table answers calls */
void board_set_table_available(struct board *b, bool available);

/**
 * board_reply() - reply to all calls of a list and free the list
 * @json: body; NULL for none
 */
void board_reply(struct board *b, struct waiter **list,
		 enum tg_rpc_status status, const json_t *json,
		 const char *text);
/**
 * board_may_release_done() - whether the records of completed tasks of a
 * stopping gang may be released
 *
 * They are kept as long as every other task may have completed as well: in that
 * case the job is done and must not run again.
 */
bool board_may_release_done(const struct job *j);
/** board_mark_gang_due() - send a message to each worker of the gang soon */
void board_mark_gang_due(struct job *j);

#endif
