#ifndef TG_SCHEDD_SPEC_H
#define TG_SCHEDD_SPEC_H

#include "board.h"

/**
 * spec_parse() - parse and check the body of a submission
 * @in: object as sent by the caller
 * @az: AZ of this scheduler; "any" and a missing az become it
 * @spec: result
 * @f: one finding for each fault, with its JSON pointer
 *
 * Return: the normalized object (new reference), which is what two submissions
 * of one job are compared by; NULL with findings.
 */
json_t *spec_parse(const json_t *in, const char *az, struct job_spec *spec,
		   struct tg_findings *f);
void spec_to_fleet(const struct job *j, const char *az,
		   struct tg_job_spec *out);

#endif
