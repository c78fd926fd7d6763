#ifndef PLATFORMD_H
#define PLATFORMD_H

#include <uthash.h>

#include "../common/bandwidth.h"
#include "../common/hold.h"
#include "http/http.h"

/**
 * DOC: stand-in of the platform
 *
 * Table, object store and instance list of docs/platform-contract.md, in
 * memory, with faults that tests set under /standin/.
 */

enum {
#define TG_EVENT TG_EVENT_ENUM
#include "events.def"
#undef TG_EVENT
};

enum service { SERVICE_TABLE, SERVICE_OBJECTS, SERVICE_INSTANCES, N_SERVICES };

enum outage { OUTAGE_NONE, OUTAGE_REFUSE, OUTAGE_HANG, OUTAGE_LOSE_ANSWER };

struct faults {
	enum outage outage;
	int64_t slow_ms;
	int64_t lose_next; /* writes whose answer is still to be lost */
	int64_t bytes_per_s; /* of each connection; 0 for no limit */
	int only; /* enum service, or -1 for all */
	char *paths; /* prefix of the path, or NULL */
};

/* struct bucket - limit of calls per second */
struct bucket {
	int64_t per_s; /* 0: none */
	double tokens;
	int64_t at_ms;
};

struct row {
	char *key;
	uint64_t version;
	char *token;
	json_t *value;
	UT_hash_handle hh;
};

struct object {
	char *name;
	char *body;
	size_t n;
	UT_hash_handle hh;
};

/* struct change - of the instance list, visible from @due_ms on */
struct change {
	int64_t due_ms;
	char *name;
	json_t *entry; /* NULL: removed */
	struct change *next;
};

struct opts {
	const char *http_addr, *log_level;
	int64_t list_lag_ms, writes_per_s, reads_per_s;
};

struct board {
	struct opts opts;
	struct event_base *base;
	struct tg_http_server *http;
	struct faults faults;
	struct bucket reads_limit, writes_limit;
	struct row *rows;
	struct object *objects;
	json_t *history;
	json_t *list; /* name: entry, as readers see it */
	struct change *changes, **changes_tail;
	uint64_t reads, writes, refused, hung, lost, over_limit;
	uint64_t history_dropped;
};

/* Ends a call: replies, unless a fault suppresses the answer. */
struct call {
	struct board *board;
	struct evhttp_request *req;
	bool lose;
	void (*run)(struct call *c);
};

/**
 * call_start() - count a call, apply the faults, and run it if they permit
 * @run: has the effect and ends with one of the functions below
 */
void call_start(struct board *b, struct evhttp_request *req, enum service s,
		bool write, void (*run)(struct call *c));
void call_reply(struct call *c, int status, json_t *body);
void call_error(struct call *c, int status, const char *place,
		const char *text);
void call_reply_bytes(struct call *c, int status, const void *body, size_t n);
/** call_json() - body of at most @max bytes; NULL after a reply */
json_t *call_json(struct call *c, size_t max);

void faults_set(struct evhttp_request *req, void *arg);
/** key_valid() - [A-Za-z0-9._/-]{1,200} */
bool key_valid(const char *s);

void table_txn(struct evhttp_request *req, void *arg);
void table_row(struct evhttp_request *req, void *arg);
void table_rows(struct evhttp_request *req, void *arg);
void table_history(struct evhttp_request *req, void *arg);
void objects_any(struct evhttp_request *req, void *arg);
void instances_list(struct evhttp_request *req, void *arg);
void instances_put(struct evhttp_request *req, void *arg);
void instances_delete(struct evhttp_request *req, void *arg);

#endif
