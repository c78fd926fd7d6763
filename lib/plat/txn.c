#include <stdlib.h>
#include <string.h>

#include "plat/plat_internal.h"

/* Limits of one transaction in docs/platform-contract.md. */
#define ITEMS_MAX 128
#define RESEND_MS 100

/* Transactions that are sent to the table as one. */
struct group {
	struct tg_plat *plat;
	struct tg_txn *txns;
	size_t n_txns, n_ifs, n_changes;
	char token[TG_TOKEN_LEN + 1];
	char *body;
	bool doubtful; /* an answer was lost; it may have been committed */
	int64_t give_up_ms;
	struct event *resend;
};

struct tg_txn *tg_txn_new(struct tg_plat *p)
{
	struct tg_txn *t = tg_xcalloc(1, sizeof(*t));

	t->plat = p;
	return t;
}

void tg_txn_if(struct tg_txn *t, const char *key, uint64_t version)
{
	t->ifs = tg_xrealloc(t->ifs, (t->n_ifs + 1) * sizeof(*t->ifs));
	t->ifs[t->n_ifs].key = tg_xstrdup(key);
	t->ifs[t->n_ifs++].version = version;
}

static void add_change(struct tg_txn *t, const char *key, json_t *value)
{
	t->changes = tg_xrealloc(t->changes,
				 (t->n_changes + 1) * sizeof(*t->changes));
	t->changes[t->n_changes].key = tg_xstrdup(key);
	t->changes[t->n_changes++].value = value;
}

void tg_txn_put(struct tg_txn *t, const char *key, json_t *value)
{
	add_change(t, key, value);
}

void tg_txn_delete(struct tg_txn *t, const char *key)
{
	add_change(t, key, NULL);
}

void plat_txn_free(struct tg_txn *t)
{
	size_t i;

	for (i = 0; i < t->n_ifs; i++)
		free(t->ifs[i].key);
	for (i = 0; i < t->n_changes; i++) {
		free(t->changes[i].key);
		json_decref(t->changes[i].value);
	}
	free(t->ifs);
	free(t->changes);
	free(t);
}

static void end_txn(struct tg_txn *t, enum tg_plat_end end,
		    const struct tg_row *rows, size_t n)
{
	t->done(end, rows, n, t->arg);
	plat_txn_free(t);
}

static void free_group(struct group *g)
{
	event_free(g->resend);
	free(g->body);
	free(g);
}

static void schedule_flush(struct tg_plat *p, int64_t ms)
{
	struct timeval tv = { .tv_sec = ms / 1000,
			      .tv_usec = (ms % 1000) * 1000 };

	if (p->queue && !p->in_flight &&
	    !event_pending(p->flush, EV_TIMEOUT, NULL))
		event_add(p->flush, &tv);
}

static void end_group(struct group *g, enum tg_plat_end end)
{
	struct tg_txn *t, *next;

	g->plat->in_flight = NULL;
	for (t = g->txns; t; t = next) {
		next = t->next;
		end_txn(t, end, NULL, 0);
	}
	schedule_flush(g->plat, 0);
	free_group(g);
}

static bool touches(const struct tg_txn *t, const char *key)
{
	size_t i;

	for (i = 0; i < t->n_ifs; i++)
		if (!strcmp(t->ifs[i].key, key))
			return true;
	for (i = 0; i < t->n_changes; i++)
		if (!strcmp(t->changes[i].key, key))
			return true;
	return false;
}

static bool changes(const struct tg_txn *t, const char *key)
{
	size_t i;

	for (i = 0; i < t->n_changes; i++)
		if (!strcmp(t->changes[i].key, key))
			return true;
	return false;
}

static bool expects_other(const struct tg_txn *t, const struct condition *c)
{
	size_t i;

	for (i = 0; i < t->n_ifs; i++)
		if (!strcmp(t->ifs[i].key, c->key) &&
		    t->ifs[i].version != c->version)
			return true;
	return false;
}

/*
 * Transactions of one group may share a condition on a row that none of them
 * changes: all writes of a scheduler have one on its AZ's row.
 */
static bool excludes(const struct tg_txn *a, const struct tg_txn *b)
{
	size_t i;

	for (i = 0; i < b->n_ifs; i++)
		if (changes(a, b->ifs[i].key) || expects_other(a, &b->ifs[i]))
			return true;
	for (i = 0; i < b->n_changes; i++)
		if (touches(a, b->changes[i].key))
			return true;
	return false;
}

/*
 * Sent again after it committed, a transaction conflicts only if one of its
 * conditions is on a row that it changes.  Without one it would be carried out
 * twice and could overwrite what others wrote in between.
 */
static bool can_repeat(const struct tg_txn *t)
{
	size_t i;

	for (i = 0; i < t->n_ifs; i++)
		if (changes(t, t->ifs[i].key))
			return true;
	return !t->n_changes;
}

static bool fits(const struct group *g, const struct tg_txn *t)
{
	const struct tg_txn *other;

	if (!g->n_txns)
		return true;
	if (!can_repeat(t) || !can_repeat(g->txns))
		return false;
	if (g->n_ifs + t->n_ifs > ITEMS_MAX ||
	    g->n_changes + t->n_changes > ITEMS_MAX)
		return false;
	for (other = g->txns; other; other = other->next)
		if (excludes(other, t))
			return false;
	return true;
}

static bool has_condition(const json_t *ifs, const char *key)
{
	size_t i;
	json_t *v;

	json_array_foreach(ifs, i, v) {
		if (!strcmp(json_string_value(json_object_get(v, "key")), key))
			return true;
	}
	return false;
}

static void add_condition(json_t *ifs, const struct condition *c)
{
	/* fits() let only equal conditions on one key into the group. */
	if (!has_condition(ifs, c->key))
		json_array_append_new(ifs,
				      json_pack("{s:s, s:I}", "key", c->key,
						"version",
						(json_int_t)c->version));
}

static void add_json(const struct tg_txn *t, json_t *ifs, json_t *puts,
		     json_t *deletes)
{
	size_t i;

	for (i = 0; i < t->n_ifs; i++)
		add_condition(ifs, &t->ifs[i]);
	for (i = 0; i < t->n_changes; i++) {
		const struct change *c = &t->changes[i];

		if (c->value)
			json_array_append_new(puts,
					      json_pack("{s:s, s:O}", "key",
							c->key, "value",
							c->value));
		else
			json_array_append_new(deletes, json_string(c->key));
	}
}

static char *group_body(const struct group *g)
{
	json_t *ifs = json_array(), *puts = json_array();
	json_t *deletes = json_array(), *all;
	const struct tg_txn *t;
	char *text;

	for (t = g->txns; t; t = t->next)
		add_json(t, ifs, puts, deletes);
	all = json_pack("{s:s, s:o, s:o, s:o}", "token", g->token, "if", ifs,
			"put", puts, "delete", deletes);
	text = json_dumps(all, JSON_COMPACT);
	json_decref(all);
	return text;
}

static void on_answer(struct tg_plat *p, const struct tg_http_result *r,
		      void *arg);

static void send_group(struct group *g)
{
	struct call_opts call = {
		.method = EVHTTP_REQ_POST,
		.uri = tg_xstrdup("/v1/table/txn"),
		.body = g->body,
		.body_bytes = strlen(g->body),
		.done = on_answer,
		.arg = g,
	};

	g->plat->groups->value++;
	plat_call(g->plat, &call);
}

static void on_resend(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	send_group(arg);
}

/*
 * The answer was lost: the same transaction goes out again, same token.  One
 * that can't be repeated is alone in its group, see fits().
 */
static void send_again(struct group *g)
{
	struct timeval tv = { .tv_usec = RESEND_MS * 1000 };

	g->doubtful = true;
	if (tg_now_ms() < g->give_up_ms && can_repeat(g->txns)) {
		event_add(g->resend, &tv);
		return;
	}
	g->plat->unknown->value += g->n_txns;
	tg_log(EV_PLAT_UNKNOWN, "writes=%zu", g->n_txns);
	end_group(g, TG_PLAT_UNKNOWN);
}

static size_t collect_rows(const struct tg_txn *t, const json_t *versions,
			   struct tg_row *rows)
{
	size_t i, n = 0;

	for (i = 0; i < t->n_changes; i++) {
		json_t *v = json_object_get(versions, t->changes[i].key);

		if (!t->changes[i].value || !json_is_integer(v))
			continue;
		rows[n++] = (struct tg_row){
			.key = t->changes[i].key,
			.version = (uint64_t)json_integer_value(v),
			.value = t->changes[i].value,
		};
	}
	return n;
}

static void end_committed(struct group *g, const json_t *versions)
{
	struct tg_row rows[ITEMS_MAX];
	struct tg_txn *t, *next;

	g->plat->in_flight = NULL;
	for (t = g->txns; t; t = next) {
		next = t->next;
		end_txn(t, TG_PLAT_OK, rows, collect_rows(t, versions, rows));
	}
	schedule_flush(g->plat, 0);
	free_group(g);
}

static const struct condition *find_condition(const struct group *g,
					      const char *key)
{
	const struct tg_txn *t;
	size_t i;

	for (t = g->txns; t; t = t->next)
		for (i = 0; i < t->n_ifs; i++)
			if (!strcmp(t->ifs[i].key, key))
				return &t->ifs[i];
	return NULL;
}

static const struct change *find_change(const struct group *g, const char *key)
{
	const struct tg_txn *t;
	size_t i;

	for (t = g->txns; t; t = t->next)
		for (i = 0; i < t->n_changes; i++)
			if (!strcmp(t->changes[i].key, key))
				return &t->changes[i];
	return NULL;
}

enum earlier { NOT_COMMITTED, COMMITTED, CANNOT_TELL };

/*
 * After a lost answer a conflict shows whether the first attempt committed.
 * A row that was put carries our token and the next version, unless somebody
 * wrote it since; a row at the version of its condition was not written, and
 * neither were the others.  The first attempt can no longer take effect, since
 * one of its conditions no longer holds and versions never return.  A row that
 * was to be deleted and has changed tells nothing: it carries no token.
 */
static enum earlier settle(const struct group *g, const json_t *conflicts)
{
	enum earlier r = NOT_COMMITTED;
	size_t i;
	json_t *v;

	json_array_foreach(conflicts, i, v) {
		const struct condition *c;
		const struct change *change;
		struct tg_row row;

		if (!plat_parse_row(v, &row))
			return CANNOT_TELL;
		c = find_condition(g, row.key);
		change = find_change(g, row.key);
		if (!c || !change)
			continue;
		if (row.token && !strcmp(row.token, g->token))
			return COMMITTED;
		if (!change->value || row.version != c->version + 1)
			r = CANNOT_TELL;
	}
	return r;
}

static json_t *versions_after(const struct group *g)
{
	json_t *versions = json_object();
	const struct tg_txn *t;
	size_t i;

	for (t = g->txns; t; t = t->next)
		for (i = 0; i < t->n_ifs; i++)
			json_object_set_new(
				versions, t->ifs[i].key,
				json_integer((json_int_t)t->ifs[i].version +
					     1));
	return versions;
}

static void queue_first(struct tg_plat *p, struct tg_txn *list)
{
	struct tg_txn *last = list;

	while (last->next)
		last = last->next;
	last->next = p->queue;
	if (!p->queue)
		p->queue_tail = &last->next;
	p->queue = list;
}

/* One member of a group conflicted; each is sent alone to find out which. */
static void split_group(struct group *g)
{
	struct tg_plat *p = g->plat;

	queue_first(p, g->txns);
	p->alone_left = g->n_txns;
	p->in_flight = NULL;
	schedule_flush(p, 0);
	free_group(g);
}

static void end_conflict(struct group *g, const json_t *conflicts)
{
	struct tg_row rows[ITEMS_MAX];
	struct tg_plat *p = g->plat;
	struct tg_txn *t = g->txns;
	size_t i, n = 0;
	json_t *v;

	if (g->n_txns > 1) {
		split_group(g);
		return;
	}
	json_array_foreach(conflicts, i, v)
		if (n < ITEMS_MAX && plat_parse_row(v, &rows[n]))
			n++;
	p->conflicts->value++;
	p->in_flight = NULL;
	end_txn(t, TG_PLAT_CONFLICT, rows, n);
	schedule_flush(p, 0);
	free_group(g);
}

static void on_conflict(struct group *g, const json_t *answer)
{
	const json_t *conflicts = json_object_get(answer, "conflicts");
	enum earlier e = NOT_COMMITTED;
	json_t *versions;

	if (g->doubtful)
		e = settle(g, conflicts);
	switch (e) {
	case NOT_COMMITTED:
		end_conflict(g, conflicts);
		break;
	case COMMITTED:
		versions = versions_after(g);
		end_committed(g, versions);
		json_decref(versions);
		break;
	case CANNOT_TELL:
		g->plat->unknown->value += g->n_txns;
		tg_log(EV_PLAT_UNKNOWN, "writes=%zu", g->n_txns);
		end_group(g, TG_PLAT_UNKNOWN);
		break;
	}
}

/* One member is invalid, or all together are too big. */
static void end_invalid(struct group *g)
{
	if (g->n_txns > 1)
		split_group(g);
	else
		end_group(g, TG_PLAT_INVALID);
}

static void on_json(struct group *g, int status, const json_t *answer)
{
	if (status == 200 && json_is_true(json_object_get(answer, "committed")))
		end_committed(g, json_object_get(answer, "versions"));
	else if (status == 409)
		on_conflict(g, answer);
	else if (status >= 400 && status < 500 && !g->doubtful)
		end_invalid(g);
	else
		send_again(g);
}

static void on_answer(struct tg_plat *p, const struct tg_http_result *r,
		      void *arg)
{
	struct group *g = arg;
	json_t *answer;

	if (r->end == TG_HTTP_WHOLE && r->status == 503 && !g->doubtful) {
		end_group(g, TG_PLAT_UNAVAILABLE);
		return;
	}
	if (!r->sent && !g->doubtful) {
		end_group(g, TG_PLAT_UNAVAILABLE);
		return;
	}
	if (r->end != TG_HTTP_WHOLE && p->opts.unsafe_assume_not_written) {
		end_group(g, TG_PLAT_UNAVAILABLE);
		return;
	}
	if (r->end != TG_HTTP_WHOLE || r->status == 503) {
		send_again(g);
		return;
	}
	answer = tg_http_result_json(r);
	if (!answer)
		plat_bad_answer("table/txn");
	on_json(g, answer ? r->status : 0, answer);
	json_decref(answer);
}

static void take(struct tg_plat *p, struct group *g, struct tg_txn **from)
{
	struct tg_txn *t = *from;
	struct tg_txn **tail = &g->txns;

	*from = t->next;
	if (!*from)
		p->queue_tail = from;
	t->next = NULL;
	while (*tail)
		tail = &(*tail)->next;
	*tail = t;
	g->n_txns++;
	g->n_ifs += t->n_ifs;
	g->n_changes += t->n_changes;
}

static struct group *make_group(struct tg_plat *p)
{
	struct group *g = tg_xcalloc(1, sizeof(*g));
	size_t max = p->alone_left ? 1 : p->opts.group_max;

	if (p->alone_left)
		p->alone_left--;
	g->plat = p;
	g->resend = event_new(p->opts.base, -1, 0, on_resend, g);
	g->give_up_ms = tg_now_ms() + p->opts.settle_ms;
	tg_token(g->token);
	/* Order matters between transactions on one row: stop at the first. */
	while (p->queue && g->n_txns < max && fits(g, p->queue))
		take(p, g, &p->queue);
	g->body = group_body(g);
	return g;
}

void plat_on_flush(evutil_socket_t fd, short what, void *arg)
{
	struct tg_plat *p = arg;

	(void)fd;
	(void)what;
	if (p->in_flight || !p->queue)
		return;
	p->in_flight = make_group(p);
	if (p->in_flight->body)
		send_group(p->in_flight);
	else
		end_group(p->in_flight, TG_PLAT_INVALID);
}

void tg_txn_commit(struct tg_txn *t, tg_txn_done done, void *arg)
{
	struct tg_plat *p = t->plat;

	t->done = done;
	t->arg = arg;
	p->writes->value++;
	*p->queue_tail = t;
	p->queue_tail = &t->next;
	schedule_flush(p, p->opts.group_ms);
}

void plat_txn_stop(struct tg_plat *p)
{
	struct tg_txn *t, *next;

	if (p->in_flight) {
		for (t = p->in_flight->txns; t; t = next) {
			next = t->next;
			plat_txn_free(t);
		}
		free_group(p->in_flight);
	}
	for (t = p->queue; t; t = next) {
		next = t->next;
		plat_txn_free(t);
	}
}
