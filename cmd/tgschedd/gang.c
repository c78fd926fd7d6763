#include "gang.h"

static enum gang_state next_from_reserving(const struct gang_inputs *in)
{
	if (in->failed || in->stop || in->start_timed_out)
		return GANG_STOPPING;
	return in->reserved == in->members ? GANG_COMMITTING : GANG_RESERVING;
}

static enum gang_state next_from_committing(const struct gang_inputs *in)
{
	switch (in->commit) {
	case COMMIT_OK:
		break;
	case COMMIT_FAILED:
	case COMMIT_UNKNOWN:
		return GANG_STOPPING;
	default:
		return GANG_COMMITTING;
	}
	return in->failed || in->stop ? GANG_STOPPING : GANG_STARTING;
}

static enum gang_state next_from_starting(const struct gang_inputs *in)
{
	/*
	 * Found after a takeover.  It passes through GANG_RUNNING to be
	 * recorded as done; stopping it would run the job again.
	 */
	if (in->done == in->members)
		return GANG_RUNNING;
	if (in->failed || in->stop || in->start_timed_out)
		return GANG_STOPPING;
	return in->running + in->done == in->members ? GANG_RUNNING :
						       GANG_STARTING;
}

static enum gang_state next_from_running(const struct gang_inputs *in)
{
	if (in->done == in->members)
		return GANG_RECORDING;
	return in->failed || in->stop ? GANG_STOPPING : GANG_RUNNING;
}

enum gang_state gang_next_state(enum gang_state s, const struct gang_inputs *in)
{
	switch (s) {
	case GANG_NONE:
		return s;
	case GANG_RESERVING:
		return next_from_reserving(in);
	case GANG_COMMITTING:
		return next_from_committing(in);
	case GANG_STARTING:
		return next_from_starting(in);
	case GANG_RUNNING:
		return next_from_running(in);
	case GANG_STOPPING:
		/* All tasks may have completed before the stop reached them. */
		return in->gone == in->members || in->done == in->members ?
			GANG_RECORDING :
			s;
	case GANG_RECORDING:
		if (!in->recorded)
			return s;
		return in->gone == in->members ? GANG_NONE : GANG_RELEASING;
	case GANG_RELEASING:
		return in->gone == in->members ? GANG_NONE : s;
	}
	return s;
}

const char *gang_state_name(enum gang_state s)
{
	static const char *const names[] = {
		"none",	   "reserving", "committing", "starting",
		"running", "stopping",	"recording",  "releasing",
	};

	return names[s];
}
