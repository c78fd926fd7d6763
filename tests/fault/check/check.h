#ifndef FAULTCHECK_H
#define FAULTCHECK_H

#include <jansson.h>

#include "base/base.h"

/**
 * DOC: checks the history of a random fault run
 *
 * The history has one JSON object per line, in any order of kinds.  Times are
 * of the machine's monotonic clock.  Each violation is a line on stderr; their
 * number is printed on stdout.
 */

struct check {
	const char *history;
	int64_t lease_ms, gang_margin_ms, drain_grace_ms;
	json_t *lines;
	long violations;
};

/** violation() - count and print one */
void violation(struct check *c, const char *name, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));
/** history_load() - 0, or -1 after a diagnosis */
int history_load(struct check *c);
/** line_is() - whether the line is of that kind */
bool line_is(const json_t *line, const char *kind);
/** line_text() - text of a field, "" if absent */
const char *line_text(const json_t *line, const char *field);
/** line_int() - number of a field, 0 if absent */
int64_t line_int(const json_t *line, const char *field);

/** check_requests() - what callers were told against what ran */
void check_requests(struct check *c);
/** check_leaving() - requests at leaving workers */
void check_leaving(struct check *c);
/** check_gangs() - attempts and members of jobs by the workers' leases */
void check_gangs(struct check *c);
/** check_jobs() - what callers were told of jobs against what ran */
void check_jobs(struct check *c);
/** check_again() - jobs that ran again after they were done */
void check_again(struct check *c);
/** check_stops() - planned stops of daemons against the calls in progress */
void check_stops(struct check *c);
/** check_outage() - gangs that ended although they could have been renewed */
void check_outage(struct check *c);
/** check_documents() - generations and saves */
void check_documents(struct check *c);

#endif
