#ifndef TG_SCHEDD_CONTROLLERS_H
#define TG_SCHEDD_CONTROLLERS_H

#include "board.h"

/* Started in the order in main.c, which sets the periods of the first three. */
extern struct tg_controller election, renewal, outage;
extern const struct tg_controller serving, workers, rebuild, gangs, admission,
	decisions;

#endif
