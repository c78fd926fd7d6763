#ifndef TG_CTL_H
#define TG_CTL_H

#include "doc/doc.h"
#include "http/http.h"

/** enum ctl_exit - exit statuses, see tgctl.1 */
enum ctl_exit {
	CTL_DONE = 0,
	CTL_REFUSED = 1, /* or not found */
	CTL_USAGE = 2,
	CTL_UNKNOWN = 3,
	CTL_UNREACHABLE = 4,
};

struct ctl_opts {
	const char *entry, *console, *operator_key_file, *operator_name;
	const char *workspace, *job, *class, *az, *task;
	int64_t tasks, accelerators, cores, memory_gb, declared_ms;
	int64_t timeout_ms, wait_ms, generation;
	bool json, wait, within_rack;
};

struct ctl {
	struct ctl_opts opts;
	struct event_base *base;
	struct tg_http_client *http;
	char *authorization; /* value of the header, or NULL */
	int n;
	const char **args; /* operands after the command */
};

/* --- call.c --- */

/** struct ctl_reply - answer of a call; freed by ctl_reply_free() */
struct ctl_reply {
	enum tg_http_end end;
	bool sent;
	int status;
	char outcome[16]; /* Tg-Outcome, or empty */
	json_t *json; /* NULL if the body is not JSON */
};

/** ctl_call() - make a call and wait for its end */
void ctl_call(struct ctl *c, enum evhttp_cmd_type method, const char *addr,
	      const char *uri, const char *body, struct ctl_reply *r);
void ctl_reply_free(struct ctl_reply *r);
/** ctl_reply_exit() - exit status; @writes: an answer that is lost is unknown
 */
enum ctl_exit ctl_reply_exit(const struct ctl_reply *r, bool writes);
/** ctl_report() - print why a call failed to stderr; its exit status */
enum ctl_exit ctl_report(const struct ctl_reply *r, bool writes);
/** ctl_need() - @addr, or NULL after a message that @flag is missing */
const char *ctl_need(const char *addr, const char *flag);
void ctl_sleep(struct ctl *c, int64_t ms);
void ctl_error(const char *fmt, ...) __attribute__((format(printf, 1, 2)));

/* --- table.c --- */

/** ctl_print_json() - one line, keys sorted */
void ctl_print_json(const json_t *v);
/** ctl_print_members() - "key: value" lines */
void ctl_print_members(const json_t *v);
/** ctl_show_job() - state and explanation of a job, for people */
void ctl_show_job(const json_t *job);
/**
 * ctl_print_table() - aligned columns
 * @columns: keys, ended by NULL; one that no row has is left out
 */
void ctl_print_table(const json_t *rows, const char *const *columns);
/** ctl_text() - value as a cell shows it, to be freed */
char *ctl_text(const json_t *v);

/* --- commands --- */

enum ctl_exit ctl_submit(struct ctl *c);
enum ctl_exit ctl_cancel(struct ctl *c);
enum ctl_exit ctl_status(struct ctl *c);
enum ctl_exit ctl_explain(struct ctl *c);
enum ctl_exit ctl_jobs(struct ctl *c);
enum ctl_exit ctl_workers(struct ctl *c);
enum ctl_exit ctl_guarantees(struct ctl *c);
enum ctl_exit ctl_request(struct ctl *c);
enum ctl_exit ctl_drain(struct ctl *c);
enum ctl_exit ctl_undrain(struct ctl *c);
enum ctl_exit ctl_document(struct ctl *c);

/** ctl_read_file() - whole file, "-" is stdin; NULL after a message */
char *ctl_read_file(const char *path, size_t *n);
/** ctl_put_document() - PUT of @text; on a race the differences are in @r */
void ctl_put_document(struct ctl *c, uint64_t generation, const char *text,
		      struct ctl_reply *r);

#endif
