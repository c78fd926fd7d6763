#ifndef WORKERD_H
#define WORKERD_H

#include "../common/hold.h"
#include "http/http.h"

/**
 * DOC: stand-in of a worker
 *
 * Agent and backend server of docs/platform-contract.md.  Tasks are timers.
 * Faults and the log of what ran are under /standin/ on the agent.
 */

enum {
#define TG_EVENT TG_EVENT_ENUM
#include "events.def"
#undef TG_EVENT
};

#define JOB_MAX 200
#define CHECKPOINT_MAX 255

struct opts {
	const char *http_addr, *service_addr, *platform, *name, *az, *rack;
	const char *log_level, *log_file;
	int64_t cores, memory_gb, accelerators, slots, connections;
	int64_t clock_offset_ms, linger_ms, drain_grace_ms, drain_max_ms;
};

struct faults {
	bool fail_tasks; /* a task fails when it starts */
	bool refuse_starts; /* start_failed, the reservation stays */
	bool hang_service; /* requests run and keep their slot, no answer */
	bool close_after_read; /* requests run, then the connection closes */
	bool undelimited; /* half of the answer, no length, then a close */
	bool cut; /* calls are accepted and have no effect and no answer */
	bool draining;
	bool lose_renewals; /* a renew_all takes effect without an answer */
	bool no_renew_all; /* renew_all is unknown, as in older workers */
	int64_t service_delay_ms; /* added to the time in a slot */
	int64_t answer_late_ms; /* from the end of the run to the answer */
};

enum lease_state { LEASE_RESERVED, LEASE_RUNNING, LEASE_ENDED };

struct lease {
	char job[JOB_MAX + 1];
	int64_t attempt, index, gang_size, epoch, expires_ms;
	char workspace[TG_NAME_MAX + 1], class[TG_NAME_MAX + 1];
	int64_t accelerators, cores, memory_gb;
	char checkpoint[CHECKPOINT_MAX + 1];
	enum lease_state state;
	const char *reason; /* of an ended lease */
	int64_t run_ms; /* time that the task takes */
	bool fail;
	int64_t percent;
	double progress_ms;
	int64_t last_ms; /* instant that progress_ms holds for */
	int64_t usage_seq; /* number of the last change of its usage */
	struct lease *next;
};

/* struct lines - bounded log, one JSON text per entry */
struct lines {
	char **items;
	size_t n, dropped;
};

struct run;

struct board {
	struct opts opts;
	struct event_base *base;
	struct tg_http_server *agent, *service;
	struct tg_http_client *client;
	FILE *log_file; /* entries that survive a kill; may be NULL */
	struct faults faults;
	char boot[TG_TOKEN_LEN + 1];
	int64_t epoch;
	struct lease *leases;
	struct run *runs; /* service requests in progress */
	int64_t in_use, last_run;
	int64_t ended_at_ms; /* when the last lease ended */
	int64_t usage_seq; /* changes of usage since the start */
	struct lines requests, tasks, refused;
	int64_t refused_requests;
	int64_t renewals, renewals_all; /* that succeeded */
	/* registration with the platform */
	const char *registered, *wanted, *sending;
	int64_t registered_ms, draining_since_ms, removing_since_ms;
};

/** worker_now_ms() - the worker's clock, unlike that of other workers */
int64_t worker_now_ms(const struct board *b);
bool worker_draining(const struct board *b);

void lines_add(struct lines *l, json_t *v);
/**
 * log_file_open() - append to --log-file, if given; 0 or -1
 *
 * Every line is written at once, so that a worker that is killed leaves a
 * whole record.
 */
int log_file_open(struct board *b);
/** log_file_add() - one JSON line of @kind with the worker's name and boot */
void log_file_add(struct board *b, const char *kind, const json_t *v);
void faults_set(struct evhttp_request *req, void *arg);
void reply_log(struct evhttp_request *req, void *arg);
void reply_stats(struct evhttp_request *req, void *arg);

/** leases_advance() - end what is done or has expired by now */
void leases_advance(struct board *b);
/** leases_active() - leases that hold capacity */
size_t leases_active(const struct board *b);
json_t *leases_json(const struct board *b);
json_t *leases_free_json(const struct board *b);
json_t *leases_ended_json(const struct board *b);
/** leases_usage_json() - usage that changed after change number @after */
json_t *leases_usage_json(const struct board *b, int64_t after);
/** lease_op() - carry out a valid operation; its result */
json_t *lease_op(struct board *b, const json_t *op);

void agent_epoch(struct evhttp_request *req, void *arg);
void agent_state(struct evhttp_request *req, void *arg);
void agent_commands(struct evhttp_request *req, void *arg);
void agent_probe(struct evhttp_request *req, void *arg);

void service_request(struct evhttp_request *req, void *arg);
/** service_running_json() - log entries of the requests in progress */
void service_running_json(const struct board *b, json_t *list);

/** register_tick() - tell the platform the wanted state, and every 5 s */
void register_tick(struct board *b);

#endif
