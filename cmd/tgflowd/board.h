#ifndef TGFLOWD_BOARD_H
#define TGFLOWD_BOARD_H

#include <uthash.h>

#include "flow/flow.h"
#include "http/http.h"
#include "site/site.h"

/**
 * DOC: blackboard of the flow daemon
 *
 * One flow daemon of a site, the owner, schedules; the others stand by.  A term
 * begins when a daemon becomes the owner and ends when it stops being it; what
 * is in progress from an earlier term is ignored.
 */

enum {
#define TG_EVENT TG_EVENT_ENUM
#include "events.def"
#undef TG_EVENT
};

/* Clocks of workers may be this much slow, as the platform says. */
#define CLOCK_SLOW_PERCENT 2
/* Beyond that before a lease counts as expired: rounding and late timers. */
#define EXPIRY_MARGIN_MS 200

struct settings {
	struct tg_site_flags flags;
	int64_t lease_ms, keep_ms;
};

enum role {
	ROLE_STANDBY,
	ROLE_CLAIMING, /* the claim has no answer yet */
	ROLE_RECOVERING, /* owner, reading what there is */
	ROLE_OWNER,
	ROLE_STOPPING, /* stops, claims no more */
};

struct board;

/** struct link - the way to one worker */
struct link {
	struct board *board;
	struct tg_worker_entry entry;
	bool in_directory; /* in the directory */
	bool failed; /* the last look had no answer */
	bool runs_known;
	bool may_have_runs; /* may have runs */
	bool long_polling, polling; /* a call is in progress */
	bool poll_again;
	bool seen_in_scan; /* the reading in progress has brought it */
	int64_t boot_ms;
	int64_t clock_ms, clock_at_ms; /* worker's clock, and when it came */
	int64_t lease_until_ms; /* highest expiry that was sent, worker's clock
				 */
	int64_t leases_end_ms; /* by then all leases have expired, own clock */
	/* ends: known here; in the write in progress; durable */
	int64_t processed_n, writing_n, durable_n;
	int64_t next_poll_ms; /* of the next look */
	int32_t failures;
	int32_t refusals; /* connections in a row that were refused */
	int64_t first_failure_ms,
		removed_ms; /* first failed call; entry removed */
	int64_t last_heartbeat_ms; /* its entry last changed */
	int64_t earliest_exit_ms; /* while it drains: not before; or 0 */
	int64_t unknown_since_ms; /* since it lists runs of unknown jobs; or 0
				   */
	UT_hash_handle hh;
};

/** struct waiter - a caller of JOB_CANCEL or JOB_SUBMIT awaiting the write */
struct waiter {
	struct tg_rpc_req *req;
	char job[FLOW_JOB_LEN + 1];
	struct waiter *next;
};

struct board {
	struct settings set;
	struct event_base *base;
	struct tg_rng rng;
	struct tg_site site;
	struct tg_document *document;
	struct tg_rpc_server *rpc;
	struct tg_rpc_client *peers;
	struct tg_http_server *metrics;
	char boot[TG_TOKEN_LEN + 1];

	/* ownership */
	enum role role;
	uint64_t term;
	uint64_t fence;
	struct tg_owner_row owner; /* as last read or written */
	int64_t owner_version;
	bool former_owner_ended; /* the owner before starts nothing any more */
	int64_t written_ms; /* last write that succeeded */
	int64_t refused_since_ms; /* since when all writes are refused, or 0 */
	int64_t recover_until_ms; /* unknown runs have ended by then */
	/*
	 * Runs that the former owner stopped have ended by then.  Workers don't
	 * list them meanwhile, although they take room.
	 */
	int64_t stops_end_ms;

	/* what the owner knows */
	struct flow *flow;
	struct link *links;
	struct tg_follow *jobs, *progress, *directory;
	bool directory_read;
	struct waiter *waiters;

	bool round_wanted, write_wanted;
};

#define IS_OWNER(b) ((b)->role == ROLE_OWNER || (b)->role == ROLE_RECOVERING)

/* owner.c */
/** owner_lost() - end the term: another daemon owns the site, or will */
void owner_lost(struct board *b, const char *why);
/** owner_check_recovered() - whether all runs are known or over by now */
void owner_check_recovered(struct board *b);
/** owner_may_renew() - whether leases may be renewed and tasks started */
bool owner_may_renew(const struct board *b);
/** owner_is_current() - whether it is the owner and reaches the store */
bool owner_is_current(const struct board *b);

/* writer.c */
/** writer_wake() - write what has changed, soon */
void writer_wake(struct board *b);
/** writer_delete_progress() - delete the progress of a job whose row is deleted
 */
void writer_delete_progress(struct board *b, const char *job);
void writer_reset(struct board *b);
/** writer_idle() - nothing is being written and nothing needs to be */
bool writer_idle(const struct board *b);

/* jobs.c */
void jobs_open(struct board *b);
void jobs_close(struct board *b);
/** jobs_add_stored() - a job that is in the store, known already or not */
void jobs_add_stored(struct board *b, const struct tg_row *row);
void jobs_apply_document(struct board *b);

/* directory.c */
/** links_open() - follow the directory; each worker gets a link */
void links_open(struct board *b);
void links_close(struct board *b);

/* links.c */
struct link *link_find(struct board *b, const char *id);
/** link_set_boot() - another boot than before has lost its runs */
void link_set_boot(struct link *l, int64_t boot_ms);
/** link_poll_if_due() - ask for its lists if it is time */
void link_poll_if_due(struct link *l);
/** links_write_started() - the write that begins covers all ends known so far
 */
void links_write_started(struct board *b);
/** links_write_done() - the marked ends are durable */
void links_write_done(struct board *b);
/** link_poll() - ask for its lists at once, beside the call in progress */
void link_poll(struct link *l);
/** link_expiry() - expiry of leases renewed now, worker's clock */
int64_t link_expiry(struct link *l);
/** links_record_silent() - name the workers that don't answer */
void links_record_silent(const struct board *b, struct tg_owner_row *r);
/**
 * links_count_unknown() - workers whose runs are not known
 *
 * One that was silent to the owner before got no starts from it, so that all
 * its runs are recorded.
 */
int64_t links_count_unknown(const struct board *b);

/* round.c */
/** round_wake() - decide soon */
void round_wake(struct board *b);

extern const struct tg_controller rpc_controller;
extern const struct tg_controller owner_controller;
extern const struct tg_controller writer_controller;
extern const struct tg_controller links_controller;
extern const struct tg_controller round_controller;
extern const struct tg_controller metrics_controller;
extern const struct tg_controller purge_controller;

#endif
