#ifndef TG_PORT_H
#define TG_PORT_H

#include <event2/http.h>

#include "flow/spec.h"

/**
 * DOC: ports
 *
 * What the queue and flow daemons need from the platform: a transactional
 * store, the directory of workers, the workers themselves, the operators'
 * document and the form of callers' requests.  An adapter implements these
 * functions; it translates and decides nothing.
 */

/* --- store --- */

/** struct tg_row - a row; @version 0 in a check means that it must be absent */
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
	TG_STORE_REFUSED, /* nothing was done; may be tried again */
	TG_STORE_INVALID, /* nothing was done; trying again won't help */
	TG_STORE_UNKNOWN, /* may have been done, or may be done later */
	TG_STORE_HISTORY_GONE, /* a feed can't continue from this version */
};

struct tg_store_result {
	enum tg_store_end end;
	int64_t version;
	const struct tg_row *rows;
	size_t n_rows;
	bool more;
};

typedef void (*tg_store_done)(const struct tg_store_result *r, void *arg);

/**
 * struct tg_store_tx - an atomic change
 * @across: the rows belong to several parts
 */
struct tg_store_tx {
	const struct tg_row *checks, *puts, *deletes;
	size_t n_checks, n_puts, n_deletes;
	bool across;
	int64_t timeout_ms;
};

/**
 * struct tg_store_range - rows of a part from @from on, in order of keys
 * @limit: at most this many; 0 for as many as the store gives at once
 */
struct tg_store_range {
	const char *table, *part, *from;
	int32_t limit;
	int64_t timeout_ms;
};

/* --- workers --- */

#define TG_LABELS_MAX 8

/**
 * struct tg_worker_entry - what a worker says of itself in the directory
 * @boot_ms: Unix time of its start, which tells its starts apart; 0 if unknown
 * @remaining_ms: while draining, time that is left; -1 if unknown
 */
struct tg_worker_entry {
	char id[TG_NAME_MAX + 1], addr[TG_ADDR_MAX + 1];
	char service[TG_NAME_MAX + 1], az[TG_NAME_MAX + 1];
	char rack[TG_NAME_MAX + 1];
	struct flow_shape capacity;
	char labels[TG_LABELS_MAX][TG_NAME_MAX + 1];
	int n_labels;
	bool draining;
	int64_t boot_ms, remaining_ms;
};

enum tg_order_end {
	TG_ORDER_DONE,
	TG_ORDER_FENCED, /* a higher fencing token was seen */
	TG_ORDER_OLD_RUN, /* a run as high has ended or was stopped there */
	TG_ORDER_LATE, /* the lease would have expired already */
	TG_ORDER_NO_ROOM,
	TG_ORDER_NO_TICKET,
	TG_ORDER_INVALID,
	TG_ORDER_UNHEALTHY, /* refused, nothing was done */
	TG_ORDER_OTHER_BOOT, /* the worker has restarted since */
	TG_ORDER_NOT_SENT, /* no connection, nothing was done */
	TG_ORDER_NOBODY, /* the connection was refused, nothing was done */
	TG_ORDER_UNKNOWN, /* no answer; may be carried out later */
};

/** enum tg_run_how - how a run ended */
enum tg_run_how {
	TG_RUN_DONE,
	TG_RUN_FAILED,
	TG_RUN_STOPPED,
	TG_RUN_LAPSED, /* the lease expired */
	TG_RUN_BROKEN, /* another member of the gang ended */
	TG_RUN_ALONE, /* waited too long for the gang's other members */
};

struct tg_task_id {
	char job[FLOW_JOB_LEN + 1];
	int32_t occurrence, step, index;
};

/** struct tg_run - a run that a worker lists */
struct tg_run {
	struct tg_task_id task;
	int32_t run;
	int32_t percent; /* share of its full speed that it may use */
	char saved[FLOW_SAVED_LEN + 1];
};

/** struct tg_run_end - an end that a worker lists; @n counts within a boot */
struct tg_run_end {
	int64_t n;
	struct tg_task_id task;
	int32_t run;
	enum tg_run_how how;
	char saved[FLOW_SAVED_LEN + 1];
};

struct tg_worker_ref {
	const char *id, *addr;
};

/** struct tg_hold - renew all leases of a worker and list its runs */
struct tg_hold {
	uint64_t fence;
	int64_t until_ms; /* of the worker's clock; 0 to only look */
	int64_t seen_n; /* ends up to this are forgotten */
	int64_t wait_ms; /* for an end to list */
	int64_t timeout_ms;
};

struct tg_hold_result {
	enum tg_order_end end;
	int64_t clock_ms, boot_ms;
	const struct tg_run *runs;
	const struct tg_run_end *ends;
	size_t n_runs, n_ends;
};

struct tg_order {
	struct tg_task_id task;
	int32_t run;
	uint64_t fence;
	const char *spec, *saved; /* of a start; @saved may be empty */
	int64_t until_ms;
	int64_t timeout_ms;
};

typedef void (*tg_hold_done)(const struct tg_hold_result *r, void *arg);
/** @clock_ms: of the worker, 0 if it did not say */
typedef void (*tg_order_done)(enum tg_order_end end, int64_t clock_ms,
			      void *arg);

/* --- document --- */

struct tg_queue {
	char *name, *host, *prefix, *service;
	int32_t priority, max_attempts;
	double stretch;
	int64_t target_ms;
	bool anonymous;
};

struct tg_workspace {
	char *name;
	char **keys;
	size_t n_keys;
	int32_t guaranteed; /* accelerators */
};

struct tg_site_doc {
	int64_t generation;
	struct tg_queue *queues;
	struct tg_workspace *workspaces;
	size_t n_queues, n_workspaces;
	int64_t body_bytes;
};

/** tg_site_match() - queue of a host and a path: the longest prefix */
const struct tg_queue *tg_site_match(const struct tg_site_doc *d,
				     const char *host, const char *path);
const struct tg_workspace *tg_site_key(const struct tg_site_doc *d,
				       const char *key);
void tg_site_doc_free(struct tg_site_doc *d);

/* --- callers --- */

enum tg_call_kind {
	TG_CALL_SUBMIT,
	TG_CALL_SHOW,
	TG_CALL_CANCEL,
	TG_CALL_COUNT,
	TG_CALL_BAD,
};

/**
 * struct tg_call - a caller's request
 * @status: for TG_CALL_BAD the HTTP status, with @findings
 * @deadline_ms: how long the caller waits, 0 if not said
 */
struct tg_call {
	enum tg_call_kind kind;
	int status;
	const struct tg_queue *queue;
	const struct tg_workspace *workspace; /* NULL: anonymous */
	char job[FLOW_JOB_LEN + 1];
	struct flow_spec *spec;
	int64_t deadline_ms;
	struct tg_findings findings;
};

void tg_call_clear(struct tg_call *c);

/* --- settings --- */

/**
 * struct tg_site_settings - what the platform tells a process
 * @peers_port: port on which the flow daemons of all instances listen
 */
struct tg_site_settings {
	char instance[TG_NAME_MAX + 1], az[TG_NAME_MAX + 1];
	char ip[TG_ADDR_MAX + 1];
	char front_addr[TG_ADDR_MAX + 1], ready_addr[TG_ADDR_MAX + 1];
	char store_addr[TG_ADDR_MAX + 1];
	int32_t peers_port;
	double core_share, cores; /* share of a core, times as fast */
	int64_t grace_ms; /* from SIGTERM to SIGKILL */
	int64_t heartbeat_ms; /* between two writes of a worker's entry */
	int64_t lease_max_ms, stop_ms, early_ms, status_ms, reclaim_ms;
};

/* --- the adapter --- */

struct tg_port;

/** struct tg_port_ops - an adapter; @settings_env is a variable's name */
struct tg_port_ops {
	const struct tg_event_info *events;
	const char *settings_env;
	int (*settings)(const char *path, struct tg_site_settings *out,
			struct tg_findings *f);
	struct tg_port *(*open)(struct event_base *base,
				const struct tg_site_settings *set);
	void (*close)(struct tg_port *p);

	void (*tx)(struct tg_port *p, const struct tg_store_tx *tx,
		   tg_store_done done, void *arg);
	void (*get)(struct tg_port *p, const struct tg_store_range *range,
		    tg_store_done done, void *arg);
	/* Answers once a row of @table has changed since @after. */
	void (*feed)(struct tg_port *p, const char *table, int64_t after,
		     int64_t wait_ms, tg_store_done done, void *arg);

	const char *document_table, *document_key, *directory_table;
	/* NULL with findings if the row is no document */
	struct tg_site_doc *(*document)(const struct tg_row *row,
					struct tg_findings *f);
	/* -1 if the row names no worker that can be used */
	int (*worker)(const struct tg_row *row, struct tg_worker_entry *out);

	void (*hold)(struct tg_port *p, const struct tg_worker_ref *w,
		     const struct tg_hold *h, tg_hold_done done, void *arg);
	void (*start)(struct tg_port *p, const struct tg_worker_ref *w,
		      const struct tg_order *o, tg_order_done done, void *arg);
	void (*stop)(struct tg_port *p, const struct tg_worker_ref *w,
		     const struct tg_order *o, tg_order_done done, void *arg);

	void (*call)(struct evhttp_request *req, const struct tg_site_doc *d,
		     struct tg_call *out);
	void (*reply_state)(struct evhttp_request *req, const char *state);
	void (*reply_count)(struct evhttp_request *req, int64_t waiting);
	void (*reply_status)(struct evhttp_request *req, int status,
			     int64_t retry_after_s, const char *text);
};

#endif
