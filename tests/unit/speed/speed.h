#ifndef TEST_SPEED_H
#define TEST_SPEED_H

#include <check.h>

#include "flow/estimate.h"
#include "port/port.h"

/** speeds_row_tcase() - tests of test-speeds-row.c */
TCase *speeds_row_tcase(void);
/** accounts_row_tcase() - tests of test-accounts-row.c */
TCase *accounts_row_tcase(void);
/** speeds_row_deliver() - call the callback of the watch that was opened last
 */
void speeds_row_deliver(const struct tg_row *row, void *arg);

#endif
