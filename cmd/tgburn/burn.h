#ifndef TG_BURN_H
#define TG_BURN_H

#include <uthash.h>

#include "doc/doc.h"
#include "http/http.h"

/** burn_main() - the whole tool, under the name @prog */
int burn_main(int argc, char **argv, const char *prog);

struct burn_opts {
	const char *platform, *document, *samples, *format, *svg;
	int64_t interval_ms, count, max_gap_ms, timeout_ms, top;
};

/* --- series.c --- */

enum burn_metric {
	BURN_TOTAL, /* all requests */
	BURN_ANSWERED,
	BURN_NOT_RUN,
	BURN_UNKNOWN,
	BURN_FAILED, /* not run, unknown, or a status of 500 and above */
	BURN_SLOW,
	BURN_N_METRICS,
};

/** struct burn_step - requests counted between two samples of an instance */
struct burn_step {
	int64_t from_ms, to_ms;
	double n;
	bool gap; /* the samples are too far apart to tell when */
};

/** struct burn_series - one counter of one instance */
struct burn_series {
	char key[320];
	char service[TG_NAME_MAX + 1], workspace[TG_NAME_MAX + 1];
	char instance[TG_NAME_MAX + 1];
	enum burn_metric metric;
	double last; /* value in the last sample, 0 if it was not there */
	double now; /* value in the sample being read */
	struct burn_step *steps;
	size_t n_steps;
	UT_hash_handle hh;
};

struct burn_instance {
	char name[TG_NAME_MAX + 1];
	char boot[TG_NAME_MAX + 1];
	int64_t at_ms; /* of its last sample */
	UT_hash_handle hh;
};

/** struct burn_interval - time between two samples of an instance */
struct burn_interval {
	int64_t from_ms, to_ms;
	bool gap;
};

/** struct burn_data - what all samples say */
struct burn_data {
	int64_t max_gap_ms;
	struct burn_series *series;
	struct burn_instance *instances;
	struct burn_instance *current; /* whose sample is being read */
	bool restarted, is_first;
	int64_t at_ms;
	struct burn_interval *intervals;
	size_t n_intervals;
	int64_t first_ms, last_ms; /* of all samples */
	size_t n_samples, n_missed, n_restarts, n_gaps, n_ignored;
};

/** burn_begin() - begin a sample; -1 if it is not later than the last one */
int burn_begin(struct burn_data *d, int64_t at_ms, const char *instance,
	       const char *boot);
/** burn_add() - a line of the text exposition; others are passed over */
void burn_add(struct burn_data *d, const char *line);
void burn_end(struct burn_data *d);
void burn_free(struct burn_data *d);
/** burn_sum() - requests of a series in a window, shared out evenly in a step
 */
double burn_sum(const struct burn_series *s, int64_t from_ms, int64_t to_ms);
/** burn_covered() - share of a window in which an instance has data */
double burn_covered(const struct burn_data *d, int64_t from_ms, int64_t to_ms);

/* --- samples.c --- */

/** burn_read() - read a file of samples; 0, or -1 if it can't be read */
int burn_read(struct burn_data *d, const char *path, const char *prog);
/** burn_record() - one sample from /metrics: read it, append it to @out */
void burn_record(struct burn_data *d, FILE *out, int64_t at_ms,
		 const char *instance, char *text);
void burn_record_missed(struct burn_data *d, FILE *out, int64_t at_ms,
			const char *instance);

/* --- fetch.c --- */

struct burn_fetch;
struct burn_fetch *burn_fetch_new(const struct burn_opts *opts);
void burn_fetch_free(struct burn_fetch *f);
/** burn_fetch_get() - body of a page, to be freed; NULL if it can't be had */
char *burn_fetch_get(struct burn_fetch *f, const char *addr, const char *uri);
void burn_fetch_sleep(struct burn_fetch *f, int64_t ms);

/** struct burn_target - an instance to collect from */
struct burn_target {
	char name[TG_NAME_MAX + 1];
	char addr[TG_ADDR_MAX + 1];
	char *text; /* metrics, NULL if missed */
};
/** burn_fetch_all() - metrics of all targets at once */
void burn_fetch_all(struct burn_fetch *f, struct burn_target *t, size_t n);

/* --- objectives.c --- */

/** burn_document() - document from a file, or from a daemon; NULL if none */
struct tg_doc *burn_document(struct burn_fetch *f, const char *path,
			     const char *addr, const char *prog);

/* --- report.c --- */

struct burn_window {
	const char *name;
	int64_t ms;
};
extern const struct burn_window burn_windows[];
#define BURN_N_WINDOWS 4

/** struct burn_pair - a service as called by a workspace */
struct burn_pair {
	char service[TG_NAME_MAX + 1], workspace[TG_NAME_MAX + 1];
};
/** burn_pairs() - all pairs, sorted; to be freed */
struct burn_pair *burn_pairs(const struct burn_data *d, size_t *n);
/** burn_count() - requests of a pair in a window over all instances */
double burn_count(const struct burn_data *d, const struct burn_pair *p,
		  enum burn_metric m, int64_t from_ms, int64_t to_ms);
void burn_report_text(const struct burn_data *d, const struct tg_doc *doc,
		      size_t top, FILE *out);
void burn_report_csv(const struct burn_data *d, const struct tg_doc *doc,
		     FILE *out);

/* --- svg.c --- */

void burn_svg(const struct burn_data *d, const struct tg_doc *doc, FILE *out);

#endif
