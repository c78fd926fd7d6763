#ifndef TG_PLAT_H
#define TG_PLAT_H

#include <jansson.h>

#include "base/base.h"
#include "http/http.h"

/**
 * DOC: client of the platform
 *
 * Access to the platform's table, object store and instance list, which
 * docs/platform-contract.md specifies.  Concurrent transactions of a process
 * are sent as one (group commit).  If the answer to a transaction is lost, it
 * is sent again with the same token to find out whether it was committed.
 *
 * All callbacks run from the event loop, never from inside the call that takes
 * them.  Rows, bodies and instance lists are valid only during the callback.
 */

enum {
#define TG_EVENT TG_EVENT_ENUM
#include "plat/events.def"
#undef TG_EVENT
};
/** tg_plat_events - log events, to be registered with tg_log_register() */
extern const struct tg_event_info tg_plat_events[];

struct tg_plat;

/**
 * struct tg_plat_opts - options of the client
 * @addr: IP:PORT of the platform; copied
 * @timeout_ms: time limit of one HTTP call; for a read, of the time to the
 *first byte of its answer and of each pause in it; 0 for 1,000
 * @settle_ms: for how long after its first attempt a transaction is sent again
 *	if its answer is lost, before it ends as TG_PLAT_UNKNOWN; 0 for 3,000
 * @group_ms: how long the first transaction of a group waits for more; 0: not
 *	at all.  Transactions that arrive while a group is in flight always wait
 *	for the next group.
 * @group_max: maximum number of transactions in a group; 0 for 64.  1 turns
 *	grouping off.
 * @unsafe_assume_not_written: for fault tests: a transaction whose answer is
 *	lost ends as TG_PLAT_UNAVAILABLE, although it may have been committed
 */
struct tg_plat_opts {
	struct event_base *base;
	struct tg_http_client *http;
	const char *addr;
	int64_t timeout_ms;
	int64_t settle_ms;
	int64_t group_ms;
	size_t group_max;
	bool unsafe_assume_not_written;
};

struct tg_plat *tg_plat_new(const struct tg_plat_opts *opts);
/**
 * tg_plat_free() - cancel all calls without calling back and free the client
 *
 * NULL is allowed.
 */
void tg_plat_free(struct tg_plat *p);
/**
 * tg_plat_reachable() - whether the last table or instance call got a complete
 * answer other than 503; true before the first
 */
bool tg_plat_reachable(const struct tg_plat *p);

/* --- table --- */

/**
 * struct tg_row - row of the table
 * @version: increases with each write and never repeats; 0: the row is absent
 * @token: token of the transaction that wrote this version, or NULL
 * @value: borrowed; NULL if the row is absent
 */
struct tg_row {
	const char *key;
	uint64_t version;
	const char *token;
	json_t *value;
};

enum tg_plat_result {
	TG_PLAT_OK, /* the transaction was committed, or the data read */
	TG_PLAT_CONFLICT, /* a condition did not hold; nothing was written */
	TG_PLAT_NOT_FOUND,
	TG_PLAT_UNAVAILABLE, /* no usable answer; nothing was written */
	TG_PLAT_UNKNOWN, /* the write may have taken effect or still do so */
	TG_PLAT_INVALID, /* refused as invalid; nothing was written */
	TG_PLAT_UNCHANGED, /* the list still has the entity tag of the caller */
};

struct tg_txn;

/**
 * typedef tg_txn_done - reports the result of a transaction
 * @result: TG_PLAT_OK, _CONFLICT, _UNAVAILABLE, _UNKNOWN or _INVALID
 * @rows: with TG_PLAT_OK the rows that were put, without tokens and with their
 *	new versions; with TG_PLAT_CONFLICT the rows whose condition did not
 *	hold, in their present state; else NULL
 */
typedef void (*tg_txn_done)(enum tg_plat_result result,
			    const struct tg_row *rows, size_t n, void *arg);

/** tg_txn_new() - create an empty transaction, which tg_txn_commit() frees */
struct tg_txn *tg_txn_new(struct tg_plat *p);
/**
 * tg_txn_if() - add the condition that the row has this version
 * @version: 0: the row must be absent
 */
void tg_txn_if(struct tg_txn *t, const char *key, uint64_t version);
/** tg_txn_put() - add a write of a row; takes the reference to @value */
void tg_txn_put(struct tg_txn *t, const char *key, json_t *value);
/** tg_txn_delete() - add the deletion of a row */
void tg_txn_delete(struct tg_txn *t, const char *key);
/**
 * tg_txn_commit() - queue a transaction for sending
 *
 * The client owns @t from here on.  @done is called exactly once, unless the
 * client is freed before.
 *
 * A transaction without a condition on a row that it changes can't be sent
 * again after a lost answer, since it might be carried out twice; it then ends
 * as TG_PLAT_UNKNOWN.  So does one that only deletes, if it conflicts when it
 * is sent again.
 */
void tg_txn_commit(struct tg_txn *t, tg_txn_done done, void *arg);

/**
 * typedef tg_row_done - reports the result of reading a row
 * @result: TG_PLAT_OK, _NOT_FOUND or _UNAVAILABLE
 * @row: NULL unless @result is TG_PLAT_OK
 */
typedef void (*tg_row_done)(enum tg_plat_result result,
			    const struct tg_row *row, void *arg);
void tg_row_get(struct tg_plat *p, const char *key, tg_row_done done,
		void *arg);

/**
 * typedef tg_rows_done - reports all rows of a prefix, ordered by key
 * @result: TG_PLAT_OK or _UNAVAILABLE
 * @n: 0 unless @result is TG_PLAT_OK
 */
typedef void (*tg_rows_done)(enum tg_plat_result result,
			     const struct tg_row *rows, size_t n, void *arg);
/** tg_rows_list() - read all rows whose key has a prefix, page by page */
void tg_rows_list(struct tg_plat *p, const char *prefix, tg_rows_done done,
		  void *arg);

/* --- objects --- */

/**
 * typedef tg_object_done - reports the result of an object call
 * @result: for a read TG_PLAT_OK, _NOT_FOUND or _UNAVAILABLE; for a put or a
 *	deletion TG_PLAT_OK, _UNAVAILABLE, _UNKNOWN or _INVALID
 * @body: content after a read with TG_PLAT_OK, else NULL
 * @n: length of @body in bytes
 */
typedef void (*tg_object_done)(enum tg_plat_result result, const void *body,
			       size_t n, void *arg);
void tg_object_get(struct tg_plat *p, const char *name, tg_object_done done,
		   void *arg);
/** tg_object_put() - write an object; @body is copied, @done may be NULL */
void tg_object_put(struct tg_plat *p, const char *name, const void *body,
		   size_t n, tg_object_done done, void *arg);
/**
 * tg_object_delete() - delete an object
 * @done: TG_PLAT_OK also if the object was absent; may be NULL
 */
void tg_object_delete(struct tg_plat *p, const char *name, tg_object_done done,
		      void *arg);

/* --- instances --- */

enum tg_instance_kind {
	TG_KIND_WORKER,
	TG_KIND_ENTRY,
	TG_KIND_SCHED,
	TG_KIND_CONSOLE,
};

/**
 * struct tg_instance - entry of the platform's instance list
 * @leaving: the list gives its state as leaving
 *
 * Fields that the entry lacks are empty or 0.
 */
struct tg_instance {
	char name[TG_NAME_MAX + 1];
	enum tg_instance_kind kind;
	char az[TG_NAME_MAX + 1];
	char rack[TG_NAME_MAX + 1];
	char addr[TG_ADDR_MAX + 1];
	char service_addr[TG_ADDR_MAX + 1];
	char rpc_addr[TG_ADDR_MAX + 1];
	bool leaving;
	int32_t cores, memory_gb, accelerators, slots, connections;
};

/**
 * typedef tg_instances_done - reports the instance list
 * @result: TG_PLAT_OK, _UNCHANGED or _UNAVAILABLE
 * @instances: valid during the callback; NULL unless @result is TG_PLAT_OK
 * @etag: entity tag of the list; "" if the platform gave none or one of more
 *	than TG_ETAG_MAX bytes
 *
 * Invalid entries are logged and left out.
 */
typedef void (*tg_instances_done)(enum tg_plat_result result,
				  const struct tg_instance *instances, size_t n,
				  const char *etag, void *arg);
#define TG_ETAG_MAX 95
/**
 * tg_instances_list() - read the instance list
 * @az: availability zone, or NULL for all
 * @etag: entity tag of the list that the caller has, or "".  If the list still
 *	has this tag, the result is TG_PLAT_UNCHANGED without a list.
 */
void tg_instances_list(struct tg_plat *p, const char *az, const char *etag,
		       tg_instances_done done, void *arg);

#endif
