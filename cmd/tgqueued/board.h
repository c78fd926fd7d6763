#ifndef TGQUEUED_BOARD_H
#define TGQUEUED_BOARD_H

#include "flow/flow.h"
#include "http/http.h"
#include "site/site.h"

/**
 * DOC: shared state of the queue daemon
 *
 * The queue daemon accepts jobs from callers, stores them and answers queries
 * about them.  It schedules nothing; the flow daemon that owns the site does.
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
	struct request *requests; /* those that are not answered */
	int64_t draining_since_ms; /* 0: not draining */
	int64_t answer_all_ms; /* how long requests may wait from then on */

	/* address of the owner; empty if unknown */
	char owner_addr[TG_ADDR_MAX + 1];
	int64_t owner_read_ms; /* start of the last read of the owner's row */
	bool owner_reading;
	struct tg_flow_peers members;
	struct tg_rng rng;
	/*
	 * When the last write failed, by this instance and by a peer; 0 if it
	 * succeeded.
	 */
	int64_t store_failed_ms, relay_failed_ms;
	int64_t probed_ms; /* last submission that tried the store */
	/*
	 * What the owner last said it can hold of further jobs, what this
	 * instance has accepted since, and what it is storing; see room.c.
	 */
	bool room_known;
	int64_t room_bytes, accepted_bytes, storing_bytes;
	int64_t room_heard_ms; /* when it said so */
	bool room_wanted; /* a job was refused since */
	bool room_asking;
	/* When the owner last could not confirm the document. */
	int64_t unconfirmed_ms;
};

/** struct request - a caller's request in progress */
struct request {
	struct board *board;
	struct evhttp_request *http; /* NULL: answered by answer_all() */
	struct request *prev, *next;
	enum tg_request_kind kind;
	char job[FLOW_JOB_ID_LEN + 1];
	char *queue, *workspace; /* names, empty for none */
	int64_t started_ms, deadline_ms; /* must be answered by then */
	/*
	 * Document by which the request was decoded, and for how long it had
	 * not been known to be the newest one.
	 */
	int64_t generation, not_current_ms;
	bool unconfirmed; /* nobody knew whether that was the newest one */
	char *row; /* encoded job row of a submission */
	int64_t job_bytes; /* what the job takes at the owner */
	bool has_room; /* they count as being stored */
	int64_t retry_after_s; /* for a refusal; 0 for the usual time */
	bool maybe_stored; /* a write that got no answer may take effect */
	bool found; /* the job's row exists */
	bool cancelled; /* so does the row that requests its cancellation */
	int attempts;
	bool relayed; /* the last attempt went through a peer */
};

/* front.c */
/** request_end() - send the reply, log it and free @r */
void request_end(struct request *r, int status, const char *why);
/** request_end_outdated() - reject: decided by a document that may be over */
void request_end_outdated(struct request *r);
void request_end_state(struct request *r, const char *state);
void request_end_count(struct request *r, int64_t waiting);
/** request_left_ms() - time left until the request must be answered */
int64_t request_left_ms(const struct request *r);
/** request_schedule() - call @fn(@r) once after @ms; @r must live until then */
void request_schedule(struct request *r, int64_t ms,
		      void (*fn)(struct request *r));

/* submit.c */
/** submit() - store the job in @r->row and reply */
void submit(struct request *r);

/* room.c */
/** room_heard_of() - the owner has answered; @answer may say what it can hold
 */
void room_heard_of(struct board *b, const json_t *answer);
/** room_is_left() - whether the owner can hold the job of @r */
bool room_is_left(const struct request *r);
/** room_note_refusal() - the job of @r is refused for lack of room */
void room_note_refusal(const struct request *r);
/** room_take() - the job of @r is about to be stored */
void room_take(struct request *r);
/** room_settle() - the request ends; @stored if the job is, or may be, stored
 */
void room_settle(struct request *r, bool stored);
/** room_check() - ask the owner if jobs were refused since it last answered */
void room_check(struct board *b);

/* query.c */
/** query_state() - reply with the state of the job */
void query_state(struct request *r);
/** cancel_job() - cancel at the owner, else store the cancellation */
void cancel_job(struct request *r);
/** reject_unless_stored() - reply 503 unless the job was accepted before */
void reject_unless_stored(struct request *r);
/** query_waiting() - reply with the number of jobs waiting in the queue */
void query_waiting(struct request *r);

/* owner.c */
typedef void (*owner_call_done)(enum tg_rpc_call_status end,
				const struct tg_rpc_answer *a, void *arg);
/**
 * owner_call() - call the owner of the site
 *
 * Any flow daemon is called if the owner is unknown.  If the call fails or is
 * refused because the callee is not the owner, the owner's row is read for the
 * next call and @done gets an end other than TG_RPC_CALL_OK and a NULL answer.
 * @done is never called before owner_call() returns.
 */
void owner_call(struct board *b, uint32_t proc, const void *args,
		int64_t timeout_ms, owner_call_done done, void *arg);

/**
 * owner_pick_peer() - address of a flow daemon on another instance
 *
 * Return: the owner's if it is known and remote, else any; NULL if there is
 * none.  Valid until the next call.
 */
const char *owner_pick_peer(struct board *b);

extern const struct tg_controller front_controller;
extern const struct tg_controller owner_controller;

#endif
