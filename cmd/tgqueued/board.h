#ifndef TGQUEUED_BOARD_H
#define TGQUEUED_BOARD_H

#include "flow/flow.h"
#include "http/http.h"
#include "site/site.h"

/**
 * DOC: blackboard of the queue daemon
 *
 * Takes callers' jobs, stores them and answers questions on them.  It schedules
 * nothing: the owner among the flow daemons does.
 */

enum {
#define TG_EVENT TG_EVENT_ENUM
#include "events.def"
#undef TG_EVENT
};

struct settings {
	struct tg_site_flags flags;
	int64_t deadline_ms;
};

struct board {
	struct settings set;
	struct event_base *base;
	struct tg_site site;
	struct tg_document *document;
	struct tg_rpc_client *peers;
	struct tg_http_server *front, *ready, *metrics;

	/* the owner, as far as known */
	char owner_addr[TG_ADDR_MAX + 1];
	int64_t owner_read_ms; /* the owner's row was read */
	bool owner_reading;
	struct tg_members members;
	struct tg_rng rng;
	/* Last write without success, direct and by a peer; 0: it succeeded. */
	int64_t store_failed_ms, relay_failed_ms;
	int64_t probed_ms; /* last write that was tried */
};

/** struct request - a caller's request in progress */
struct request {
	struct board *board;
	struct evhttp_request *http;
	enum tg_call_kind kind;
	char job[FLOW_JOB_LEN + 1];
	char queue[TG_NAME_MAX + 1], workspace[TG_NAME_MAX + 1];
	int64_t started_ms, deadline_ms; /* by then it must be answered */
	char *row; /* of a submission */
	bool maybe_stored; /* a write may have taken effect, or may do so later
			    */
	bool found; /* the job's row exists */
	int attempts;
	bool relayed; /* the last attempt */
};

/* front.c */
/** request_end() - reply, log, free */
void request_end(struct request *r, int status, const char *why);
void request_end_state(struct request *r, const char *state);
void request_end_count(struct request *r, int64_t waiting);
/** request_left_ms() - time until it must be answered */
int64_t request_left_ms(const struct request *r);
/** request_schedule() - call @fn after @ms */
void request_schedule(struct request *r, int64_t ms,
		      void (*fn)(struct request *r));

/* submit.c */
void submit(struct request *r);

/* ask.c */
void query_state(struct request *r);
void cancel_job(struct request *r);
void query_waiting(struct request *r);

/* owner.c */
typedef void (*owner_call_done)(enum tg_rpc_end end,
				const struct tg_rpc_answer *a, void *arg);
/**
 * owner_call() - call the owner
 *
 * If it is not known or does not answer as the owner, its row is read for the
 * next call, and @done gets an end other than TG_RPC_END_OK.
 */
void owner_call(struct board *b, uint32_t proc, const void *args,
		int64_t timeout_ms, owner_call_done done, void *arg);

/** owner_pick_peer() - another flow daemon, the owner if known; or NULL */
const char *owner_pick_peer(struct board *b);

extern const struct tg_controller front_controller;
extern const struct tg_controller owner_controller;

#endif
