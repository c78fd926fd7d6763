#ifndef TG_SCHEDD_CONTROLLERS_H
#define TG_SCHEDD_CONTROLLERS_H

#include "board.h"

/* main.c gives their order and sets the periods of those that are not const. */
extern struct tg_controller election, renewal, outage;
extern const struct tg_controller serving, workers, rebuild, gangs, admission,
	decisions;

#endif
