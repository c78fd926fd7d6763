#ifndef TG_PLAT_H
#define TG_PLAT_H

#include <jansson.h>

#include "base/base.h"
#include "http/http.h"

/**
 * DOC: client of the platform
 *
 * Table, object store and instance list, as in docs/platform-contract.md.
 * Transactions of a process are grouped; a write whose answer is lost is
 * settled by sending it again with its token.
 */

enum {
#define TG_EVENT TG_EVENT_ENUM
#include "plat/events.def"
#undef TG_EVENT
};
/** tg_plat_events - register with tg_log_register() */
extern const struct tg_event_info tg_plat_events[];

struct tg_plat;

/**
 * struct tg_plat_opts - options of the client
 * @addr: IP:PORT of the platform
 * @timeout_ms: of one HTTP call; 0 for 1,000
 * @settle_ms: how long a write with a lost answer is sent again before it is
 *	reported as unknown; 0 for 3,000
 * @group_ms: how long the first transaction of a group waits for more;
 *	0 sends at once when none is in flight
 * @group_max: most transactions in a group; 0 for 64.  1 turns grouping off.
 * @unsafe_assume_not_written: for fault tests: a write whose answer is lost
 *	ends as TG_PLAT_UNAVAILABLE
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
/** tg_plat_free() - drops all calls without calling back */
void tg_plat_free(struct tg_plat *p);
/**
 * tg_plat_reachable() - whether the last table or instance call got an answer
 * other than 503
 */
bool tg_plat_reachable(const struct tg_plat *p);

/* --- table --- */

struct tg_row {
	const char *key;
	uint64_t version; /* 0: absent */
	const char *token;
	json_t *value; /* borrowed; NULL if absent */
};

enum tg_plat_end {
	TG_PLAT_OK, /* committed, or read */
	TG_PLAT_CONFLICT, /* a condition did not hold; nothing was done */
	TG_PLAT_NOT_FOUND,
	TG_PLAT_UNAVAILABLE, /* nothing was done */
	TG_PLAT_UNKNOWN, /* a write may take effect or have done so */
	TG_PLAT_INVALID, /* refused as invalid; nothing was done */
	TG_PLAT_UNCHANGED, /* read: the caller has it already */
};

struct tg_txn;

/**
 * typedef tg_txn_done - end of a transaction
 * @end: TG_PLAT_OK, _CONFLICT, _UNAVAILABLE, _UNKNOWN or _INVALID
 * @rows: with OK the rows that were put (key and new version); with CONFLICT
 *	the rows whose condition did not hold
 */
typedef void (*tg_txn_done)(enum tg_plat_end end, const struct tg_row *rows,
			    size_t n, void *arg);

struct tg_txn *tg_txn_new(struct tg_plat *p);
/** tg_txn_if() - require @version of @key; 0 for absent */
void tg_txn_if(struct tg_txn *t, const char *key, uint64_t version);
/** tg_txn_put() - write a row; takes the reference to @value */
void tg_txn_put(struct tg_txn *t, const char *key, json_t *value);
void tg_txn_delete(struct tg_txn *t, const char *key);
/**
 * tg_txn_commit() - send; frees the transaction.  @done is called exactly once
 * and never from inside.
 *
 * A transaction without a condition on a row that it changes can't be sent
 * again after a lost answer and then ends as TG_PLAT_UNKNOWN.  So does one that
 * only deletes, if it conflicts when it is sent again.
 */
void tg_txn_commit(struct tg_txn *t, tg_txn_done done, void *arg);

/**
 * typedef tg_row_done - end of a read
 * @end: TG_PLAT_OK, _NOT_FOUND or _UNAVAILABLE
 */
typedef void (*tg_row_done)(enum tg_plat_end end, const struct tg_row *row,
			    void *arg);
void tg_row_get(struct tg_plat *p, const char *key, tg_row_done done,
		void *arg);

/** typedef tg_rows_done - all rows of a prefix; OK or UNAVAILABLE */
typedef void (*tg_rows_done)(enum tg_plat_end end, const struct tg_row *rows,
			     size_t n, void *arg);
void tg_rows_list(struct tg_plat *p, const char *prefix, tg_rows_done done,
		  void *arg);

/* --- objects --- */

/** typedef tg_object_done - OK, NOT_FOUND, UNAVAILABLE; UNKNOWN for puts */
typedef void (*tg_object_done)(enum tg_plat_end end, const void *body, size_t n,
			       void *arg);
void tg_object_get(struct tg_plat *p, const char *name, tg_object_done done,
		   void *arg);
void tg_object_put(struct tg_plat *p, const char *name, const void *body,
		   size_t n, tg_object_done done, void *arg);
/** tg_object_delete() - also OK if it is absent; @done as for a put, or NULL */
void tg_object_delete(struct tg_plat *p, const char *name, tg_object_done done,
		      void *arg);

/* --- instances --- */

enum tg_instance_kind {
	TG_KIND_WORKER,
	TG_KIND_ENTRY,
	TG_KIND_SCHED,
	TG_KIND_CONSOLE,
};

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
 * typedef tg_instances_done - OK, UNCHANGED or UNAVAILABLE
 * @list: valid during the call
 * @tag: entity tag of the list; "" if the platform gave none
 */
typedef void (*tg_instances_done)(enum tg_plat_end end,
				  const struct tg_instance *list, size_t n,
				  const char *tag, void *arg);
#define TG_TAG_MAX 95
/**
 * tg_instances_list() - read the instance list
 * @az: AZ, or NULL for all
 * @tag: of the list that the caller has, which is then not sent again; or ""
 */
void tg_instances_list(struct tg_plat *p, const char *az, const char *tag,
		       tg_instances_done done, void *arg);

#endif
