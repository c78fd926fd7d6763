#include <signal.h>
#include <string.h>

#include "fault.h"

static const char *const pause_points[] = { "reserve", "commit", "start" };

void fault_pause(struct board *b, const char *point, const char *job)
{
	if (b->paused_once || !b->opts->pause_at ||
	    strcmp(b->opts->pause_at, point) != 0)
		return;
	b->paused_once = true;
	tg_log(EV_SCHED_PAUSE, "at=%s job=%s", point, job);
	raise(SIGSTOP);
}

void fault_check(const struct options *o, struct tg_findings *f)
{
	size_t i;

	if (!o->pause_at)
		return;
	for (i = 0; i < ARRAY_SIZE(pause_points); i++)
		if (!strcmp(pause_points[i], o->pause_at))
			return;
	tg_findings_add(f, "--pause-at", "not reserve, commit or start");
}
