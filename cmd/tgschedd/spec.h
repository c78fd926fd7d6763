#ifndef TG_SCHEDD_SPEC_H
#define TG_SCHEDD_SPEC_H

#include "board.h"

/**
 * spec_parse() - parse and check the body of a submission
 * @in: body as sent by the caller
 * @az: AZ of this scheduler; replaces "any" and a missing az
 * @spec: result
 * @f: a finding for each fault, with its JSON pointer as place
 *
 * Return: the normalized object (new reference), by which repeated submissions
 * of a job are compared; NULL if there are findings.
 */
json_t *spec_parse(const json_t *in, const char *az, struct job_spec *spec,
		   struct tg_findings *f);
/**
 * spec_to_fleet() - convert the spec for the decision library
 * @out: borrows the strings of @j and @az
 */
void spec_to_fleet(const struct job *j, const char *az,
		   struct tg_job_spec *out);

#endif
