#ifndef TG_SCHEDD_FLEET_H
#define TG_SCHEDD_FLEET_H

#include "board.h"

/**
 * DOC: fleet of the decision library
 *
 * Mirrors the board's workers, guarantees, quotas and jobs into the fleet that
 * lib/decide decides on.
 */

/** fleet_rebuild() - new fleet with the listed workers and the document */
void fleet_rebuild(struct board *b);
/** fleet_add_worker() - add a worker; no effect if it is in the fleet */
void fleet_add_worker(struct board *b, struct worker *w);
/** fleet_set_document() - apply guarantees and quotas of the document */
void fleet_set_document(struct board *b);
/** fleet_update_health() - record the current health of all workers */
void fleet_update_health(struct board *b, int64_t now_ms);
/**
 * fleet_submit_job() - add a queued job
 * @f: findings if the fleet refuses the job; with NULL the first one becomes
 *the reason of the job
 *
 * Return: 0, or -1 if the fleet refuses the job, for instance because it can
 * never run there.
 */
int fleet_submit_job(struct board *b, struct job *j, struct tg_findings *f);
/** fleet_adopt_job() - add a job that is running already, after a takeover */
void fleet_adopt_job(struct board *b, struct job *j, int64_t now_ms);
/** fleet_job_stopped() - the gang is gone and its job is queued again */
void fleet_job_stopped(struct board *b, struct job *j, int64_t now_ms);
void fleet_job_done(struct board *b, struct job *j, int64_t now_ms);
/** fleet_remove_job() - remove a job that is cancelled, parked or not stored */
void fleet_remove_job(struct board *b, struct job *j, int64_t now_ms);

#endif
