#ifndef ENTRY_BOARD_H
#define ENTRY_BOARD_H

#include <event2/buffer.h>
#include <jansson.h>
#include <uthash.h>

#include "base/base.h"
#include "doc/doc.h"
#include "http/http.h"
#include "member/member.h"
#include "oncrpc/oncrpc.h"
#include "plat/plat.h"
#include "budget.h"
#include "key.h"
#include "limits.h"
#include "queue.h"

/**
 * DOC: blackboard of the entry daemon
 *
 * All state of the process.  It is a cache: what must outlive the process is
 * in the table, and an issued key names the process that remembers it.
 */

enum {
#define TG_EVENT TG_EVENT_ENUM
#include "events.def"
#undef TG_EVENT
};

/* Longest time of a request, docs/design.md section 6. */
#define DEADLINE_MAX_MS 60000
/* Backend servers that break a request or can't be reached, at most. */
#define ATTEMPTS_MAX 8
#define ACTIONS 256
#define REQUEST_HEADERS_MAX 64

struct settings {
	const char *http_addr, *rpc_addr;
	const char *instance, *az;
	const char *platform, *peers;
	const char *log_level;
	int64_t probe_ms;
	int64_t drain_grace_ms, drain_max_ms;
	int64_t default_deadline_ms;
	int64_t header_bytes, body_bytes;
	bool unsafe_no_claims;
	bool unsafe_reuse_after_timeout;
	bool unsafe_retry_all;
	bool unsafe_ignore_draining;
	bool unsafe_dispatch_unclaimed;
	bool unsafe_run_anywhere;
	bool unsafe_refuse_unchecked;
	bool unsafe_apply_any_generation;
	bool unsafe_pass_undelimited;
	bool unsafe_drain_until_written;
	bool unsafe_unknown_as_not_run;
	bool unsafe_no_document_polls;
};

/**
 * struct worker - backend server of a worker
 * @boot: as last reported, empty before
 * @listed: in the last instance list
 * @list_leaving: the list says that it is leaving
 * @doc_drains: the document drains it
 * @self_ms: when the worker last spoke for itself, directly or by a peer's
 *	note; 0: never
 * @self_draining: what it then said
 * @observed_ms: worker's clock in the newest answer to a probe, here or at a
 *	peer; orders observations of one boot
 * @leaving_said_ms: when an answer to a request said that it is leaving; such
 *	an answer has no worker's clock
 * @down: its probe fails, as seen here or by the peer that probes it
 * @reported: slots in use as last reported, less own requests that ended since
 * @since: own requests in flight that the last report does not include
 * @report_seq: number of the last report
 * @in_flight: own requests not ended
 * @fails: requests in a row that broke
 * @full_until_ms: it refused a request as not run; nothing is sent before
 */
struct worker {
	char name[TG_NAME_MAX + 1];
	char az[TG_NAME_MAX + 1];
	char addr[TG_ADDR_MAX + 1];
	char service_addr[TG_ADDR_MAX + 1];
	char boot[TG_NAME_MAX + 1];
	bool listed, list_leaving, doc_drains;
	int64_t self_ms;
	bool self_draining;
	int64_t observed_ms, leaving_said_ms;
	bool down;
	uint32_t slots, connections;
	uint32_t reported, since;
	uint64_t report_seq;
	uint32_t in_flight;
	uint32_t fails;
	int64_t failing_until_ms, full_until_ms;

	int64_t next_probe_ms;
	bool probe_in_flight;
	uint32_t probe_fails;
	bool note_due;
	uint32_t noted_in_use;
	char note_from[TG_NAME_MAX + 1]; /* sender and its boot */
	char note_boot[TG_NAME_MAX + 1];
	uint64_t note_seq;
	UT_hash_handle hh;
};

struct workspace {
	char name[TG_NAME_MAX + 1];
	struct bucket rate;
	int32_t in_flight;
	size_t refs;
	UT_hash_handle hh;
};

struct service {
	char name[TG_NAME_MAX + 1];
	struct queue queue;
	struct budget retries;
	int64_t mean_us; /* of one attempt, moving average */
	size_t refs;
	UT_hash_handle hh;
};

struct header {
	char *name, *value;
};

/** struct outcome - end of a request; @headers only if it was just received */
struct outcome {
	enum tg_rpc_outcome kind;
	int status;
	char *content_type;
	char *place, *reason; /* of a refusal */
	struct header *headers;
	size_t n_headers;
	char *body;
	size_t body_bytes;
};

enum request_state {
	REQUEST_NEW,
	REQUEST_CLAIMING,
	REQUEST_QUEUED,
	REQUEST_RUNNING, /* a byte may have been handed to a backend server */
	REQUEST_WAITING, /* for another request with the same issued key */
	REQUEST_FORWARDED, /* to the home of its key */
	REQUEST_LOADING, /* a recorded outcome, or the row of the key */
};

struct claim;
struct issued;

/**
 * struct request - a caller's request between its arrival and its reply
 * @http: the caller's, or NULL
 * @rpc: REQUEST_FORWARD that brought it, or NULL
 * @path: path and query as sent, without /v1/svc/SERVICE
 */
struct request {
	struct board *board;
	struct evhttp_request *http;
	struct tg_rpc_req *rpc;
	enum request_state state;
	bool aborted;

	enum evhttp_cmd_type method;
	char service_name[TG_NAME_MAX + 1];
	char workspace_name[TG_NAME_MAX + 1];
	char *path;
	char *content_type;
	struct header *headers;
	size_t n_headers;
	char *body;
	size_t body_bytes;
	char id[17]; /* Tg-Request-Id */
	char digest[17]; /* of method, service, path and body */
	char key[KEY_MAX + 1];
	enum key_kind key_kind;
	struct issued_key issued_key;

	int64_t start_us;
	int64_t deadline_ms; /* on the monotonic clock */
	struct event *timer;

	struct service *service;
	struct workspace *workspace;
	bool counted; /* in the workspace's in_flight */
	bool idempotent;
	struct claim *claim;
	struct issued *issued; /* it runs this key */
	struct queue_item item;
	struct request *next_waiting;

	char tried[ATTEMPTS_MAX][TG_NAME_MAX + 1];
	int attempts;
	bool earned; /* its part of the retry budget */
	bool was_sent; /* an earlier attempt may have run */
	struct worker *worker;
	uint64_t report_seq; /* of @worker at dispatch */
	int64_t attempt_us;
	bool whole_timeout; /* the attempt has all of the service's timeout */
	struct tg_http_call *call;

	struct request *prev, *next;
};

enum issued_state { ISSUED_FREE, ISSUED_RUNNING, ISSUED_DONE };

/** struct issued - a key that this process issued */
struct issued {
	char key[KEY_MAX + 1];
	enum issued_state state;
	char workspace[TG_NAME_MAX + 1];
	char service[TG_NAME_MAX + 1];
	char digest[17]; /* empty before the first use */
	struct outcome outcome; /* when done */
	struct request *waiting;
	bool recording;
	int64_t forget_ms;
	UT_hash_handle hh;
};

struct action {
	int64_t at_ms;
	char text[120];
};

struct record;

struct board {
	struct settings set;
	struct event_base *base;
	struct tg_rng rng;

	struct tg_http_client *backend, *prober, *plat_http;
	struct tg_plat *plat;
	struct tg_rpc_client *rpc;
	struct tg_rpc_server *rpc_server;
	struct tg_http_server *server;
	struct tg_member *member;
	int64_t refuse_from_ms; /* end of the grace of a drain; 0: none */
	int64_t give_up_ms; /* writes to the table hold up a drain until then */

	struct worker *workers;
	struct service *services;
	struct workspace *workspaces;
	struct request *requests;
	size_t n_requests;
	size_t n_checks; /* reads for requests that are refused */
	size_t job_calls;
	struct issued *issued;
	size_t n_issued, issued_bytes;
	uint64_t next_key;
	struct claim *claims; /* being written or to be released */
	struct record *records; /* outcomes to be recorded */
	size_t n_records, record_bytes;
	uint64_t note_seq;
	bool notes_due;
	int64_t next_full_notes_ms;

	struct action actions[ACTIONS];
	size_t n_actions;
};

/* --- stats.c --- */

void board_note(struct board *b, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));
json_t *board_actions(const struct board *b);
/** stats_invalid() - count input that was refused before it had a service */
void stats_invalid(const char *why);
void stats_ended(const struct request *r, const struct outcome *o);

/* --- service.c --- */

const struct tg_service *service_spec(const struct board *b, const char *name);
/** service_refs() - hold service and workspace of a request */
void service_refs(struct request *r);
void service_unrefs(struct request *r);
/** service_sweep() - forget unused ones that the document does not name */
void service_sweep(struct board *b);
size_t service_entries(const struct board *b);
/** service_pump() - dispatch what waits while there is room */
void service_pump(struct board *b, struct service *s);
void service_pump_all(struct board *b);
/** service_expected_wait_ms() - of a request that would be queued now */
int64_t service_expected_wait_ms(const struct board *b, const struct service *s,
				 const struct tg_service *spec);

/* --- request.c --- */

struct request *request_new(struct board *b);
/** request_start() - admit; replies at once or later */
void request_start(struct request *r);
/** request_admit() - second half of it: limits, claim, queue */
void request_admit(struct request *r);
void request_enqueue(struct request *r);
int64_t request_left_ms(const struct request *r);
void request_set_timer(struct request *r);
/** request_finish() - settle, reply and free; takes the contents of @o */
void request_finish(struct request *r, struct outcome *o);
void request_not_run(struct request *r, int status, const char *place,
		     const char *fmt, ...)
	__attribute__((format(printf, 4, 5)));
void request_unknown(struct request *r, int status, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));
void request_caller_gone(void *arg);
/** request_free_all() - at the end of the process */
void request_free_all(struct board *b);

/* --- reply.c --- */

void outcome_free(struct outcome *o);
void outcome_copy(struct outcome *to, const struct outcome *from);
/** outcome_body() - set a copy of @n bytes */
void outcome_body(struct outcome *o, const void *body, size_t n);
const char *outcome_name(enum tg_rpc_outcome kind);
void outcome_to_rpc(const struct outcome *o, struct tg_rpc_response *out);
/** reply_request() - to the caller or to the forwarding instance */
void reply_request(struct request *r, const struct outcome *o);
/** reply_not_run() - refuse a request that has no struct request yet */
void reply_not_run(struct evhttp_request *req, int status, const char *place,
		   const char *fmt, ...) __attribute__((format(printf, 4, 5)));
/** reply_prepare() - Tg-Outcome, and the end of the connection in a drain */
void reply_prepare(struct evhttp_request *req, const char *outcome);
bool reply_is_hop_header(const char *name);
/** json_body() - text as "body", anything else as "body_base64" */
void reply_json_body(json_t *to, const char *body, size_t n);

/* --- workers.c --- */

void workers_note_list(struct board *b, const struct tg_instance *list,
		       size_t n);
/** workers_note_doc() - take over the drains of the document */
void workers_note_doc(struct board *b);
bool worker_draining(const struct worker *w, int64_t now_ms);
bool worker_present(const struct worker *w, int64_t now_ms);
/** workers_choose() - for the next attempt; sets *any if some are usable */
struct worker *workers_choose(struct board *b, const struct request *r,
			      const struct tg_service *spec, bool *any);
/** workers_capacity() - requests that this instance may have in flight */
uint32_t workers_capacity(const struct board *b, const struct tg_service *spec);
/**
 * worker_observed() - take over the time of an observation
 * @observed_ms: by the clock of the worker's start @boot
 *
 * Return: false if a newer observation of that start is already known.
 */
bool worker_observed(struct worker *w, const char *boot, int64_t observed_ms);
/** worker_said() - the worker spoke for itself */
void worker_said(struct board *b, struct worker *w, const char *boot,
		 bool draining);
void worker_report(struct worker *w, uint32_t in_use);
void worker_set_down(struct board *b, struct worker *w, bool down);
void worker_began(struct worker *w, struct request *r);
void worker_ended(struct board *b, struct worker *w, struct request *r,
		  const struct tg_http_result *res);
json_t *workers_json(struct board *b);
void workers_free(struct board *b);

/* --- dispatch.c --- */

void dispatch_start(struct request *r, struct worker *w,
		    const struct tg_service *spec);

/* --- claims.c --- */

/** claim_start() - insert the claim; request_enqueue() follows, or a reply */
void claim_start(struct request *r);
/** claim_release() - nothing ran under it */
void claim_release(struct request *r);
/**
 * claim_check() - refuse a request whose key was not claimed
 *
 * The request ends as not run if the table shows that no earlier attempt ran,
 * with the outcome of an earlier attempt if there was one, and as unknown if
 * the table can't be read.
 */
void claim_check(struct request *r, int status, const char *place,
		 const char *text);
/** claim_detach() - the request ends before its claim is written */
void claim_detach(struct request *r);
/** claim_done() - record the outcome under the claim */
void claim_done(struct request *r, const struct outcome *o);
char *claim_row_key(const char *workspace, const char *key);
void claims_tick(void *board, int64_t now_ms);
void claims_free(struct board *b);

/* --- record.c --- */

/**
 * record_outcome() - write an outcome into the row of a key
 * @version: of the row, 0 for absent
 */
void record_outcome(struct board *b, const char *workspace, const char *key,
		    uint64_t version, json_t *row, const struct outcome *o);
/**
 * record_parse() - recorded outcome of a row
 * @object: name of the object that holds the body, or NULL
 *
 * Return: false if no outcome is recorded.
 */
bool record_parse(const json_t *row, struct outcome *o, const char **object);
/**
 * record_load() - load the body of a recorded outcome; @done gets it, or
 * NULL if the object store does not answer
 */
void record_load(struct board *b, const json_t *row,
		 void (*done)(struct outcome *o, void *arg), void *arg);
void records_tick(void *board, int64_t now_ms);
void records_free(struct board *b);

/* --- issued.c --- */

void issued_serve_new(struct evhttp_request *req, void *board);
/** issued_start() - run here, wait, forward, or answer from memory */
void issued_start(struct request *r);
/** issued_unused() - this is the key's home and nothing runs or ran with it */
bool issued_unused(const struct request *r);
void issued_settle(struct request *r, const struct outcome *o);
void issued_serve_forward(struct tg_rpc_req *rpc, void *args, void *board);
/** issued_leave() - a waiting request ends */
void issued_leave(struct request *r);
void issued_tick(void *board, int64_t now_ms);
void issued_free(struct board *b);
/** issued_home() - where the key's home is called, or NULL */
const struct tg_member_peer *issued_home(const struct board *b,
					 const struct issued_key *k);
/** issued_is_here() - whether this process issued the key */
bool issued_is_here(const struct board *b, const struct issued_key *k);
/** issued_recorded() - answer from the table, else unknown */
void issued_recorded(struct request *r);

/* --- ask.c, jobs.c, front.c --- */

void ask_serve(struct evhttp_request *req, void *board);
void jobs_serve(struct evhttp_request *req, void *board);
void jobs_serve_one(struct evhttp_request *req, void *board);
void workers_serve(struct evhttp_request *req, void *board);
void guarantees_serve(struct evhttp_request *req, void *board);

/* --- notes.c --- */

void notes_serve(struct tg_rpc_req *rpc, void *args, void *board);

extern const struct tg_controller link_controller;
extern const struct tg_controller workers_controller;
extern const struct tg_controller probe_controller;
extern const struct tg_controller notes_controller;
extern const struct tg_controller queue_controller;
extern const struct tg_controller claims_controller;
extern const struct tg_controller records_controller;
extern const struct tg_controller issued_controller;
extern const struct tg_controller front_controller;

#endif
