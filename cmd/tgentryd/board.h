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
 * DOC: state of the entry daemon
 *
 * struct board holds the whole state of the process, and the controllers read
 * and write it.  Nothing in it has to survive a restart: what must outlive the
 * process is stored in the table, and an issued key names the process that
 * keeps its outcome in memory.
 */

enum {
#define TG_EVENT TG_EVENT_ENUM
#include "events.def"
#undef TG_EVENT
};

/* Longest deadline of a request, see docs/design.md section 6. */
#define DEADLINE_MAX_MS 60000
/* Failed attempts after which a request is not retried again. */
#define ATTEMPTS_MAX 8
/* Entries of the action log; the oldest one is overwritten. */
#define ACTIONS_MAX 256
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
	struct tg_http_limits http;
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
 * struct worker - worker and its backend server
 * @addr: address of the worker itself, which answers probes
 * @service_addr: address of the backend server, which gets the requests
 * @boot: identifies the start of the worker, as last reported; empty before
 *	the first report
 * @listed: it is in the last instance list
 * @list_leaving: the last instance list marks it as leaving
 * @doc_draining: the document drains it
 * @self_report_ms: own clock when the worker's own state was last received, in
 *	the answer to a probe, in a peer's note or in the reply to a request; 0:
 *	never
 * @self_reported_draining: whether it was draining according to that state
 * @observed_ms: worker's clock in the newest answer to a probe that was sent by
 *	this process or by a peer; orders the observations of one boot
 * @leaving_reply_ms: own clock at the last reply to a request with the header
 *	Tg-Draining; such a reply carries no time of the worker's clock
 * @down: its probes fail, here or at the peer that probes it
 * @slots: number of its slots
 * @connections: limit of the connections that it accepts, 0 for none
 * @in_use_reported: slots in use according to the last report, less the own
 *	requests that have ended since
 * @sent_since_report: own requests in flight that the last report does not
 *	include
 * @report_seq: number of the last report of the slots in use
 * @in_flight: own requests that have not ended
 * @failures: consecutive requests that failed because of the worker
 * @failing_until_ms: until then it gets requests only if all usable workers are
 *	failing
 * @full_until_ms: it refused a request without running it; it gets no further
 *	request before this time
 * @next_probe_ms: when this process probes it next; 0: this process has never
 *	probed it
 * @probe_failures: consecutive probes that failed
 * @probe_wanted: its address changed or a peer's note names another start of
 *	it, so this process probes it even if a peer has to
 * @note_due: its state or load changed and has to be sent to the peers
 * @last_note_in_use: @in_use_reported when it was last sent to the peers
 * @note_sender: instance that sent the newest note about it
 * @note_sender_boot: boot of that instance
 * @note_seq: sequence number of that note
 */
struct worker {
	char name[TG_NAME_MAX + 1];
	char az[TG_NAME_MAX + 1];
	char addr[TG_ADDR_MAX + 1];
	char service_addr[TG_ADDR_MAX + 1];
	char boot[TG_NAME_MAX + 1];
	bool listed, list_leaving, doc_draining;
	int64_t self_report_ms;
	bool self_reported_draining;
	int64_t observed_ms, leaving_reply_ms;
	bool down;
	uint32_t slots, connections;
	uint32_t in_use_reported, sent_since_report;
	uint64_t report_seq;
	uint32_t in_flight;
	uint32_t failures;
	int64_t failing_until_ms, full_until_ms;

	int64_t next_probe_ms;
	bool probe_in_flight, probe_wanted;
	uint32_t probe_failures;
	bool note_due;
	uint32_t last_note_in_use;
	char note_sender[TG_NAME_MAX + 1];
	char note_sender_boot[TG_NAME_MAX + 1];
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
	struct budget retry_budget;
	int64_t mean_attempt_us; /* moving average of one attempt's time */
	size_t refs;
	UT_hash_handle hh;
};

struct header {
	char *name, *value;
};

/**
 * struct outcome - how a request ended
 * @status: HTTP status of the reply
 * @place: what a refusal is about (a header, a parameter or a part of the
 *	request), or NULL
 * @reason: text of a refusal or of an unknown outcome, else NULL
 * @headers: those of an answer that was just received; an outcome that was
 *	remembered, recorded or forwarded has none
 */
struct outcome {
	enum tg_rpc_outcome kind;
	int status;
	char *content_type;
	char *place, *reason;
	struct header *headers;
	size_t n_headers;
	char *body;
	size_t body_bytes;
};

enum request_state {
	REQUEST_NEW,
	REQUEST_CLAIMING,
	REQUEST_QUEUED,
	REQUEST_RUNNING, /* a byte may have reached a backend server */
	REQUEST_WAITING, /* until another request with the same key ends */
	REQUEST_FORWARDED, /* to the instance that issued its key */
	REQUEST_LOADING, /* the key's row or a recorded outcome is being read */
};

struct claim;
struct issued_entry;

/**
 * struct request - request of a caller from its arrival to its reply
 * @http: HTTP request of the caller; NULL if another instance forwarded it
 * @rpc: REQUEST_FORWARD that brought it; NULL if it came by HTTP
 * @aborted: the caller closed its connection before the reply
 * @path: path and query as sent, without /v1/svc/SERVICE
 * @id: value of Tg-Request-Id
 * @digest: hash of method, service, path and body; tells whether two requests
 *	with one key are the same
 * @deadline_ms: on the monotonic clock
 * @counted_in_flight: it is included in @in_flight of the workspace
 * @idempotent: its method is one of the service's idempotent methods
 * @claim: claim of a caller's key, or NULL
 * @issued_entry: issued key under which it runs here, or NULL
 * @tried_workers: workers at which an attempt failed; they get no further
 *	attempt of this request
 * @failed_attempts: length of @tried_workers
 * @budget_deposited: its share was added to the service's retry budget
 * @may_have_run: an earlier attempt may have run
 * @worker: worker that has the current attempt, or NULL
 * @report_seq: of @worker at dispatch
 * @full_timeout: the attempt was given all of the service's timeout, not only
 *	what the deadline left
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
	char id[17];
	char digest[17];
	char key[KEY_MAX + 1];
	enum key_kind key_kind;
	struct issued_key issued_key;

	int64_t start_us;
	int64_t deadline_ms;
	struct event *timer;

	struct service *service;
	struct workspace *workspace;
	bool counted_in_flight;
	bool idempotent;
	struct claim *claim;
	struct issued_entry *issued_entry;
	struct queue_item item;
	struct request *next_waiting;

	char tried_workers[ATTEMPTS_MAX][TG_NAME_MAX + 1];
	int failed_attempts;
	bool budget_deposited;
	bool may_have_run;
	struct worker *worker;
	uint64_t report_seq;
	int64_t attempt_start_us;
	bool full_timeout;
	struct tg_http_call *call;

	struct request *prev, *next;
};

enum issued_key_state { ISSUED_UNUSED, ISSUED_RUNNING, ISSUED_DONE };

/**
 * struct issued_entry - key that this process issued
 * @digest: of the request that used it first; empty before
 * @outcome: valid in ISSUED_DONE
 * @waiting: requests with this key that wait for the running one
 * @expires_ms: when the entry is removed unless its request is running
 */
struct issued_entry {
	char key[KEY_MAX + 1];
	enum issued_key_state state;
	char workspace[TG_NAME_MAX + 1];
	char service[TG_NAME_MAX + 1];
	char digest[17];
	struct outcome outcome;
	struct request *waiting;
	bool recording;
	int64_t expires_ms;
	UT_hash_handle hh;
};

/** struct action - entry of the action log, see /v1/actions */
struct action {
	int64_t at_ms;
	char text[120];
};

struct record;

/**
 * struct board - state of the process
 * @refuse_from_ms: end of the grace period of a drain, from which new requests
 *	are refused; 0: not draining
 * @drain_write_end_ms: until then a drain waits for writes to the table; 0:
 *	without limit
 * @n_claim_checks: reads of the table for requests that are to be refused
 * @n_job_calls: job calls that are not yet replied to
 * @issued_bytes: size of the bodies of the outcomes in @issued_keys
 * @last_key_number: number of the last key that was issued
 * @claims: claims that are being written or have to be released, and those of
 *	requests in progress
 * @records: outcomes that have to be recorded
 * @record_bytes: size of the bodies that @records keep in memory
 * @note_seq: sequence number of the last note that was sent
 * @notes_due: a worker has note_due set
 * @next_full_notes_ms: when notes on all workers that this process probes are
 *	sent next
 * @n_actions: actions since the start; the newest one is at
 *	(@n_actions - 1) % ACTIONS_MAX
 */
struct board {
	struct settings settings;
	struct event_base *base;
	struct tg_rng rng;

	struct tg_http_client *backend_http, *probe_http, *plat_http;
	struct tg_plat *plat;
	struct tg_rpc_client *rpc;
	struct tg_rpc_server *rpc_server;
	struct tg_http_server *http_server;
	struct tg_member *member;
	int64_t refuse_from_ms;
	int64_t drain_write_end_ms;

	struct worker *workers;
	struct service *services;
	struct workspace *workspaces;
	struct request *requests;
	size_t n_requests;
	size_t n_claim_checks;
	size_t n_job_calls;
	struct issued_entry *issued_keys;
	size_t n_issued_keys, issued_bytes;
	uint64_t last_key_number;
	struct claim *claims;
	struct record *records;
	size_t n_records, record_bytes;
	uint64_t note_seq;
	bool notes_due;
	int64_t next_full_notes_ms;

	struct action actions[ACTIONS_MAX];
	size_t n_actions;
};

/* --- stats.c --- */

/** action_log() - add an entry to the log that /v1/actions shows */
void action_log(struct board *b, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));
/** action_log_json() - the whole log, as a new reference */
json_t *action_log_json(const struct board *b);
/**
 * stats_count_invalid() - count invalid input that was refused
 * @why: value of the label "why"
 */
void stats_count_invalid(const char *why);
/** stats_request_ended() - log and count the end of a request */
void stats_request_ended(const struct request *r, const struct outcome *o);

/* --- service.c --- */

/**
 * service_spec() - configuration of a service
 *
 * Return: NULL if no document is in force or it does not have the service.
 */
const struct tg_service *service_spec(const struct board *b, const char *name);
/**
 * service_acquire() - set the service and the workspace of a request
 *
 * Creates them if needed and holds a reference to each until
 * service_release().
 */
void service_acquire(struct request *r);
/**
 * service_release() - drop the references and the count of requests in flight
 */
void service_release(struct request *r);
/**
 * service_remove_unused() - free services and workspaces that no request refers
 * to and that the document does not have
 */
void service_remove_unused(struct board *b);
/** live_entry_count() - live entry daemons of the AZ, this one included */
size_t live_entry_count(const struct board *b);
/**
 * service_dispatch_queued() - dispatch queued requests while workers have room
 *
 * Also finishes requests whose deadline has passed or for which no worker is
 * usable.
 */
void service_dispatch_queued(struct board *b, struct service *s);
/** services_dispatch_queued() - service_dispatch_queued() for all services */
void services_dispatch_queued(struct board *b);
/** service_expected_wait_ms() - time that a newly queued request would wait */
int64_t service_expected_wait_ms(const struct board *b, const struct service *s,
				 const struct tg_service *spec);

/* --- request.c --- */

/** request_new() - new request in the list of requests in progress */
struct request *request_new(struct board *b);
/**
 * request_start() - check a parsed request and admit it
 *
 * Replies and frees @r at once or later.
 */
void request_start(struct request *r);
/**
 * request_admit() - check limits and room, then claim the key or queue
 *
 * Second part of request_start().  For an issued key it is called once the key
 * is known to be unused.
 */
void request_admit(struct request *r);
/** request_enqueue() - queue for the first or a further attempt */
void request_enqueue(struct request *r);
/** request_remaining_ms() - time to the deadline, 0 once it has passed */
int64_t request_remaining_ms(const struct request *r);
/** request_set_timer() - start or restart the timer of the deadline */
void request_set_timer(struct request *r);
/**
 * request_finish() - record the outcome under the key, reply and free @r
 * @o: its contents are freed
 */
void request_finish(struct request *r, struct outcome *o);
/**
 * request_finish_not_run() - finish with the outcome not-run
 * @place: what the refusal is about, or NULL
 */
void request_finish_not_run(struct request *r, int status, const char *place,
			    const char *fmt, ...)
	__attribute__((format(printf, 4, 5)));
/** request_finish_unknown() - finish with the outcome unknown */
void request_finish_unknown(struct request *r, int status, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));
/** request_on_caller_disconnect() - callback of tg_http_set_abort_callback() */
void request_on_caller_disconnect(void *arg);
/** request_free_all() - free all requests at exit, without a reply */
void request_free_all(struct board *b);

/* --- reply.c --- */

/** outcome_free() - free the contents, not @o itself */
void outcome_free(struct outcome *o);
/** outcome_copy() - deep copy without the headers */
void outcome_copy(struct outcome *to, const struct outcome *from);
/** outcome_set_body() - replace the body by a copy of @n bytes */
void outcome_set_body(struct outcome *o, const void *body, size_t n);
/** outcome_name() - value of Tg-Outcome */
const char *outcome_name(enum tg_rpc_outcome kind);
/**
 * outcome_to_rpc() - fill a response, whose pointers refer to @o
 *
 * A body that is too long for the protocol becomes the outcome unknown.
 */
void outcome_to_rpc(const struct outcome *o, struct tg_rpc_response *out);
/** reply_request() - reply to the caller or to the forwarding instance */
void reply_request(struct request *r, const struct outcome *o);
/** reply_not_run() - refuse an HTTP request that has no struct request */
void reply_not_run(struct evhttp_request *req, int status, const char *place,
		   const char *fmt, ...) __attribute__((format(printf, 4, 5)));
/**
 * reply_add_headers() - add Tg-Outcome and, while draining, "Connection: close"
 */
void reply_add_headers(struct evhttp_request *req, const char *outcome);
/**
 * is_hop_by_hop_header() - whether a header concerns one connection only, or is
 * set anew for each connection
 */
bool is_hop_by_hop_header(const char *name);
/**
 * reply_set_json_body() - set "body" if the body is text without NUL bytes,
 * else "body_base64"
 */
void reply_set_json_body(json_t *to, const char *body, size_t n);

/* --- workers.c --- */

/** workers_apply_instances() - update the workers from an instance list */
void workers_apply_instances(struct board *b, const struct tg_instance *list,
			     size_t n);
/** workers_apply_document() - update which workers the document drains */
void workers_apply_document(struct board *b);
/** worker_draining() - whether it must get no new requests */
bool worker_draining(const struct worker *w, int64_t now_ms);
/** worker_present() - whether it is listed or answers its probes */
bool worker_present(const struct worker *w, int64_t now_ms);
/**
 * workers_choose() - choose a worker for the next attempt of a request
 * @any_usable: set to whether any worker may get the request now or later
 *
 * Return: NULL if no worker has room for the request now.
 */
struct worker *workers_choose(struct board *b, const struct request *r,
			      const struct tg_service *spec, bool *any_usable);
/**
 * workers_capacity() - requests of a service that this instance may have in
 * flight
 */
uint32_t workers_capacity(const struct board *b, const struct tg_service *spec);
/**
 * worker_accept_observation() - check and store the time of an observation
 * @boot: start of the worker that was observed
 * @observed_ms: time by the clock of that start
 *
 * Return: false if an observation of that start that is as new or newer is
 * already known.
 */
bool worker_accept_observation(struct worker *w, const char *boot,
			       int64_t observed_ms);
/**
 * worker_apply_self_report() - apply the state that the worker reported itself
 * @boot: start of the worker; NULL or empty if the report does not name it
 */
void worker_apply_self_report(struct board *b, struct worker *w,
			      const char *boot, bool draining);
/** worker_set_in_use() - apply a report of the slots in use */
void worker_set_in_use(struct worker *w, uint32_t in_use);
/** worker_set_down() - set @down; a change is logged and sent to the peers */
void worker_set_down(struct board *b, struct worker *w, bool down);
/** worker_request_started() - count an attempt at the worker */
void worker_request_started(struct worker *w, struct request *r);
/**
 * worker_request_ended() - count the end of an attempt and apply what its
 * result shows about the worker
 */
void worker_request_ended(struct board *b, struct worker *w, struct request *r,
			  const struct tg_http_result *res);
/** workers_json() - reply to GET /v1/workers, as a new reference */
json_t *workers_json(struct board *b);
void workers_free(struct board *b);

/* --- dispatch.c --- */

/**
 * dispatch_start() - send a request to a worker
 *
 * Finishes the request when the attempt ends, or queues it again if a failed
 * attempt may be retried.
 */
void dispatch_start(struct request *r, struct worker *w,
		    const struct tg_service *spec);

/* --- claims.c --- */

/**
 * claim_start() - write the claim of a caller's key into the table
 *
 * Calls request_enqueue() once the claim is recorded, else finishes @r.
 */
void claim_start(struct request *r);
/** claim_release() - release a recorded claim under which nothing ran */
void claim_release(struct request *r);
/**
 * claim_refuse_after_check() - refuse a request whose key was not claimed
 *
 * Reads the row of the key first.  The request ends as not-run if the row shows
 * that no earlier attempt ran, with the outcome of an earlier attempt if there
 * was one, and as unknown if the table can't be read.
 */
void claim_refuse_after_check(struct request *r, int status, const char *place,
			      const char *text);
/**
 * claim_detach() - separate the claim from a request that ends
 *
 * A claim that is still being written is released once it is recorded.  A claim
 * that is held stays in the table without an outcome.
 */
void claim_detach(struct request *r);
/** claim_record_outcome() - record the outcome under the claim */
void claim_record_outcome(struct request *r, const struct outcome *o);
/** claim_row_key() - key of the row of a caller's or issued key, to be freed */
char *claim_row_key(const char *workspace, const char *key);
void claims_tick(void *board, int64_t now_ms);
void claims_free(struct board *b);

/* --- record.c --- */

/**
 * record_outcome() - write an outcome into the row of a key
 * @version: expected version of the row, 0 for absent
 * @row: members of the row beside the outcome; the reference is taken
 *
 * Retried until it is written, the row has changed or the process ends.
 */
void record_outcome(struct board *b, const char *workspace, const char *key,
		    uint64_t version, json_t *row, const struct outcome *o);
/**
 * record_parse() - read the recorded outcome of a row
 * @object: set to the name of the object that holds the body, or to NULL if the
 *	row holds it; valid as long as @row
 *
 * Return: false if no outcome is recorded.
 */
bool record_parse(const json_t *row, struct outcome *o, const char **object);
/**
 * record_load() - read the recorded outcome of a row with its body
 * @done: gets the outcome, or NULL if there is none or the object store does
 *	not answer.  The outcome is freed once @done returns.  @done may be
 *	called before record_load() returns.
 */
void record_load(struct board *b, const json_t *row,
		 void (*done)(struct outcome *o, void *arg), void *arg);
void records_tick(void *board, int64_t now_ms);
void records_free(struct board *b);

/* --- issued.c --- */

/** issued_key_serve_new() - POST /v1/keys */
void issued_key_serve_new(struct evhttp_request *req, void *board);
/**
 * issued_key_start() - start a request with an issued key
 *
 * Runs it here, lets it wait for another request with the key, forwards it to
 * the instance that issued the key, or replies with the known outcome.
 */
void issued_key_start(struct request *r);
/**
 * issued_key_unused() - whether this process issued the key and no request runs
 * or has run with it
 */
bool issued_key_unused(const struct request *r);
/**
 * issued_key_complete() - store the outcome of the request that ran the key
 *
 * Finishes the requests that wait for it with the same outcome.
 */
void issued_key_complete(struct request *r, const struct outcome *o);
/** issued_key_serve_forward() - handler of REQUEST_FORWARD */
void issued_key_serve_forward(struct tg_rpc_req *rpc, void *args, void *board);
/** issued_key_stop_waiting() - remove a request from those that wait for a key
 */
void issued_key_stop_waiting(struct request *r);
void issued_tick(void *board, int64_t now_ms);
void issued_free(struct board *b);
/**
 * issuer_peer() - peer that may have issued a key
 *
 * Return: NULL if the instance is not known.
 */
const struct tg_member_peer *issuer_peer(const struct board *b,
					 const struct issued_key *k);
/** issued_key_is_local() - whether this process issued the key */
bool issued_key_is_local(const struct board *b, const struct issued_key *k);
/**
 * issued_key_answer_from_table() - finish a request with the recorded outcome
 *
 * If none is recorded, the request is finished with the outcome unknown.
 */
void issued_key_answer_from_table(struct request *r);

/* --- outcome_query.c --- */

/** outcome_query_serve() - GET /v1/requests/WORKSPACE/KEY */
void outcome_query_serve(struct evhttp_request *req, void *board);

/* --- jobs.c --- */

/** jobs_serve() - GET and POST /v1/jobs */
void jobs_serve(struct evhttp_request *req, void *board);
/** jobs_serve_one() - GET and DELETE /v1/jobs/WORKSPACE/JOB */
void jobs_serve_one(struct evhttp_request *req, void *board);
/** workers_serve() - GET /v1/workers */
void workers_serve(struct evhttp_request *req, void *board);
/** guarantees_serve() - GET /v1/guarantees */
void guarantees_serve(struct evhttp_request *req, void *board);

/* --- notes.c --- */

/** notes_serve() - handler of WORKER_NOTES */
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
