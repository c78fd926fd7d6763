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
 * All state of the process.  Controllers read and write it and do not call
 * each other.
 */

enum {
#define TG_EVENT TG_EVENT_ENUM
#include "events.def"
#undef TG_EVENT
};

#define CKPT_MAX 199
#define REASON_MAX 199
/* A message to a worker carries at most this many ops, see the contract. */
#define OPS_MAX 256
/* Times an action in the ring is kept for explain. */
#define ACTION_RECORDS_MAX 512

enum role {
	ROLE_STANDBY,
	ROLE_CLAIMING, /* the claim of the row is in flight */
	ROLE_INSTALLING, /* the epoch goes to the workers */
	ROLE_LOADING, /* the job rows are being read */
	ROLE_ACTIVE,
	ROLE_LEAVING, /* the row is given up or being given up */
};

enum member_state {
	MEMBER_NONE, /* nothing was sent to the worker */
	MEMBER_UNKNOWN, /* may hold a lease there */
	MEMBER_RESERVED,
	MEMBER_RUNNING,
	MEMBER_DONE, /* completed; the worker keeps the record */
	MEMBER_STOPPED, /* ended otherwise; the worker keeps the record */
	MEMBER_GONE, /* no lease: released, refused, lost or definitely expired
		      */
};

struct worker;
struct round;
struct job;

/**
 * struct member - one task of a gang's current attempt
 * @expired_ms: own clock; a lease asked for has definitely expired then
 * @confirmed: last round that the worker confirmed
 * @asked: round that the message in flight renews with all leases of the
 *	worker; 0: none
 * @failed: the task failed by itself
 * @lost: the lease ended other than by our command
 * @refused: the reservation was refused
 * @ckpt: latest checkpoint known
 * @ckpt_round: checkpoint round that @ckpt is of
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
	struct member *prev, *next; /* on the worker */
};

/** struct orphan - lease on a worker that belongs to no attempt in force */
struct orphan {
	char job[TG_NAME_MAX + 1];
	int64_t attempt;
	int32_t index;
	struct orphan *prev, *next;
};

/**
 * struct worker - one worker of the AZ
 * @id: in the fleet, -1 while not known there
 * @listed: in the platform's instance list
 * @leaving: leaving according to that list
 * @installed: it holds our epoch since its boot
 * @up: the last call was answered
 * @tried: at least one call ended since the claim
 * @now_ms: the worker's clock in its last answer
 * @reply_ms: own clock when that answer was received
 * @next_ms: own clock, not called before
 * @due: there is something to send
 * @lost: unreachable for so long that its members count as lost
 * @no_renew_all: does not know renew_all; until its next boot
 * @renew_singly: its leases were not those expected; the next renewals name
 *	each lease
 * @usage_seq: last change of usage that it reported
 * @unaccounted: it was logged that another process may still renew there
 * @sent_epoch: highest that was sent to it; it may have installed this one
 *	even if no reply came
 * @raised_epoch: a higher epoch that was taken since and is not sent before the
 *	worker answers, or 0
 * @raised_ms: own clock when that epoch was in the row
 */
struct worker {
	char name[TG_NAME_MAX + 1];
	char rack[TG_NAME_MAX + 1];
	char addr[TG_ADDR_MAX + 1];
	int32_t cores, memory_gb, accelerators;
	int32_t id;
	bool listed, leaving, epoch_installed, reachable, contacted, draining,
		quarantined;
	bool message_due, lost, peer_renewals_logged, in_flight;
	enum tg_worker_health health; /* as set in the fleet */
	char boot[TG_NAME_MAX + 1];
	int64_t clock_ms, reply_ms, next_call_ms;
	uint64_t epoch_seen;
	bool renew_all_unsupported, renew_individually;
	int64_t usage_seq;
	uint64_t sent_epoch, raised_epoch;
	int64_t raised_ms;
	json_t *inventory; /* leases, until the board is rebuilt */
	struct member *members;
	struct orphan *orphans;
	struct tg_http_call *call;
	void *call_arg; /* freed if the call is cancelled */
	UT_hash_handle hh;
};

enum job_state {
	JOB_INSERTING, /* its insertion is in flight */
	JOB_INSERT_UNKNOWN, /* its insertion is unknown */
	JOB_QUEUED,
	JOB_RUNNING, /* has a gang, see .gang */
	JOB_DONE,
	JOB_CANCELLED,
	JOB_PARKED,
};

/** struct job_spec - what a submission asks for, parsed */
struct job_spec {
	char workspace[TG_NAME_MAX + 1];
	char job[TG_NAME_MAX + 1];
	enum tg_job_class class;
	int32_t tasks, accelerators, cores, memory_gb;
	bool within_rack;
	int64_t declared_ms;
};

struct waiter {
	struct tg_rpc_req *req;
	struct waiter *next;
};

/**
 * struct job - one job
 * @json: spec as stored, canonical
 * @version: of its row
 * @version_known: false after a write of unknown result
 * @writing: a write of its row is in flight
 * @attempt: last committed or being reserved
 * @attempt_floor: highest attempt of which a lease was found; the next attempt
 *	has a higher number
 * @epoch: under which that attempt was committed
 * @gang: state of the attempt
 * @round: last renewal round sent
 * @cause: why the gang is stopped
 * @after: state of the row once the gang is gone
 * @ckpts: last checkpoints complete for the whole gang, array of texts
 * @done_ms: run time kept in them
 * @cancel: cancellation is recorded in the row
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
	struct waiter *waiters; /* for the insertion */
	struct waiter *cancel_waiters;
	bool cancel_requested, park_requested, recorded, ckpt_unsaved;
	int64_t retry_ms;
	int64_t initial_progress_ms; /* kept run time that the attempt began
					with */
	UT_hash_handle hh;
};

/** struct recent - one action, for explain */
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
	uint64_t epoch; /* ours while not a standby */
	uint64_t row_epoch; /* seen in the row */
	uint64_t unknown_claim_epoch; /* epoch of a claim of unknown result, or
					 0 */
	uint64_t row_version; /* seen, or expected after our writes */
	char row_holder[TG_NAME_MAX + 1];
	char row_boot[TG_NAME_MAX + 1];
	char row_rpc[TG_ADDR_MAX + 1];
	int64_t row_changed_ms; /* own clock; 0: nothing read yet */
	bool row_read_in_flight, row_write_in_flight, row_write_unknown,
		row_release_sent;
	int64_t claimed_ms;
	uint64_t term; /* epoch of the claim; raises keep it */
	bool epoch_raise_wanted, epoch_raise_in_flight;
	int64_t raised_ms; /* own clock when the epoch was in the row */
	int64_t row_write_sent_ms; /* write of the row in flight */
	int64_t row_read_sent_ms; /* read of the row in flight */
	bool table_down;
	int64_t table_down_ms; /* own clock; begin of the last outage */
	int64_t table_up_ms; /* own clock; end of the last long outage */

	/* renewals by other processes, see authority.h */
	uint64_t highest_epoch, advertised_epoch;
	int64_t row_confirmed_ms; /* last answered call for the row was sent */
	int64_t last_command_ms; /* last command that may renew was sent */
	int64_t lower_epoch_command_ms; /* the last under less than known_epoch
					 */
	struct tg_instance *az_schedulers; /* of the AZ in the last list */
	size_t n_az_schedulers;
	int64_t scheduler_left_ms; /* one was found to have left the list */

	/* workers and jobs */
	struct worker *workers;
	struct job *jobs;
	struct tg_fleet *fleet;
	bool decision_due; /* facts have changed */
	bool doc_changed;
	bool loading;
	uint64_t generation; /* of the document in the fleet */
	int64_t next_decide_ms;

	/* outage renewal of a standby */
	bool outage_renewing;
	struct round *outage_round;

	struct action_record action_records[ACTION_RECORDS_MAX];
	size_t n_action_records; /* ever added */

	bool paused_once;
};

struct worker *board_find_worker(struct board *b, const char *name);
/** board_add_worker() - worker of a name, created if needed */
struct worker *board_add_worker(struct board *b, const char *name);
struct job *board_find_job(struct board *b, const char *name);
struct job *board_add_job(struct board *b, const struct job_spec *spec);
void board_remove_job(struct board *b, struct job *j);
/** board_make_members() - members of a new attempt, on no worker yet */
void board_create_members(struct job *j);
void board_assign_member(struct member *m, struct worker *w);
void board_free_members(struct job *j);
void board_add_orphan(struct worker *w, const char *job, int64_t attempt,
		      int32_t index);
void board_remove_orphan(struct worker *w, struct orphan *o);
/** board_forget() - drop all that only an active scheduler knows */
void board_reset(struct board *b);
void board_free(struct board *b);
/** board_note() - add an action to the ring */
void board_record_action(struct board *b, const char *job, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));
/** board_step_down() - become a standby; a higher epoch is in force */
void board_step_down(struct board *b, const char *why, uint64_t epoch);
const char *job_state_name(enum job_state s);
/** board_commands() - whether this process may command workers */
bool board_may_command(const struct board *b);
/** board_set_table() - record whether the table answers */
void board_set_table_available(struct board *b, bool up);

/** board_answer() - answer a list of waiting calls; @json may be NULL */
void board_reply(struct board *b, struct waiter **list,
		 enum tg_rpc_status status, const json_t *json,
		 const char *text);
/**
 * board_releases_done() - whether records of done tasks of a gang that stops
 * are released
 *
 * They are kept while all other tasks may be done as well, since a job that is
 * done must not run again.
 */
bool board_may_release_done(const struct job *j);
/** board_gang_due() - let the workers of a gang be sent what is due */
void board_mark_gang_due(struct job *j);

#endif
