#ifndef TG_LOAD_H
#define TG_LOAD_H

#include "http/http.h"

/**
 * DOC: load tool
 *
 * Sends a bounded number of requests or jobs in a bounded time and prints what
 * became of them.
 */

enum mode { MODE_REQUESTS, MODE_DIRECT, MODE_JOBS };
enum key_kind { KEY_NONE, KEY_CALLER, KEY_ISSUED };

struct opts {
	const char *target, *mode, *service, *workspace, *method, *key, *az;
	const char *query;
	int64_t rate, concurrency, count, body_bytes, deadline_ms, seed;
	int64_t max_ms, job_ms;
};

enum outcome {
	OUTCOME_ANSWERED, /* whole answer of a backend server; job admitted */
	OUTCOME_NOT_RUN,
	OUTCOME_UNKNOWN,
	OUTCOME_ERROR, /* no answer of the target, or one without outcome */
	N_OUTCOMES,
};

/* struct call - one request from its arrival to its end */
struct call {
	struct load *load;
	int64_t number;
	int64_t arrival_us; /* when it was due; latency counts from here */
	char key[128], path[192];
	void *body;
	size_t body_bytes;
};

struct load {
	struct opts opts;
	enum mode mode;
	enum key_kind key;
	enum evhttp_cmd_type method;
	struct event_base *base;
	struct tg_http_client *http;
	struct event *timer;
	int64_t start_us, end_us, sent, in_flight;
	uint64_t outcomes[N_OUTCOMES];
	uint64_t statuses[600]; /* of whole answers */
	uint64_t wrong; /* answers that belong to another request */
	int64_t *latencies_us; /* of answered calls */
	size_t n_latencies;
};

/** request_start() - send a request; ends with call_done() */
void request_start(struct call *c);
/** job_start() - submit a job; ends with call_done() */
void job_start(struct call *c);
/** call_status() - count the status of a whole answer */
void call_status(struct call *c, const struct tg_http_result *r);
/** call_done() - count the outcome, free the call, go on */
void call_done(struct call *c, enum outcome outcome);
/** call_rng() - generator of a call: same seed and number, same values */
struct tg_rng call_rng(const struct call *c);
void report_print(struct load *l);

#endif
