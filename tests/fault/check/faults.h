#ifndef FAULTCHECK_FAULTS_H
#define FAULTCHECK_FAULTS_H

#include "check.h"

/**
 * fault_begin_ms() - first fault of a process that overlaps a time
 *
 * Only faults that its tasks or its part in control depend on count.
 *
 * Return: when it began, INT64_MAX if there is none.
 */
int64_t fault_begin_ms(const struct check *c, const char *name, int64_t from_ms,
		       int64_t to_ms);

#endif
