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
