#ifndef TG_CTL_H
#define TG_CTL_H

#include "doc/doc.h"
#include "http/http.h"

/**
 * enum ctl_exit - exit statuses, see tgctl.1
 * @CTL_REFUSED: the server rejected the request, or the object does not exist
 * @CTL_OUTCOME_UNKNOWN: the request may or may not have taken effect
 * @CTL_UNREACHABLE: nothing was changed and a repeat may succeed
 */
enum ctl_exit {
	CTL_OK = 0,
	CTL_REFUSED = 1,
	CTL_USAGE = 2,
	CTL_OUTCOME_UNKNOWN = 3,
	CTL_UNREACHABLE = 4,
};

struct ctl_opts {
	const char *entry_addr, *console_addr, *operator_key_file,
		*operator_name;
	const char *workspace, *job, *class, *az, *task;
	int64_t tasks, accelerators, cores, memory_gb, declared_ms;
	int64_t timeout_ms, wait_ms, generation;
	bool json, wait, within_rack;
};

struct ctl {
	struct ctl_opts opts;
	struct event_base *base;
	struct tg_http_client *http;
	char *authorization; /* Authorization header; NULL without a key */
	int n_args;
	const char **args; /* operands after the command name */
};

/* --- call.c --- */

/**
 * struct ctl_reply - result of an HTTP request; release with ctl_reply_free()
 * @sent: the request was written to a connection, so the server may have
 *	carried it out even if no reply arrived
 * @status: HTTP status, 0 without a reply
 * @outcome: Tg-Outcome header, empty if the reply has none
 * @json: parsed body, NULL if it is not JSON
 */
struct ctl_reply {
	enum tg_http_outcome end;
	bool sent;
	int status;
	char outcome[16];
	json_t *json;
};

/**
 * ctl_call() - send an HTTP request and run the event loop until it ends
 * @body: JSON text, or NULL
 */
void ctl_call(struct ctl *c, enum evhttp_cmd_type method, const char *addr,
	      const char *uri, const char *body, struct ctl_reply *r);
void ctl_reply_free(struct ctl_reply *r);
/**
 * ctl_exit_status() - map a reply to an exit status
 * @is_write: the request changes state, so a lost reply gives
 *	CTL_OUTCOME_UNKNOWN instead of CTL_UNREACHABLE
 */
enum ctl_exit ctl_exit_status(const struct ctl_reply *r, bool is_write);
/**
 * ctl_report_failure() - print the reason of a failed request to stderr
 *
 * Return: the exit status, as from ctl_exit_status().
 */
enum ctl_exit ctl_report_failure(const struct ctl_reply *r, bool is_write);
/**
 * ctl_require_option() - check that an address option was given
 *
 * Return: @addr; if it is NULL, a message that names @flag is printed first.
 */
const char *ctl_require_option(const char *addr, const char *flag);
void ctl_sleep(struct ctl *c, int64_t ms);
void ctl_error(const char *fmt, ...) __attribute__((format(printf, 1, 2)));

/* --- table.c --- */

/** ctl_print_json() - print compact JSON with sorted keys and a newline */
void ctl_print_json(const json_t *v);
/** ctl_print_members() - print each member of an object as "key: value" */
void ctl_print_members(const json_t *v);
/** ctl_print_job() - print state and explanation of a job as plain text */
void ctl_print_job(const json_t *job);
/**
 * ctl_print_table() - print an array of objects in aligned columns
 * @columns: member names, terminated by NULL; a column without a value in any
 *	row is omitted
 */
void ctl_print_table(const json_t *rows, const char *const *columns);
/**
 * ctl_format_value() - format a value for a table cell or a "key: value" line
 *
 * Return: a string that the caller frees.
 */
char *ctl_format_value(const json_t *v);

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

/**
 * ctl_read_file() - read a file of at most 4 MiB; "-" is stdin
 * @n: set to the number of bytes
 *
 * Return: NUL-terminated text that the caller frees; NULL after a message.
 */
char *ctl_read_file(const char *path, size_t *n);
/**
 * ctl_put_document() - replace the configuration document
 * @generation: generation that @text was edited from
 * @r: status 409 with the differences in its body if the document has another
 *	generation by now
 */
void ctl_put_document(struct ctl *c, uint64_t generation, const char *text,
		      struct ctl_reply *r);

#endif
