#ifndef TG_SCHEDD_FAULT_H
#define TG_SCHEDD_FAULT_H

#include "board.h"

/** fault_pause() - stop this process once if --pause-at names @point */
void fault_pause(struct board *b, const char *point, const char *job);
/** fault_check() - findings in the fault switches */
void fault_check(const struct options *o, struct tg_findings *f);

#endif
