#include <stdlib.h>
#include <string.h>

#include "board.h"

#define CLAIM_RETRY_MS 500
#define CLAIMS_MAX 4096
/*
 * Limit of the reads of the table for refused requests at a time, as there may
 * be many such requests.  Beyond it they end as unknown without a read.
 */
#define CLAIM_CHECKS_MAX 256
/*
 * Limit of the attempts to write one claim.  A further one is needed if another
 * instance claims a released row between the read and the write.
 */
#define CLAIM_WRITES_MAX 3

enum claim_state {
	CLAIM_WRITING,
	CLAIM_HELD, /* recorded at @version for a request in progress */
	CLAIM_UNCERTAIN, /* possibly recorded; nothing ran under it */
	CLAIM_RELEASING, /* recorded at @version; nothing ran under it */
};

/*
 * Claim of a caller's key: the row that reserves the key for one request.  A
 * claim is released by writing the state "released" into the row and never by
 * deleting the row.  Otherwise a delayed copy of the insertion would find the
 * row absent and take effect after the caller was told that nothing ran.
 */
struct claim {
	struct board *board;
	struct request *request; /* NULL once the request has ended */
	enum claim_state state;
	char id[17];
	char workspace[TG_NAME_MAX + 1];
	char key[KEY_MAX + 1];
	char *row_key;
	uint64_t version;
	int writes;
	bool in_flight;
	int64_t next_try_ms;
	struct claim *prev, *next;
};

char *claim_row_key(const char *workspace, const char *key)
{
	return tg_xasprintf("claims/%s/%s", workspace, key);
}

static size_t count_claims(const struct board *b)
{
	const struct claim *c;
	size_t n = 0;

	for (c = b->claims; c; c = c->next)
		n++;
	return n;
}

static struct claim *add_claim(struct request *r)
{
	struct claim *c = tg_xcalloc(1, sizeof(*c));
	struct board *b = r->board;

	c->board = b;
	c->request = r;
	r->claim = c;
	tg_strlcpy(c->id, r->id, sizeof(c->id));
	tg_strlcpy(c->workspace, r->workspace_name, sizeof(c->workspace));
	tg_strlcpy(c->key, r->key, sizeof(c->key));
	c->row_key = claim_row_key(c->workspace, c->key);
	c->next = b->claims;
	if (c->next)
		c->next->prev = c;
	b->claims = c;
	return c;
}

static void free_claim(struct claim *c)
{
	if (c->request)
		c->request->claim = NULL;
	if (c->prev)
		c->prev->next = c->next;
	else
		c->board->claims = c->next;
	if (c->next)
		c->next->prev = c->prev;
	free(c->row_key);
	free(c);
}

static json_t *row_with_state(const struct claim *c, const char *state)
{
	const struct board *b = c->board;

	return json_pack("{s:s, s:s, s:s, s:s, s:I}", "state", state,
			 "instance", b->settings.instance, "boot",
			 tg_member_boot_id(b->member), "claim", c->id, "at_ms",
			 (json_int_t)tg_wall_ms());
}

static json_t *claimed_row(const struct claim *c, const struct request *r)
{
	json_t *v = row_with_state(c, "claimed");

	json_object_set_new(v, "service", json_string(r->service_name));
	json_object_set_new(v, "digest", json_string(r->digest));
	return v;
}

static const char *row_string(const json_t *row, const char *name)
{
	const char *s = json_string_value(json_object_get(row, name));

	return s ? s : "";
}

static void schedule_release(struct claim *c, enum claim_state state,
			     int64_t wait_ms)
{
	if (c->request)
		c->request->claim = NULL;
	c->request = NULL;
	c->state = state;
	c->next_try_ms = tg_now_ms() + wait_ms;
}

static void on_loaded(struct outcome *o, void *arg)
{
	struct request *r = arg;

	if (o)
		request_finish(r, o);
	else
		request_finish_unknown(
			r, 504,
			"the request was answered before, but the recorded "
			"answer can't be loaded now");
}

/*
 * Finishes a request whose key an earlier request used: with the recorded
 * outcome of that one, else as unknown.
 */
static void answer_from_row(struct request *r, const json_t *row)
{
	struct outcome o = { 0 };
	const char *object;

	if (strcmp(row_string(row, "digest"), r->digest) != 0) {
		request_finish_not_run(
			r, 422, "Idempotency-Key",
			"the key was used for a request with other content");
		return;
	}
	if (!record_parse(row, &o, &object)) {
		request_finish_unknown(
			r, 504,
			"an earlier request with this key has no "
			"recorded outcome");
		return;
	}
	outcome_free(&o);
	r->state = REQUEST_LOADING;
	if (r->timer)
		event_del(r->timer);
	record_load(r->board, row, on_loaded, r);
}

/*
 * Refusal that waits until the row of the key has been read, which shows
 * whether an earlier attempt ran.
 */
struct claim_check {
	struct request *request;
	int status;
	char *place, *text;
};

static void finish_check(struct claim_check *k, enum tg_plat_result end,
			 const struct tg_row *row)
{
	struct request *r = k->request;
	const char *state = row ? row_string(row->value, "state") : "";

	r->board->n_claim_checks--;
	if (end == TG_PLAT_NOT_FOUND || !strcmp(state, "released") ||
	    (row && !strcmp(row_string(row->value, "claim"), r->id)))
		request_finish_not_run(r, k->status, k->place, "%s", k->text);
	else if (end == TG_PLAT_OK)
		answer_from_row(r, row->value);
	else
		request_finish_unknown(
			r, k->status,
			"%s; nothing ran for this attempt, but the table "
			"can't be read to check for earlier ones",
			k->text);
	free(k->place);
	free(k->text);
	free(k);
}

static void on_check_row(enum tg_plat_result end, const struct tg_row *row,
			 void *arg)
{
	finish_check(arg, end, row);
}

void claim_refuse_after_check(struct request *r, int status, const char *place,
			      const char *text)
{
	struct board *b = r->board;
	struct claim_check *k = tg_xcalloc(1, sizeof(*k));
	char *key;

	k->request = r;
	k->status = status;
	k->place = place ? tg_xstrdup(place) : NULL;
	k->text = tg_xstrdup(text);
	r->state = REQUEST_LOADING;
	if (r->timer)
		event_del(r->timer);
	if (b->n_claim_checks++ >= CLAIM_CHECKS_MAX || !b->plat) {
		finish_check(k, TG_PLAT_UNAVAILABLE, NULL);
		return;
	}
	key = claim_row_key(r->workspace_name, r->key);
	tg_row_get(b->plat, key, on_check_row, k);
	free(key);
}

/* Refuses a request unless an earlier attempt with its key may have run. */
static void refuse_unless_answered(struct request *r, const char *text)
{
	if (r->board->settings.unsafe_refuse_unchecked)
		request_finish_not_run(r, 503, "Idempotency-Key", "%s", text);
	else
		claim_refuse_after_check(r, 503, "Idempotency-Key", text);
}

/* Returns the claim with this id if its release is not written yet, or NULL. */
static const struct claim *find_unreleased(const struct board *b,
					   const char *id)
{
	const struct claim *c;

	for (c = b->claims; c; c = c->next)
		if ((c->state == CLAIM_UNCERTAIN ||
		     c->state == CLAIM_RELEASING) &&
		    !strcmp(c->id, id))
			return c;
	return NULL;
}

static void write_claim(struct claim *c);

static void on_conflict(struct claim *c, const struct tg_row *row)
{
	struct request *r = c->request;
	const char *state = row_string(row->value, "state");
	const char *id = row_string(row->value, "claim");

	if (!r) {
		free_claim(c);
		return;
	}
	if (!strcmp(state, "released") || !row->version) {
		c->version = row->version;
		if (c->writes < CLAIM_WRITES_MAX) {
			write_claim(c);
			return;
		}
		free_claim(c);
		request_finish_not_run(
			r, 503, "Idempotency-Key",
			"other requests are claiming the key at the same time");
		return;
	}
	free_claim(c);
	if (find_unreleased(r->board, id))
		request_finish_not_run(
			r, 503, "Idempotency-Key",
			"an earlier claim of the key, under which "
			"nothing ran, is being released");
	else
		answer_from_row(r, row->value);
}

static void on_write_unknown(struct claim *c)
{
	struct request *r = c->request;

	tg_log(EV_ENTRY_CLAIM_UNKNOWN, "workspace=%s key=%s", c->workspace,
	       c->key);
	schedule_release(c, CLAIM_UNCERTAIN, CLAIM_RETRY_MS);
	if (!r)
		return;
	if (r->board->settings.unsafe_dispatch_unclaimed)
		request_enqueue(r);
	else
		refuse_unless_answered(r,
				       "the claim of the key could not be "
				       "recorded");
}

/* The table did not take the claim, so nothing is recorded. */
static void on_write_failed(struct claim *c)
{
	struct request *r = c->request;

	free_claim(c);
	if (!r)
		return;
	if (r->board->settings.unsafe_dispatch_unclaimed)
		request_enqueue(r);
	else
		refuse_unless_answered(r, "the table is not available");
}

static void on_claimed(struct claim *c, uint64_t version)
{
	c->version = version;
	if (!c->request) {
		schedule_release(c, CLAIM_RELEASING, 0);
		return;
	}
	c->state = CLAIM_HELD;
	request_enqueue(c->request);
}

static void on_written(enum tg_plat_result end, const struct tg_row *rows,
		       size_t n, void *arg)
{
	struct claim *c = arg;

	c->in_flight = false;
	switch (end) {
	case TG_PLAT_OK:
		on_claimed(c, n ? rows[0].version : c->version + 1);
		break;
	case TG_PLAT_CONFLICT:
		if (n)
			on_conflict(c, &rows[0]);
		else
			on_write_failed(c);
		break;
	case TG_PLAT_UNKNOWN:
		on_write_unknown(c);
		break;
	default:
		on_write_failed(c);
		break;
	}
}

static void write_claim(struct claim *c)
{
	struct tg_txn *t = tg_txn_new(c->board->plat);

	tg_txn_if(t, c->row_key, c->version);
	tg_txn_put(t, c->row_key, claimed_row(c, c->request));
	c->state = CLAIM_WRITING;
	c->in_flight = true;
	c->writes++;
	tg_txn_commit(t, on_written, c);
}

void claim_start(struct request *r)
{
	if (!r->board->plat || count_claims(r->board) >= CLAIMS_MAX) {
		refuse_unless_answered(r, "claims can't be recorded now");
		return;
	}
	write_claim(add_claim(r));
}

void claim_detach(struct request *r)
{
	struct claim *c = r->claim;

	if (!c)
		return;
	c->request = NULL;
	r->claim = NULL;
	if (c->state == CLAIM_HELD)
		free_claim(c);
}

void claim_record_outcome(struct request *r, const struct outcome *o)
{
	struct claim *c = r->claim;

	record_outcome(r->board, c->workspace, c->key, c->version,
		       claimed_row(c, r), o);
	free_claim(c);
}

static void on_released(enum tg_plat_result end, const struct tg_row *rows,
			size_t n, void *arg)
{
	struct claim *c = arg;

	(void)rows;
	(void)n;
	c->in_flight = false;
	if (end == TG_PLAT_UNAVAILABLE || end == TG_PLAT_UNKNOWN) {
		c->next_try_ms = tg_now_ms() + CLAIM_RETRY_MS;
		return;
	}
	/* The row was absent and has been written meanwhile: read it again. */
	if (end == TG_PLAT_CONFLICT && c->state == CLAIM_UNCERTAIN) {
		c->next_try_ms = tg_now_ms() + CLAIM_RETRY_MS;
		return;
	}
	tg_log(EV_ENTRY_CLAIM_RELEASED, "workspace=%s key=%s", c->workspace,
	       c->key);
	free_claim(c);
}

static void write_released(struct claim *c)
{
	struct tg_txn *t = tg_txn_new(c->board->plat);

	tg_txn_if(t, c->row_key, c->version);
	tg_txn_put(t, c->row_key, row_with_state(c, "released"));
	c->in_flight = true;
	tg_txn_commit(t, on_released, c);
}

static void on_uncertain_row(enum tg_plat_result end, const struct tg_row *row,
			     void *arg)
{
	struct claim *c = arg;

	c->in_flight = false;
	if (end == TG_PLAT_UNAVAILABLE) {
		c->next_try_ms = tg_now_ms() + CLAIM_RETRY_MS;
		return;
	}
	if (end == TG_PLAT_NOT_FOUND) {
		c->version = 0;
		write_released(c);
		return;
	}
	if (strcmp(row_string(row->value, "claim"), c->id) != 0) {
		/*
		 * The row belongs to another claim, so this one was never
		 * recorded.
		 */
		free_claim(c);
		return;
	}
	c->version = row->version;
	c->state = CLAIM_RELEASING;
	write_released(c);
}

static void try_release(struct claim *c, int64_t now_ms)
{
	if (c->in_flight || now_ms < c->next_try_ms)
		return;
	if (c->state == CLAIM_RELEASING) {
		write_released(c);
	} else if (c->state == CLAIM_UNCERTAIN) {
		c->in_flight = true;
		tg_row_get(c->board->plat, c->row_key, on_uncertain_row, c);
	}
}

void claim_release(struct request *r)
{
	struct claim *c = r->claim;

	schedule_release(c, CLAIM_RELEASING, 0);
	try_release(c, tg_now_ms());
}

static void tick(void *board, int64_t now_ms)
{
	struct board *b = board;
	struct claim *c, *next;

	for (c = b->claims; c; c = next) {
		next = c->next;
		try_release(c, now_ms);
	}
}

static bool drain(void *board, int64_t now_ms)
{
	struct board *b = board;

	return !b->claims ||
		(b->drain_write_end_ms && now_ms >= b->drain_write_end_ms);
}

static void stop(void *board)
{
	struct board *b = board;

	while (b->claims)
		free_claim(b->claims);
}

const struct tg_controller claims_controller = {
	.name = "claims",
	.period_ms = 50,
	.tick = tick,
	.drain = drain,
	.stop = stop,
};
