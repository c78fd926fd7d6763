#include <stdlib.h>
#include <string.h>

#include "burn.h"

const struct burn_window burn_windows[BURN_N_WINDOWS] = {
	{ "5m", 300000 },
	{ "1h", 3600000 },
	{ "6h", 21600000 },
	{ "3d", 259200000 },
};

static int compare_group(const void *a, const void *b)
{
	const struct burn_group *x = a, *y = b;
	int c = strcmp(x->service, y->service);

	return c ? c : strcmp(x->workspace, y->workspace);
}

struct burn_group *burn_list_groups(const struct burn_data *d, size_t *n)
{
	struct burn_group *list =
		tg_xcalloc(HASH_COUNT(d->series) + 1, sizeof(*list));
	struct burn_series *s, *tmp;
	size_t i, n_unique = 0;

	*n = 0;
	HASH_ITER(hh, d->series, s, tmp) {
		tg_strlcpy(list[*n].service, s->service,
			   sizeof(list[*n].service));
		tg_strlcpy(list[(*n)++].workspace, s->workspace,
			   sizeof(list[0].workspace));
	}
	qsort(list, *n, sizeof(*list), compare_group);
	for (i = 0; i < *n; i++)
		if (!n_unique ||
		    compare_group(&list[n_unique - 1], &list[i]) != 0)
			list[n_unique++] = list[i];
	*n = n_unique;
	return list;
}

double burn_group_sum(const struct burn_data *d, const struct burn_group *p,
		      enum burn_metric m, int64_t from_ms, int64_t to_ms)
{
	struct burn_series *s, *tmp;
	double sum = 0;

	HASH_ITER(hh, d->series, s, tmp)
		if (s->metric == m && !strcmp(s->service, p->service) &&
		    !strcmp(s->workspace, p->workspace))
			sum += burn_series_sum(s, from_ms, to_ms);
	return sum;
}

/* An objective and the counters that it is computed from. */
struct objective {
	const char *name;
	double target; /* required share of good requests; 0: no objective */
	enum burn_metric total, bad;
};

static size_t get_objectives(const struct tg_doc *doc,
			     const struct burn_group *p,
			     struct objective out[2])
{
	const struct tg_service *s =
		doc ? tg_doc_service(doc, p->service) : NULL;

	out[0] = (struct objective){ "availability", s ? s->availability : 0,
				     BURN_TOTAL, BURN_FAILED };
	out[1] = (struct objective){ "latency", s ? s->latency_share : 0,
				     BURN_ANSWERED, BURN_SLOW };
	return 2;
}

/*
 * Figures of one objective of one group in one window.  Shares are fractions of
 * 1.  A burn rate of 1 uses up the error budget, 1 - target, exactly.
 */
struct window_stats {
	double data_share, total, bad, bad_share, burn_rate, budget_left;
};

static struct window_stats compute_stats(const struct burn_data *d,
					 const struct burn_group *p,
					 const struct objective *o,
					 const struct burn_window *w)
{
	int64_t from_ms = d->last_ms - w->ms;
	struct window_stats r = { 0 };

	r.data_share = burn_coverage(d, from_ms, d->last_ms);
	r.total = burn_group_sum(d, p, o->total, from_ms, d->last_ms);
	r.bad = burn_group_sum(d, p, o->bad, from_ms, d->last_ms);
	r.bad_share = r.total > 0 ? r.bad / r.total : 0;
	if (o->target > 0) {
		r.burn_rate = r.bad_share / (1 - o->target);
		r.budget_left = 1 - r.burn_rate;
	}
	return r;
}

static void print_stats(const struct objective *o, const struct burn_window *w,
			const struct window_stats *r, FILE *out)
{
	if (r->total <= 0) {
		fprintf(out, "    %-3s %6.2f%%  no requests\n", w->name,
			100 * r->data_share);
		return;
	}
	fprintf(out, "    %-3s %6.2f%% %12.1f %10.1f %9.4f%%", w->name,
		100 * r->data_share, r->total, r->bad, 100 * r->bad_share);
	if (o->target > 0)
		fprintf(out, " %9.2f %10.1f%%\n", r->burn_rate,
			100 * r->budget_left);
	else
		fprintf(out, "         -           -\n");
}

static void print_objective(const struct burn_data *d,
			    const struct burn_group *p,
			    const struct objective *o, FILE *out)
{
	size_t i;

	if (o->target > 0)
		fprintf(out, "  %s, objective %.6g\n", o->name, o->target);
	else
		fprintf(out, "  %s, no objective\n", o->name);
	fprintf(out,
		"    window data     requests        bad      share"
		"      burn budget left\n");
	for (i = 0; i < BURN_N_WINDOWS; i++) {
		struct window_stats r =
			compute_stats(d, p, o, &burn_windows[i]);

		print_stats(o, &burn_windows[i], &r, out);
	}
}

struct cause {
	struct burn_group group;
	const char *instance, *text;
	double count;
};

static int compare_cause(const void *a, const void *b)
{
	const struct cause *x = a, *y = b;
	int c = compare_group(&x->group, &y->group);

	if (x->count != y->count)
		return x->count < y->count ? 1 : -1;
	if (!c)
		c = strcmp(x->instance, y->instance);
	return c ? c : strcmp(x->text, y->text);
}

/*
 * Failed requests that were answered: with a status of 500 and above.  They are
 * the failed ones less those that were not run or have an unknown outcome.
 */
static double count_error_statuses(const struct burn_data *d,
				   const struct burn_series *failed,
				   int64_t from_ms)
{
	double n = burn_series_sum(failed, from_ms, d->last_ms);
	struct burn_series *s, *tmp;

	HASH_ITER(hh, d->series, s, tmp)
		if ((s->metric == BURN_NOT_RUN || s->metric == BURN_UNKNOWN) &&
		    !strcmp(s->instance, failed->instance) &&
		    !strcmp(s->service, failed->service) &&
		    !strcmp(s->workspace, failed->workspace))
			n -= burn_series_sum(s, from_ms, d->last_ms);
	return n;
}

static size_t collect_causes(const struct burn_data *d, int64_t from_ms,
			     struct cause *out)
{
	/* Metrics without a text are not causes. */
	static const char *const names[BURN_N_METRICS] = {
		[BURN_NOT_RUN] = "not run",
		[BURN_UNKNOWN] = "unknown outcome",
		[BURN_FAILED] = "status of 500 and above",
		[BURN_SLOW] = "slow",
	};
	struct burn_series *s, *tmp;
	size_t n = 0;

	HASH_ITER(hh, d->series, s, tmp) {
		double count = s->metric == BURN_FAILED ?
			count_error_statuses(d, s, from_ms) :
			burn_series_sum(s, from_ms, d->last_ms);

		if (!names[s->metric] || count < 0.05)
			continue;
		out[n] = (struct cause){ .instance = s->instance,
					 .text = names[s->metric],
					 .count = count };
		tg_strlcpy(out[n].group.service, s->service, TG_NAME_MAX + 1);
		tg_strlcpy(out[n++].group.workspace, s->workspace,
			   TG_NAME_MAX + 1);
	}
	return n;
}

static void print_causes(const struct burn_data *d, size_t max_causes,
			 FILE *out)
{
	struct cause *list =
		tg_xcalloc(HASH_COUNT(d->series) + 1, sizeof(*list));
	const struct burn_window *w = &burn_windows[BURN_N_WINDOWS - 1];
	size_t n = collect_causes(d, d->last_ms - w->ms, list), i;

	qsort(list, n, sizeof(*list), compare_cause);
	fprintf(out, "top causes, %s\n", w->name);
	for (i = 0; i < n && i < max_causes; i++)
		fprintf(out, "  %10.1f  %s of %s at %s: %s\n", list[i].count,
			list[i].group.service, list[i].group.workspace,
			list[i].instance, list[i].text);
	if (!n)
		fprintf(out, "  none\n");
	free(list);
}

static void print_summary(const struct burn_data *d, FILE *out)
{
	char from[32], to[32];

	tg_format_utc(d->first_ms, from, sizeof(from));
	tg_format_utc(d->last_ms, to, sizeof(to));
	fprintf(out, "%zu samples of %u instances, %s to %s\n", d->n_samples,
		HASH_COUNT(d->instances), from, to);
	fprintf(out, "%zu restarts, %zu gaps, %zu missed, %zu lines ignored\n",
		d->n_restarts, d->n_gaps, d->n_missed, d->n_ignored);
}

static void print_gaps(const struct burn_data *d, FILE *out)
{
	char from[32], to[32];
	size_t i;

	for (i = 0; i < d->n_intervals; i++) {
		if (!d->intervals[i].is_gap)
			continue;
		tg_format_utc(d->intervals[i].from_ms, from, sizeof(from));
		tg_format_utc(d->intervals[i].to_ms, to, sizeof(to));
		fprintf(out, "  gap %s to %s\n", from, to);
	}
}

void burn_write_text(const struct burn_data *d, const struct tg_doc *doc,
		     size_t max_causes, FILE *out)
{
	struct objective o[2];
	size_t n, i, k, n_objectives;
	struct burn_group *groups = burn_list_groups(d, &n);

	print_summary(d, out);
	print_gaps(d, out);
	if (!doc)
		fprintf(out, "no document: burn rates need objectives\n");
	for (i = 0; i < n; i++) {
		fprintf(out, "\nservice %s, workspace %s\n", groups[i].service,
			groups[i].workspace);
		n_objectives = get_objectives(doc, &groups[i], o);
		for (k = 0; k < n_objectives; k++)
			print_objective(d, &groups[i], &o[k], out);
	}
	fprintf(out, "\n");
	print_causes(d, max_causes, out);
	free(groups);
}

void burn_write_csv(const struct burn_data *d, const struct tg_doc *doc,
		    FILE *out)
{
	struct objective o[2];
	size_t n, i, k, w, n_objectives;
	struct burn_group *groups = burn_list_groups(d, &n);

	fprintf(out,
		"service,workspace,objective,target,window,data_share,"
		"requests,bad,bad_share,burn,budget_left\n");
	for (i = 0; i < n; i++) {
		n_objectives = get_objectives(doc, &groups[i], o);
		for (k = 0; k < n_objectives; k++)
			for (w = 0; w < BURN_N_WINDOWS; w++) {
				struct window_stats r = compute_stats(
					d, &groups[i], &o[k], &burn_windows[w]);

				fprintf(out, "%s,%s,%s,", groups[i].service,
					groups[i].workspace, o[k].name);
				if (o[k].target > 0)
					fprintf(out, "%.6g", o[k].target);
				fprintf(out, ",%s,%.4f,%.1f,%.1f,%.6f,",
					burn_windows[w].name, r.data_share,
					r.total, r.bad, r.bad_share);
				if (o[k].target > 0 && r.total > 0)
					fprintf(out, "%.4f,%.4f\n", r.burn_rate,
						r.budget_left);
				else
					fprintf(out, ",\n");
			}
	}
	free(groups);
}
