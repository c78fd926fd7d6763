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
	struct condition *ifs;
	size_t n_ifs;
	struct change *changes;
	size_t n_changes;
	tg_txn_done done;
	void *arg;
	struct tg_txn *next;
};

struct group;

struct tg_plat {
	struct tg_plat_opts opts;
	struct tg_txn *queue, **queue_tail;
	struct group *in_flight;
	struct event *flush;
	bool alone; /* the next transactions are sent one by one */
	size_t alone_left;
	bool down;
	struct tg_counter *reads, *writes, *groups, *unknown, *conflicts;
	struct call *calls;
};

/* plat_call() - an HTTP call that is dropped when the client is freed */
struct call_opts {
	enum evhttp_cmd_type method;
	char *uri; /* taken */
	const struct tg_http_kv *headers;
	const void *body;
	size_t body_bytes;
	void (*done)(struct tg_plat *p, const struct tg_http_result *r,
		     void *arg);
	void *arg;
	void (*drop)(void *arg); /* frees @arg when the client is freed */
	bool object; /* of the object store, see tg_plat_reachable() */
};
void plat_call(struct tg_plat *p, const struct call_opts *opts);
void plat_note_answer(struct tg_plat *p, const struct tg_http_result *r);
/* plat_read_end() - what the result of a read means */
enum tg_plat_end plat_read_end(const struct tg_http_result *r);
/* plat_parse_row() - borrow a row from JSON; false if it is invalid */
bool plat_parse_row(const json_t *v, struct tg_row *row);
void plat_bad_answer(const char *place);

void plat_txn_free(struct tg_txn *t);
void plat_txn_stop(struct tg_plat *p);
void plat_on_flush(evutil_socket_t fd, short what, void *arg);

#endif
