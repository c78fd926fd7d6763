#include <math.h>
#include <string.h>

#include "board.h"
#include "rowlist.h"

/*
 * Keeps what workspaces have held in the store, so that the next owner doesn't
 * begin with the backlog of the one that has submitted most.
 */

#define ACCOUNTS_KEY "accounts"
#define PERIOD_MS 2000
#define UNIT 100.0
#define HELD_MAX 1000000.0

static struct {
	struct tg_table_watch *table;
	int64_t next_ms;
} s;

static void add_account(const struct flow_account *a, void *arg)
{
	json_t *held = json_array();
	int i;

	for (i = 0; i < FLOW_FAIR_LEVELS; i++)
		json_array_append_new(
			held, json_integer(lround(a->held_workers[i] * UNIT)));
	row_list_add(arg, json_pack("[s,o]", a->workspace, held));
}

char *accounts_next_row(struct board *b, char *key, size_t size)
{
	struct row_list l;

	if (!b->set.fair_shares || tg_now_ms() < s.next_ms)
		return NULL;
	s.next_ms = tg_now_ms() + PERIOD_MS;
	row_list_begin(&l, b->site.set.row_bytes);
	flow_each_account(b->flow, add_account, &l);
	tg_strlcpy(key, ACCOUNTS_KEY, size);
	return row_list_end(&l, "workspaces");
}

/* Return: false if the entry is not valid. */
static bool apply_entry(struct board *b, const json_t *e)
{
	const char *name = json_string_value(json_array_get(e, 0));
	const json_t *held = json_array_get(e, 1), *v;
	struct flow_account a = { .workspace = name };
	size_t i;

	if (!name || !json_is_array(held))
		return false;
	json_array_foreach(held, i, v) {
		double x = (double)json_integer_value(v) / UNIT;

		if (!json_is_integer(v) || x < 0 || x > HELD_MAX)
			return false;
		if (i < FLOW_FAIR_LEVELS)
			a.held_workers[i] = x;
	}
	flow_set_account(b->flow, &a);
	return true;
}

static void on_row(const struct tg_row *row, void *arg)
{
	json_t *o, *list, *e;
	bool valid;
	size_t i;

	if (row->deleted)
		return;
	o = json_loadb(row->value, row->value_bytes, 0, NULL);
	list = json_object_get(o, "workspaces");
	valid = json_is_array(list);
	json_array_foreach(list, i, e)
		valid &= apply_entry(arg, e);
	if (!valid)
		tg_log(EV_ROW_BAD, "table=%s key=%s version=%lld",
		       ACCOUNTS_TABLE, row->key, (long long)row->version);
	json_decref(o);
}

void accounts_open(struct board *b)
{
	static const char *const parts[] = { TG_OWNER_PART };
	struct tg_table_watch_opts o = {
		.site = &b->site,
		.table = ACCOUNTS_TABLE,
		.parts = parts,
		.n_parts = 1,
		.once = true,
		.on_row = on_row,
		.arg = b,
	};

	if (b->set.fair_shares)
		s.table = tg_table_watch_new(&o);
}

void accounts_close(void)
{
	tg_table_watch_free(s.table);
	s.table = NULL;
}
