#include <log4c.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>
#include <uthash.h>

#include "base/base.h"

#define EVENT_TABLES_MAX 16
#define MESSAGE_MAX 1024

static const struct tg_event_info base_events[] = {
#define TG_EVENT TG_EVENT_INFO
#include "base/events.def"
#undef TG_EVENT
	{ 0, TG_INFO, NULL },
};

static const struct tg_event_info *event_tables[EVENT_TABLES_MAX] = {
	base_events
};
static int n_event_tables = 1;
static const char *program = "tg";
static log4c_category_t *category;
static int log_fd = STDERR_FILENO;

/* Rate limit of one event; @lines and @dropped belong to @second. */
struct rate_window {
	int number;
	int64_t second;
	uint32_t lines, dropped;
	UT_hash_handle hh;
};

static struct rate_window *rate_windows;

static const int priorities[] = {
	[TG_DEBUG] = LOG4C_PRIORITY_DEBUG,
	[TG_INFO] = LOG4C_PRIORITY_INFO,
	[TG_WARN] = LOG4C_PRIORITY_WARN,
	[TG_ERROR] = LOG4C_PRIORITY_ERROR,
};

static const char *format_line(const log4c_layout_t *layout,
			       const log4c_logging_event_t *e)
{
	/* With the time, the program and the text of the event. */
	static char line[MESSAGE_MAX + 512];
	char timestamp[32] = "";
	struct tm tm;
	time_t t = e->evt_timestamp.tv_sec;

	(void)layout;
	gmtime_r(&t, &tm);
	strftime(timestamp, sizeof(timestamp), "%Y-%m-%dT%H:%M:%S", &tm);
	snprintf(line, sizeof(line), "%s.%03dZ %s %s %s\n", timestamp,
		 (int)(e->evt_timestamp.tv_usec / 1000),
		 log4c_priority_to_string(e->evt_priority), program,
		 e->evt_msg);
	return line;
}

static const log4c_layout_type_t layout_type = { "tg", format_line };

static void count_dropped(const char *why)
{
	char labels[32];

	snprintf(labels, sizeof(labels), "why=\"%s\"", why);
	tg_counter("tg_log_dropped_total", "log lines not written", labels)
		->value++;
}

/* Used in place of log4c's stream appender, which prefixes each line. */
static int append_line(log4c_appender_t *appender,
		       const log4c_logging_event_t *e)
{
	struct pollfd p = { .fd = log_fd, .events = POLLOUT };
	size_t n = strlen(e->evt_rendered_msg);

	(void)appender;
	/* Lines are shorter than PIPE_BUF, so a writable pipe takes it all. */
	if (poll(&p, 1, 0) == 1 && (p.revents & POLLOUT) &&
	    write(log_fd, e->evt_rendered_msg, n) == (ssize_t)n)
		return 0;
	count_dropped("blocked");
	return -1;
}

static const log4c_appender_type_t appender_type = { "tg", NULL, append_line,
						     NULL };

static int parse_level(const char *level)
{
	if (!strcmp(level, "debug"))
		return LOG4C_PRIORITY_DEBUG;
	if (!strcmp(level, "warn"))
		return LOG4C_PRIORITY_WARN;
	if (!strcmp(level, "error"))
		return LOG4C_PRIORITY_ERROR;
	return LOG4C_PRIORITY_INFO;
}

void tg_log_open(const char *prog, const char *level)
{
	log4c_appender_t *appender = log4c_appender_get("tg");
	log4c_layout_t *layout = log4c_layout_get("tg");

	program = prog;
	category = log4c_category_get("tg");
	log4c_layout_set_type(layout, &layout_type);
	log4c_appender_set_type(appender, &appender_type);
	log4c_appender_set_layout(appender, layout);
	log4c_category_set_appender(category, appender);
	log4c_category_set_additivity(category, 0);
	log4c_category_set_priority(category, parse_level(level));
}

void tg_log_set_fd(int fd)
{
	log_fd = fd;
}

void tg_log_register(const struct tg_event_info *table)
{
	if (n_event_tables < EVENT_TABLES_MAX)
		event_tables[n_event_tables++] = table;
}

static const struct tg_event_info *find_event(int number)
{
	static const struct tg_event_info unknown = { 0, TG_ERROR,
						      "unregistered event" };
	const struct tg_event_info *e;
	int i;

	for (i = 0; i < n_event_tables; i++)
		for (e = event_tables[i]; e->number; e++)
			if (e->number == number)
				return e;
	return &unknown;
}

/*
 * Counts a line against the rate limit of its event.  Returns false if the line
 * must be dropped.  The first line in a later second reports the lines dropped
 * before it.
 */
static bool admit_line(int number)
{
	int64_t second = tg_now_ms() / 1000;
	uint32_t dropped = 0;
	struct rate_window *w;

	HASH_FIND_INT(rate_windows, &number, w);
	if (!w) {
		w = tg_xcalloc(1, sizeof(*w));
		w->number = number;
		HASH_ADD_INT(rate_windows, number, w);
	}
	if (w->second != second) {
		dropped = w->dropped;
		w->second = second;
		w->lines = w->dropped = 0;
	}
	if (dropped)
		tg_log(EV_LOG_DROPPED, "event=EV%04d lines=%u", number,
		       dropped);
	if (w->lines >= TG_LOG_LINES_PER_S) {
		w->dropped++;
		count_dropped("rate");
		return false;
	}
	w->lines++;
	return true;
}

void tg_log(int number, const char *fmt, ...)
{
	const struct tg_event_info *e = find_event(number);
	char text[MESSAGE_MAX];
	va_list ap;
	char *p;

	if (!category ||
	    !log4c_category_is_priority_enabled(category,
						priorities[e->level]) ||
	    !admit_line(number))
		return;
	va_start(ap, fmt);
	if (vsnprintf(text, sizeof(text), fmt, ap) >= (int)sizeof(text))
		tg_utf8_trim(text);
	va_end(ap);
	for (p = text; *p; p++)
		if ((unsigned char)*p < ' ' || *p == 127)
			*p = '?';
	log4c_category_log(category, priorities[e->level], "EV%04d %s%s%s",
			   number, e->text, *text ? " " : "", text);
}
