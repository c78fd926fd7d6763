#ifndef TG_PLAT_INTERNAL_H
#define TG_PLAT_INTERNAL_H

#include "plat/plat.h"

struct condition {
	char *key;
	uint64_t version;
};

struct change {
	char *key;
	json_t *value; /* NULL: delete */
};

struct tg_txn {
	struct tg_plat *plat;
	struct condition *conditions;
	size_t n_conditions;
	struct change *changes;
	size_t n_changes;
	tg_txn_done done;
	void *arg;
	struct tg_txn *next;
};

struct txn_group;

struct tg_plat {
	struct tg_plat_opts opts;
	struct tg_txn *queue, **queue_tail; /* not sent yet, oldest first */
	struct txn_group *group_in_flight; /* at most one at a time */
	struct event *flush_timer;
	bool ungrouped; /* unused */
	size_t n_ungrouped; /* first in the queue that are sent one by one */
	bool down; /* see tg_plat_reachable() */
	struct tg_counter *reads, *txns, *table_writes, *unknown_results,
		*conflicts;
	struct call *calls;
};

/* struct call_opts - options of an HTTP call to the platform */
struct call_opts {
	enum evhttp_cmd_type method;
	char *uri; /* freed by plat_call() */
	const struct tg_http_header_field *headers;
	const void *body;
	size_t body_bytes;
	void (*done)(struct tg_plat *p, const struct tg_http_result *r,
		     void *arg);
	void *arg;
	/* Called instead of @done if the client is freed first; or NULL. */
	void (*free_arg)(void *arg);
	bool is_object_store; /* does not count for tg_plat_reachable() */
};
/* plat_call() - start an HTTP call, which tg_plat_free() cancels */
void plat_call(struct tg_plat *p, const struct call_opts *opts);
/* plat_update_reachable() - set and log whether the platform is reachable */
void plat_update_reachable(struct tg_plat *p, const struct tg_http_result *r);
/* plat_read_result() - convert the HTTP result of a read */
enum tg_plat_result plat_read_result(const struct tg_http_result *r);
/*
 * plat_parse_row() - parse a row of the table
 * @row: set to pointers into @v, which has to outlive it
 *
 * Return: false if @v is not a valid row.
 */
bool plat_parse_row(const json_t *v, struct tg_row *row);
/* plat_report_bad_answer() - log and count an invalid answer at @place */
void plat_report_bad_answer(const char *place);

void plat_txn_free(struct tg_txn *t);
void plat_txn_free_all(struct tg_plat *p);
void plat_on_flush_timer(evutil_socket_t fd, short what, void *arg);

#endif
