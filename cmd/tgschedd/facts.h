#ifndef TG_SCHEDD_FACTS_H
#define TG_SCHEDD_FACTS_H

#include "board.h"

/**
 * DOC: facts for the decisions
 *
 * Records workers, guarantees, quotas and jobs of the board in the fleet.
 */

void facts_new_fleet(struct board *b);
/** facts_add_worker() - worker of the instance list */
void facts_add_worker(struct board *b, struct worker *w);
void facts_set_doc(struct board *b);
void facts_set_health(struct board *b, int64_t now_ms);
/** facts_submit() - queued job; -1 with findings if it can never run */
int facts_submit(struct board *b, struct job *j, struct tg_findings *f);
void facts_adopt(struct board *b, struct job *j, int64_t now_ms);
/** facts_stopped() - the gang is gone and its job is queued again */
void facts_stopped(struct board *b, struct job *j, int64_t now_ms);
void facts_done(struct board *b, struct job *j, int64_t now_ms);
void facts_cancel(struct board *b, struct job *j, int64_t now_ms);

#endif
