#ifndef TG_DECIDE_INTERNAL_H
#define TG_DECIDE_INTERNAL_H

#include <uthash.h>

#include "decide/decide.h"

/**
 * DOC: internals of the decision library
 *
 * The use of a worker is kept in four sums.  @firm is used by urgent and
 * guaranteed jobs outside of guarantees, @inside by jobs in slots of
 * guarantees, @lent by preemptible jobs, and @plan is what the slots on the
 * worker reserve whether used or not.  The plan is feasible as long as
 * firm - leaving_firm + plan <= cap on every worker, whatever the lent jobs
 * use: what is leaving stops without conditions.
 */

#define FAILED_MAX 8
#define RING_SIZE 256
#define NONE (-1)

struct res {
	int32_t acc, cores, mem;
};

enum job_state {
	JOB_QUEUED,
	JOB_HELD, /* has its place; victims there are still stopping */
	JOB_RUNNING,
	JOB_PARKED,
};

/* Which room a placement may use. */
enum view {
	VIEW_IDLE, /* what nobody uses */
	VIEW_FIRM, /* idle, and not part of the plan */
	VIEW_OVER_LENT, /* not part of the plan; lent work there is reclaimed */
	VIEW_OVER_BEYOND, /* same, and guaranteed work beyond guarantees is
			     reclaimed as well */
};

/* An entry of a table from names to ids. */
struct name_id {
	char *name;
	int32_t id;
	UT_hash_handle hh;
};

struct workspace {
	char *name;
	int32_t quota; /* 0: no limit */
	int64_t used_acc;
	int64_t finished;
	double log_ratio; /* mean of log(actual / declared) */
	UT_hash_handle hh;
};

struct job {
	char *name;
	struct workspace *ws;
	int32_t az; /* NONE: any */
	enum tg_job_class class;
	int32_t tasks;
	struct res need; /* of one task */
	bool within_rack;
	int64_t declared_ms, submitted_ms;
	uint64_t seq;
	enum job_state state;
	int32_t *workers; /* one for each task while held or running */
	struct guarantee *g; /* whose slots it uses, or NULL */
	bool adopted; /* may use slots; not decided yet */
	bool was_inside; /* used slots when the guarantees were replaced */
	int64_t started_ms, done_ms, not_before_ms;
	bool reclaiming; /* TG_ACT_RECLAIM was returned */
	int32_t *target; /* place to move to once it has stopped, or NULL */
	bool backfilled; /* runs on workers reserved for another job */
	double key;
	int32_t failed[FAILED_MAX], n_failed;
	int64_t avoid_until_ms; /* avoids @failed until then */
	char why[160];
	UT_hash_handle hh;
};

struct resident {
	struct job *job;
	int32_t n; /* tasks */
};

struct worker {
	char *name;
	int32_t az, rack;
	struct res cap, firm, inside, lent, plan;
	struct res beyond; /* part of @firm: guaranteed jobs beyond
			      guarantees */
	struct res leaving; /* part of @lent and @firm that is being
			       reclaimed */
	struct res leaving_firm; /* part of it in @firm */
	enum tg_worker_health health;
	bool spared; /* one of its AZ's place for the largest shape */
	bool reserved; /* for the job of its AZ's reservation */
	struct resident *jobs;
	int32_t n_jobs;
	uint64_t row[FAILED_MAX]; /* jobs that failed in a row */
	int32_t n_row;
};

struct rack {
	char *name;
	int32_t az;
	int32_t *workers;
	int32_t n_workers;
	bool dirty; /* the sums below are out of date */
	struct res max_idle, max_firm, max_beyond;
	int32_t idle_acc, firm_acc; /* sums over workers that are up */
	int32_t acc, acc_alive, acc_up; /* all, not down, up */
	int32_t whole; /* workers with idle room for a task of the shape */
	double parts; /* sum of idle accelerators squared over those of the
			 shape, of workers that are not whole */
	int32_t shapes; /* tasks of the shape that the idle room holds */
};

/* The place kept for a job that waited too long, one for each AZ. */
struct reservation {
	struct job *job;
	int64_t at_ms; /* when it is expected to start */
	int64_t made_ms;
	int32_t *workers;
	int32_t n_workers;
};

/* A shape that found no place; larger ones need no attempt until @freed grows.
 */
struct misfit {
	struct res need;
	int32_t tasks;
	enum view view;
	bool within_rack, kept, spare;
};
#define MISFITS_MAX 32

struct az {
	char *name;
	int32_t n_workers, n_quarantined;
	int64_t acc; /* of all its workers */
	int32_t *racks;
	int32_t n_racks;
	bool replan;
	bool at_risk; /* a slot of a live guarantee has no place */
	uint64_t freed; /* grows with each release of room */
	uint64_t changed; /* grows with each change of room */
	uint64_t sums_at; /* @changed + 1 when the sums below were made */
	int64_t idle_acc;
	int32_t most_whole; /* whole workers of the rack that has most */
	uint64_t spared_at; /* @changed when workers were last spared */
	struct reservation kept;
	int64_t defrag_ms; /* when moves may be looked for again */
	int32_t defrag_rack; /* where the last search for moves ended */
	int32_t spared_rack; /* index + 1 of the rack with spared workers */
	struct misfit misfits[MISFITS_MAX];
	int32_t n_misfits;
	uint64_t misfits_at; /* value of @freed they were found at */
};

struct slot {
	int32_t worker; /* NONE: no place, at risk */
	struct job *job;
};

struct guarantee {
	struct workspace *ws;
	int32_t az, tasks;
	struct res need; /* of one slot */
	bool within_rack, lapsed;
	int64_t lapses_ms;
	struct slot *slots;
};

struct queue {
	struct job **jobs;
	size_t n, cap;
};

struct note {
	int64_t at_ms;
	enum tg_action_kind kind;
	char job[TG_NAME_MAX + 1];
	char text[160];
};

struct tg_fleet {
	struct tg_fleet_opts opts;
	int64_t spare_ms; /* of the policy, by its weight */
	const struct tg_policy *policy;
	struct az *azs;
	int32_t n_azs;
	struct rack *racks;
	int32_t n_racks;
	struct worker *workers;
	int32_t n_workers;
	struct name_id *az_ids, *rack_ids, *worker_ids;
	struct workspace *workspaces;
	struct guarantee *guarantees;
	size_t n_guarantees;
	struct res shape; /* one task of the largest guaranteed shape */
	int32_t shape_tasks;
	bool shape_within_rack;
	bool adopted; /* a job was adopted since the last decision */
	struct job *jobs;
	struct queue queues[3]; /* by class */
	struct queue held, parking;
	int32_t *failing; /* workers to report as quarantined */
	size_t n_failing;
	int32_t *reported; /* workers of the last round's quarantines */
	size_t n_running, n_parked;
	uint64_t next_seq;
	int64_t acc, queued_acc; /* of all workers; asked for by waiting jobs */
	int32_t defrag_az; /* next to look for moves in */
	int64_t keys_ms; /* when the keys were last computed */
	struct note ring[RING_SIZE];
	uint64_t n_notes;
	struct res *room, *room_later; /* scratch, one for each worker */
	int32_t *fit; /* scratch, one for each rack */
	int32_t *order; /* scratch, one for each rack */
};

/**
 * struct tg_policy - what varies between policies
 * @key: order of waiting jobs, least first
 * @run_ms: run time to expect of a job, for reservations
 * @rack_cost: cost of placing @tasks of @j on a rack, least first; NULL: the
 *	first rack that fits
 * @worker_cost: same for one worker
 * @victim_cost: cost of reclaiming @j, least first
 * @strict: no job passes a waiting one of its AZ
 * @patience: how long a job waits, in multiples of its expected run time,
 *	until a place is kept for it; 0: at once, if it is the first
 * @spare_ms: how long a job waits before it may use what each AZ spares for
 *	the largest guaranteed shape, at a weight of fragmentation of 100
 * @any_fullest: a job that may run in any AZ tries the fullest first
 * @urgent_over_beyond: urgent work reclaims guaranteed work beyond guarantees
 *	where reclaiming lent work does not suffice
 * @move_period_ms: how often an AZ moves the lent jobs of one worker; 0: never
 */
struct tg_policy {
	const char *name;
	int32_t weight_completion, weight_fragmentation;
	double (*key)(const struct tg_fleet *f, const struct job *j);
	int64_t (*run_ms)(const struct job *j);
	double (*rack_cost)(const struct tg_fleet *f, const struct job *j,
			    const struct rack *r, int32_t tasks);
	double (*worker_cost)(const struct tg_fleet *f, const struct job *j,
			      const struct worker *w);
	double (*victim_cost)(const struct tg_fleet *f, const struct job *j,
			      int64_t now_ms);
	bool strict;
	double patience;
	int64_t move_period_ms;
	int64_t spare_ms;
	bool any_fullest;
	bool urgent_over_beyond;
};

/* --- res --- */

static inline struct res res_add(struct res a, struct res b)
{
	return (struct res){ a.acc + b.acc, a.cores + b.cores, a.mem + b.mem };
}

static inline struct res res_sub(struct res a, struct res b)
{
	return (struct res){ a.acc - b.acc, a.cores - b.cores, a.mem - b.mem };
}

/* Adds @b with @sign 1 and subtracts it with -1. */
static inline struct res res_move(struct res a, struct res b, int sign)
{
	return sign > 0 ? res_add(a, b) : res_sub(a, b);
}

static inline bool res_fits(struct res need, struct res room)
{
	return need.acc <= room.acc && need.cores <= room.cores &&
		need.mem <= room.mem;
}

static inline int32_t min32(int32_t a, int32_t b)
{
	return a < b ? a : b;
}

static inline int32_t max32(int32_t a, int32_t b)
{
	return a > b ? a : b;
}

static inline struct res res_min(struct res a, struct res b)
{
	return (struct res){ min32(a.acc, b.acc), min32(a.cores, b.cores),
			     min32(a.mem, b.mem) };
}

static inline struct res res_max(struct res a, struct res b)
{
	return (struct res){ max32(a.acc, b.acc), max32(a.cores, b.cores),
			     max32(a.mem, b.mem) };
}

/* --- room.c: use of workers --- */

/** res_count() - how many times @need fits into @room, at most @max */
int32_t res_count(struct res need, struct res room, int32_t max);
struct res room_idle(const struct worker *w);
/** room_firm() - not used by firm work and not part of the plan */
struct res room_firm(const struct worker *w);
struct res room_of(const struct worker *w, enum view v);
/** rack_sums() - the rack with its sums up to date */
const struct rack *rack_sums(const struct tg_fleet *f, int32_t rack);
/** az_sums() - the AZ with its sums up to date */
const struct az *az_sums(const struct tg_fleet *f, int32_t az);
/** room_take() - count a job's tasks as using their workers */
void room_take(struct tg_fleet *f, struct job *j);
void room_give(struct tg_fleet *f, struct job *j);
/** room_beyond() - what urgent work may use by reclaim of all other work */
struct res room_beyond(const struct worker *w);
/** job_is_beyond() - guaranteed work that no guarantee covers */
bool job_is_beyond(const struct job *j);
/**
 * room_bind() - count the job's task on a worker as inside of a guarantee
 * (@sign 1) or beyond (-1)
 */
void room_bind(struct worker *w, const struct job *j, int sign);
/** room_leaving() - mark the use of a job that is reclaimed as leaving */
void room_leaving(struct tg_fleet *f, struct job *j);
/** room_plan() - add (@sign 1) or remove (-1) a slot of the plan */
void room_plan(struct tg_fleet *f, int32_t worker, struct res need, int sign);

/* --- plan.c: places of guarantees --- */

/** plan_az() - give every slot of an AZ a place, if there is a way */
void plan_az(struct tg_fleet *f, int32_t az);
/** plan_check() - plan_az() for every AZ that needs it */
void plan_check(struct tg_fleet *f);
/** plan_clear() - take away the places of an AZ's unused slots */
void plan_clear(struct tg_fleet *f, int32_t az);
/** plan_lapse() - drop the slots of guarantees that have lapsed */
void plan_lapse(struct tg_fleet *f, int64_t now_ms);
/** plan_bind() - let a job that has workers use slots of @g there */
bool plan_bind(struct tg_fleet *f, struct guarantee *g, struct job *j);
/** guarantee_for() - live guarantee with enough unused slots for the job */
struct guarantee *guarantee_for(const struct tg_fleet *f, const struct job *j,
				bool unused);
/** guarantee_unused() - slots that a job can use now */
int32_t guarantee_unused(const struct tg_fleet *f, const struct guarantee *g);
/** guarantee_unbind() - let a job in slots use room outside of them */
void guarantee_unbind(struct tg_fleet *f, struct job *j);
/** guarantee_bind_adopted() - let adopted jobs use the slots they may use */
void guarantee_bind_adopted(struct tg_fleet *f);
/** slot_set() - give a slot a place, or take it away with NONE */
void slot_set(struct tg_fleet *f, struct guarantee *g, struct slot *s,
	      int32_t worker);
bool guarantee_at_risk(const struct guarantee *g);
void guarantee_free(struct guarantee *g);

/* --- place.c --- */

/**
 * place_gang() - choose workers of an AZ for all tasks of a job
 * @out: one worker for each task
 * @kept: may use workers that are reserved in its AZ
 * @spare: may not use workers that the AZ spares
 *
 * Return: whether the whole gang has a place.
 */
bool place_gang(struct tg_fleet *f, const struct job *j, int32_t az,
		enum view v, bool kept, bool spare, int64_t now_ms,
		int32_t *out);
/** place_in_slots() - choose workers of unused slots of @g */
bool place_in_slots(struct tg_fleet *f, const struct job *j,
		    struct guarantee *g, bool reclaim, int32_t *out);

/* --- job.c, queue.c --- */

void job_free(struct tg_fleet *f, struct job *j);
int64_t job_acc(const struct job *j);
/** acc_beside_guarantees() - what guarantees without a lapse leave of an AZ */
int64_t acc_beside_guarantees(const struct tg_fleet *f, int32_t az);
/** job_remaining_ms() - expected run time that is left */
int64_t job_remaining_ms(const struct tg_fleet *f, const struct job *j,
			 int64_t now_ms);
/** job_end_ms() - expected end of a running job, after @now_ms */
int64_t job_end_ms(const struct tg_fleet *f, const struct job *j,
		   int64_t now_ms);
/** job_assign() - give a job its place; it starts when victims are gone */
void job_assign(struct tg_fleet *f, struct job *j, const int32_t *workers,
		struct guarantee *g);
/** job_release() - take a job's place away; it belongs to no queue then */
void job_release(struct tg_fleet *f, struct job *j);
void queue_insert(struct tg_fleet *f, struct job *j);
void queue_remove(struct tg_fleet *f, struct job *j);
void queue_refresh(struct tg_fleet *f, int64_t now_ms);
void list_add(struct queue *q, struct job *j);
void list_remove(struct queue *q, const struct job *j);

/* --- reclaim.c --- */

/**
 * reclaim_for() - mark jobs for reclaim until a held job has its room
 *
 * Victims are appended to @victims (room for @max).  Return: their number; if
 * it is @max, more may be needed in a later round.
 */
size_t reclaim_for(struct tg_fleet *f, const struct job *j, int64_t now_ms,
		   struct job **victims, size_t max);
/** reclaim_cost() - estimate of what a task on a worker makes others lose */
double reclaim_cost(const struct tg_fleet *f, const struct worker *w,
		    struct res need, int64_t now_ms);
/**
 * reclaim_room() - whether the job's workers have room for it now
 *
 * Firm work outside of guarantees also needs the plan to be feasible beside it.
 */
bool reclaim_room(const struct tg_fleet *f, const struct job *j);

/* --- reserve.c --- */

void reserve_drop(struct tg_fleet *f, struct az *az);
void reserve_forget(struct tg_fleet *f, const struct job *j);
/** reserve_make() - keep the place that the job can have first */
bool reserve_make(struct tg_fleet *f, struct job *j, int32_t az,
		  int64_t now_ms);

/* --- defrag.c --- */

/** is_whole() - idle room for a task of the largest guaranteed shape */
bool is_whole(const struct tg_fleet *f, const struct worker *w);
/** rack_worth() - of @whole whole workers in one rack, in accelerators */
double rack_worth(const struct tg_fleet *f, int32_t whole);
/**
 * defrag_spares() - whether the AZ is one of those that gather free room
 *
 * As many AZs spare a place as the fleet's free accelerators could fill, those
 * that are closest to one.
 */
bool defrag_spares(const struct tg_fleet *f, int32_t az);
/** defrag_spare() - choose the workers that the AZ spares */
void defrag_spare(struct tg_fleet *f, int32_t az);
/**
 * defrag_pick() - lent job that should move, or NULL
 *
 * Its new place is noted in the job and taken when it has stopped.
 */
struct job *defrag_pick(struct tg_fleet *f, int32_t az, int64_t now_ms);

/* --- failure.c --- */

void failure_of_task(struct tg_fleet *f, struct job *j, int32_t worker,
		     int64_t now_ms);
void failure_reset(struct worker *w);

/* --- explain.c --- */

void note_action(struct tg_fleet *f, const struct tg_action *a, int64_t now_ms);

/* --- fleet.c --- */

struct workspace *workspace_get(struct tg_fleet *f, const char *name);
int32_t name_find(const struct name_id *table, const char *name);

#endif
