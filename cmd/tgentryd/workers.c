#include <stdlib.h>
#include <string.h>

#include "board.h"
#include "route.h"

/*
 * How long the state that a worker reported itself takes precedence over the
 * instance list.  Five probes at the default period, so that a few lost notes
 * do not matter.
 */
#define SELF_REPORT_VALID_MS 10000
/*
 * After this time a worker that refused a request as full gets requests again
 * even if it has sent no report.
 */
#define FULL_RETRY_MS 100
/* Consecutive failures from which a worker counts as failing. */
#define FAILURE_THRESHOLD 3
/* The timer of a call may expire this much before the deadline. */
#define TIMER_SLACK_MS 10
/*
 * How long a worker counts as failing: the minimum at FAILURE_THRESHOLD,
 * doubled by each further failure up to the maximum.
 */
#define FAILING_MIN_MS 1000
#define FAILING_MAX_MS 30000
#define CANDIDATES_MAX 2048

static struct worker *get_or_add_worker(struct board *b, const char *name)
{
	struct worker *w;

	HASH_FIND_STR(b->workers, name, w);
	if (w)
		return w;
	w = tg_xcalloc(1, sizeof(*w));
	tg_strlcpy(w->name, name, sizeof(w->name));
	HASH_ADD_STR(b->workers, name, w);
	return w;
}

static void apply_instance(struct board *b, const struct tg_instance *instance)
{
	struct worker *w;

	if (instance->kind != TG_KIND_WORKER ||
	    !tg_addr_valid(instance->addr) ||
	    !tg_addr_valid(instance->service_addr))
		return;
	w = get_or_add_worker(b, instance->name);
	/*
	 * Another address means another worker of the same name, to which the
	 * stored state does not apply.
	 */
	if (strcmp(w->addr, instance->addr) != 0) {
		w->self_report_ms = 0;
		w->self_reported_draining = false;
		w->observed_ms = w->leaving_reply_ms = 0;
		w->down = false;
		w->failures = 0;
		w->failing_until_ms = 0;
		/* Notes on the former worker may still arrive. */
		w->boot[0] = '\0';
		w->probe_wanted = *w->addr != '\0';
	}
	tg_strlcpy(w->az, instance->az, sizeof(w->az));
	tg_strlcpy(w->addr, instance->addr, sizeof(w->addr));
	tg_strlcpy(w->service_addr, instance->service_addr,
		   sizeof(w->service_addr));
	w->slots = (uint32_t)instance->slots;
	w->connections = (uint32_t)instance->connections;
	w->list_leaving = instance->leaving;
	w->listed = true;
}

/*
 * A worker that answers its probes counts as present even if it is not listed.
 */
bool worker_present(const struct worker *w, int64_t now_ms)
{
	return w->listed ||
		(!w->down && w->self_report_ms &&
		 now_ms - w->self_report_ms < SELF_REPORT_VALID_MS);
}

static void remove_absent(struct board *b)
{
	int64_t now_ms = tg_now_ms();
	struct worker *w, *next;

	HASH_ITER(hh, b->workers, w, next)
		if (!worker_present(w, now_ms) && !w->in_flight &&
		    !w->probe_in_flight) {
			HASH_DEL(b->workers, w);
			free(w);
		}
}

void workers_apply_document(struct board *b)
{
	const struct tg_doc *doc = tg_member_doc(b->member);
	struct worker *w, *next;

	HASH_ITER(hh, b->workers, w, next)
		w->doc_draining = doc && tg_doc_drains_worker(doc, w->name);
}

void workers_apply_instances(struct board *b, const struct tg_instance *list,
			     size_t n)
{
	struct worker *w, *next;
	size_t i;

	HASH_ITER(hh, b->workers, w, next)
		w->listed = false;
	for (i = 0; i < n; i++)
		apply_instance(b, &list[i]);
	remove_absent(b);
	workers_apply_document(b);
	services_dispatch_queued(b);
}

bool worker_draining(const struct worker *w, int64_t now_ms)
{
	if (w->doc_draining)
		return true;
	if (w->self_report_ms &&
	    now_ms - w->self_report_ms < SELF_REPORT_VALID_MS)
		return w->self_reported_draining;
	/*
	 * A worker that has begun to drain never stops draining before it is
	 * restarted.
	 */
	return w->list_leaving || w->self_reported_draining;
}

static bool is_usable(const struct board *b, const struct worker *w,
		      int64_t now_ms)
{
	if (w->down || !worker_present(w, now_ms))
		return false;
	return b->settings.unsafe_ignore_draining ||
		!worker_draining(w, now_ms);
}

static uint32_t request_cap(const struct worker *w, size_t entries)
{
	uint32_t cap = route_cap(w->slots, entries);

	if (tg_now_ms() < w->full_until_ms)
		return 0;
	return w->connections && w->connections < cap ? w->connections : cap;
}

static bool was_tried(const struct request *r, const struct worker *w)
{
	int i;

	for (i = 0; i < r->failed_attempts; i++)
		if (!strcmp(r->tried_workers[i], w->name))
			return true;
	return false;
}

/*
 * Collects the usable workers of the own AZ, or those of the other AZs of the
 * service: with @failing only those that are failing, else only the others.
 * Leaves out the workers that @r has tried; @r may be NULL.
 */
static size_t collect_workers(struct board *b, const struct request *r,
			      const struct tg_service *spec, bool own_az,
			      bool failing, struct worker **out)
{
	int64_t now_ms = tg_now_ms();
	struct worker *w, *next;
	size_t n = 0;

	if (own_az && !tg_service_in_az(spec, b->settings.az))
		return 0;
	HASH_ITER(hh, b->workers, w, next) {
		bool is_in_own_az = !strcmp(w->az, b->settings.az);

		if (n == CANDIDATES_MAX || is_in_own_az != own_az ||
		    !is_usable(b, w, now_ms))
			continue;
		if ((now_ms < w->failing_until_ms) != failing)
			continue;
		if (!own_az && !tg_service_in_az(spec, w->az))
			continue;
		if (r && was_tried(r, w))
			continue;
		out[n++] = w;
	}
	return n;
}

static size_t collect_preferred(struct board *b, const struct request *r,
				const struct tg_service *spec,
				struct worker **out)
{
	size_t n = collect_workers(b, r, spec, true, false, out);

	if (!n)
		n = collect_workers(b, r, spec, false, false, out);
	/*
	 * All workers may be failing because of the requests of one caller.
	 * They are used then, as otherwise the requests of all callers would be
	 * refused.
	 */
	if (!n)
		n = collect_workers(b, r, spec, true, true, out);
	return n ? n : collect_workers(b, r, spec, false, true, out);
}

struct worker *workers_choose(struct board *b, const struct request *r,
			      const struct tg_service *spec, bool *any_usable)
{
	static struct worker *list[CANDIDATES_MAX];
	static struct route_candidate c[CANDIDATES_MAX];
	size_t i, n = collect_preferred(b, r, spec, list);
	size_t entries = live_entry_count(b);
	int chosen;

	for (i = 0; i < n; i++)
		c[i] = (struct route_candidate){
			.load = list[i]->in_use_reported +
				list[i]->sent_since_report,
			.slots = list[i]->slots,
			.in_flight = list[i]->in_flight,
			.cap = request_cap(list[i], entries),
		};
	*any_usable = n > 0;
	chosen = route_choose(c, n, &b->rng);
	return chosen < 0 ? NULL : list[chosen];
}

uint32_t workers_capacity(const struct board *b, const struct tg_service *spec)
{
	static struct worker *list[CANDIDATES_MAX];
	size_t i, n = collect_preferred((struct board *)b, NULL, spec, list);
	size_t entries = live_entry_count(b);
	uint32_t sum = 0;

	for (i = 0; i < n; i++)
		sum += request_cap(list[i], entries);
	return sum;
}

bool worker_accept_observation(struct worker *w, const char *boot,
			       int64_t observed_ms)
{
	if (!strcmp(w->boot, boot) && observed_ms <= w->observed_ms)
		return false;
	w->observed_ms = observed_ms;
	return true;
}

void worker_apply_self_report(struct board *b, struct worker *w,
			      const char *boot, bool draining)
{
	bool restarted = boot && *boot && strcmp(w->boot, boot) != 0;

	if (restarted)
		tg_strlcpy(w->boot, boot, sizeof(w->boot));
	w->self_report_ms = tg_now_ms();
	if (draining == w->self_reported_draining)
		return;
	w->self_reported_draining = draining;
	w->note_due = b->notes_due = true;
	action_log(b, "worker %s draining %d", w->name, draining);
	tg_log(draining ? EV_ENTRY_WORKER_DRAINING : EV_ENTRY_WORKER_UP,
	       "worker=%s", w->name);
}

void worker_set_in_use(struct worker *w, uint32_t in_use)
{
	w->in_use_reported = in_use;
	w->sent_since_report = 0;
	w->report_seq++;
}

void worker_set_down(struct board *b, struct worker *w, bool down)
{
	if (w->down == down)
		return;
	w->down = down;
	w->note_due = b->notes_due = true;
	action_log(b, "worker %s down %d", w->name, down);
	tg_log(down ? EV_ENTRY_WORKER_DOWN : EV_ENTRY_WORKER_UP, "worker=%s",
	       w->name);
}

void worker_request_started(struct worker *w, struct request *r)
{
	r->worker = w;
	r->report_seq = w->report_seq;
	w->in_flight++;
	w->sent_since_report++;
}

/* A worker that can't be reached counts as failing at once. */
static void count_failure(struct board *b, struct worker *w, bool unreachable)
{
	int64_t ms = FAILING_MIN_MS;
	uint32_t i;

	w->failures = unreachable && w->failures < FAILURE_THRESHOLD ?
		FAILURE_THRESHOLD :
		w->failures + 1;
	if (w->failures < FAILURE_THRESHOLD)
		return;
	for (i = FAILURE_THRESHOLD; i < w->failures && ms < FAILING_MAX_MS; i++)
		ms *= 2;
	if (ms > FAILING_MAX_MS)
		ms = FAILING_MAX_MS;
	w->failing_until_ms = tg_now_ms() + ms;
	action_log(b, "worker %s failing for %lld ms", w->name, (long long)ms);
	tg_log(EV_ENTRY_WORKER_FAILING, "worker=%s for_ms=%lld", w->name,
	       (long long)ms);
}

/*
 * Whether a failed request is counted against the worker.  Time-outs caused by
 * a short deadline and answers that are too long are not: otherwise one caller
 * could make a backend server unavailable to all others.
 */
static bool is_worker_failure(const struct request *r,
			      const struct tg_http_result *res)
{
	switch (res->end) {
	case TG_HTTP_INCOMPLETE:
		return true;
	case TG_HTTP_TIMEOUT:
		return r->full_timeout;
	case TG_HTTP_NOT_CONNECTED:
		return r->full_timeout ||
			request_remaining_ms(r) > TIMER_SLACK_MS;
	default:
		return false;
	}
}

/*
 * A request that timed out or whose connection broke may still be running.  Its
 * slot counts as used until the next report if reports still arrive.
 */
static bool releases_slot(const struct worker *w,
			  const struct tg_http_result *res)
{
	return res->end == TG_HTTP_COMPLETE || !res->sent ||
		tg_now_ms() - w->self_report_ms >= SELF_REPORT_VALID_MS;
}

static void release_slot(struct worker *w, const struct request *r)
{
	if (r->report_seq == w->report_seq && w->sent_since_report)
		w->sent_since_report--;
	else if (r->report_seq != w->report_seq && w->in_use_reported)
		w->in_use_reported--;
}

void worker_request_ended(struct board *b, struct worker *w, struct request *r,
			  const struct tg_http_result *res)
{
	w->in_flight--;
	r->worker = NULL;
	if (releases_slot(w, res))
		release_slot(w, r);
	if (res->end != TG_HTTP_COMPLETE) {
		if (is_worker_failure(r, res))
			count_failure(b, w, res->end == TG_HTTP_NOT_CONNECTED);
		return;
	}
	w->failures = 0;
	if (evhttp_find_header(res->headers, "Tg-Draining")) {
		w->leaving_reply_ms = tg_now_ms();
		worker_apply_self_report(b, w, NULL, true);
	}
	/* The worker is full, even if its last report had free slots. */
	if (res->status == 503 &&
	    evhttp_find_header(res->headers, "Tg-Not-Run"))
		w->full_until_ms = tg_now_ms() + FULL_RETRY_MS;
}

json_t *workers_json(struct board *b)
{
	int64_t now_ms = tg_now_ms();
	json_t *list = json_array();
	struct worker *w, *next;

	HASH_ITER(hh, b->workers, w, next) {
		const char *state = "up";

		if (w->down)
			state = "down";
		else if (!worker_present(w, now_ms))
			state = "gone";
		else if (worker_draining(w, now_ms))
			state = "draining";
		else if (now_ms < w->failing_until_ms)
			state = "failing";
		json_array_append_new(
			list,
			json_pack("{s:s, s:s, s:s, s:s, s:i, s:i, s:i}",
				  "worker", w->name, "az", w->az, "state",
				  state, "service_addr", w->service_addr,
				  "slots", (int)w->slots, "slots_in_use",
				  (int)(w->in_use_reported +
					w->sent_since_report),
				  "own_requests", (int)w->in_flight));
	}
	return json_pack("{s:o}", "workers", list);
}

void workers_free(struct board *b)
{
	struct worker *w, *next;

	HASH_ITER(hh, b->workers, w, next) {
		HASH_DEL(b->workers, w);
		free(w);
	}
}

static void stop(void *board)
{
	workers_free(board);
}

const struct tg_controller workers_controller = {
	.name = "workers",
	.stop = stop,
};
