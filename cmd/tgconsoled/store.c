#include <stdlib.h>
#include <string.h>

#include "board.h"

#define DOCUMENT_ROW "config/current"
/* Saves listed in the row; the objects of older ones are deleted. */
#define HISTORY_MAX 32

/* --- load --- */

struct load {
	struct board *board;
	struct stored_doc stored;
	char object[200];
	char digest[17];
	load_done done;
	void *arg;
};

static void free_load(struct load *l)
{
	free(l->stored.text);
	json_decref(l->stored.history);
	l->board->in_progress--;
	free(l);
}

static void finish_load(struct load *l, bool ok)
{
	l->done(ok ? &l->stored : NULL, l->arg);
	free_load(l);
}

/* Copies a string of the row, or "" if it is missing, as in a damaged row. */
static void copy_string(const json_t *v, const char *key, char *out,
			size_t size)
{
	const char *s = json_string_value(json_object_get(v, key));

	tg_strlcpy(out, s ? s : "", size);
}

static bool parse_row(const struct tg_row *row, struct load *l)
{
	json_int_t generation =
		json_integer_value(json_object_get(row->value, "generation"));
	json_t *history = json_object_get(row->value, "history");

	l->stored.row_version = row->version;
	copy_string(row->value, "author", l->stored.author,
		    sizeof(l->stored.author));
	copy_string(row->value, "at", l->stored.at, sizeof(l->stored.at));
	copy_string(row->value, "object", l->object, sizeof(l->object));
	copy_string(row->value, "digest", l->digest, sizeof(l->digest));
	l->stored.history =
		json_is_array(history) ? json_incref(history) : json_array();
	if (generation <= 0 || !*l->object) {
		tg_log(EV_CONSOLE_BAD_ROW, "generation=%lld object=%s",
		       (long long)generation, l->object);
		return false;
	}
	l->stored.generation = (uint64_t)generation;
	return true;
}

/* Stores the text of the document.  Returns false if its digest is wrong. */
static bool accept_object(struct load *l, const void *body, size_t n)
{
	char digest[17];

	tg_doc_digest(body, n, digest);
	if (*l->digest && strcmp(digest, l->digest) != 0) {
		tg_log(EV_CONSOLE_BAD_ROW, "object=%s digest=%s", l->object,
		       digest);
		return false;
	}
	l->stored.text = tg_xcalloc(n + 1, 1);
	memcpy(l->stored.text, body, n);
	l->stored.text_bytes = n;
	return true;
}

static void on_load_object(enum tg_plat_result end, const void *body, size_t n,
			   void *arg)
{
	struct load *l = arg;

	finish_load(l, end == TG_PLAT_OK && accept_object(l, body, n));
}

/* While the table is unavailable, the document in force is shown instead. */
static void load_from_cache(struct load *l)
{
	const struct tg_doc *d = tg_member_doc(l->board->member);

	if (!d) {
		finish_load(l, false);
		return;
	}
	l->stored.from_cache = true;
	l->stored.generation = d->generation;
	l->stored.history = json_array();
	l->stored.text = tg_xstrdup(d->text);
	l->stored.text_bytes = d->text_bytes;
	finish_load(l, true);
}

static void on_load_row(enum tg_plat_result end, const struct tg_row *row,
			void *arg)
{
	static const char empty[] = "{\"version\":1}";
	struct load *l = arg;

	if (end == TG_PLAT_NOT_FOUND) {
		l->stored.history = json_array();
		l->stored.text = tg_xstrdup(empty);
		l->stored.text_bytes = strlen(empty);
		finish_load(l, true);
	} else if (end != TG_PLAT_OK) {
		load_from_cache(l);
	} else if (parse_row(row, l)) {
		tg_object_get(l->board->plat, l->object, on_load_object, l);
	} else {
		finish_load(l, false);
	}
}

void store_load(struct board *b, load_done done, void *arg)
{
	struct load *l = tg_xcalloc(1, sizeof(*l));

	l->board = b;
	l->done = done;
	l->arg = arg;
	if (b->in_progress++ < IN_PROGRESS_MAX)
		tg_row_get(b->plat, DOCUMENT_ROW, on_load_row, l);
	else
		finish_load(l, false);
}

/* --- save --- */

struct save {
	struct board *board;
	uint64_t generation; /* that the operator edited */
	char *text;
	size_t text_bytes;
	char author[TG_NAME_MAX + 1];
	char object[96];
	struct load current; /* the row; after a conflict also its object */
	save_done done;
	void *arg;
};

static void count_save(enum save_outcome outcome)
{
	static const char *const names[N_SAVE_OUTCOMES] = {
		[SAVE_DONE] = "done",
		[SAVE_INVALID] = "invalid",
		[SAVE_CONFLICT] = "conflict",
		[SAVE_UNAVAILABLE] = "unavailable",
		[SAVE_UNKNOWN] = "unknown",
	};
	char labels[64];

	snprintf(labels, sizeof(labels), "outcome=\"%s\"", names[outcome]);
	tg_counter("tg_console_saves_total", "Saves of the document.", labels)
		->value++;
}

static void log_save(const struct save *s, const struct save_result *r)
{
	char digest[17];

	tg_doc_digest(s->text, s->text_bytes, digest);
	switch (r->outcome) {
	case SAVE_DONE:
		tg_log(EV_CONSOLE_SAVED, "generation=%llu author=%s digest=%s",
		       (unsigned long long)r->generation, s->author, digest);
		break;
	case SAVE_INVALID:
		tg_log(EV_CONSOLE_REFUSED, "author=%s findings=%zu place=%s",
		       s->author, r->findings->total,
		       r->findings->items[0].place);
		break;
	case SAVE_CONFLICT:
		tg_log(EV_CONSOLE_REFUSED,
		       "author=%s loaded=%llu current=%llu by=%s", s->author,
		       (unsigned long long)s->generation,
		       (unsigned long long)r->generation, r->theirs->author);
		break;
	case SAVE_UNAVAILABLE:
		tg_log(EV_CONSOLE_UNAVAILABLE, "author=%s what=%s", s->author,
		       r->unavailable);
		break;
	default:
		tg_log(EV_CONSOLE_UNKNOWN,
		       "author=%s generation=%llu digest=%s", s->author,
		       (unsigned long long)r->generation, digest);
		break;
	}
}

static void finish_save(struct save *s, const struct save_result *r)
{
	count_save(r->outcome);
	log_save(s, r);
	s->done(r, s->arg);
	s->board->in_progress--;
	free(s->current.stored.text);
	json_decref(s->current.stored.history);
	free(s->text);
	free(s);
}

static void finish_unavailable(struct save *s, const char *service)
{
	struct save_result r = { .outcome = SAVE_UNAVAILABLE,
				 .unavailable = service };

	finish_save(s, &r);
}

static void finish_conflict(struct save *s)
{
	struct save_result r = {
		.outcome = SAVE_CONFLICT,
		.generation = s->current.stored.generation,
		.theirs = &s->current.stored,
	};

	finish_save(s, &r);
}

static void on_conflicting_object(enum tg_plat_result end, const void *body,
				  size_t n, void *arg)
{
	struct save *s = arg;

	if (end == TG_PLAT_OK)
		accept_object(&s->current, body, n);
	finish_conflict(s);
}

/*
 * Parses the row into s->current, in place of an earlier version.  Version 0 is
 * a row that does not exist.
 */
static bool parse_current_row(struct save *s, const struct tg_row *row)
{
	json_decref(s->current.stored.history);
	s->current.stored.history = NULL;
	if (row->version)
		return parse_row(row, &s->current);
	memset(&s->current, 0, sizeof(s->current));
	s->current.stored.history = json_array();
	return true;
}

static void load_conflicting_object(struct save *s)
{
	if (s->current.stored.generation)
		tg_object_get(s->board->plat, s->current.object,
			      on_conflicting_object, s);
	else
		finish_conflict(s);
}

static bool is_in_history(const json_t *history, const char *object)
{
	const json_t *entry;
	size_t i;

	json_array_foreach(history, i, entry) {
		const char *s =
			json_string_value(json_object_get(entry, "object"));

		if (s && !strcmp(s, object))
			return true;
	}
	return false;
}

/*
 * The object store can't list its objects, so an object that is not deleted
 * when its last reference is removed stays for ever.  At the target of 11,000
 * changes a day of 48 KB each, that would be 0.5 GB a day.
 */
static void delete_object(struct save *s, const char *object)
{
	tg_counter("tg_console_objects_deleted_total",
		   "Objects of documents that no row names.", NULL)
		->value++;
	tg_object_delete(s->board->plat, object, NULL, NULL);
}

/* Deletes the objects of entries that this save pushed out of the history. */
static void delete_dropped_objects(struct save *s)
{
	const json_t *history = s->current.stored.history;
	size_t i;

	for (i = HISTORY_MAX - 1; i < json_array_size(history); i++) {
		const char *object = json_string_value(
			json_object_get(json_array_get(history, i), "object"));

		if (object && *object)
			delete_object(s, object);
	}
}

static void on_committed(enum tg_plat_result end, const struct tg_row *rows,
			 size_t n, void *arg)
{
	struct save *s = arg;
	struct save_result r = { .outcome = SAVE_DONE,
				 .generation = s->generation + 1 };

	if (end == TG_PLAT_CONFLICT) {
		if (!n || !parse_current_row(s, &rows[0])) {
			finish_unavailable(s, "the row config/current");
			return;
		}
		if (!is_in_history(s->current.stored.history, s->object))
			delete_object(s, s->object);
		load_conflicting_object(s);
		return;
	}
	if (end == TG_PLAT_UNAVAILABLE || end == TG_PLAT_INVALID) {
		/*
		 * The object is kept: if the row was written in spite of this
		 * result, it refers to the object.
		 */
		finish_unavailable(s, "the table");
		return;
	}
	if (end == TG_PLAT_OK) {
		delete_dropped_objects(s);
		tg_member_publish_doc(s->board->member, r.generation, s->text,
				      s->text_bytes);
	} else {
		r.outcome = SAVE_UNKNOWN;
	}
	finish_save(s, &r);
}

static json_t *build_history_entry(const struct save *s)
{
	char digest[17], at[24];

	tg_doc_digest(s->text, s->text_bytes, digest);
	tg_format_utc(tg_wall_ms(), at, sizeof(at));
	return json_pack("{s:I, s:s, s:s, s:s, s:s}", "generation",
			 (json_int_t)s->generation + 1, "object", s->object,
			 "digest", digest, "author", s->author, "at", at);
}

static json_t *build_row(const struct save *s)
{
	json_t *row = build_history_entry(s);
	json_t *history = json_copy(s->current.stored.history);

	json_array_insert_new(history, 0, build_history_entry(s));
	while (json_array_size(history) > HISTORY_MAX)
		json_array_remove(history, HISTORY_MAX);
	json_object_set_new(row, "history", history);
	return row;
}

static void on_object_put(enum tg_plat_result end, const void *body, size_t n,
			  void *arg)
{
	struct save *s = arg;
	struct tg_txn *t;

	(void)body;
	(void)n;
	/*
	 * Without a row that refers to it, the object has no effect, so a lost
	 * reply counts as not saved.
	 */
	if (end != TG_PLAT_OK) {
		finish_unavailable(s, "the object store");
		return;
	}
	t = tg_txn_new(s->board->plat);
	if (!s->board->opts.unsafe_save_unchecked)
		tg_txn_if(t, DOCUMENT_ROW, s->current.stored.row_version);
	tg_txn_put(t, DOCUMENT_ROW, build_row(s));
	tg_txn_commit(t, on_committed, s);
}

static void on_row_before_save(enum tg_plat_result end,
			       const struct tg_row *row, void *arg)
{
	static const struct tg_row absent = { .key = DOCUMENT_ROW };
	char token[TG_TOKEN_LEN + 1];
	struct save *s = arg;

	if (end != TG_PLAT_OK && end != TG_PLAT_NOT_FOUND) {
		finish_unavailable(s, "the table");
		return;
	}
	if (!parse_current_row(s, end == TG_PLAT_OK ? row : &absent)) {
		finish_unavailable(s, "the row config/current");
		return;
	}
	if (s->current.stored.generation != s->generation &&
	    !s->board->opts.unsafe_save_unchecked) {
		load_conflicting_object(s);
		return;
	}
	tg_random_token(token);
	snprintf(s->object, sizeof(s->object), "config/%llu-%s",
		 (unsigned long long)s->generation + 1, token);
	tg_object_put(s->board->plat, s->object, s->text, s->text_bytes,
		      on_object_put, s);
}

/* --- check --- */

struct check {
	struct board *board;
	struct tg_findings findings;
	check_done done;
	void *arg;
};

static void finish_check(struct check *c, enum save_outcome outcome)
{
	c->done(outcome, &c->findings, c->arg);
	c->board->in_progress--;
	tg_findings_free(&c->findings);
	free(c);
}

static void on_planned(enum plan_result result, void *arg)
{
	static const enum save_outcome outcomes[] = {
		[PLAN_OK] = SAVE_DONE,
		[PLAN_NO_FIT] = SAVE_INVALID,
		[PLAN_NO_INSTANCES] = SAVE_UNAVAILABLE,
	};

	finish_check(arg, outcomes[result]);
}

void store_check(struct board *b, const char *text, size_t n, check_done done,
		 void *arg)
{
	struct check *c = tg_xcalloc(1, sizeof(*c));
	struct tg_doc *d;

	c->board = b;
	c->done = done;
	c->arg = arg;
	b->in_progress++;
	d = tg_doc_parse(text, n, &c->findings);
	if (d)
		plan_check_guarantees(b, d, &c->findings, on_planned, c);
	else
		finish_check(c, SAVE_INVALID);
}

/* --- start of a save --- */

static void on_checked(enum save_outcome outcome, const struct tg_findings *f,
		       void *arg)
{
	struct save_result r = { .outcome = SAVE_INVALID, .findings = f };
	struct save *s = arg;

	if (outcome == SAVE_INVALID)
		finish_save(s, &r);
	else if (outcome == SAVE_UNAVAILABLE)
		finish_unavailable(s, "the instance list");
	else
		tg_row_get(s->board->plat, DOCUMENT_ROW, on_row_before_save, s);
}

void store_save(struct board *b, uint64_t generation, const char *text,
		size_t n, const char *author, save_done done, void *arg)
{
	struct save *s = tg_xcalloc(1, sizeof(*s));

	s->board = b;
	s->generation = generation;
	s->text = tg_xcalloc(n + 1, 1);
	memcpy(s->text, text, n);
	s->text_bytes = n;
	tg_strlcpy(s->author, author, sizeof(s->author));
	s->done = done;
	s->arg = arg;
	if (b->in_progress++ < IN_PROGRESS_MAX)
		store_check(b, s->text, n, on_checked, s);
	else
		finish_unavailable(s, "this console (too many saves)");
}
