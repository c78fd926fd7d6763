#ifndef SITED_H
#define SITED_H

#include <uthash.h>

#include "../common/bandwidth.h"
#include "../common/hold.h"
#include "http/http.h"

/**
 * DOC: stand-in of the users' platform
 *
 * Its store, behind several addresses that can fail alone, and its workers.  It
 * speaks what platform/ speaks and judges what it sees.
 */

#define STORES_MAX 8
#define WORKERS_MAX 64
#define LIVES_MAX 8
#define KEY_BYTES 256
#define FAULTS_MAX 64
#define WORKER_CPU 128000 /* millicores */

struct opts {
	const char *http_addr;
	const char *log_level;
	const char *service, *zone, *kind, *rack_prefix, *worker_prefix;
	int64_t stores, workers, accelerators, memory_mb;
	int64_t rack_workers;
	int64_t hold_max_ms, stop_ms, clock_ms;
	int64_t row_bytes;
	int64_t heartbeat_ms, evacuate_ms;
};

/** struct store_door - one address of the store */
struct store_door {
	struct tg_http_server *server;
	/*
	 * ok, slow, sluggish, refuse, silent, lose: done, not answered,
	 * late: done, answered later, narrow: answers arrive slowly, rate:N: at
	 * N bytes per second
	 */
	char mode[16];
};

struct row {
	char id[3 * KEY_BYTES]; /* table, part and key */
	char table[KEY_BYTES], part[KEY_BYTES], key[KEY_BYTES];
	char *value; /* base64 */
	int64_t ver, put_ms;
	bool deleted;
	UT_hash_handle hh;
};

/* Longest checkpoint of the stand-in's runs in bytes. */
#define CHECKPOINT_MAX 255

struct run {
	char task[64];
	char saved[CHECKPOINT_MAX + 1]; /* its checkpoint, or empty */
	int run;
	int accelerators;
	int64_t run_ms, end_ms; /* by itself */
	int64_t started_ms;
	bool fails, stopping;
	/* Its percent is told; otherwise it is 100 from the start. */
	bool tells_progress;
	/* Its order was carried out late. */
	bool late;
	/* Another run of its task ran at the same time. */
	bool doubled;
	int64_t stopped_ms;
	struct run *next;
};

struct end {
	int64_t n;
	char task[64], how[16];
	int run;
	int64_t ended_ms;
	bool lapsed; /* the lease has expired since */
	bool listed; /* in an answer, received or not */
	bool doubled;
	struct end *next;
};

struct look; /* a hold that waits */
struct late; /* a call that is carried out late */

/** struct life - a process of a worker, as its entry names it */
struct life {
	char addr[TG_ADDR_MAX + 1];
	int64_t born_wall_ms;
};

struct worker {
	char id[TG_KEY_MAX + 1];
	struct tg_http_server *server;
	char addr[TG_ADDR_MAX + 1];
	char zone[TG_KEY_MAX + 1];
	/*
	 * ok, silent: cut off from everybody, refuse: cut off, connections are
	 * refused, deaf: cut off from callers only, fail, unhealthy.  Calls
	 * without an answer: unanswered: starts, carried out late,
	 * unanswered-later: also by a later process, stops-late, holds-late,
	 * calls-late: all three, holds-later: also by a later process,
	 * holds-kept: the same, on "deliver", mute: starts, at once, one-way:
	 * all calls, at once.  hold-overtaken: one hold is answered late.
	 * Lists: no-running, odd-running: of another type, odd-run: an entry is
	 * unreadable, the same of ended; no-born
	 */
	char mode[24];
	int64_t late_ms; /* after which a late call is carried out */
	int64_t boot_ms, born_wall_ms;
	/* Its clock was clock_ms at clock_at_ms and runs this much faster. */
	int64_t clock_ms, clock_at_ms;
	int fast_percent;
	int64_t step_ms; /* by which the time of day differs from its next life
			    on */
	int pace_percent; /* of the usual speed at which its runs go on */
	int64_t ticked_ms;
	bool is_late; /* The order that is carried out now is. */
	int64_t seq, next_beat_ms, beat_ms; /* its heartbeats; beat_ms: last */
	struct life lives[LIVES_MAX]; /* the last ones, the current one first */
	/* Its heartbeats don't reach the store; it runs on. */
	bool unlisted;
	bool listed; /* the directory has its entry */
	bool gone, draining;
	bool leaves_at_end; /* it exits as a run ends by itself */
	int64_t drained_ms; /* a draining worker exits no sooner; 0 if unknown
			     */
	int64_t fence, until_ms;
	int accelerators; /* as its entry says */
	/* What it had before it shrank; counts until shrunk_ms. */
	int accelerators_before;
	int64_t shrunk_ms;
	struct run *runs;
	struct end *ends;
	int64_t n_ends;
	struct look *looks;
	struct refused *refused; /* runs that may not start any more */
	struct late *kept; /* holds of the mode "holds-kept" */
};

struct board {
	struct opts opts;
	struct event_base *base;
	struct store_door doors[STORES_MAX];
	struct row *rows;
	int64_t ver, history_from;
	char rejected[2 * KEY_BYTES]; /* TABLE/KEY of a row not to write */
	char kept_row[2 * KEY_BYTES]; /* TABLE/KEY of a row not to delete */
	struct worker workers[WORKERS_MAX];
	struct done *done; /* tasks that have ended well */
	/* what was seen */
	int64_t reads, writes, write_bytes, refused, starts, stops, holds;
	int64_t over_room, twice, after_done, lapsed;
	int64_t fenced; /* calls with a lower token than one before */
	int64_t kept; /* holds of the mode "holds-kept" so far */
	int64_t waited_idle; /* waits of jobs beside free workers */
	/* Starts in a zone later than evacuate_ms after its evacuation. */
	int64_t evacuated;
	/* Starts with a checkpoint, and with one that no run has saved. */
	int64_t resumed, odd_checkpoints;
	/* Faults under way that others brought about, and the last one here. */
	char faults[FAULTS_MAX][32];
	int64_t disturbed_ms;
};

extern struct board board;

/* store.c */
void store_request(struct evhttp_request *req, void *arg);
void store_put(const char *table, const char *key, const char *text);
/** store_put_in() - the same, in a part other than "" */
void store_put_in(const char *table, const char *part, const char *key,
		  const char *text);
void store_delete(const char *table, const char *key);
int64_t store_count(const char *table);
/** store_put_ms() - when a row without a part was last put; 0 if there is none
 */
int64_t store_put_ms(const char *table, const char *key);

/* worker.c */
void worker_open(struct worker *w, int n);
void worker_close(struct worker *w);
/** worker_leave() - exit after draining, with the entry removed */
void worker_leave(struct worker *w);
void worker_restart(struct worker *w);
/** worker_reborn() - the same, and its connections stay open */
void worker_reborn(struct worker *w);
/** worker_swap() - restart two workers, each at the other's address */
void worker_swap(struct worker *w, struct worker *o);
/** worker_move() - restart at another address */
void worker_move(struct worker *w);
/** worker_write_entry() - a heartbeat, if the worker reaches the store */
void worker_write_entry(struct worker *w);
/**
 * worker_write_old_entry() - write the entry of a process @lives before, unless
 *	there is no entry
 */
void worker_write_old_entry(struct worker *w, int lives);
/** worker_reset() - end all connections */
void worker_reset(struct worker *w);
/** worker_linger() - leave, but serve for a while without an entry */
void worker_linger(struct worker *w, int ms);
/** worker_set_clock() - the worker's clock runs faster by this from now on */
void worker_set_clock(struct worker *w, int fast_percent);
/** worker_resize() - change the capacity of a worker while it runs */
void worker_resize(struct worker *w, int accelerators);
/** worker_room() - accelerators that a start may use now */
int worker_room(const struct worker *w);
void worker_remove_entry(struct worker *w);
/** worker_set_mode() - behave as the mode says from now on */
void worker_set_mode(struct worker *w, const char *mode);
/** worker_deliver() - carry out the calls that were kept */
void worker_deliver(struct worker *w);
void workers_tick(void);
int64_t worker_clock(const struct worker *w);

/* judge.c */
/** judge_start() - a run has begun on @w; counts what must not be */
void judge_start(const struct worker *w, struct run *r);
/** judge_evacuated_ms() - when the worker's zone was evacuated; 0 if it isn't
 */
int64_t judge_evacuated_ms(const struct worker *w);
/** judge_process() - log that a process of a worker begins */
void judge_process(const struct worker *w);
/** judge_log() - tell what happened to a run that ran twice at a time */
void judge_log(const struct worker *w, const char *task, int run,
	       const char *what);
/**
 * judge_done() - an end was acknowledged while the worker's lease lasted
 */
void judge_done(const char *task, int64_t ended_ms);
void judge_log_time(void);

/* waits.c */
/** judge_row() - a row was written */
void judge_row(const struct row *r);
void judge_task_started(const char *task);
/** judge_task_done() - its end was acknowledged, or listed near no fault */
void judge_task_done(const char *task);
/** judge_waits() - count jobs that wait beside free workers */
void judge_waits(void);

#endif
