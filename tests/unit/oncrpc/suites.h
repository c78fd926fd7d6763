#ifndef TEST_ONCRPC_SUITES_H
#define TEST_ONCRPC_SUITES_H

#include <check.h>

/** server_tcase() - tests of test-server.c */
TCase *server_tcase(void);

#endif
