#include <math.h>
#include <string.h>

#include "board.h"
#include "rowlist.h"

/*
 * Keeps what is known of the speed of workers in the store, where the next
 * owner reads it.  A row has the workers of one of a fixed number of parts, so
 * that a worker is always in the same row, whoever writes it.
 */

#define N_ROWS 16
/* A row is added to the owner's writes this often. */
#define PERIOD_MS 1000
/* Numbers are stored as integers of this unit. */
#define UNIT 10000.0
#define MEAN_MAX 5.0
#define VAR_MAX 1.0

static struct {
	struct tg_table_watch *table;
	int next; /* row */
	int64_t next_ms;
} s;

static int row_of(const char *id)
{
	unsigned int hash = 0;

	for (; *id; id++)
		hash = 31 * hash + (unsigned char)*id;
	return (int)(hash % N_ROWS);
}

static int64_t known_boot_ms(const struct link *l)
{
	return l->boot_ms ? l->boot_ms : l->entry.boot_ms;
}

char *speeds_next_row(struct board *b, char *key, size_t size)
{
	struct row_list list;
	struct link *l;

	if (!b->set.follow_speed || tg_now_ms() < s.next_ms)
		return NULL;
	s.next_ms = tg_now_ms() + PERIOD_MS;
	s.next = (s.next + 1) % N_ROWS;
	row_list_begin(&list, b->site.set.row_bytes);
	for (l = b->links; l; l = l->hh.next) {
		struct flow_speed v;

		if (row_of(l->entry.id) != s.next || !known_boot_ms(l) ||
		    !flow_worker_speed(b->flow, l->entry.id, &v))
			continue;
		row_list_add(&list,
			     json_pack("[s,I,I,I]", l->entry.id,
				       (json_int_t)known_boot_ms(l),
				       (json_int_t)lround(v.mean * UNIT),
				       (json_int_t)lround(v.var * UNIT)));
	}
	snprintf(key, size, "%02d", s.next);
	return row_list_end(&list, "workers");
}

/* Return: false if the entry is not valid. */
static bool apply_entry(struct board *b, json_t *e)
{
	const char *id;
	json_int_t boot_ms, mean, var;
	struct flow_speed v;
	struct link *l;

	if (json_unpack(e, "[s,I,I,I]", &id, &boot_ms, &mean, &var))
		return false;
	v.mean = (double)mean / UNIT;
	v.var = (double)var / UNIT;
	if (fabs(v.mean) > MEAN_MAX || v.var <= 0 || v.var > VAR_MAX)
		return false;
	HASH_FIND_STR(b->links, id, l);
	/* Another process may be on another machine. */
	if (l && known_boot_ms(l) == boot_ms)
		flow_worker_set_speed(b->flow, id, &v, tg_now_ms());
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
	list = json_object_get(o, "workers");
	valid = json_is_array(list);
	json_array_foreach(list, i, e)
		valid &= apply_entry(arg, e);
	if (!valid)
		tg_log(EV_ROW_BAD, "table=%s key=%s version=%lld", SPEEDS_TABLE,
		       row->key, (long long)row->version);
	json_decref(o);
}

void speeds_open(struct board *b)
{
	static const char *const parts[] = { TG_OWNER_PART };
	struct tg_table_watch_opts o = {
		.site = &b->site,
		.table = SPEEDS_TABLE,
		.parts = parts,
		.n_parts = 1,
		.once = true,
		.on_row = on_row,
		.arg = b,
	};

	if (b->set.follow_speed)
		s.table = tg_table_watch_new(&o);
}

void speeds_close(void)
{
	tg_table_watch_free(s.table);
	s.table = NULL;
}
