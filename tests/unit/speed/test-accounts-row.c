#include <stdlib.h>
#include <string.h>

#include "../../../cmd/tgflowd/board.h"
#include "../flow/fleet.h"
#include "speed.h"

/* The row in which accounts of workspaces are kept for the next owner. */

static struct board b;

static void setup(void)
{
	const struct flow_opts opts = { .fair_shares = true };

	memset(&b, 0, sizeof(b));
	tg_log_register(tg_site_events);
	b.flow = flow_new(&opts);
	b.set.fair_shares = true;
	b.site.set.row_bytes = 65536;
}

static void teardown(void)
{
	flow_free(b.flow);
}

static void read_row(const char *text)
{
	const struct tg_row row = { .table = ACCOUNTS_TABLE,
				    .key = "accounts",
				    .value = text,
				    .value_bytes = strlen(text) };

	accounts_open(&b);
	speeds_row_deliver(&row, &b);
}

static void sum_held(const struct flow_account *a, void *arg)
{
	double *sum = arg;
	int i;

	for (i = 0; i < FLOW_FAIR_LEVELS; i++)
		*sum += a->held_workers[i];
}

static double held(void)
{
	double sum = 0;

	flow_each_account(b.flow, sum_held, &sum);
	return sum;
}

START_TEST(next_owner_reads_what_this_one_wrote)
{
	struct flow_account a = { .workspace = "w",
				  .held_workers = { 1.5, 2 } };
	char key[32], *text;

	flow_set_account(b.flow, &a);
	text = accounts_next_row(&b, key, sizeof(key));
	ck_assert_ptr_nonnull(text);
	teardown();
	setup();
	read_row(text);
	free(text);
	ck_assert(held() > 3.4 && held() < 3.6);
}
END_TEST

static void add_account(struct flow_account *a, char *name, size_t bytes,
			char fill)
{
	memset(name, fill, bytes);
	name[bytes] = '\0';
	a->workspace = name;
	flow_set_account(b.flow, a);
}

/*
 * The accounts of workspaces with names of over 63 bytes were not read, and the
 * space that the row has was counted for such names only.  A control character
 * takes six bytes in JSON.
 */
START_TEST(long_names_are_kept_while_the_row_has_space)
{
	struct flow_account a = { .held_workers = { 1 } };
	char key[32], name[1001], *text;

	add_account(&a, name, 200, 'a');
	add_account(&a, name, 1000, '\n');
	add_account(&a, name, 1000, '"');
	add_account(&a, name, 900, 'b');
	b.site.set.row_bytes = 3200;
	text = accounts_next_row(&b, key, sizeof(key));
	ck_assert_ptr_nonnull(text);
	ck_assert_uint_le(strlen(text), 3200);
	teardown();
	setup();
	read_row(text);
	free(text);
	/* Only the one that takes 6000 bytes is left out. */
	ck_assert(held() == 3);
}
END_TEST

START_TEST(odd_accounts_are_left_out)
{
	static const char *const texts[] = {
		"",
		"{}",
		"{\"workspaces\":{}}",
		"{\"workspaces\":[7,null,[],{}]}",
		"{\"workspaces\":[[\"w\"]]}",
		"{\"workspaces\":[[\"w\",[\"1\"]]]}",
		"{\"workspaces\":[[\"w\",[-1]]]}",
		"{\"workspaces\":[[\"w\",[9000000000000]]]}",
	};
	size_t i;

	for (i = 0; i < ARRAY_SIZE(texts); i++)
		read_row(texts[i]);
	ck_assert(held() == 0);
	/* Further priorities than this version has are ignored. */
	read_row("{\"workspaces\":[[\"w\",[100,0,0,0,100,100]]]}");
	ck_assert(held() == 1);
}
END_TEST

TCase *accounts_row_tcase(void)
{
	TCase *t = tcase_create("accounts");

	tcase_add_checked_fixture(t, setup, teardown);
	tcase_add_test(t, next_owner_reads_what_this_one_wrote);
	tcase_add_test(t, long_names_are_kept_while_the_row_has_space);
	tcase_add_test(t, odd_accounts_are_left_out);
	return t;
}
