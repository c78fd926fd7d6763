#include <time.h>

#include "base/base.h"

static int64_t read_clock_us(clockid_t id)
{
	struct timespec ts;

	clock_gettime(id, &ts);
	return (int64_t)ts.tv_sec * 1000000 + ts.tv_nsec / 1000;
}

/*
 * CLOCK_MONOTONIC stands still while a machine is suspended, so that leases and
 * permissions would seem to be valid for longer than they are.
 */
int64_t tg_now_us(void)
{
	return read_clock_us(CLOCK_BOOTTIME);
}

int64_t tg_now_ms(void)
{
	return tg_now_us() / 1000;
}

int64_t tg_wall_ms(void)
{
	return read_clock_us(CLOCK_REALTIME) / 1000;
}

int tg_parse_utc(const char *s, int64_t *wall_ms)
{
	struct tm tm = { 0 };
	struct tm normalized;
	time_t t;
	const char *end = strptime(s, "%Y-%m-%dT%H:%M:%SZ", &tm);

	if (!end || *end)
		return -1;
	normalized = tm;
	t = timegm(&normalized);
	/* timegm() normalizes invalid dates, such as 31 February. */
	if (normalized.tm_mday != tm.tm_mday || normalized.tm_mon != tm.tm_mon)
		return -1;
	*wall_ms = (int64_t)t * 1000;
	return 0;
}

void tg_format_utc(int64_t wall_ms, char *out, size_t size)
{
	time_t t = (time_t)(wall_ms / 1000);
	struct tm tm;

	gmtime_r(&t, &tm);
	if (!strftime(out, size, "%Y-%m-%dT%H:%M:%SZ", &tm) && size)
		out[0] = '\0';
}
