#ifndef TEST_PLATFORM_ODD_H
#define TEST_PLATFORM_ODD_H

#include <check.h>

/** odd_tcase() - tests of test-odd.c */
TCase *odd_tcase(void);

#endif
