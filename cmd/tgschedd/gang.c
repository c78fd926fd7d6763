#include "gang.h"

static enum gang_state from_reserving(const struct gang_inputs *f)
{
	if (f->failed || f->stop || f->start_timed_out)
		return GANG_STOPPING;
	return f->reserved == f->members ? GANG_COMMITTING : GANG_RESERVING;
}

static enum gang_state from_committing(const struct gang_inputs *f)
{
	switch (f->commit) {
	case COMMIT_OK:
		break;
	case COMMIT_FAILED:
	case COMMIT_UNKNOWN:
		return GANG_STOPPING;
	default:
		return GANG_COMMITTING;
	}
	return f->failed || f->stop ? GANG_STOPPING : GANG_STARTING;
}

static enum gang_state from_starting(const struct gang_inputs *f)
{
	/* After a takeover; there is nothing left to stop or to run again. */
	if (f->done == f->members)
		return GANG_RUNNING;
	if (f->failed || f->stop || f->start_timed_out)
		return GANG_STOPPING;
	return f->running + f->done == f->members ? GANG_RUNNING :
						    GANG_STARTING;
}

static enum gang_state from_running(const struct gang_inputs *f)
{
	if (f->done == f->members)
		return GANG_RECORDING;
	return f->failed || f->stop ? GANG_STOPPING : GANG_RUNNING;
}

enum gang_state gang_next_state(enum gang_state s, const struct gang_inputs *f)
{
	switch (s) {
	case GANG_NONE:
		return s;
	case GANG_RESERVING:
		return from_reserving(f);
	case GANG_COMMITTING:
		return from_committing(f);
	case GANG_STARTING:
		return from_starting(f);
	case GANG_RUNNING:
		return from_running(f);
	case GANG_STOPPING:
		/* Tasks may have completed before the stop reached them. */
		return f->gone == f->members || f->done == f->members ?
			GANG_RECORDING :
			s;
	case GANG_RECORDING:
		if (!f->recorded)
			return s;
		return f->gone == f->members ? GANG_NONE : GANG_RELEASING;
	case GANG_RELEASING:
		return f->gone == f->members ? GANG_NONE : s;
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
