#include <stdlib.h>
#include <string.h>

#include "site/evacuations.h"

/*
 * A list is as old as the request for its first page.  While the store doesn't
 * answer, the list ages until nothing may be started.
 */

/* Time between two reads, if the bound leaves room for several. */
#define PERIOD_MS 1000
#define RETRY_MS 250
#define TIMEOUT_MS 700
/* Reads within the greatest age that a list may have. */
#define READS_PER_AGE 4
/* A call that is not carried out late reaches its worker within this time. */
#define CALL_ARRIVES_MS 1000

/** struct names - names of AZs, in the order of their keys */
struct names {
	char **items;
	size_t n;
};

struct tg_evacuations {
	struct tg_evacuations_opts opts;
	struct event *timer;
	struct names azs, reading;
	char *first_key, *end_key, *next_key;
	int64_t asked_ms; /* when the first page of the read was requested */
	int64_t read_ms; /* the same of the last complete read; 0 if none */
	struct call *call;
};

/** struct call - a read in progress; @list is NULL once nobody waits for it */
struct call {
	struct tg_evacuations *list;
};

static void request_page(struct tg_evacuations *e);

static void names_add(struct names *a, const char *name)
{
	a->items = tg_xrealloc(a->items, (a->n + 1) * sizeof(*a->items));
	a->items[a->n++] = tg_xstrdup(name);
}

static void names_clear(struct names *a)
{
	while (a->n)
		free(a->items[--a->n]);
	free(a->items);
	a->items = NULL;
}

static bool names_have(const struct names *a, const char *name)
{
	size_t i;

	for (i = 0; i < a->n; i++)
		if (!strcmp(a->items[i], name))
			return true;
	return false;
}

int64_t tg_evacuations_max_age_ms(int64_t bound_ms)
{
	return bound_ms > 2 * CALL_ARRIVES_MS ? bound_ms - CALL_ARRIVES_MS :
						bound_ms / 2;
}

static int64_t period_ms(const struct tg_evacuations *e)
{
	int64_t ms =
		tg_evacuations_max_age_ms(e->opts.bound_ms) / READS_PER_AGE;

	return ms < PERIOD_MS ? ms : PERIOD_MS;
}

static void schedule(struct tg_evacuations *e, int64_t ms)
{
	struct timeval tv = { .tv_sec = ms / 1000,
			      .tv_usec = (ms % 1000) * 1000 };

	event_add(e->timer, &tv);
}

/*
 * The key alone names the AZ, so that a row whose value can't be read is in
 * force as well.
 */
static void add_row(struct tg_evacuations *e, const struct tg_row *row)
{
	const char *prefix = e->opts.site->ops->evacuation_prefix;
	size_t n = strlen(prefix);
	const char *az = row->key + n;

	if (strncmp(row->key, prefix, n) != 0)
		return;
	if (!*az)
		tg_log(EV_ROW_BAD, "table=%s key=%s version=%lld",
		       e->opts.site->ops->document_table, row->key,
		       (long long)row->version);
	else if (!names_have(&e->reading, az))
		names_add(&e->reading, az);
}

static bool log_changes(const struct tg_evacuations *e)
{
	bool changed = false;
	size_t i;

	for (i = 0; i < e->reading.n; i++)
		if (!names_have(&e->azs, e->reading.items[i])) {
			tg_log(EV_EVACUATION_BEGUN, "az=%s list_age_ms=%lld",
			       e->reading.items[i],
			       (long long)(tg_now_ms() - e->asked_ms));
			changed = true;
		}
	for (i = 0; i < e->azs.n; i++)
		if (!names_have(&e->reading, e->azs.items[i])) {
			tg_log(EV_EVACUATION_ENDED, "az=%s list_age_ms=%lld",
			       e->azs.items[i],
			       (long long)(tg_now_ms() - e->asked_ms));
			changed = true;
		}
	return changed;
}

static void finish_read(struct tg_evacuations *e)
{
	bool changed = log_changes(e),
	     was_current = tg_evacuations_are_current(e);

	if (!was_current)
		tg_log(EV_EVACUATIONS_KNOWN, "azs=%zu previous_age_ms=%lld",
		       e->reading.n, (long long)tg_evacuations_age_ms(e));
	names_clear(&e->azs);
	e->azs = e->reading;
	e->reading = (struct names){ .n = 0 };
	e->read_ms = e->asked_ms;
	schedule(e, period_ms(e));
	if ((changed || !was_current) && e->opts.on_change)
		e->opts.on_change(e->opts.arg);
}

static void on_page(const struct tg_store_result *r, void *arg)
{
	struct call *c = arg;
	struct tg_evacuations *e = c->list;
	size_t i;

	free(c);
	if (!e)
		return;
	e->call = NULL;
	if (r->end != TG_STORE_OK) {
		schedule(e, RETRY_MS);
		return;
	}
	for (i = 0; i < r->n_rows; i++)
		add_row(e, &r->rows[i]);
	if (!r->more || !r->n_rows) {
		finish_read(e);
		return;
	}
	/* The next page begins with the last key of this one. */
	free(e->next_key);
	e->next_key = tg_xstrdup(r->rows[r->n_rows - 1].key);
	request_page(e);
}

static void request_page(struct tg_evacuations *e)
{
	const struct tg_port_ops *ops = e->opts.site->ops;
	struct tg_store_range range = {
		.table = ops->document_table,
		.part = "",
		.from = e->next_key ? e->next_key : e->first_key,
		.to = e->end_key,
		.timeout_ms = TIMEOUT_MS,
	};

	e->call = tg_xcalloc(1, sizeof(*e->call));
	e->call->list = e;
	ops->get(e->opts.site->port, &range, on_page, e->call);
}

static void on_timer(evutil_socket_t fd, short what, void *arg)
{
	struct tg_evacuations *e = arg;

	(void)fd;
	(void)what;
	names_clear(&e->reading);
	free(e->next_key);
	e->next_key = NULL;
	e->asked_ms = tg_now_ms();
	request_page(e);
}

struct tg_evacuations *tg_evacuations_new(const struct tg_evacuations_opts *o)
{
	struct tg_evacuations *e = tg_xcalloc(1, sizeof(*e));
	const char *prefix = o->site->ops->evacuation_prefix;

	e->opts = *o;
	e->first_key = tg_xstrdup(prefix);
	/* The first key after all that begin with the prefix. */
	e->end_key = tg_xstrdup(prefix);
	e->end_key[strlen(prefix) - 1]++;
	e->timer = event_new(o->site->base, -1, 0, on_timer, e);
	schedule(e, 0);
	return e;
}

void tg_evacuations_free(struct tg_evacuations *e)
{
	if (!e)
		return;
	if (e->call)
		e->call->list = NULL;
	event_free(e->timer);
	names_clear(&e->azs);
	names_clear(&e->reading);
	free(e->first_key);
	free(e->end_key);
	free(e->next_key);
	free(e);
}

int64_t tg_evacuations_age_ms(const struct tg_evacuations *e)
{
	return e->read_ms ? tg_now_ms() - e->read_ms : -1;
}

bool tg_evacuations_are_current(const struct tg_evacuations *e)
{
	return e->read_ms &&
		tg_evacuations_age_ms(e) <=
		tg_evacuations_max_age_ms(e->opts.bound_ms);
}

size_t tg_evacuations_azs(const struct tg_evacuations *e,
			  const char *const **azs)
{
	*azs = (const char *const *)e->azs.items;
	return e->azs.n;
}
