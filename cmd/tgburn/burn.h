#ifndef TG_BURN_H
#define TG_BURN_H

#include <uthash.h>

#include "doc/doc.h"
#include "http/http.h"

/**
 * burn_main() - run the program
 * @prog: program name in messages; tgctl runs it as "tgctl burn"
 *
 * Return: the exit status.
 */
int burn_main(int argc, char **argv, const char *prog);

struct burn_opts {
	const char *platform, *document, *samples, *format, *svg;
	int64_t interval_ms, count, max_gap_ms, timeout_ms, top;
};

/* --- series.c --- */

enum burn_metric {
	BURN_TOTAL, /* sum of answered, not run and unknown */
	BURN_ANSWERED,
	BURN_NOT_RUN,
	BURN_UNKNOWN,
	BURN_FAILED, /* not run, unknown, or a status of 500 and above */
	BURN_SLOW, /* answered, but later than the latency objective */
	BURN_N_METRICS,
};

/**
 * struct burn_increment - increase of a counter between two samples
 * @is_gap: the samples are more than --max-gap-ms apart, so it is unknown when
 *	the requests were made
 */
struct burn_increment {
	int64_t from_ms, to_ms; /* wall clock */
	double count;
	bool is_gap;
};

/**
 * struct burn_series - one counter of one instance
 * @key: "SERVICE/WORKSPACE/INSTANCE/METRIC"
 * @prev_value: value in the previous sample, 0 if the counter was absent
 * @value: value in the sample being read
 */
struct burn_series {
	char key[320];
	char service[TG_NAME_MAX + 1], workspace[TG_NAME_MAX + 1];
	char instance[TG_NAME_MAX + 1];
	enum burn_metric metric;
	double prev_value;
	double value;
	struct burn_increment *increments;
	size_t n_increments;
	UT_hash_handle hh;
};

/**
 * struct burn_instance - an instance that counters were sampled from
 * @boot: id of the process, which is new after a restart
 * @last_ms: time of the last sample, 0 before the first
 */
struct burn_instance {
	char name[TG_NAME_MAX + 1];
	char boot[TG_NAME_MAX + 1];
	int64_t last_ms;
	UT_hash_handle hh;
};

/** struct burn_interval - time between consecutive samples of an instance */
struct burn_interval {
	int64_t from_ms, to_ms;
	bool is_gap;
};

/**
 * struct burn_data - counters of all instances over time
 * @cur_instance: instance of the sample being read, NULL between samples
 * @counters_reset: that instance restarted since its previous sample, so its
 *	counters began again at 0
 * @first_of_instance: that sample is the first of its instance, so it gives
 *	no increments
 * @at_ms: time of that sample
 * @first_ms: time of the earliest sample of any instance
 * @last_ms: time of the latest sample of any instance
 * @n_missed: samples not taken as the instance did not reply
 * @n_ignored: lines that could not be parsed and samples out of order
 */
struct burn_data {
	int64_t max_gap_ms;
	struct burn_series *series;
	struct burn_instance *instances;
	struct burn_instance *cur_instance;
	bool counters_reset, first_of_instance;
	int64_t at_ms;
	struct burn_interval *intervals;
	size_t n_intervals;
	int64_t first_ms, last_ms;
	size_t n_samples, n_missed, n_restarts, n_gaps, n_ignored;
};

/**
 * burn_sample_begin() - begin a sample of an instance
 *
 * Return: 0; -1 if it is not later than the previous sample of the instance.
 */
int burn_sample_begin(struct burn_data *d, int64_t at_ms, const char *instance,
		      const char *boot);
/**
 * burn_sample_add_line() - add a line of the Prometheus text format
 *
 * Metrics that the report does not use are skipped; lines that can't be parsed
 * are counted in n_ignored.
 */
void burn_sample_add_line(struct burn_data *d, const char *line);
/** burn_sample_end() - end the current sample and compute its increments */
void burn_sample_end(struct burn_data *d);
void burn_data_free(struct burn_data *d);
/**
 * burn_series_sum() - requests of a series in a time window
 *
 * An increment that lies partly in the window counts in proportion to the
 * overlap, except a gap, which counts only if it lies wholly in the window.
 */
double burn_series_sum(const struct burn_series *s, int64_t from_ms,
		       int64_t to_ms);
/**
 * burn_coverage() - fraction of a time window for which any instance has data
 *
 * Sorts the intervals of @d.
 */
double burn_coverage(const struct burn_data *d, int64_t from_ms, int64_t to_ms);

/* --- samples.c --- */

/**
 * burn_read_samples() - read a file of samples
 *
 * A file that does not exist is read as empty.
 *
 * Return: 0; -1 after a message if the file can't be opened.
 */
int burn_read_samples(struct burn_data *d, const char *path, const char *prog);
/**
 * burn_record_sample() - add a sample from /metrics and append it to a file
 * @out: may be NULL
 * @text: reply body, which is modified
 */
void burn_record_sample(struct burn_data *d, FILE *out, int64_t at_ms,
			const char *instance, char *text);
/** burn_record_missed() - count a sample that an instance did not deliver */
void burn_record_missed(struct burn_data *d, FILE *out, int64_t at_ms,
			const char *instance);

/* --- fetch.c --- */

struct burn_fetcher;
struct burn_fetcher *burn_fetcher_new(const struct burn_opts *opts);
void burn_fetcher_free(struct burn_fetcher *f);
/**
 * burn_fetch_get() - GET a page and wait for the reply
 *
 * Return: body that the caller frees; NULL without a reply of status 200.
 */
char *burn_fetch_get(struct burn_fetcher *f, const char *addr, const char *uri);
void burn_fetch_sleep(struct burn_fetcher *f, int64_t ms);

/** struct burn_target - an instance whose metrics are fetched */
struct burn_target {
	char name[TG_NAME_MAX + 1];
	char addr[TG_ADDR_MAX + 1];
	char *text; /* reply body, NULL if there was none */
};
/**
 * burn_fetch_all() - fetch the metrics of all targets concurrently
 *
 * Sets the text of each target, which the caller frees.
 */
void burn_fetch_all(struct burn_fetcher *f, struct burn_target *t, size_t n);

/* --- objectives.c --- */

/**
 * burn_load_document() - load the document with the objectives
 * @path: file to read, or NULL
 * @addr: without @path, the entry daemon to fetch it from; may be NULL
 *
 * Return: document that the caller frees; NULL if there is none or, after a
 * message, if it is invalid.
 */
struct tg_doc *burn_load_document(struct burn_fetcher *f, const char *path,
				  const char *addr, const char *prog);

/* --- report.c --- */

struct burn_window {
	const char *name;
	int64_t ms;
};
extern const struct burn_window burn_windows[];
#define BURN_N_WINDOWS 4

/** struct burn_group - requests of one workspace to one service */
struct burn_group {
	char service[TG_NAME_MAX + 1], workspace[TG_NAME_MAX + 1];
};
/**
 * burn_list_groups() - list all groups, sorted by service and workspace
 *
 * Return: array of @n groups that the caller frees.
 */
struct burn_group *burn_list_groups(const struct burn_data *d, size_t *n);
/** burn_group_sum() - requests of a group in a window, over all instances */
double burn_group_sum(const struct burn_data *d, const struct burn_group *p,
		      enum burn_metric m, int64_t from_ms, int64_t to_ms);
void burn_write_text(const struct burn_data *d, const struct tg_doc *doc,
		     size_t max_causes, FILE *out);
void burn_write_csv(const struct burn_data *d, const struct tg_doc *doc,
		    FILE *out);

/* --- svg.c --- */

void burn_write_svg(const struct burn_data *d, const struct tg_doc *doc,
		    FILE *out);

#endif
