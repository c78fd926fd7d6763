#include <string.h>

#include "http/http.h"
#include "member/member.h"

void tg_member_log_open(const char *prog, const char *level,
			const struct tg_event_info *events)
{
	tg_log_open(prog, level);
	tg_log_register(tg_http_events);
	tg_log_register(tg_rpc_events);
	tg_log_register(tg_plat_events);
	tg_log_register(tg_doc_events);
	tg_log_register(tg_member_events);
	tg_log_register(events);
}

void tg_member_warn_unsafe(int event, const struct tg_setting *settings,
			   const void *opts)
{
	const struct tg_setting *i;

	for (i = settings; i->flag; i++)
		if (!strncmp(i->flag, "unsafe-", strlen("unsafe-")) &&
		    *(const bool *)((const char *)opts + i->offset))
			tg_log(event, "flag=--%s", i->flag);
}
