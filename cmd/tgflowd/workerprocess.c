#include "workerprocess.h"

/*
 * If the known process has not answered since the call began, whoever answers
 * the call has run after it.
 */
static bool is_later_than_known(const struct process_signs *s)
{
	return s->answers_at_call == s->answers;
}

enum process_sign process_sign_of(const struct process_signs *s)
{
	if (!s->known_boot_ms || !s->boot_ms || s->boot_ms == s->known_boot_ms)
		return PROCESS_ANSWERS;
	return is_later_than_known(s) ? PROCESS_REPLACED : PROCESS_UNORDERED;
}

bool process_lost_address(const struct process_signs *s)
{
	return s->known_boot_ms && s->at_its_address && is_later_than_known(s);
}
