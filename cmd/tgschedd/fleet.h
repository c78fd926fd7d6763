#ifndef TG_SCHEDD_FLEET_H
#define TG_SCHEDD_FLEET_H

#include "board.h"

/**
 * DOC: facts for the decisions
 *
 * Records workers, guarantees, quotas and jobs of the board in the fleet.
 */

void fleet_rebuild(struct board *b);
/** facts_add_worker() - worker of the instance list */
void fleet_add_worker(struct board *b, struct worker *w);
void fleet_set_document(struct board *b);
void fleet_update_health(struct board *b, int64_t now_ms);
/** facts_submit() - queued job; -1 with findings if it can never run */
int fleet_submit_job(struct board *b, struct job *j, struct tg_findings *f);
void fleet_adopt_job(struct board *b, struct job *j, int64_t now_ms);
/** facts_stopped() - the gang is gone and its job is queued again */
void fleet_job_stopped(struct board *b, struct job *j, int64_t now_ms);
void fleet_job_done(struct board *b, struct job *j, int64_t now_ms);
void fleet_remove_job(struct board *b, struct job *j, int64_t now_ms);

#endif
