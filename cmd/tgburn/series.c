#include <stdlib.h>
#include <string.h>

#include "burn.h"

#define LABELS_MAX 256

static struct burn_instance *get_instance(struct burn_data *d, const char *name)
{
	struct burn_instance *i;

	HASH_FIND_STR(d->instances, name, i);
	if (i)
		return i;
	i = tg_xcalloc(1, sizeof(*i));
	tg_strlcpy(i->name, name, sizeof(i->name));
	HASH_ADD_STR(d->instances, name, i);
	return i;
}

int burn_sample_begin(struct burn_data *d, int64_t at_ms, const char *instance,
		      const char *boot)
{
	struct burn_instance *i = get_instance(d, instance);
	struct burn_series *s, *tmp;

	if (i->last_ms && at_ms <= i->last_ms)
		return -1;
	d->cur_instance = i;
	d->at_ms = at_ms;
	d->first_of_instance = !i->last_ms;
	d->counters_reset = !d->first_of_instance && strcmp(i->boot, boot) != 0;
	tg_strlcpy(i->boot, boot, sizeof(i->boot));
	HASH_ITER(hh, d->series, s, tmp)
		s->value = 0;
	return 0;
}

static enum burn_metric parse_metric(const char *name, size_t n,
				     const char *outcome)
{
	static const struct {
		const char *name;
		enum burn_metric metric;
	} outcomes[] = { { "answered", BURN_ANSWERED },
			 { "not-run", BURN_NOT_RUN },
			 { "unknown", BURN_UNKNOWN } };
	static const char total[] = "tg_requests_total";
	static const char failed[] = "tg_requests_failed_total";
	static const char slow[] = "tg_requests_slow_total";
	size_t i;

	if (n == strlen(failed) && !strncmp(name, failed, n))
		return BURN_FAILED;
	if (n == strlen(slow) && !strncmp(name, slow, n))
		return BURN_SLOW;
	if (n == strlen(total) && !strncmp(name, total, n))
		for (i = 0; i < ARRAY_SIZE(outcomes); i++)
			if (!strcmp(outcomes[i].name, outcome))
				return outcomes[i].metric;
	return BURN_N_METRICS;
}

/*
 * Copies the value of a label.  Names and outcomes contain no characters that
 * the text format escapes.
 */
static bool get_label(const char *labels, const char *name, char *out)
{
	char pattern[32];
	const char *s;
	size_t n;

	*out = '\0';
	snprintf(pattern, sizeof(pattern), "%s=\"", name);
	s = strstr(labels, pattern);
	if (!s)
		return false;
	s += strlen(pattern);
	n = strcspn(s, "\"");
	if (n > TG_NAME_MAX || !s[n])
		return false;
	memcpy(out, s, n);
	out[n] = '\0';
	return true;
}

static struct burn_series *get_series(struct burn_data *d, const char *service,
				      const char *workspace,
				      enum burn_metric metric)
{
	struct burn_series *s;
	char key[sizeof(s->key)];

	snprintf(key, sizeof(key), "%s/%s/%s/%d", service, workspace,
		 d->cur_instance->name, (int)metric);
	HASH_FIND_STR(d->series, key, s);
	if (s)
		return s;
	s = tg_xcalloc(1, sizeof(*s));
	tg_strlcpy(s->key, key, sizeof(s->key));
	tg_strlcpy(s->service, service, sizeof(s->service));
	tg_strlcpy(s->workspace, workspace, sizeof(s->workspace));
	tg_strlcpy(s->instance, d->cur_instance->name, sizeof(s->instance));
	s->metric = metric;
	HASH_ADD_STR(d->series, key, s);
	return s;
}

void burn_sample_add_line(struct burn_data *d, const char *line)
{
	char service[TG_NAME_MAX + 1], workspace[TG_NAME_MAX + 1];
	char outcome[TG_NAME_MAX + 1], labels[LABELS_MAX];
	const char *open = strchr(line, '{');
	const char *close = open ? strchr(open, '}') : NULL;
	enum burn_metric metric;
	double value;
	char *end;

	if (!close || (size_t)(close - open) >= sizeof(labels)) {
		d->n_ignored++;
		return;
	}
	memcpy(labels, open + 1, (size_t)(close - open) - 1);
	labels[close - open - 1] = '\0';
	get_label(labels, "outcome", outcome);
	metric = parse_metric(line, (size_t)(open - line), outcome);
	if (metric == BURN_N_METRICS ||
	    !get_label(labels, "service", service) ||
	    !get_label(labels, "workspace", workspace))
		return;
	value = strtod(close + 1, &end);
	if (end == close + 1 || !(value >= 0 && value < 1e18)) {
		d->n_ignored++;
		return;
	}
	get_series(d, service, workspace, metric)->value = value;
	if (metric <= BURN_UNKNOWN)
		get_series(d, service, workspace, BURN_TOTAL)->value += value;
}

static bool is_of_cur_instance(const struct burn_data *d,
			       const struct burn_series *s)
{
	return !strcmp(s->instance, d->cur_instance->name);
}

static void add_increment(struct burn_data *d, struct burn_series *s,
			  bool is_gap)
{
	double n = d->counters_reset ? s->value : s->value - s->prev_value;

	s->prev_value = s->value;
	if (d->first_of_instance || n <= 0)
		return;
	s->increments = tg_xrealloc(
		s->increments, (s->n_increments + 1) * sizeof(*s->increments));
	s->increments[s->n_increments++] = (struct burn_increment){
		.from_ms = d->cur_instance->last_ms,
		.to_ms = d->at_ms,
		.count = n,
		.is_gap = is_gap,
	};
}

static void add_interval(struct burn_data *d, bool is_gap)
{
	d->intervals = tg_xrealloc(
		d->intervals, (d->n_intervals + 1) * sizeof(*d->intervals));
	d->intervals[d->n_intervals++] = (struct burn_interval){
		.from_ms = d->cur_instance->last_ms,
		.to_ms = d->at_ms,
		.is_gap = is_gap,
	};
	d->n_gaps += is_gap;
	d->n_restarts += d->counters_reset;
}

void burn_sample_end(struct burn_data *d)
{
	bool is_gap = d->at_ms - d->cur_instance->last_ms > d->max_gap_ms;
	struct burn_series *s, *tmp;

	/* A decreased counter shows a restart even if the boot id is unknown.
	 */
	HASH_ITER(hh, d->series, s, tmp)
		if (is_of_cur_instance(d, s) && s->value < s->prev_value)
			d->counters_reset = true;
	HASH_ITER(hh, d->series, s, tmp)
		if (is_of_cur_instance(d, s))
			add_increment(d, s, is_gap);
	if (!d->first_of_instance)
		add_interval(d, is_gap);
	d->cur_instance->last_ms = d->at_ms;
	if (!d->n_samples++ || d->at_ms < d->first_ms)
		d->first_ms = d->at_ms;
	if (d->at_ms > d->last_ms)
		d->last_ms = d->at_ms;
	d->cur_instance = NULL;
}

void burn_data_free(struct burn_data *d)
{
	struct burn_instance *i, *next_i;
	struct burn_series *s, *next_s;

	HASH_ITER(hh, d->series, s, next_s) {
		HASH_DEL(d->series, s);
		free(s->increments);
		free(s);
	}
	HASH_ITER(hh, d->instances, i, next_i) {
		HASH_DEL(d->instances, i);
		free(i);
	}
	free(d->intervals);
}

static int64_t overlap(int64_t from_a, int64_t to_a, int64_t from_b,
		       int64_t to_b)
{
	int64_t from = from_a > from_b ? from_a : from_b;
	int64_t to = to_a < to_b ? to_a : to_b;

	return to > from ? to - from : 0;
}

double burn_series_sum(const struct burn_series *s, int64_t from_ms,
		       int64_t to_ms)
{
	double sum = 0;
	size_t i;

	for (i = 0; i < s->n_increments; i++) {
		const struct burn_increment *t = &s->increments[i];
		int64_t length_ms = t->to_ms - t->from_ms;
		int64_t overlap_ms =
			overlap(t->from_ms, t->to_ms, from_ms, to_ms);

		if (!t->is_gap || overlap_ms == length_ms)
			sum += t->count * (double)overlap_ms /
				(double)length_ms;
	}
	return sum;
}

static int compare_start(const void *a, const void *b)
{
	const struct burn_interval *x = a, *y = b;

	return (x->from_ms > y->from_ms) - (x->from_ms < y->from_ms);
}

double burn_coverage(const struct burn_data *d, int64_t from_ms, int64_t to_ms)
{
	int64_t covered = 0, covered_to_ms = from_ms;
	size_t i;

	qsort(d->intervals, d->n_intervals, sizeof(*d->intervals),
	      compare_start);
	for (i = 0; i < d->n_intervals; i++) {
		const struct burn_interval *v = &d->intervals[i];

		if (v->is_gap)
			continue;
		covered += overlap(v->from_ms, v->to_ms, covered_to_ms, to_ms);
		if (v->to_ms > covered_to_ms)
			covered_to_ms = v->to_ms;
	}
	return (double)covered / (double)(to_ms - from_ms);
}
