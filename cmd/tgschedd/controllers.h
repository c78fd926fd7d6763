#ifndef TG_SCHEDD_CONTROLLERS_H
#define TG_SCHEDD_CONTROLLERS_H

#include "board.h"

/* Started in this order; the periods of some come from the settings. */
extern struct tg_controller election, renewal, outage;
extern const struct tg_controller serving, workers, rebuild, gangs, admission,
	decisions;

#endif
