#ifndef TG_SITE_H
#define TG_SITE_H

#include "oncrpc/oncrpc.h"
#include "port/port.h"

/**
 * DOC: what the queue and flow daemons share
 *
 * Their settings, the layout of their rows, following a table of the store, and
 * finding the owner, that is the flow daemon that schedules.
 */

enum {
#define TG_EVENT TG_EVENT_ENUM
#include "site/events.def"
#undef TG_EVENT
};
extern const struct tg_event_info tg_site_events[];

/* --- settings --- */

/** struct tg_site_flags - flags of both daemons */
struct tg_site_flags {
	const char *settings; /* path of the platform's settings file */
	const char *metrics_addr;
	const char *log_level;
};

#define TG_SITE_FLAGS(of, metrics)                                            \
	TG_SETTING(of, "settings", TG_SET_STRING, NULL, 0, 0, false,          \
		   "path of the platform's settings file", flags.settings),   \
		TG_SETTING(of, "metrics-addr", TG_SET_ADDR, metrics, 0, 0,    \
			   false, "IP:PORT of metrics, /healthz and /readyz", \
			   flags.metrics_addr),                               \
		TG_SETTING(of, "log-level", TG_SET_STRING, "info", 0, 0,      \
			   false, "debug, info, warn or error",               \
			   flags.log_level)

struct tg_site {
	struct event_base *base;
	const struct tg_port_ops *ops;
	struct tg_port *port;
	struct tg_site_settings set;
	struct event *reload;
	const char *path;
};

/**
 * tg_site_log_open() - log to standard output
 * @events: of the program; those of the libraries are added
 */
void tg_site_log_open(const char *prog, const struct tg_port_ops *ops,
		      const struct tg_site_flags *flags,
		      const struct tg_event_info *events);
/**
 * tg_site_open() - read the settings, open the port, reread on SIGHUP
 *
 * Return: 0, or -1 after all findings were printed to stderr.
 */
int tg_site_open(struct tg_site *s, struct event_base *base,
		 const struct tg_port_ops *ops,
		 const struct tg_site_flags *flags);
void tg_site_close(struct tg_site *s);

/* --- rows --- */

/*
 * Jobs are spread over parts, since the store applies the transactions of a
 * part one after another.  What the owner writes shares one part, so that one
 * transaction can hold it.
 */
#define TG_JOB_PARTS 4
#define TG_JOBS_TABLE "jobs"
#define TG_PROGRESS_TABLE "progress"
#define TG_OWNER_TABLE "owner"
#define TG_OWNER_PART "owner"
#define TG_OWNER_KEY "main"
/** Suffix of the key of the row that asks for the cancellation of a job. */
#define TG_CANCEL_SUFFIX "~cancel"

/** tg_job_part() - part of a job's rows in TG_JOBS_TABLE */
const char *tg_job_part(const char *job);
const char *tg_job_part_at(int i);

/** struct tg_job_row - a job as it was accepted */
struct tg_job_row {
	char id[FLOW_JOB_LEN + 1];
	char queue[TG_NAME_MAX + 1], workspace[TG_NAME_MAX + 1];
	int64_t accepted_wall_ms;
	struct flow_spec *spec;
};

/** tg_job_row_encode() - to be freed */
char *tg_job_row_encode(const struct tg_job_row *r);
/** tg_job_row_decode() - -1 if it is no job; frees nothing on success */
int tg_job_row_decode(const char *text, size_t n, struct tg_job_row *r);
/** tg_job_row_same() - whether two rows ask for the same; @a, @b are texts */
bool tg_job_row_same(const char *a, size_t a_bytes, const char *b,
		     size_t b_bytes);

/** Bytes of the list of silent workers; one that is left out is waited for. */
#define TG_SILENT_MAX 8192

/** struct tg_owner_row - who schedules */
struct tg_owner_row {
	char holder[TG_NAME_MAX + 1], addr[TG_ADDR_MAX + 1];
	char boot[TG_TOKEN_LEN + 1];
	uint64_t fence; /* fencing token, rises with each take-over */
	int64_t seq; /* of the holder's writes */
	/* Workers that did not answer the holder when it wrote: ",id,id," */
	char silent[TG_SILENT_MAX];
	bool released; /* the holder has given it up */
};

/** tg_owner_row_silence() - add a worker to the list */
void tg_owner_row_silence(struct tg_owner_row *r, const char *worker);
bool tg_owner_row_is_silent(const struct tg_owner_row *r, const char *worker);
char *tg_owner_row_encode(const struct tg_owner_row *r);
int tg_owner_row_decode(const struct tg_row *row, struct tg_owner_row *r);

/* --- storing a job --- */

enum tg_job_stored {
	TG_JOB_STORED, /* by this call or by an earlier one */
	TG_JOB_OTHER, /* the id has another job */
	TG_JOB_NOT_STORED, /* by this call; may be tried again */
	TG_JOB_UNSTORABLE, /* nor will it be */
	TG_JOB_UNKNOWN, /* may be stored, or will be */
};

/** tg_job_store() - write a row made by tg_job_row_encode() if there is none */
void tg_job_store(struct tg_site *s, const char *job, const char *row,
		  int64_t timeout_ms,
		  void (*done)(enum tg_job_stored end, void *arg), void *arg);

/* An end as the status of an RPC answer, and back. */
enum tg_rpc_status tg_job_stored_encode(enum tg_job_stored end);
enum tg_job_stored tg_job_stored_decode(enum tg_rpc_status status);

/* --- flow daemons --- */

#define TG_MEMBERS_TABLE "members"
#define TG_MEMBERS_MAX 256

/** struct tg_members - addresses of the flow daemons, read now and then */
struct tg_members {
	struct tg_site *site;
	char addrs[TG_MEMBERS_MAX][TG_ADDR_MAX + 1];
	int n;
	bool reading;
	int64_t read_ms;
};

/** tg_members_announce() - write this instance's row, best effort */
void tg_members_announce(struct tg_site *s, const char *addr);
/** tg_members_tick() - read them if the last reading is old */
void tg_members_tick(struct tg_members *m);
/** tg_members_pick() - one at random, other than @not; NULL if there is none */
const char *tg_members_pick(struct tg_members *m, struct tg_rng *rng,
			    const char * not );

/* --- following a table --- */

/**
 * struct tg_follow_opts - callbacks on the rows of a table
 * @parts: that are read at the beginning and after a gap; NULL for ""
 * @once: read the table, don't follow it
 * @on_scan: a complete reading begins: rows that it does not bring are gone
 * @on_row: a row as it is now
 * @on_scanned: the reading is complete
 */
struct tg_follow_opts {
	struct tg_site *site;
	const char *table;
	const char *const *parts;
	int n_parts;
	bool once;
	void (*on_scan)(void *arg);
	void (*on_row)(const struct tg_row *row, void *arg);
	void (*on_scanned)(void *arg);
	void *arg;
};

struct tg_follow;

struct tg_follow *tg_follow_new(const struct tg_follow_opts *opts);
void tg_follow_free(struct tg_follow *f);

/* --- document --- */

struct tg_document;

/** tg_document_new() - follow the operators' document; @changed may be NULL */
struct tg_document *tg_document_new(struct tg_site *s,
				    void (*changed)(void *arg), void *arg);
void tg_document_free(struct tg_document *d);
/** tg_document_get() - in force now, NULL if none was seen yet */
const struct tg_site_doc *tg_document_get(const struct tg_document *d);

#endif
