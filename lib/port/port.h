#ifndef TG_PORT_H
#define TG_PORT_H

#include <event2/http.h>

#include "flow/spec.h"

/**
 * DOC: interface between the daemons and the platform
 *
 * The queue and flow daemons use the platform for a transactional store, the
 * directory of workers, calls to the workers, the operators' document and
 * callers' HTTP requests.  A port, in the sense of ports and adapters, is this
 * interface.  An adapter implements it as a struct tg_port_ops: it converts
 * between these types and the platform's protocol and makes no decisions.
 */

/* --- store --- */

/**
 * struct tg_row - a row of the store
 * @part: partition of the table; @key is unique within it
 * @version: store version of the last change.  In a check, the version that
 *	the row must have, or 0 if the row must not exist.
 * @deleted: in the result of a feed, the row was deleted
 */
struct tg_row {
	const char *table, *part, *key;
	const char *value;
	size_t value_bytes;
	int64_t version;
	bool deleted;
};

enum tg_store_end {
	TG_STORE_OK,
	TG_STORE_CONFLICT, /* a check failed; @rows are the current rows */
	TG_STORE_UNAVAILABLE, /* nothing was changed; may be repeated */
	TG_STORE_INVALID, /* nothing was changed; repeating can't succeed */
	TG_STORE_UNKNOWN, /* the change may be applied already, or later */
	TG_STORE_HISTORY_GONE, /* the changes after this version are not kept */
	TG_STORE_TOO_LARGE, /* of a read: the answer exceeds a limit */
};

/**
 * struct tg_store_transfer - how the answer of a read arrived
 * @bytes: received before the call ended
 * @wait_ms: time to the first of them
 * @receive_ms: time from the first of them to the end of the call
 * @cut: the answer began to arrive, but the rest of it did not
 */
struct tg_store_transfer {
	int64_t bytes, wait_ms, receive_ms;
	bool cut;
};

/**
 * struct tg_store_result - result of a call to the store
 * @version: store version at which the answer was made
 * @clock_ms: the store's steady clock then; 0 if the answer doesn't tell
 * @rows: owned by the adapter and valid only during the callback
 * @more: the range has further rows after the last one in @rows
 * @transfer: also set if the answer did not arrive whole
 */
struct tg_store_result {
	enum tg_store_end end;
	int64_t version, clock_ms;
	const struct tg_row *rows;
	size_t n_rows;
	bool more;
	struct tg_store_transfer transfer;
};

typedef void (*tg_store_done)(const struct tg_store_result *r, void *arg);

/**
 * struct tg_store_tx - a transaction, applied only if all checks pass
 * @multi_part: the rows belong to more than one part
 */
struct tg_store_tx {
	const struct tg_row *checks, *puts, *deletes;
	size_t n_checks, n_puts, n_deletes;
	bool multi_part;
	int64_t timeout_ms;
};

/**
 * struct tg_store_range - rows of a part with keys >= @from, in key order
 * @from: first key; NULL or empty for the start of the part
 * @to: the range ends before this key; NULL or empty for the end of the part
 * @limit: maximum number of rows; 0 for as many as the store returns at once
 * @stall_ms: @timeout_ms ends when the answer begins to arrive; from then on
 *	this is the longest time without further bytes.  0 to limit the whole
 *	call by @timeout_ms.
 */
struct tg_store_range {
	const char *table, *part, *from, *to;
	int32_t limit;
	int64_t timeout_ms, stall_ms;
};

/**
 * struct tg_store_feed - rows of a table that changed after version @after
 * @max_bytes: a larger answer is given up when its size is known, with
 *	TG_STORE_TOO_LARGE; 0 for the adapter's limit
 * @wait_ms: the store delays its answer by up to this until there is a change
 * @stall_ms: longest time without further bytes once the answer has begun to
 *	arrive, however long all of it takes
 */
struct tg_store_feed {
	const char *table;
	int64_t after;
	int64_t max_bytes;
	int64_t wait_ms, stall_ms;
};

/* --- workers --- */

/**
 * struct tg_worker_entry - a worker's entry in the directory
 * @id: key of its row
 * @service: as the document names it; like @az, @rack and @labels on the heap,
 *	of any length, and NULL only in an entry that was not decoded
 * @boot_ms: Unix time at which the worker process started, which tells it from
 *	earlier processes with the same @id; 0 if unknown
 * @remaining_ms: time until a draining worker exits; -1 if unknown
 * @warmup_left_ms: the worker stays slow for this long after its start
 */
struct tg_worker_entry {
	char id[TG_KEY_MAX + 1], addr[TG_ADDR_MAX + 1];
	char *service, *az, *rack;
	struct flow_shape capacity;
	char *labels[FLOW_LABELS_MAX];
	int n_labels;
	bool draining;
	int64_t boot_ms, remaining_ms, warmup_left_ms;
};

/** tg_worker_entry_clear() - free the strings of @e, but not @e itself */
void tg_worker_entry_clear(struct tg_worker_entry *e);
/** tg_worker_entry_move() - replace @to by @from, whose strings it takes over
 */
void tg_worker_entry_move(struct tg_worker_entry *to,
			  struct tg_worker_entry *from);

/** enum tg_order_end - outcome of a call to a worker */
enum tg_order_end {
	TG_ORDER_DONE,
	TG_ORDER_FENCED, /* the worker has seen a higher fencing token */
	/* This run of the task, or a later one, ended or was stopped. */
	TG_ORDER_OLD_RUN,
	TG_ORDER_LEASE_EXPIRED, /* the lease would have expired already */
	TG_ORDER_NO_CAPACITY,
	TG_ORDER_NO_TICKET,
	TG_ORDER_INVALID,
	TG_ORDER_UNHEALTHY, /* the worker refused; nothing was done */
	/* refused: the request named another worker process (boot) */
	TG_ORDER_OTHER_BOOT,
	TG_ORDER_NOT_SENT, /* no connection; nothing was done */
	TG_ORDER_CONN_REFUSED, /* connection refused; nothing was done */
	TG_ORDER_UNKNOWN, /* no valid answer; may be carried out later */
};

/** enum tg_run_how - how a run ended */
enum tg_run_how {
	TG_RUN_DONE,
	TG_RUN_FAILED,
	TG_RUN_STOPPED,
	TG_RUN_LEASE_EXPIRED, /* the lease expired */
	TG_RUN_GANG_BROKEN, /* another member of the gang ended */
	TG_RUN_GANG_TIMEOUT, /* timed out waiting for the other members */
};

/** struct tg_task_id - a task: @index of @step in an occurrence of @job */
struct tg_task_id {
	char job[FLOW_JOB_ID_LEN + 1];
	int32_t occurrence, step, index;
};

/**
 * struct tg_run - a run in progress, as reported by its worker
 * @run: number of the run, which rises with each start of the task
 * @percent: percentage of the work that is done; lib/flow estimates the
 *	remaining time from it
 * @saved: name of the last checkpoint, empty if there is none
 */
struct tg_run {
	struct tg_task_id task;
	int32_t run;
	int32_t percent;
	char saved[FLOW_CHECKPOINT_LEN + 1];
};

/**
 * struct tg_run_end - the end of a run, as reported by its worker
 * @n: sequence number of the end, counted from the start of the worker process
 */
struct tg_run_end {
	int64_t n;
	struct tg_task_id task;
	int32_t run;
	enum tg_run_how how;
	char saved[FLOW_CHECKPOINT_LEN + 1];
};

struct tg_worker_ref {
	const char *id, *addr;
};

/**
 * struct tg_worker_poll - call that renews a worker's leases and lists its runs
 * @fence: fencing token of the owner
 * @until_ms: new expiry of the leases on the worker's clock; 0 to list the runs
 *	without renewing
 * @acked_n: sequence number of the last acknowledged end; the worker deletes
 *	the ends up to it
 * @wait_ms: how long the worker may delay its answer until there is an end to
 *	report
 */
struct tg_worker_poll {
	uint64_t fence;
	int64_t until_ms;
	int64_t acked_n;
	int64_t wait_ms;
	int64_t timeout_ms;
};

/**
 * struct tg_worker_poll_result - answer to a struct tg_worker_poll
 * @clock_ms: the worker's clock when it answered
 * @boot_ms: as in struct tg_worker_entry
 * @runs: all runs in progress.  @runs and @ends are owned by the adapter and
 *	valid only during the callback.
 * @ends: the oldest of the ends that are not acknowledged yet
 * @more: there may be runs and ends that are in neither list
 * @closed: there is no answer, since the connection was closed or refused
 */
struct tg_worker_poll_result {
	enum tg_order_end end;
	int64_t clock_ms, boot_ms;
	const struct tg_run *runs;
	const struct tg_run_end *ends;
	size_t n_runs, n_ends;
	bool more, closed;
};

/**
 * struct tg_order - a command to a worker to start or stop a run
 * @spec: text of the job's specification; only in a start
 * @saved: checkpoint to continue from, NULL or empty if there is none; only in
 *	a start
 * @until_ms: expiry of the leases on the worker's clock; only in a start
 */
struct tg_order {
	struct tg_task_id task;
	int32_t run;
	uint64_t fence;
	const char *spec, *saved;
	int64_t until_ms;
	int64_t timeout_ms;
};

typedef void (*tg_worker_poll_done)(const struct tg_worker_poll_result *r,
				    void *arg);
/** @clock_ms: the worker's clock when it answered, 0 if unknown */
typedef void (*tg_order_done)(enum tg_order_end end, int64_t clock_ms,
			      void *arg);

/* --- document --- */

/**
 * struct tg_doc_mark - identity and age of an item of a document
 * @digest: hash of all that the item says
 * @since: generation of the document that the item was first seen in
 */
struct tg_doc_mark {
	uint64_t digest;
	int64_t since;
};

/**
 * struct tg_queue - a queue that callers submit jobs to
 * @host: value of the Host header, without the port
 * @prefix: beginning of the paths of the queue
 * @service: service whose workers run the jobs
 * @max_attempts: how often a task may be started, at least 1
 * @stretch: a job's time to complete should be at most @stretch times the
 *	declared time of its longest chain of steps, plus @target_ms
 * @allow_anonymous: accept requests without a workspace's key
 * @mark: set by lib/site, which compares documents
 */
struct tg_queue {
	struct tg_doc_mark mark;
	char *name, *host, *prefix, *service;
	int32_t priority, max_attempts;
	double stretch;
	int64_t target_ms;
	bool allow_anonymous;
};

/**
 * struct tg_workspace - a workspace
 * @keys: API keys of its callers
 * @guaranteed: number of accelerators guaranteed to its jobs
 * @mark: set by lib/site, which compares documents
 */
struct tg_workspace {
	struct tg_doc_mark mark;
	char *name;
	char **keys;
	size_t n_keys;
	int32_t guaranteed;
};

/**
 * struct tg_site_doc - the operators' document
 * @generation: version number set by the operators; rises with each change
 * @body_bytes: maximum size of a request body; 0 for no limit
 * @row_version: version of the row that has the whole document
 * @row_bytes: size of that row
 * @previous: generation that was in force here before; @generation if none was
 * @removed: marks of items that earlier documents had, with the generation that
 *	no longer had them as @since; in the order of generations
 * @history_from: generation from which on @removed and the marks tell all
 *	changes
 *
 * An adapter leaves @previous and the history to lib/site.
 */
struct tg_site_doc {
	int64_t generation;
	struct tg_queue *queues;
	struct tg_workspace *workspaces;
	size_t n_queues, n_workspaces;
	int64_t body_bytes;
	int64_t row_version, row_bytes, previous;
	struct tg_doc_mark *removed;
	size_t n_removed;
	int64_t history_from;
};

/**
 * tg_site_doc_find_queue() - find the queue that serves a request
 * @host: value of the Host header; the port is ignored
 *
 * Return: the queue of @host with the longest prefix of @path, or NULL.
 */
const struct tg_queue *tg_site_doc_find_queue(const struct tg_site_doc *d,
					      const char *host,
					      const char *path);
/** tg_site_doc_find_workspace() - find the workspace of an API key, or NULL */
const struct tg_workspace *
tg_site_doc_find_workspace(const struct tg_site_doc *d, const char *key);
/** tg_queue_clear() - free the members of @q, but not @q itself */
void tg_queue_clear(struct tg_queue *q);
/** tg_workspace_clear() - free the members of @w, but not @w itself */
void tg_workspace_clear(struct tg_workspace *w);
/** tg_site_doc_free() - free a document; @d may be NULL */
void tg_site_doc_free(struct tg_site_doc *d);

/* --- callers --- */

enum tg_request_kind {
	TG_REQUEST_SUBMIT,
	TG_REQUEST_SHOW,
	TG_REQUEST_CANCEL,
	TG_REQUEST_COUNT,
	TG_REQUEST_INVALID,
};

/**
 * struct tg_request - a caller's request
 * @status: HTTP status of the reply to TG_REQUEST_INVALID; @findings tells why
 * @queue: queue in the document; NULL if no queue matches the request
 * @workspace: workspace in the document; NULL for an anonymous caller
 * @job: id of the job; empty for TG_REQUEST_COUNT
 * @spec: only for TG_REQUEST_SUBMIT
 * @deadline_ms: how long the caller waits for the reply, 0 if not given
 */
struct tg_request {
	enum tg_request_kind kind;
	int status;
	const struct tg_queue *queue;
	const struct tg_workspace *workspace;
	char job[FLOW_JOB_ID_LEN + 1];
	struct flow_spec *spec;
	int64_t deadline_ms;
	struct tg_findings findings;
};

/** tg_request_clear() - free @spec and @findings, but not @c itself */
void tg_request_clear(struct tg_request *c);

/* --- settings --- */

/**
 * struct tg_site_settings - settings that the platform provides to a process
 * @ip: address of this instance
 * @front_addr: address to listen on for callers
 * @ready_addr: address to listen on for readiness checks
 * @peers_port: port on which the flow daemons of all instances listen
 * @core_share: share of a core that the process may use
 * @cores: factor on @core_share; the product is the capacity in cores
 * @fds_max: file descriptors that the process may have; 0 if not stated
 * @memory_mb: memory that the process may use; 0 if not stated
 * @grace_ms: time from SIGTERM to SIGKILL
 * @heartbeat_ms: interval at which a worker writes its directory entry
 * @lease_max_ms: longest lease that a worker accepts
 * @stop_ms: longest time from a stop command to the end of the run
 * @early_ms: how long before its time an occurrence may start
 * @status_keep_ms: how long the state of an ended job must stay readable
 * @row_bytes: largest value of a row of the store
 * @tx_bytes: largest total of the values of a transaction
 * @reclaim_ms: time within which a job within its workspace's guarantee must
 *	start; 0 for no limit
 * @evacuate_ms: an evacuation of an availability zone is in force this long
 *	after it was requested; 0 if the platform has no evacuations
 */
struct tg_site_settings {
	char instance[TG_KEY_MAX + 1], az[TG_KEY_MAX + 1];
	char ip[TG_ADDR_MAX + 1];
	char front_addr[TG_ADDR_MAX + 1], ready_addr[TG_ADDR_MAX + 1];
	char store_addr[TG_ADDR_MAX + 1];
	int32_t peers_port;
	double core_share, cores;
	int64_t fds_max, memory_mb;
	int64_t grace_ms;
	int64_t heartbeat_ms;
	int64_t lease_max_ms, stop_ms, early_ms, status_keep_ms, reclaim_ms;
	int64_t evacuate_ms;
	int64_t row_bytes, tx_bytes;
};

/* --- the adapter --- */

/** struct tg_port - an adapter's state, defined by the adapter */
struct tg_port;

/**
 * struct tg_port_ops - operations of an adapter
 * @evacuation_prefix: keys of @document_table that begin with it name an
 *	evacuated availability zone in their rest, whatever the row's value
 *
 * Calls to the store and to workers do not block.  Each of them calls its
 * @done exactly once, later from the event loop, also after a time-out; close()
 * drops the calls in progress without calling it.
 */
struct tg_port_ops {
	const struct tg_event_info *events;
	/* Environment variable that holds the path of the settings file. */
	const char *settings_env;
	/* Return 0, or -1 with at least one finding. */
	int (*read_settings)(const char *path, struct tg_site_settings *out,
			     struct tg_findings *f);
	struct tg_port *(*open)(struct event_base *base,
				const struct tg_site_settings *set);
	void (*close)(struct tg_port *p);

	void (*tx)(struct tg_port *p, const struct tg_store_tx *tx,
		   tg_store_done done, void *arg);
	void (*get)(struct tg_port *p, const struct tg_store_range *range,
		    tg_store_done done, void *arg);
	void (*feed)(struct tg_port *p, const struct tg_store_feed *feed,
		     tg_store_done done, void *arg);

	const char *document_table, *document_key, *directory_table;
	const char *evacuation_prefix;
	/* Decode the document; NULL with findings if it is invalid. */
	struct tg_site_doc *(*decode_document)(const struct tg_row *row,
					       struct tg_findings *f);
	/*
	 * Decode a directory entry; -1 if it is invalid or the worker is
	 * neither ready nor draining.
	 */
	int (*worker)(const struct tg_row *row, struct tg_worker_entry *out);

	/* Renew a worker's leases and list its runs. */
	void (*hold)(struct tg_port *p, const struct tg_worker_ref *w,
		     const struct tg_worker_poll *h, tg_worker_poll_done done,
		     void *arg);
	void (*start)(struct tg_port *p, const struct tg_worker_ref *w,
		      const struct tg_order *o, tg_order_done done, void *arg);
	void (*stop)(struct tg_port *p, const struct tg_worker_ref *w,
		     const struct tg_order *o, tg_order_done done, void *arg);

	/* Decode a caller's request; TG_REQUEST_INVALID if it is invalid. */
	void (*call)(struct evhttp_request *req, const struct tg_site_doc *d,
		     struct tg_request *out);
	void (*reply_state)(struct evhttp_request *req, const char *state);
	void (*reply_count)(struct evhttp_request *req, int64_t waiting);
	/* @retry_after_s: 0 for none; @text: reason, used from status 300 on */
	void (*reply_status)(struct evhttp_request *req, int status,
			     int64_t retry_after_s, const char *text);
};

#endif
