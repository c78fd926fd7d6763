#ifndef TG_UNIT_RUN_H
#define TG_UNIT_RUN_H

#include <check.h>
#include <stdlib.h>

/** run_suite() - run and free a suite; the status that main() returns */
static inline int run_suite(Suite *s)
{
	SRunner *r = srunner_create(s);
	int failed;

	srunner_run_all(r, CK_ENV);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}

#endif
