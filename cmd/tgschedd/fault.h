#ifndef TG_SCHEDD_FAULT_H
#define TG_SCHEDD_FAULT_H

#include "board.h"

/**
 * fault_pause() - suspend this process once by SIGSTOP
 * @point: only if --pause-at names this point
 * @job: for the log
 */
void fault_pause(struct board *b, const char *point, const char *job);
/** fault_check() - add a finding if --pause-at is invalid */
void fault_check(const struct options *o, struct tg_findings *f);

#endif
