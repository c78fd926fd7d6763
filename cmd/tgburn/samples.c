#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "burn.h"

/*
 * A file of samples is plain text.  A sample is a line "sample AT_MS INSTANCE
 * BOOT" and the lines of /metrics that the report uses; "missed AT_MS INSTANCE"
 * records an instance that did not reply.
 */

#define LINE_MAX_BYTES 1024

/* Whether a line of the text format is of a metric in the report. */
static bool is_report_metric(const char *line)
{
	static const char *const names[] = { "tg_requests_total{",
					     "tg_requests_failed_total{",
					     "tg_requests_slow_total{" };
	size_t i;

	for (i = 0; i < ARRAY_SIZE(names); i++)
		if (!strncmp(line, names[i], strlen(names[i])))
			return true;
	return false;
}

/* Gets the id of the process from the metrics, "-" if there is none. */
static void get_boot(const char *text, char *boot)
{
	static const char info[] = "tg_process_info{";
	const char *s = strstr(text, info);
	size_t n;

	tg_strlcpy(boot, "-", TG_NAME_MAX + 1);
	s = s ? strstr(s, "boot=\"") : NULL;
	if (!s)
		return;
	s += strlen("boot=\"");
	n = strcspn(s, "\"\n");
	if (!n || n > TG_NAME_MAX || s[n] != '"')
		return;
	memcpy(boot, s, n);
	boot[n] = '\0';
}

void burn_record_sample(struct burn_data *d, FILE *out, int64_t at_ms,
			const char *instance, char *text)
{
	char boot[TG_NAME_MAX + 1], *save = NULL, *line;

	get_boot(text, boot);
	if (burn_sample_begin(d, at_ms, instance, boot)) {
		d->n_ignored++;
		return;
	}
	if (out)
		fprintf(out, "sample %lld %s %s\n", (long long)at_ms, instance,
			boot);
	for (line = strtok_r(text, "\n", &save); line;
	     line = strtok_r(NULL, "\n", &save)) {
		if (!is_report_metric(line))
			continue;
		burn_sample_add_line(d, line);
		if (out)
			fprintf(out, "%s\n", line);
	}
	burn_sample_end(d);
	if (out)
		fflush(out);
}

void burn_record_missed(struct burn_data *d, FILE *out, int64_t at_ms,
			const char *instance)
{
	d->n_missed++;
	if (out)
		fprintf(out, "missed %lld %s\n", (long long)at_ms, instance);
}

/* Handles a "sample" or "missed" line.  Returns whether a sample has begun. */
static bool begin_sample_line(struct burn_data *d, const char *line)
{
	char instance[TG_NAME_MAX + 1], boot[TG_NAME_MAX + 1], more;
	long long at_ms;

	if (sscanf(line, "missed %lld %63s %c", &at_ms, instance, &more) == 2) {
		d->n_missed++;
		return false;
	}
	if (sscanf(line, "sample %lld %63s %63s %c", &at_ms, instance, boot,
		   &more) == 3 &&
	    at_ms > 0 && !burn_sample_begin(d, at_ms, instance, boot))
		return true;
	d->n_ignored++;
	return false;
}

static void read_line(struct burn_data *d, char *line, bool *in_sample,
		      const char *path, size_t line_number, const char *prog)
{
	size_t ignored = d->n_ignored;

	if (is_report_metric(line)) {
		if (*in_sample)
			burn_sample_add_line(d, line);
		else
			d->n_ignored++;
	} else if (*line && *line != '#' && strncmp(line, "tg_", 3) != 0) {
		if (*in_sample)
			burn_sample_end(d);
		*in_sample = begin_sample_line(d, line);
	}
	if (d->n_ignored != ignored)
		fprintf(stderr, "%s: %s:%zu: not a valid line, ignored\n", prog,
			path, line_number);
}

int burn_read_samples(struct burn_data *d, const char *path, const char *prog)
{
	FILE *in = fopen(path, "r");
	char line[LINE_MAX_BYTES];
	bool in_sample = false;
	size_t line_number = 0;

	if (!in && errno == ENOENT)
		return 0; /* created when the first sample is appended */
	if (!in) {
		fprintf(stderr, "%s: %s: %s\n", prog, path, strerror(errno));
		return -1;
	}
	while (fgets(line, sizeof(line), in)) {
		line_number++;
		line[strcspn(line, "\n")] = '\0';
		read_line(d, line, &in_sample, path, line_number, prog);
	}
	if (in_sample)
		burn_sample_end(d);
	fclose(in);
	return 0;
}
