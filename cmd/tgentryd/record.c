#include <stdlib.h>
#include <string.h>

#include "entryd.h"

#define RETRY_MS 1000
/* Bodies up to this size are in the row, docs/design.md section 6. */
#define INLINE_BYTES 8192
/* Outcomes that wait for the table, for instance in an outage. */
#define WAITING_BYTES_MAX (8 << 20)

/* An outcome on its way into the table. */
struct record {
	struct entryd *entryd;
	char *row_key;
	char *object; /* holds the body, or NULL */
	char *body; /* until the object is stored */
	size_t body_bytes;
	uint64_t version;
	json_t *row;
	bool stored; /* the object is */
	bool in_flight, delayed;
	int64_t next_try_ms;
	struct record *prev, *next;
};

static void free_record(struct record *r)
{
	struct entryd *d = r->entryd;

	if (r->prev)
		r->prev->next = r->next;
	else
		d->records = r->next;
	if (r->next)
		r->next->prev = r->prev;
	d->n_records--;
	d->record_bytes -= r->body_bytes;
	json_decref(r->row);
	free(r->row_key);
	free(r->object);
	free(r->body);
	free(r);
}

static void log_lost(const struct record *r, const char *why)
{
	tg_log(EV_ENTRY_RECORD_LOST, "row=%s why=%s", r->row_key, why);
}

static void try_later(struct record *r)
{
	r->next_try_ms = tg_now_ms() + RETRY_MS;
	if (!r->delayed)
		tg_log(EV_ENTRY_RECORD_DELAYED, "row=%s", r->row_key);
	r->delayed = true;
}

static void on_row_written(enum tg_plat_end end, const struct tg_row *rows,
			   size_t n, void *arg)
{
	struct record *r = arg;
	const char *state = n ?
		json_string_value(json_object_get(rows[0].value, "state")) :
		NULL;

	r->in_flight = false;
	if (end == TG_PLAT_UNAVAILABLE || end == TG_PLAT_UNKNOWN) {
		try_later(r);
		return;
	}
	/* A write whose answer was lost for long may have done it. */
	if (end == TG_PLAT_CONFLICT && (!state || strcmp(state, "done") != 0))
		log_lost(r, "conflict");
	else if (end == TG_PLAT_INVALID)
		log_lost(r, "invalid");
	free_record(r);
}

static void write_row(struct record *r)
{
	struct tg_txn *t = tg_txn_new(r->entryd->plat);

	tg_txn_if(t, r->row_key, r->version);
	tg_txn_put(t, r->row_key, json_incref(r->row));
	r->in_flight = true;
	tg_txn_commit(t, on_row_written, r);
}

static void on_stored(enum tg_plat_end end, const void *body, size_t n,
		      void *arg)
{
	struct record *r = arg;

	(void)body;
	(void)n;
	r->in_flight = false;
	if (end == TG_PLAT_INVALID) {
		log_lost(r, "object");
		free_record(r);
	} else if (end != TG_PLAT_OK) {
		try_later(r);
	} else {
		r->stored = true;
		write_row(r);
	}
}

static void proceed(struct record *r)
{
	if (!r->object || r->stored) {
		write_row(r);
		return;
	}
	r->in_flight = true;
	tg_object_put(r->entryd->plat, r->object, r->body, r->body_bytes,
		      on_stored, r);
}

/* A row holds text only. */
static json_t *inline_body(const struct outcome *o)
{
	if (o->body_bytes > INLINE_BYTES ||
	    (o->body_bytes && memchr(o->body, '\0', o->body_bytes)))
		return NULL;
	return json_stringn(o->body ? o->body : "", o->body_bytes);
}

static void fill_row(struct record *r, const struct outcome *o)
{
	json_t *body = inline_body(o);
	char token[TG_TOKEN_LEN + 1];

	json_object_set_new(r->row, "state", json_string("done"));
	json_object_set_new(r->row, "status", json_integer(o->status));
	if (o->content_type)
		json_object_set_new(r->row, "content_type",
				    json_string(o->content_type));
	if (body) {
		json_object_set_new(r->row, "body", body);
		return;
	}
	tg_token(token);
	r->object = tg_xasprintf("outcomes/%s", token);
	json_object_set_new(r->row, "object", json_string(r->object));
	r->body = tg_xcalloc(1, o->body_bytes + 1);
	memcpy(r->body, o->body, o->body_bytes);
	r->body_bytes = o->body_bytes;
}

void record_outcome(struct entryd *d, const char *workspace, const char *key,
		    uint64_t version, json_t *row, const struct outcome *o)
{
	struct record *r = tg_xcalloc(1, sizeof(*r));

	r->entryd = d;
	r->row_key = claim_row_key(workspace, key);
	r->version = version;
	r->row = row;
	r->next = d->records;
	if (r->next)
		r->next->prev = r;
	d->records = r;
	d->n_records++;
	fill_row(r, o);
	d->record_bytes += r->body_bytes;
	if (!d->plat || d->record_bytes > WAITING_BYTES_MAX) {
		log_lost(r, "too many wait");
		free_record(r);
		return;
	}
	proceed(r);
}

bool record_parse(const json_t *row, struct outcome *o, const char **object)
{
	const char *state = json_string_value(json_object_get(row, "state"));
	const char *type =
		json_string_value(json_object_get(row, "content_type"));
	json_t *body = json_object_get(row, "body");
	json_int_t status = json_integer_value(json_object_get(row, "status"));

	memset(o, 0, sizeof(*o));
	*object = json_string_value(json_object_get(row, "object"));
	if (!state || strcmp(state, "done") != 0 || status < 100 ||
	    status > 599 || (!json_is_string(body) && !*object))
		return false;
	o->kind = TG_RPC_ANSWERED;
	o->status = (int)status;
	o->content_type = type ? tg_xstrdup(type) : NULL;
	if (json_is_string(body))
		outcome_set_body(o, json_string_value(body),
				 json_string_length(body));
	return true;
}

/* A recorded outcome whose body is being loaded. */
struct load {
	struct outcome outcome;
	void (*done)(struct outcome *o, void *arg);
	void *arg;
};

static void on_object(enum tg_plat_end end, const void *body, size_t n,
		      void *arg)
{
	struct load *l = arg;

	if (end == TG_PLAT_OK)
		outcome_set_body(&l->outcome, body, n);
	l->done(end == TG_PLAT_OK ? &l->outcome : NULL, l->arg);
	outcome_free(&l->outcome);
	free(l);
}

void record_load(struct entryd *d, const json_t *row,
		 void (*done)(struct outcome *o, void *arg), void *arg)
{
	struct load *l = tg_xcalloc(1, sizeof(*l));
	const char *object = NULL;
	bool ok = record_parse(row, &l->outcome, &object);

	l->done = done;
	l->arg = arg;
	if (ok && object) {
		tg_object_get(d->plat, object, on_object, l);
		return;
	}
	done(ok ? &l->outcome : NULL, arg);
	outcome_free(&l->outcome);
	free(l);
}

static void tick(void *entryd, int64_t now_ms)
{
	struct entryd *d = entryd;
	struct record *r, *next;

	for (r = d->records; r; r = next) {
		next = r->next;
		if (!r->in_flight && now_ms >= r->next_try_ms)
			proceed(r);
	}
}

static bool drain(void *entryd, int64_t now_ms)
{
	struct entryd *d = entryd;

	return !d->records ||
		(d->drain_write_end_ms && now_ms >= d->drain_write_end_ms);
}

static void stop(void *entryd)
{
	struct entryd *d = entryd;

	while (d->records) {
		log_lost(d->records, "stopped");
		free_record(d->records);
	}
}

const struct tg_controller records_controller = {
	.name = "records",
	.period_ms = 200,
	.tick = tick,
	.drain = drain,
	.stop = stop,
};
