#include <stdlib.h>
#include <string.h>

#include "../../../cmd/tgflowd/board.h"
#include "../flow/fleet.h"
#include "speed.h"

/* The rows in which speeds are kept for the next owner. */

#define SLOW_WORKERS 20

static struct board b;
static struct flow *f;
static int64_t now_ms = 1000000;
static void (*on_row)(const struct tg_row *row, void *arg);

/* --- what speeds.c calls --- */

/* The linker puts it in the place of tg_now_ms(). */
int64_t fake_now_ms(void) __asm__("__wrap_tg_now_ms");

int64_t fake_now_ms(void)
{
	return now_ms;
}

struct tg_table_watch *
tg_table_watch_new(const struct tg_table_watch_opts *opts)
{
	on_row = opts->on_row;
	return NULL;
}

void tg_table_watch_free(struct tg_table_watch *t)
{
	(void)t;
}

void speeds_row_deliver(const struct tg_row *row, void *arg)
{
	on_row(row, arg);
}

static struct link *add_link(const char *id, int64_t boot_ms)
{
	struct link *l = tg_xcalloc(1, sizeof(*l));

	tg_strlcpy(l->entry.id, id, sizeof(l->entry.id));
	l->entry.boot_ms = boot_ms;
	HASH_ADD(hh, b.links, entry.id, strlen(l->entry.id), l);
	fleet_add_worker(f, id, "r", 8);
	return l;
}

static void setup(void)
{
	const struct flow_opts opts = { .follow_speed = true };

	memset(&b, 0, sizeof(b));
	tg_log_register(tg_site_events);
	f = b.flow = flow_new(&opts);
	b.set.follow_speed = true;
	b.site.set.row_bytes = 65536;
}

static void teardown(void)
{
	struct link *l, *tmp;

	HASH_ITER(hh, b.links, l, tmp) {
		HASH_DEL(b.links, l);
		free(l);
	}
	flow_free(f);
}

static void read_row(const char *text)
{
	const struct tg_row row = { .table = SPEEDS_TABLE,
				    .key = "00",
				    .value = text,
				    .value_bytes = strlen(text) };

	speeds_open(&b);
	on_row(&row, &b);
}

static void set(const char *id, double mean)
{
	const struct flow_speed v = { mean, 0.01 };

	flow_worker_set_speed(f, id, &v, 0);
}

/* A service with slow workers, so that speeds are used at all. */
static void add_slow_workers(void)
{
	struct orders o;
	int i;

	for (i = 0; i < SLOW_WORKERS; i++) {
		char id[16];

		snprintf(id, sizeof(id), "s%d", i);
		add_link(id, 7);
		set(id, i % 2 ? 0.5 : -0.5);
	}
	fleet_decide(f, &o, 1);
}

static bool knows(const char *id)
{
	struct flow_speed v;

	return flow_worker_speed(f, id, &v);
}

START_TEST(row_is_read_for_the_same_process_only)
{
	struct flow_speed v;

	add_slow_workers();
	add_link("same", 1000);
	add_link("other", 2000);
	read_row("{\"workers\":[[\"same\",1000,4000,100],"
		 "[\"other\",1000,4000,100],[\"gone\",1,1,1]]}");
	ck_assert(flow_worker_speed(f, "same", &v));
	ck_assert(v.mean > 0.39 && v.mean < 0.41);
	ck_assert(!knows("other"));
}
END_TEST

/* Another writer's row must neither end the process nor be believed. */
START_TEST(odd_rows_are_left_out)
{
	static const char *const texts[] = {
		"",
		"[]",
		"{}",
		"{\"workers\":7}",
		"{\"workers\":[7,null,{},[]]}",
		"{\"workers\":[[\"w\"]]}",
		"{\"workers\":[[\"w\",\"1000\",1,1]]}",
		"{\"workers\":[[\"w\",1000,90000,100]]}",
		"{\"workers\":[[\"w\",1000,100,0]]}",
		"{\"workers\":[[\"w\",1000,100,-5]]}",
		"{\"workers\":[[\"w\",1000,100,20000]]}",
	};
	size_t i;

	add_slow_workers();
	add_link("w", 1000);
	for (i = 0; i < ARRAY_SIZE(texts); i++)
		read_row(texts[i]);
	ck_assert(!knows("w"));
}
END_TEST

/* What this owner has seen itself goes before what the last one knew. */
START_TEST(better_estimate_is_kept)
{
	struct flow_speed v;

	add_slow_workers();
	add_link("w", 1000);
	set("w", 0.5);
	read_row("{\"workers\":[[\"w\",1000,-4000,400]]}");
	ck_assert(flow_worker_speed(f, "w", &v));
	ck_assert(v.mean > 0.4);
}
END_TEST

/* One row is due at a time, and together they have all workers. */
START_TEST(rows_hold_every_worker_once)
{
	char key[32], *text;
	size_t found = 0;
	int i;

	add_slow_workers();
	for (i = 0; i < 16; i++) {
		json_t *o;

		text = speeds_next_row(&b, key, sizeof(key));
		o = text ? json_loads(text, 0, NULL) : NULL;
		found += json_array_size(json_object_get(o, "workers"));
		json_decref(o);
		free(text);
		ck_assert(!speeds_next_row(&b, key, sizeof(key)));
		now_ms += 1000;
	}
	ck_assert_int_eq(found, SLOW_WORKERS);
}
END_TEST

TCase *speeds_row_tcase(void)
{
	TCase *t = tcase_create("rows");

	tcase_add_checked_fixture(t, setup, teardown);
	tcase_add_test(t, row_is_read_for_the_same_process_only);
	tcase_add_test(t, odd_rows_are_left_out);
	tcase_add_test(t, better_estimate_is_kept);
	tcase_add_test(t, rows_hold_every_worker_once);
	return t;
}
