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
 * frame of a daemon.  Everything here belongs to the one thread of a process.
 */

#define TG_NAME_MAX 63
#define TG_ADDR_MAX 63
#define TG_TOKEN_LEN 32

#define ARRAY_SIZE(x) (sizeof(x) / sizeof((x)[0]))

/* --- clocks --- */

/** tg_now_ms() - milliseconds of the monotonic clock */
int64_t tg_now_ms(void);
/** tg_now_us() - microseconds of the monotonic clock */
int64_t tg_now_us(void);
/** tg_wall_ms() - milliseconds since the Unix epoch, UTC */
int64_t tg_wall_ms(void);
/**
 * tg_parse_utc() - parse an RFC 3339 instant in UTC ("2026-12-06T21:00:00Z")
 * @s: text
 * @wall_ms: result, milliseconds since the Unix epoch
 *
 * Return: 0, or -1 if @s is not such an instant.
 */
int tg_parse_utc(const char *s, int64_t *wall_ms);
/** tg_format_utc() - inverse of tg_parse_utc(); @out holds 21 bytes or more */
void tg_format_utc(int64_t wall_ms, char *out, size_t size);

/* --- names and memory --- */

/** tg_name_valid() - whether @s matches [a-z0-9][a-z0-9-]{0,62} */
bool tg_name_valid(const char *s);
/** tg_strlcpy() - bounded copy that always terminates; false if cut short */
bool tg_strlcpy(char *dst, const char *src, size_t size);
/** tg_addr_valid() - whether @s is IP:PORT, [IPv6]:PORT included */
bool tg_addr_valid(const char *s);
/** tg_addr_split() - split IP:PORT; 0 or -1 */
int tg_addr_split(const char *s, char *host, size_t size, uint16_t *port);
/** tg_bound_addr() - IP:PORT that a socket is bound to; 0 or -1 */
int tg_bound_addr(int fd, char *out, size_t size);
/* These do not return on lack of memory: the process ends with status 70. */
void *tg_xcalloc(size_t n, size_t size);
void *tg_xrealloc(void *p, size_t size);
char *tg_xstrdup(const char *s);
char *tg_xasprintf(const char *fmt, ...) __attribute__((format(printf, 1, 2)));

/* --- random numbers and hashes --- */

/** struct tg_rng - splitmix64 generator; the seed is its first state */
struct tg_rng {
	uint64_t state;
};
uint64_t tg_rng_next(struct tg_rng *r);
/** tg_rng_below() - uniform in [0, n); n > 0 */
uint64_t tg_rng_below(struct tg_rng *r, uint64_t n);
/** tg_rng_seed() - seed from the kernel */
void tg_rng_seed(struct tg_rng *r);
/** tg_token() - 128 random bits in hexadecimal, unique to one write */
void tg_token(char out[TG_TOKEN_LEN + 1]);
uint64_t tg_hash64(const void *p, size_t n);
/** tg_rendezvous() - weight of @node for @key; the highest weight owns it */
uint64_t tg_rendezvous(const char *node, const char *key);

/* --- findings --- */

struct tg_finding {
	char *place; /* flag, variable, JSON pointer or file:line */
	char *text;
};

/** struct tg_findings - faults found in one pass, reported together */
struct tg_findings {
	struct tg_finding *items;
	size_t n;
	size_t total; /* found; only the first TG_FINDINGS_MAX are kept */
};
#define TG_FINDINGS_MAX 200

void tg_findings_add(struct tg_findings *f, const char *place, const char *fmt,
		     ...) __attribute__((format(printf, 3, 4)));
/** tg_findings_print() - one line per finding: "prog: place: text" */
void tg_findings_print(const struct tg_findings *f, FILE *out,
		       const char *prog);
void tg_findings_free(struct tg_findings *f);

/* --- settings --- */

enum tg_setting_type {
	TG_SET_STRING, /* const char * */
	TG_SET_INT, /* int64_t, within [min, max] */
	TG_SET_BOOL, /* bool; a flag without value */
	TG_SET_ADDR, /* const char *, IP:PORT */
	TG_SET_ADDRS, /* const char *, IP:PORT,IP:PORT... */
	TG_SET_NAME, /* const char *, tg_name_valid() */
};

/**
 * struct tg_setting - one setting, from which flag, variable, default, range,
 *	help text and findings follow
 * @flag: long flag without dashes; the variable is TG_ plus the flag in
 *	capitals with '_' for '-'
 * @type: type of the field at @offset
 * @def: default as text, or NULL for none (strings become NULL, numbers 0)
 * @min: least value of an integer
 * @max: greatest value of an integer
 * @required: a finding results when there is neither value nor default
 * @help: one line, with the unit
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

/** TG_SETTING() - a setting whose value is @field of struct @of */
#define TG_SETTING(of, flag, type, def, min, max, required, help, field) \
	{                                                                \
		flag, type, def, min, max, required, help,               \
			offsetof(struct of, field)                       \
	}

/**
 * struct tg_settings_spec - settings of a program
 * @prog: name of the program
 * @summary: one line for --help
 * @items: settings, ended by an entry without flag
 * @operands: name of the operands in --help, or NULL if there are none
 * @operands_min: least number of operands
 * @operands_max: greatest number of operands
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

enum tg_settings_result { TG_SETTINGS_OK, TG_SETTINGS_DONE, TG_SETTINGS_BAD };

#define TG_EXIT_USAGE 2

/**
 * tg_settings_load() - fill an option struct from defaults, variables, flags
 * @spec: what the program takes
 * @argc: as given to main()
 * @argv: as given to main(); values point into it
 * @opts: option struct
 * @rest: operands, or NULL
 *
 * A flag beats a variable, a variable beats a default.  All findings are
 * printed to stderr.
 *
 * Return: TG_SETTINGS_OK; TG_SETTINGS_DONE after --help or --version (exit
 * with 0); TG_SETTINGS_BAD (exit with TG_EXIT_USAGE).
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

/* Used with an events.def file, see lib/base/events.def. */
#define TG_EVENT_ENUM(name, number, level, text, action) EV_##name = number,
#define TG_EVENT_INFO(name, number, level, text, action) \
	{ number, TG_##level, text },

enum {
#define TG_EVENT TG_EVENT_ENUM
#include "base/events.def"
#undef TG_EVENT
};

/**
 * tg_log_open() - log to stderr
 * @prog: name in every line
 * @level: "debug", "info", "warn" or "error"
 */
void tg_log_open(const char *prog, const char *level);
/**
 * tg_log_to() - log to @fd instead of stderr
 *
 * A line that can't be written at once is dropped, and so is what an event
 * logs beyond TG_LOG_LINES_PER_S lines in a second.  Dropped lines are counted
 * in tg_log_dropped_total, those of an event in a line of EV1006 as well.
 */
void tg_log_to(int fd);
#define TG_LOG_LINES_PER_S 200
/** tg_log_register() - add an event table, ended by number 0 */
void tg_log_register(const struct tg_event_info *table);
/**
 * tg_log() - log an event
 * @number: EV_... of a registered table
 * @fmt: "key=%s key=%d", or "" for none
 *
 * Control characters in values are replaced.
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
 * struct tg_hist - log-linear histogram with 16 buckets to a power of two
 *
 * A quantile is at most 1/16 above the true value.  Values are below 2^40.
 */
struct tg_hist {
	uint32_t counts[TG_HIST_BUCKETS];
	uint64_t n, sum, max;
};

void tg_hist_add(struct tg_hist *h, uint64_t v);
/** tg_hist_quantile() - upper bound of the bucket of quantile @q in [0, 1] */
uint64_t tg_hist_quantile(const struct tg_hist *h, double q);
void tg_hist_merge(struct tg_hist *to, const struct tg_hist *from);

/*
 * Find or create a series of the process.  @labels is NULL or the text between
 * the braces ("service=\"a\"").  Beyond TG_SERIES_MAX series a shared series
 * with label overflow="true" is returned, which bounds memory.
 */
#define TG_SERIES_MAX 4096
struct tg_counter *tg_counter(const char *name, const char *help,
			      const char *labels);
struct tg_gauge *tg_gauge(const char *name, const char *help,
			  const char *labels);
struct tg_hist *tg_histogram(const char *name, const char *help,
			     const char *labels);
/** tg_count_bytes() - add all bytes that enter @buf to @c */
void tg_count_bytes(struct evbuffer *buf, struct tg_counter *c);
/** tg_metrics_write() - all series in the text exposition format */
void tg_metrics_write(struct evbuffer *out);

/* --- daemons --- */

/**
 * struct tg_controller - one activity of a daemon; reads and writes the board
 * @name: for logs
 * @period_ms: period of @tick
 * @start: acquire resources; 0 or -1 (the daemon ends)
 * @tick: called every @period_ms, also while draining; may be NULL
 * @drain: called every 50 ms once a stop was asked for; true when nothing of
 *	this controller is in progress; may be NULL
 * @stop: release resources; may be NULL
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
 * struct tg_daemon_opts - frame of a daemon
 * @base: event loop
 * @controllers: started in order and stopped in reverse; ended by NULL
 * @board: passed to them
 * @drain_grace_ms: the listeners stay open at least this long after SIGTERM,
 *	so that the balancer sees /readyz fail first
 * @drain_max_ms: the daemon ends at the latest this long after SIGTERM
 */
struct tg_daemon_opts {
	struct event_base *base;
	const struct tg_controller *const *controllers;
	void *board;
	int64_t drain_grace_ms;
	int64_t drain_max_ms;
};

/**
 * tg_daemon_run() - run until SIGTERM or SIGINT and the drain after it
 *
 * Return: exit status, 0 after a complete drain, 1 if a controller did not
 * start or the drain was cut off.
 */
int tg_daemon_run(const struct tg_daemon_opts *opts);
/** tg_daemon_draining() - whether a stop was asked for */
bool tg_daemon_draining(void);
/** tg_ready_line() - print "PROG: ready http=... rpc=..." to stdout */
void tg_ready_line(const char *prog, const char *http_addr,
		   const char *rpc_addr);
/** tg_rss_kb() - resident memory of this process in KiB */
int64_t tg_rss_kb(void);
/** tg_cpu_us() - processor time used by this process in microseconds */
int64_t tg_cpu_us(void);

#endif
