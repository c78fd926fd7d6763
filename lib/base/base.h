#ifndef TG_BASE_H
#define TG_BASE_H

#include <stdarg.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include <event2/buffer.h>
#include <event2/event.h>

/**
 * DOC: base library
 *
 * Clocks, names, random numbers, findings, settings, events, metrics and the
 * run loop of a daemon.  Nothing here is thread-safe: every process is
 * single-threaded.
 */

#define TG_NAME_MAX 63
/* Longest table, part or key of a row in the store, in bytes. */
#define TG_KEY_MAX 200
#define TG_ADDR_MAX 63
#define TG_TOKEN_LEN 32

#define ARRAY_SIZE(x) (sizeof(x) / sizeof((x)[0]))

/* --- clocks --- */

/** tg_now_ms() - monotonic clock in milliseconds */
int64_t tg_now_ms(void);
/** tg_now_us() - monotonic clock in microseconds */
int64_t tg_now_us(void);
/** tg_wall_ms() - milliseconds since the Unix epoch, UTC */
int64_t tg_wall_ms(void);
/**
 * tg_parse_utc() - parse an RFC 3339 timestamp in UTC ("2026-12-06T21:00:00Z")
 * @wall_ms: set to the milliseconds since the Unix epoch
 *
 * Return: 0, or -1 if @s has another form or is not a valid date; @wall_ms is
 * unchanged then.
 */
int tg_parse_utc(const char *s, int64_t *wall_ms);
/**
 * tg_format_utc() - write a timestamp in the format of tg_parse_utc()
 *
 * Milliseconds are cut off.  @out becomes "" if @size is below 21.
 */
void tg_format_utc(int64_t wall_ms, char *out, size_t size);

/* --- names and memory --- */

/** tg_name_valid() - whether @s matches [a-z0-9][a-z0-9-]{0,62} */
bool tg_name_valid(const char *s);
/** tg_strlcpy() - copy and always terminate; false if truncated */
bool tg_strlcpy(char *dst, const char *src, size_t size);
/**
 * tg_utf8_trim() - remove an incomplete character from the end of a text that
 * was cut
 */
void tg_utf8_trim(char *s);
/** tg_addr_valid() - whether @s is IPv4:PORT or [IPv6]:PORT; NULL is not */
bool tg_addr_valid(const char *s);
/**
 * tg_addr_split() - split IPv4:PORT or [IPv6]:PORT
 *
 * @host receives the IP without brackets.
 *
 * Return: 0, or -1 if @s is invalid or the IP does not fit into @size.
 */
int tg_addr_split(const char *s, char *host, size_t size, uint16_t *port);
/** tg_bound_addr() - write the IP:PORT that @fd is bound to; 0 or -1 */
int tg_bound_addr(int fd, char *out, size_t size);
/* These exit the process with status 70 when memory runs out. */
void *tg_xcalloc(size_t n, size_t size);
void *tg_xrealloc(void *p, size_t size);
char *tg_xstrdup(const char *s);
char *tg_xasprintf(const char *fmt, ...) __attribute__((format(printf, 1, 2)));
/**
 * tg_set_str() - replace a string on the heap by a copy of another one
 * @dst: the string to free and replace, or NULL; kept if it is equal to @src
 * @src: NULL counts as empty
 */
void tg_set_str(char **dst, const char *src);

/* --- random numbers and hashes --- */

/** struct tg_rng - splitmix64 generator; @state starts as the seed */
struct tg_rng {
	uint64_t state;
};
uint64_t tg_rng_next(struct tg_rng *r);
/** tg_rng_below() - uniform random number in [0, n); n > 0 */
uint64_t tg_rng_below(struct tg_rng *r, uint64_t n);
/** tg_rng_seed() - seed from getrandom(), or from the clock if that fails */
void tg_rng_seed(struct tg_rng *r);
/** tg_random_token() - write 128 random bits in hexadecimal, to identify a
 * write */
void tg_random_token(char out[TG_TOKEN_LEN + 1]);
uint64_t tg_hash64(const void *p, size_t n);
/**
 * tg_rendezvous_weight() - weight of @node for @key
 *
 * Rendezvous hashing: the node with the highest weight owns the key.
 */
uint64_t tg_rendezvous_weight(const char *node, const char *key);

/* --- findings --- */

struct tg_finding {
	char *place; /* flag, variable, JSON pointer or file:line */
	char *text;
};

/** struct tg_findings - validation errors of one pass, reported together */
struct tg_findings {
	struct tg_finding *items;
	size_t n;
	size_t total; /* includes those beyond TG_FINDINGS_MAX, not stored */
};
#define TG_FINDINGS_MAX 200

void tg_findings_add(struct tg_findings *f, const char *place, const char *fmt,
		     ...) __attribute__((format(printf, 3, 4)));
/** tg_findings_print() - write a line "prog: place: text" per finding */
void tg_findings_print(const struct tg_findings *f, FILE *out,
		       const char *prog);
void tg_findings_free(struct tg_findings *f);

/* --- settings --- */

enum tg_setting_type {
	TG_SET_STRING, /* const char * */
	TG_SET_INT, /* int64_t in [min, max] */
	TG_SET_BOOL, /* bool; its flag takes no value */
	TG_SET_ADDR, /* const char *, IP:PORT */
	TG_SET_ADDRS, /* const char *, IP:PORT,IP:PORT... */
	TG_SET_NAME, /* const char *, tg_name_valid() */
};

/**
 * struct tg_setting - one setting: command-line flag, environment variable,
 *	default, range and help text
 * @flag: long flag without the leading dashes; the environment variable is
 *	"TG_" and the flag in upper case with '_' for '-'
 * @type: determines the C type of the field at @offset
 * @def: default as text, or NULL to leave the field unchanged
 * @min: smallest value allowed for TG_SET_INT
 * @max: largest value allowed for TG_SET_INT
 * @required: report a finding if there is neither a value nor a default
 * @help: one line that states the unit
 * @offset: offsetof() of the field in the option struct
 */
struct tg_setting {
	const char *flag;
	enum tg_setting_type type;
	const char *def;
	int64_t min, max;
	bool required;
	const char *help;
	size_t offset;
};

/** TG_SETTING() - initialize a setting stored in @field of struct @of */
#define TG_SETTING(of, flag, type, def, min, max, required, help, field) \
	{                                                                \
		flag, type, def, min, max, required, help,               \
			offsetof(struct of, field)                       \
	}

/**
 * struct tg_settings_spec - command line and environment of a program
 * @prog: program name, used in messages
 * @summary: one line for --help
 * @items: settings, terminated by an entry with a NULL flag
 * @operands: name of the operands in --help, or NULL if none are accepted
 * @operands_min: minimum number of operands
 * @operands_max: maximum number of operands
 */
struct tg_settings_spec {
	const char *prog;
	const char *summary;
	const struct tg_setting *items;
	const char *operands;
	int operands_min, operands_max;
};

struct tg_operands {
	int n;
	const char **v;
};

enum tg_settings_result {
	TG_SETTINGS_OK,
	TG_SETTINGS_EXIT,
	TG_SETTINGS_INVALID
};

#define TG_EXIT_USAGE 2

/**
 * tg_settings_load() - fill an option struct from flags and environment
 * @spec: settings and operands that the program accepts
 * @argc: as given to main()
 * @argv: as given to main()
 * @opts: option struct that the offsets in @spec refer to
 * @rest: receives the operands; may be NULL.  @rest->v is to be freed.
 *
 * Flags take precedence over environment variables, and those over defaults.
 * A setting without any of these is 0, false or NULL.
 * Strings in @opts and @rest point into @argv, the environment or @spec.  All
 * findings are printed to stderr.
 *
 * Return: TG_SETTINGS_OK; TG_SETTINGS_EXIT after --help or --version (the
 * program should exit with 0); TG_SETTINGS_INVALID after printing findings
 * (exit with TG_EXIT_USAGE).
 */
enum tg_settings_result tg_settings_load(const struct tg_settings_spec *spec,
					 int argc, char **argv, void *opts,
					 struct tg_operands *rest);

/* --- events --- */

enum tg_level { TG_DEBUG, TG_INFO, TG_WARN, TG_ERROR };

struct tg_event_info {
	int number;
	enum tg_level level;
	const char *text;
};

/* Expand the entries of an events.def file (format: lib/base/events.def). */
#define TG_EVENT_ENUM(name, number, level, text, action) EV_##name = number,
#define TG_EVENT_INFO(name, number, level, text, action) \
	{ number, TG_##level, text },

enum {
#define TG_EVENT TG_EVENT_ENUM
#include "base/events.def"
#undef TG_EVENT
};

/**
 * tg_log_open() - start logging to stderr; before it tg_log() does nothing
 * @prog: program name in every line; not copied
 * @level: lowest level logged: "debug", "info", "warn" or "error"; anything
 *	else means "info"
 */
void tg_log_open(const char *prog, const char *level);
/**
 * tg_log_set_fd() - log to @fd instead of stderr
 *
 * Logging never blocks: a line that can't be written at once is dropped.  Each
 * event is limited to TG_LOG_LINES_PER_S lines per second.  Dropped lines are
 * counted in tg_log_dropped_total; those beyond the limit are also reported by
 * EV1006 when the event is next logged.
 */
void tg_log_set_fd(int fd);
#define TG_LOG_LINES_PER_S 200
/** tg_log_register() - add an event table, not copied; ends at number 0 */
void tg_log_register(const struct tg_event_info *table);
/**
 * tg_log() - log an event
 * @number: EV_... constant of a registered table
 * @fmt: printf() format "key=%s key=%d"; "" logs the text of the event only
 *
 * Control characters are replaced by '?'.  A line that is too long is cut
 * between characters.
 */
void tg_log(int number, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

/* --- metrics --- */

struct tg_counter {
	uint64_t value;
};

struct tg_gauge {
	int64_t value;
};

#define TG_HIST_SUB_BITS 4
#define TG_HIST_BUCKETS ((40 - TG_HIST_SUB_BITS + 1) << TG_HIST_SUB_BITS)

/**
 * struct tg_hist - log-linear histogram with 16 buckets per power of two
 *
 * A quantile is at most 1/16 above the exact one.  Values of 2^40 and more are
 * counted in the last bucket.
 */
struct tg_hist {
	uint32_t counts[TG_HIST_BUCKETS];
	uint64_t n, sum, max;
};

void tg_hist_add(struct tg_hist *h, uint64_t v);
/** tg_hist_quantile() - upper bound of quantile @q in [0, 1]; 0 if empty */
uint64_t tg_hist_quantile(const struct tg_hist *h, double q);
void tg_hist_merge(struct tg_hist *to, const struct tg_hist *from);

/*
 * Find or create a metric series; it lives as long as the process.  @name and
 * @help are not copied.  @labels is the text between the braces
 * ("service=\"a\"", see tg_metric_label()) or NULL for none.  To bound memory,
 * series beyond TG_SERIES_MAX are merged into one per name with the label
 * overflow="true".
 */
#define TG_SERIES_MAX 4096
struct tg_counter *tg_counter(const char *name, const char *help,
			      const char *labels);
struct tg_gauge *tg_gauge(const char *name, const char *help,
			  const char *labels);
struct tg_hist *tg_histogram(const char *name, const char *help,
			     const char *labels);
/**
 * tg_metric_label() - NAME="VALUE" with any text as the value
 *
 * Return: the text, which the caller frees.
 */
char *tg_metric_label(const char *name, const char *value);
/** tg_count_bytes() - from now on add all bytes appended to @buf to @c */
void tg_count_bytes(struct evbuffer *buf, struct tg_counter *c);
/** tg_metrics_write() - write all series in Prometheus text format */
void tg_metrics_write(struct evbuffer *out);

/* --- daemons --- */

/*
 * Priorities of events on a loop of tg_loop_new().  What keeps the process
 * alive in the eyes of others goes before the bulk of the work.
 */
enum {
	TG_PRIORITY_URGENT,
	TG_PRIORITY_NORMAL,
	TG_PRIORITIES,
};

/**
 * tg_loop_new() - an event loop with these priorities
 *
 * Events have TG_PRIORITY_NORMAL unless it is set.  Urgent events are looked
 * for again after 20 ms at most, however many others are to be handled.
 */
struct event_base *tg_loop_new(void);
/**
 * tg_turn_begin() - an event has begun to keep the loop
 *
 * A turn within another one counts as a part of it.
 */
void tg_turn_begin(void);
/** tg_turn_end() - measure the turn, and log @what if it took too long */
void tg_turn_end(const char *what);

/**
 * struct tg_controller - component of a daemon
 * @name: for logs
 * @period_ms: period of @tick
 * @start: acquire resources and return 0; -1 makes the daemon exit.  May be
 *	NULL.
 * @tick: called every @period_ms, also while draining; may be NULL
 * @drain: called every 50 ms after SIGTERM or SIGINT; returns true when this
 *	controller has no work in progress.  May be NULL.
 * @stop: release resources; may be NULL.  Not called if @start failed.
 *
 * All controllers of a daemon get the same @board, its shared state.
 */
struct tg_controller {
	const char *name;
	int32_t period_ms;
	int (*start)(void *board);
	void (*tick)(void *board, int64_t now_ms);
	bool (*drain)(void *board, int64_t now_ms);
	void (*stop)(void *board);
};

/**
 * struct tg_daemon_opts - options of tg_daemon_run()
 * @base: event loop
 * @controllers: started in order and stopped in reverse; terminated by NULL
 * @board: shared state, passed to every controller
 * @drain_grace_ms: minimum time from SIGTERM to exit; listeners stay open so
 *	that the load balancer sees /readyz fail before connections do
 * @drain_max_ms: maximum time from SIGTERM to exit
 */
struct tg_daemon_opts {
	struct event_base *base;
	const struct tg_controller *const *controllers;
	void *board;
	int64_t drain_grace_ms;
	int64_t drain_max_ms;
};

/**
 * tg_daemon_run() - run the controllers until SIGTERM or SIGINT, then drain
 *
 * Return: exit status: 0 after a complete drain, 1 if a controller failed to
 * start or the drain exceeded @drain_max_ms.
 */
int tg_daemon_run(const struct tg_daemon_opts *opts);
/** tg_daemon_draining() - whether SIGTERM or SIGINT was received */
bool tg_daemon_draining(void);
/**
 * tg_print_ready_line() - print "PROG: ready http=... rpc=..." to stdout
 *
 * An address that is NULL is printed as "-".
 */
void tg_print_ready_line(const char *prog, const char *http_addr,
			 const char *rpc_addr);
/** tg_rss_kb() - resident memory of this process in KiB, 0 if unknown */
int64_t tg_rss_kb(void);
/** tg_cpu_us() - user and system CPU time of this process in microseconds */
int64_t tg_cpu_us(void);

#endif
