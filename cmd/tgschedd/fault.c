#include <signal.h>
#include <string.h>

#include "fault.h"

static const char *const points[] = { "reserve", "commit", "start" };

void fault_pause(struct board *b, const char *point, const char *job)
{
	if (b->paused_once || !b->opts->pause_at ||
	    strcmp(b->opts->pause_at, point) != 0)
		return;
	b->paused_once = true;
	tg_log(EV_SCHED_PAUSE, "at=%s job=%s", point, job);
	raise(SIGSTOP);
}

void fault_warn(const struct options *o)
{
	const struct {
		bool on;
		const char *flag;
	} all[] = {
		{ o->unsafe_ignore_epoch, "unsafe-ignore-epoch" },
		{ o->unsafe_start_before_reserved,
		  "unsafe-start-before-reserved" },
		{ o->unsafe_renew_partial_gangs, "unsafe-renew-partial-gangs" },
		{ o->unsafe_no_outage_renewal, "unsafe-no-outage-renewal" },
		{ o->unsafe_restart_before_expiry,
		  "unsafe-restart-before-expiry" },
		{ o->unsafe_reuse_attempts, "unsafe-reuse-attempts" },
		{ o->unsafe_ignore_holder, "unsafe-ignore-holder" },
		{ o->unsafe_ignore_renewers, "unsafe-ignore-renewers" },
	};
	size_t i;

	for (i = 0; i < ARRAY_SIZE(all); i++)
		if (all[i].on)
			tg_log(EV_SCHED_UNSAFE, "flag=--%s", all[i].flag);
}

void fault_check(const struct options *o, struct tg_findings *f)
{
	size_t i;

	if (!o->pause_at)
		return;
	for (i = 0; i < ARRAY_SIZE(points); i++)
		if (!strcmp(points[i], o->pause_at))
			return;
	tg_findings_add(f, "--pause-at", "not reserve, commit or start");
}
