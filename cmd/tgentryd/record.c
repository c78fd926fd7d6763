#include <stdlib.h>
#include <string.h>

#include "board.h"

#define RECORD_RETRY_MS 1000
/*
 * Larger bodies are stored as an object and not in the row, see docs/design.md
 * section 6.
 */
#define INLINE_BODY_BYTES_MAX 8192
/*
 * Limit of the bodies in memory that wait for the object store, for instance
 * during an outage.
 */
#define PENDING_BYTES_MAX (8 << 20)

/**
 * struct record - outcome that is being written into the table
 * @object: name of the object for the body, or NULL if the row holds it
 * @body: body to be stored as an object, or NULL
 * @version: expected version of the row, 0 for absent
 * @delay_logged: the event of the delay was logged
 */
struct record {
	struct board *board;
	char *row_key;
	char *object;
	char *body;
	size_t body_bytes;
	uint64_t version;
	json_t *row;
	bool object_stored;
	bool in_flight, delay_logged;
	int64_t next_try_ms;
	struct record *prev, *next;
};

static void free_record(struct record *r)
{
	struct board *b = r->board;

	if (r->prev)
		r->prev->next = r->next;
	else
		b->records = r->next;
	if (r->next)
		r->next->prev = r->prev;
	b->n_records--;
	b->record_bytes -= r->body_bytes;
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

static void schedule_retry(struct record *r)
{
	r->next_try_ms = tg_now_ms() + RECORD_RETRY_MS;
	if (!r->delay_logged)
		tg_log(EV_ENTRY_RECORD_DELAYED, "row=%s", r->row_key);
	r->delay_logged = true;
}

static void on_row_written(enum tg_plat_result end, const struct tg_row *rows,
			   size_t n, void *arg)
{
	struct record *r = arg;
	const char *state = n ?
		json_string_value(json_object_get(rows[0].value, "state")) :
		NULL;

	r->in_flight = false;
	if (end == TG_PLAT_UNAVAILABLE || end == TG_PLAT_UNKNOWN) {
		schedule_retry(r);
		return;
	}
	/*
	 * An earlier write whose answer was lost may have recorded it already.
	 */
	if (end == TG_PLAT_CONFLICT && (!state || strcmp(state, "done") != 0))
		log_lost(r, "conflict");
	else if (end == TG_PLAT_INVALID)
		log_lost(r, "invalid");
	free_record(r);
}

static void write_row(struct record *r)
{
	struct tg_txn *t = tg_txn_new(r->board->plat);

	tg_txn_if(t, r->row_key, r->version);
	tg_txn_put(t, r->row_key, json_incref(r->row));
	r->in_flight = true;
	tg_txn_commit(t, on_row_written, r);
}

static void on_object_stored(enum tg_plat_result end, const void *body,
			     size_t n, void *arg)
{
	struct record *r = arg;

	(void)body;
	(void)n;
	r->in_flight = false;
	if (end == TG_PLAT_INVALID) {
		log_lost(r, "object");
		free_record(r);
	} else if (end != TG_PLAT_OK) {
		schedule_retry(r);
	} else {
		r->object_stored = true;
		write_row(r);
	}
}

/* Writes the object first, so that no row names an object that is missing. */
static void write_next(struct record *r)
{
	if (!r->object || r->object_stored) {
		write_row(r);
		return;
	}
	r->in_flight = true;
	tg_object_put(r->board->plat, r->object, r->body, r->body_bytes,
		      on_object_stored, r);
}

/*
 * Returns the body if the row can hold it: short text without NUL bytes.
 * Otherwise NULL.
 */
static json_t *body_for_row(const struct outcome *o)
{
	if (o->body_bytes > INLINE_BODY_BYTES_MAX ||
	    (o->body_bytes && memchr(o->body, '\0', o->body_bytes)))
		return NULL;
	return json_stringn(o->body ? o->body : "", o->body_bytes);
}

static void add_outcome_to_row(struct record *r, const struct outcome *o)
{
	json_t *body = body_for_row(o);
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
	tg_random_token(token);
	r->object = tg_xasprintf("outcomes/%s", token);
	json_object_set_new(r->row, "object", json_string(r->object));
	r->body = tg_xcalloc(1, o->body_bytes + 1);
	memcpy(r->body, o->body, o->body_bytes);
	r->body_bytes = o->body_bytes;
}

void record_outcome(struct board *b, const char *workspace, const char *key,
		    uint64_t version, json_t *row, const struct outcome *o)
{
	struct record *r = tg_xcalloc(1, sizeof(*r));

	r->board = b;
	r->row_key = claim_row_key(workspace, key);
	r->version = version;
	r->row = row;
	r->next = b->records;
	if (r->next)
		r->next->prev = r;
	b->records = r;
	b->n_records++;
	add_outcome_to_row(r, o);
	b->record_bytes += r->body_bytes;
	if (!b->plat || b->record_bytes > PENDING_BYTES_MAX) {
		log_lost(r, "over-memory-limit");
		free_record(r);
		return;
	}
	write_next(r);
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

/* Recorded outcome whose body is being read from the object store. */
struct outcome_load {
	struct outcome outcome;
	void (*done)(struct outcome *o, void *arg);
	void *arg;
};

static void on_body_loaded(enum tg_plat_result end, const void *body, size_t n,
			   void *arg)
{
	struct outcome_load *l = arg;

	if (end == TG_PLAT_OK)
		outcome_set_body(&l->outcome, body, n);
	l->done(end == TG_PLAT_OK ? &l->outcome : NULL, l->arg);
	outcome_free(&l->outcome);
	free(l);
}

void record_load(struct board *b, const json_t *row,
		 void (*done)(struct outcome *o, void *arg), void *arg)
{
	struct outcome_load *l = tg_xcalloc(1, sizeof(*l));
	const char *object = NULL;
	bool ok = record_parse(row, &l->outcome, &object);

	l->done = done;
	l->arg = arg;
	if (ok && object) {
		tg_object_get(b->plat, object, on_body_loaded, l);
		return;
	}
	done(ok ? &l->outcome : NULL, arg);
	outcome_free(&l->outcome);
	free(l);
}

static void tick(void *board, int64_t now_ms)
{
	struct board *b = board;
	struct record *r, *next;

	for (r = b->records; r; r = next) {
		next = r->next;
		if (!r->in_flight && now_ms >= r->next_try_ms)
			write_next(r);
	}
}

static bool drain(void *board, int64_t now_ms)
{
	struct board *b = board;

	return !b->records ||
		(b->drain_write_end_ms && now_ms >= b->drain_write_end_ms);
}

static void stop(void *board)
{
	struct board *b = board;

	while (b->records) {
		log_lost(b->records, "stopped");
		free_record(b->records);
	}
}

const struct tg_controller records_controller = {
	.name = "records",
	.period_ms = 200,
	.tick = tick,
	.drain = drain,
	.stop = stop,
};
