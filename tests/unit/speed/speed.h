#ifndef TEST_SPEED_H
#define TEST_SPEED_H

#include <check.h>

#include "flow/estimate.h"

/** speeds_row_tcase() - tests of test-speeds-row.c */
TCase *speeds_row_tcase(void);

#endif
