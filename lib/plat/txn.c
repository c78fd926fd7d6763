#include <stdlib.h>
#include <string.h>

#include "plat/plat_internal.h"

/* Limit of docs/platform-contract.md for the conditions and for the changes. */
#define TXN_ITEMS_MAX 128
#define RESEND_DELAY_MS 100

/*
 * struct txn_group - transactions that are sent to the table as one
 * @body: request body; NULL if the transactions can't be encoded as JSON
 * @maybe_committed: the answer to an attempt was lost
 * @settle_deadline_ms: the group is not sent again after this time
 */
struct txn_group {
	struct tg_plat *plat;
	struct tg_txn *txns;
	size_t n_txns, n_conditions, n_changes;
	char token[TG_TOKEN_LEN + 1];
	char *body;
	bool maybe_committed;
	int64_t settle_deadline_ms;
	struct event *resend_timer;
};

struct tg_txn *tg_txn_new(struct tg_plat *p)
{
	struct tg_txn *t = tg_xcalloc(1, sizeof(*t));

	t->plat = p;
	return t;
}

void tg_txn_if(struct tg_txn *t, const char *key, uint64_t version)
{
	t->conditions = tg_xrealloc(
		t->conditions, (t->n_conditions + 1) * sizeof(*t->conditions));
	t->conditions[t->n_conditions].key = tg_xstrdup(key);
	t->conditions[t->n_conditions++].version = version;
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

	for (i = 0; i < t->n_conditions; i++)
		free(t->conditions[i].key);
	for (i = 0; i < t->n_changes; i++) {
		free(t->changes[i].key);
		json_decref(t->changes[i].value);
	}
	free(t->conditions);
	free(t->changes);
	free(t);
}

static void complete_txn(struct tg_txn *t, enum tg_plat_result result,
			 const struct tg_row *rows, size_t n)
{
	t->done(result, rows, n, t->arg);
	plat_txn_free(t);
}

static void free_group(struct txn_group *g)
{
	event_free(g->resend_timer);
	free(g->body);
	free(g);
}

static void schedule_flush(struct tg_plat *p, int64_t ms)
{
	struct timeval tv = { .tv_sec = ms / 1000,
			      .tv_usec = (ms % 1000) * 1000 };

	if (p->queue && !p->group_in_flight &&
	    !event_pending(p->flush_timer, EV_TIMEOUT, NULL))
		event_add(p->flush_timer, &tv);
}

static void complete_group(struct txn_group *g, enum tg_plat_result result)
{
	struct tg_txn *t, *next;

	g->plat->group_in_flight = NULL;
	for (t = g->txns; t; t = next) {
		next = t->next;
		complete_txn(t, result, NULL, 0);
	}
	schedule_flush(g->plat, 0);
	free_group(g);
}

static bool uses_key(const struct tg_txn *t, const char *key)
{
	size_t i;

	for (i = 0; i < t->n_conditions; i++)
		if (!strcmp(t->conditions[i].key, key))
			return true;
	for (i = 0; i < t->n_changes; i++)
		if (!strcmp(t->changes[i].key, key))
			return true;
	return false;
}

static bool changes_key(const struct tg_txn *t, const char *key)
{
	size_t i;

	for (i = 0; i < t->n_changes; i++)
		if (!strcmp(t->changes[i].key, key))
			return true;
	return false;
}

static bool requires_other_version(const struct tg_txn *t,
				   const struct condition *c)
{
	size_t i;

	for (i = 0; i < t->n_conditions; i++)
		if (!strcmp(t->conditions[i].key, c->key) &&
		    t->conditions[i].version != c->version)
			return true;
	return false;
}

/*
 * Transactions may be grouped if they share a condition on a row that none of
 * them changes: all writes of a scheduler have one on the row of its AZ.
 */
static bool cannot_share_group(const struct tg_txn *a, const struct tg_txn *b)
{
	size_t i;

	for (i = 0; i < b->n_conditions; i++)
		if (changes_key(a, b->conditions[i].key) ||
		    requires_other_version(a, &b->conditions[i]))
			return true;
	for (i = 0; i < b->n_changes; i++)
		if (uses_key(a, b->changes[i].key))
			return true;
	return false;
}

/*
 * A transaction that has been committed conflicts when it is sent again only if
 * one of its conditions is on a row that it changes.  Without such a condition
 * it would be carried out twice and could overwrite what others wrote
 * meanwhile.
 */
static bool can_resend(const struct tg_txn *t)
{
	size_t i;

	for (i = 0; i < t->n_conditions; i++)
		if (changes_key(t, t->conditions[i].key))
			return true;
	return !t->n_changes;
}

/* A transaction that can't be sent again is always alone in its group. */
static bool can_join(const struct txn_group *g, const struct tg_txn *t)
{
	const struct tg_txn *member;

	if (!g->n_txns)
		return true;
	if (!can_resend(t) || !can_resend(g->txns))
		return false;
	if (g->n_conditions + t->n_conditions > TXN_ITEMS_MAX ||
	    g->n_changes + t->n_changes > TXN_ITEMS_MAX)
		return false;
	for (member = g->txns; member; member = member->next)
		if (cannot_share_group(member, t))
			return false;
	return true;
}

static bool json_has_condition(const json_t *conditions, const char *key)
{
	size_t i;
	json_t *v;

	json_array_foreach(conditions, i, v) {
		if (!strcmp(json_string_value(json_object_get(v, "key")), key))
			return true;
	}
	return false;
}

static void add_json_condition(json_t *conditions, const struct condition *c)
{
	/* See can_join(): all conditions of a group on one key are equal. */
	if (!json_has_condition(conditions, c->key))
		json_array_append_new(conditions,
				      json_pack("{s:s, s:I}", "key", c->key,
						"version",
						(json_int_t)c->version));
}

static void add_txn_json(const struct tg_txn *t, json_t *conditions,
			 json_t *puts, json_t *deletes)
{
	size_t i;

	for (i = 0; i < t->n_conditions; i++)
		add_json_condition(conditions, &t->conditions[i]);
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

static char *encode_group(const struct txn_group *g)
{
	json_t *conditions = json_array(), *puts = json_array();
	json_t *deletes = json_array(), *all;
	const struct tg_txn *t;
	char *body;

	for (t = g->txns; t; t = t->next)
		add_txn_json(t, conditions, puts, deletes);
	all = json_pack("{s:s, s:o, s:o, s:o}", "token", g->token, "if",
			conditions, "put", puts, "delete", deletes);
	body = json_dumps(all, JSON_COMPACT);
	json_decref(all);
	return body;
}

static void on_response(struct tg_plat *p, const struct tg_http_result *r,
			void *arg);

static void send_group(struct txn_group *g)
{
	struct call_opts call = {
		.method = EVHTTP_REQ_POST,
		.uri = tg_xstrdup("/v1/table/txn"),
		.body = g->body,
		.body_bytes = strlen(g->body),
		.done = on_response,
		.arg = g,
	};

	g->plat->table_writes->value++;
	plat_call(g->plat, &call);
}

static void on_resend_timer(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	send_group(arg);
}

/*
 * After a lost answer, sends the same transactions again with the same token
 * unless that is unsafe or the time is over.  Checking the first transaction is
 * enough, since one that can't be sent again is alone in its group.
 */
static void resend_or_give_up(struct txn_group *g)
{
	struct timeval tv = { .tv_usec = RESEND_DELAY_MS * 1000 };

	g->maybe_committed = true;
	if (tg_now_ms() < g->settle_deadline_ms && can_resend(g->txns)) {
		event_add(g->resend_timer, &tv);
		return;
	}
	g->plat->unknown_results->value += g->n_txns;
	tg_log(EV_PLAT_UNKNOWN, "writes=%zu", g->n_txns);
	complete_group(g, TG_PLAT_UNKNOWN);
}

static size_t collect_put_rows(const struct tg_txn *t, const json_t *versions,
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

static void complete_committed(struct txn_group *g, const json_t *versions)
{
	struct tg_row rows[TXN_ITEMS_MAX];
	struct tg_txn *t, *next;

	g->plat->group_in_flight = NULL;
	for (t = g->txns; t; t = next) {
		next = t->next;
		complete_txn(t, TG_PLAT_OK, rows,
			     collect_put_rows(t, versions, rows));
	}
	schedule_flush(g->plat, 0);
	free_group(g);
}

static const struct condition *find_condition(const struct txn_group *g,
					      const char *key)
{
	const struct tg_txn *t;
	size_t i;

	for (t = g->txns; t; t = t->next)
		for (i = 0; i < t->n_conditions; i++)
			if (!strcmp(t->conditions[i].key, key))
				return &t->conditions[i];
	return NULL;
}

static const struct change *find_change(const struct txn_group *g,
					const char *key)
{
	const struct tg_txn *t;
	size_t i;

	for (t = g->txns; t; t = t->next)
		for (i = 0; i < t->n_changes; i++)
			if (!strcmp(t->changes[i].key, key))
				return &t->changes[i];
	return NULL;
}

enum first_attempt { NOT_COMMITTED, COMMITTED, COMMIT_UNKNOWN };

/*
 * Finds out from a conflict of a resent group whether the first attempt, whose
 * answer was lost, committed.  If so, a row that it put has the token of the
 * group and the version after that of its condition, unless another process has
 * written the row since.  A changed row that is not among the conflicts still
 * has the version of its condition, so it was not written, and neither were the
 * others.  The first attempt can no longer take effect, because one of its
 * conditions no longer holds and versions never repeat.  A row that was to be
 * deleted and has changed shows nothing, since a deleted row has no token.
 */
static enum first_attempt check_first_attempt(const struct txn_group *g,
					      const json_t *conflicts)
{
	enum first_attempt r = NOT_COMMITTED;
	size_t i;
	json_t *v;

	json_array_foreach(conflicts, i, v) {
		const struct condition *c;
		const struct change *change;
		struct tg_row row;

		if (!plat_parse_row(v, &row))
			return COMMIT_UNKNOWN;
		c = find_condition(g, row.key);
		change = find_change(g, row.key);
		if (!c || !change)
			continue;
		if (row.token && !strcmp(row.token, g->token))
			return COMMITTED;
		if (!change->value || row.version != c->version + 1)
			r = COMMIT_UNKNOWN;
	}
	return r;
}

/* A commit raises the version of each row by one; the lost answer had these. */
static json_t *versions_after_commit(const struct txn_group *g)
{
	json_t *versions = json_object();
	const struct tg_txn *t;
	size_t i;

	for (t = g->txns; t; t = t->next)
		for (i = 0; i < t->n_conditions; i++)
			json_object_set_new(
				versions, t->conditions[i].key,
				json_integer(
					(json_int_t)t->conditions[i].version +
					1));
	return versions;
}

static void requeue_first(struct tg_plat *p, struct tg_txn *txns)
{
	struct tg_txn *last = txns;

	while (last->next)
		last = last->next;
	last->next = p->queue;
	if (!p->queue)
		p->queue_tail = &last->next;
	p->queue = txns;
}

/*
 * Queues the transactions again to be sent one by one.  This shows which of
 * them caused the failure of the group; the others succeed.
 */
static void split_group(struct txn_group *g)
{
	struct tg_plat *p = g->plat;

	requeue_first(p, g->txns);
	p->n_ungrouped = g->n_txns;
	p->group_in_flight = NULL;
	schedule_flush(p, 0);
	free_group(g);
}

static void complete_or_split_conflict(struct txn_group *g,
				       const json_t *conflicts)
{
	struct tg_row rows[TXN_ITEMS_MAX];
	struct tg_plat *p = g->plat;
	struct tg_txn *t = g->txns;
	size_t i, n = 0;
	json_t *v;

	if (g->n_txns > 1) {
		split_group(g);
		return;
	}
	json_array_foreach(conflicts, i, v)
		if (n < TXN_ITEMS_MAX && plat_parse_row(v, &rows[n]))
			n++;
	p->conflicts->value++;
	p->group_in_flight = NULL;
	complete_txn(t, TG_PLAT_CONFLICT, rows, n);
	schedule_flush(p, 0);
	free_group(g);
}

static void handle_conflict(struct txn_group *g, const json_t *answer)
{
	const json_t *conflicts = json_object_get(answer, "conflicts");
	enum first_attempt e = NOT_COMMITTED;
	json_t *versions;

	if (g->maybe_committed)
		e = check_first_attempt(g, conflicts);
	switch (e) {
	case NOT_COMMITTED:
		complete_or_split_conflict(g, conflicts);
		break;
	case COMMITTED:
		versions = versions_after_commit(g);
		complete_committed(g, versions);
		json_decref(versions);
		break;
	case COMMIT_UNKNOWN:
		g->plat->unknown_results->value += g->n_txns;
		tg_log(EV_PLAT_UNKNOWN, "writes=%zu", g->n_txns);
		complete_group(g, TG_PLAT_UNKNOWN);
		break;
	}
}

/* A transaction is invalid, or all of the group together are too large. */
static void complete_or_split_invalid(struct txn_group *g)
{
	if (g->n_txns > 1)
		split_group(g);
	else
		complete_group(g, TG_PLAT_INVALID);
}

static void handle_answer(struct txn_group *g, int status, const json_t *answer)
{
	if (status == 200 && json_is_true(json_object_get(answer, "committed")))
		complete_committed(g, json_object_get(answer, "versions"));
	else if (status == 409)
		handle_conflict(g, answer);
	else if (status >= 400 && status < 500 && !g->maybe_committed)
		complete_or_split_invalid(g);
	else
		resend_or_give_up(g);
}

static void on_response(struct tg_plat *p, const struct tg_http_result *r,
			void *arg)
{
	struct txn_group *g = arg;
	json_t *answer;

	if (r->end == TG_HTTP_COMPLETE && r->status == 503 &&
	    !g->maybe_committed) {
		complete_group(g, TG_PLAT_UNAVAILABLE);
		return;
	}
	if (!r->sent && !g->maybe_committed) {
		complete_group(g, TG_PLAT_UNAVAILABLE);
		return;
	}
	if (r->end != TG_HTTP_COMPLETE && p->opts.unsafe_assume_not_written) {
		complete_group(g, TG_PLAT_UNAVAILABLE);
		return;
	}
	if (r->end != TG_HTTP_COMPLETE || r->status == 503) {
		resend_or_give_up(g);
		return;
	}
	answer = tg_http_result_json(r);
	if (!answer)
		plat_report_bad_answer("table/txn");
	handle_answer(g, answer ? r->status : 0, answer);
	json_decref(answer);
}

static void move_to_group(struct tg_plat *p, struct txn_group *g,
			  struct tg_txn **head)
{
	struct tg_txn *t = *head;
	struct tg_txn **tail = &g->txns;

	*head = t->next;
	if (!*head)
		p->queue_tail = head;
	t->next = NULL;
	while (*tail)
		tail = &(*tail)->next;
	*tail = t;
	g->n_txns++;
	g->n_conditions += t->n_conditions;
	g->n_changes += t->n_changes;
}

static struct txn_group *new_group(struct tg_plat *p)
{
	struct txn_group *g = tg_xcalloc(1, sizeof(*g));
	size_t max = p->n_ungrouped ? 1 : p->opts.group_max;

	if (p->n_ungrouped)
		p->n_ungrouped--;
	g->plat = p;
	g->resend_timer = event_new(p->opts.base, -1, 0, on_resend_timer, g);
	g->settle_deadline_ms = tg_now_ms() + p->opts.settle_ms;
	tg_random_token(g->token);
	/*
	 * Stop at the first transaction that can't join: those on one row have
	 * to be sent in their order.
	 */
	while (p->queue && g->n_txns < max && can_join(g, p->queue))
		move_to_group(p, g, &p->queue);
	g->body = encode_group(g);
	return g;
}

void plat_on_flush_timer(evutil_socket_t fd, short what, void *arg)
{
	struct tg_plat *p = arg;

	(void)fd;
	(void)what;
	if (p->group_in_flight || !p->queue)
		return;
	p->group_in_flight = new_group(p);
	if (p->group_in_flight->body)
		send_group(p->group_in_flight);
	else
		complete_group(p->group_in_flight, TG_PLAT_INVALID);
}

void tg_txn_commit(struct tg_txn *t, tg_txn_done done, void *arg)
{
	struct tg_plat *p = t->plat;

	t->done = done;
	t->arg = arg;
	p->txns->value++;
	*p->queue_tail = t;
	p->queue_tail = &t->next;
	schedule_flush(p, p->opts.group_ms);
}

void plat_txn_free_all(struct tg_plat *p)
{
	struct tg_txn *t, *next;

	if (p->group_in_flight) {
		for (t = p->group_in_flight->txns; t; t = next) {
			next = t->next;
			plat_txn_free(t);
		}
		free_group(p->group_in_flight);
	}
	for (t = p->queue; t; t = next) {
		next = t->next;
		plat_txn_free(t);
	}
}
