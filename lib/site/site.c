#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "http/http.h"
#include "site/site.h"

const struct tg_event_info tg_site_events[] = {
#define TG_EVENT TG_EVENT_INFO
#include "site/events.def"
#undef TG_EVENT
	{ 0, TG_INFO, NULL },
};

/*
 * Only the limits take effect: the addresses are bound already.  With invalid
 * settings the previous ones stay in force.
 */
static void on_sighup(evutil_socket_t fd, short what, void *arg)
{
	struct tg_site *s = arg;
	struct tg_site_settings set;
	struct tg_findings f = { 0 };

	(void)fd;
	(void)what;
	if (s->ops->read_settings(s->path, &set, &f)) {
		tg_log(EV_SITE_RELOAD_FAILED, "place=%s fault=%s findings=%zu",
		       f.items[0].place, f.items[0].text, f.total);
	} else {
		s->set = set;
		tg_log(EV_SITE_RELOADED, "lease_max_ms=%lld stop_ms=%lld",
		       (long long)set.lease_max_ms, (long long)set.stop_ms);
	}
	tg_findings_free(&f);
}

void tg_site_log_open(const char *prog, const struct tg_port_ops *ops,
		      const struct tg_site_flags *flags,
		      const struct tg_event_info *events)
{
	tg_log_open(prog, flags->log_level);
	tg_log_set_fd(STDOUT_FILENO);
	tg_log_register(events);
	tg_log_register(ops->events);
	tg_log_register(tg_site_events);
	tg_log_register(tg_rpc_events);
	tg_log_register(tg_http_events);
}

int tg_site_open(struct tg_site *s, struct event_base *base,
		 const struct tg_port_ops *ops,
		 const struct tg_site_flags *flags)
{
	const char *path =
		flags->settings ? flags->settings : getenv(ops->settings_env);
	struct tg_findings f = { 0 };
	int err;

	memset(s, 0, sizeof(*s));
	s->base = base;
	s->ops = ops;
	s->path = path ? path : "";
	err = ops->read_settings(s->path, &s->set, &f);
	if (err)
		tg_findings_print(&f, stderr, "settings");
	tg_findings_free(&f);
	if (err)
		return -1;
	s->port = ops->open(base, &s->set);
	s->reload = evsignal_new(base, SIGHUP, on_sighup, s);
	event_add(s->reload, NULL);
	return 0;
}

void tg_site_close(struct tg_site *s)
{
	if (s->reload)
		event_free(s->reload);
	if (s->ops)
		s->ops->close(s->port);
	memset(s, 0, sizeof(*s));
}

/* Requests may take this share of the memory that the platform grants. */
#define MEMORY_SHARE 8

struct tg_http_limits tg_site_http_limits(const struct tg_site *s,
					  const struct tg_site_flags *flags,
					  int fds_share)
{
	struct tg_http_limits l = flags->http;

	if (!l.connections && s->set.fds_max)
		l.connections = s->set.fds_max / fds_share + 1;
	if (!l.buffered_bytes && s->set.memory_mb)
		l.buffered_bytes = (s->set.memory_mb << 20) / MEMORY_SHARE;
	return l;
}
