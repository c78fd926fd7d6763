#include <stdlib.h>

#include "load.h"

static int by_value(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a, y = *(const int64_t *)b;

	return (x > y) - (x < y);
}

static long long quantile(const struct load *l, double q)
{
	size_t at = (size_t)(q * (double)l->n_latencies);

	if (!l->n_latencies)
		return 0;
	return l->latencies_us[at < l->n_latencies ? at : l->n_latencies - 1];
}

/* Latencies are those of answered calls: refusals are quicker. */
void report_print(struct load *l)
{
	static const char *const names[] = { "answered", "not_run", "unknown",
					     "error" };
	double s = (double)(l->end_us - l->start_us) / 1e6;
	int i;

	qsort(l->latencies_us, l->n_latencies, sizeof(*l->latencies_us),
	      by_value);
	printf("sent %lld calls\n", (long long)l->sent);
	for (i = 0; i < N_OUTCOMES; i++)
		printf("%s %llu calls\n", names[i],
		       (unsigned long long)l->outcomes[i]);
	for (i = 0; i < (int)ARRAY_SIZE(l->statuses); i++)
		if (l->statuses[i])
			printf("status_%d %llu answers\n", i,
			       (unsigned long long)l->statuses[i]);
	printf("wrong %llu answers\n", (unsigned long long)l->wrong);
	printf("elapsed %.3f s\n", s);
	printf("rps %.1f calls/s\n", s > 0 ? (double)l->n_latencies / s : 0.0);
	printf("p50_us %lld us\n", quantile(l, 0.5));
	printf("p90_us %lld us\n", quantile(l, 0.9));
	printf("p99_us %lld us\n", quantile(l, 0.99));
	printf("max_us %lld us\n", quantile(l, 1.0));
}
