#include <stdlib.h>
#include <string.h>

#include "fleet.h"

/*
 * Names of queues, workspaces, services, labels and racks have any length.  The
 * engine kept their first 63 bytes, so that two of them became one.
 */

#define PREFIX_BYTES (TG_KEY_MAX - 1)

static struct flow *f;
static struct orders o;
static char name_a[PREFIX_BYTES + 2], name_b[PREFIX_BYTES + 2];

static void setup(void)
{
	f = fleet_new();
	memset(name_a, 'n', PREFIX_BYTES);
	memcpy(name_b, name_a, PREFIX_BYTES);
	name_a[PREFIX_BYTES] = 'a';
	name_b[PREFIX_BYTES] = 'b';
}

static void teardown(void)
{
	flow_free(f);
}

static void count_queue(const struct flow_queue_usage *u, void *arg)
{
	int64_t *starts = arg;

	if (!strcmp(u->queue, name_a))
		*starts = u->starts;
}

/*
 * The jobs of both queues stayed queued beside idle workers, and each document
 * added another entry under the cut name.
 */
START_TEST(queues_that_share_a_prefix_stay_apart)
{
	struct flow_queue q[] = { fleet_queue(name_a, 1),
				  fleet_queue(name_b, 1) };
	int64_t starts = 0;

	q[1].service = "without workers";
	flow_set_queues(f, q, 2);
	fleet_add_worker(f, "w1", "r1", 8);
	fleet_add_job(f, "j1", name_a, fleet_new_spec(2, 1, false), 0);
	fleet_add_job(f, "j2", name_b, fleet_new_spec(1, 1, false), 0);
	ck_assert_int_eq(flow_count_waiting(f, name_a), 1);
	ck_assert_int_eq(flow_count_waiting(f, name_b), 1);
	fleet_decide(f, &o, 1);
	ck_assert_int_eq(o.n_starts, 2);
	ck_assert_str_eq(o.starts[0].job, "j1");
	fleet_confirm_starts(f, &o, 2);
	ck_assert_int_eq(flow_count_waiting(f, name_a), 0);
	ck_assert_int_eq(flow_count_waiting(f, name_b), 1);
	/* A queue that stays in the document keeps its counts. */
	flow_set_queues(f, q, 2);
	flow_each_queue_usage(f, 3, count_queue, &starts);
	ck_assert_int_eq(starts, 2);
	flow_set_queues(f, q, 1);
	fleet_decide(f, &o, 4);
	ck_assert_int_eq(o.n_starts, 0);
}
END_TEST

static void add_job_of(const char *id, const char *workspace,
		       int32_t accelerators, int64_t accepted_ms)
{
	struct flow_job_opts j = {
		.id = id,
		.queue = "urgent",
		.workspace = workspace,
		.spec = fleet_new_spec(1, accelerators, false),
		.accepted_ms = accepted_ms,
	};

	ck_assert(flow_add_job(f, &j));
}

/* One workspace got the guarantee of the other. */
START_TEST(workspaces_that_share_a_prefix_stay_apart)
{
	const struct flow_quota q[] = { { name_a, 0 }, { name_b, 8 } };

	flow_set_quotas(f, q, 2);
	fleet_add_worker(f, "w1", "r1", 8);
	add_job_of("j1", name_a, 8, 0);
	add_job_of("j2", name_b, 8, 1);
	fleet_decide(f, &o, 2);
	ck_assert_int_eq(o.n_starts, 1);
	ck_assert_str_eq(o.starts[0].job, "j2");
}
END_TEST

struct held {
	double a, b;
	int n;
};

static void add_held(const struct flow_account *a, void *arg)
{
	struct held *h = arg;

	h->n++;
	if (!strcmp(a->workspace, name_a))
		h->a = a->held_workers[0];
	if (!strcmp(a->workspace, name_b))
		h->b = a->held_workers[0];
}

/* What one had held counted against both. */
START_TEST(accounts_that_share_a_prefix_stay_apart)
{
	const struct flow_account a = { .workspace = name_a,
					.held_workers = { 3 } };
	const struct flow_account b = { .workspace = name_b,
					.held_workers = { 1 } };
	struct held h = { 0 };

	flow_set_account(f, &a);
	flow_set_account(f, &b);
	flow_each_account(f, add_held, &h);
	ck_assert_int_eq(h.n, 2);
	ck_assert(h.a == 3 && h.b == 1);
}
END_TEST

static void add_worker(const char *id, const char *service, const char *rack,
		       const char *label)
{
	struct flow_worker_spec s = {
		.id = id,
		.service = service,
		.az = "a",
		.rack = rack,
		.labels = { label, rack },
		.n_labels = 2,
		.capacity = { 128000, 256000, 8 },
	};

	flow_worker_update(f, &s);
	flow_worker_set_runs_known(f, id);
}

/* Workers of one served the jobs of the other, or nobody did. */
START_TEST(services_that_share_a_prefix_stay_apart)
{
	struct flow_queue q[] = { fleet_queue(name_a, 1),
				  fleet_queue(name_b, 1) };

	q[0].service = name_a;
	q[1].service = name_b;
	flow_set_queues(f, q, 2);
	add_worker("w1", name_b, "r1", "kind");
	fleet_add_job(f, "j1", name_a, fleet_new_spec(1, 1, false), 0);
	fleet_add_job(f, "j2", name_b, fleet_new_spec(1, 1, false), 0);
	fleet_decide(f, &o, 1);
	ck_assert_int_eq(o.n_starts, 1);
	ck_assert_str_eq(o.starts[0].job, "j2");
}
END_TEST

/* A gang that is slow over several racks was spread over both. */
START_TEST(racks_that_share_a_prefix_stay_apart)
{
	struct flow_spec *s = fleet_new_spec(2, 8, true);

	s->steps[0].within_rack = true;
	add_worker("w1", "s", name_a, "kind");
	add_worker("w2", "s", name_b, "kind");
	add_worker("w3", "s", name_b, "kind");
	fleet_add_job(f, "j1", "normal", s, 0);
	fleet_decide(f, &o, 1);
	ck_assert_int_eq(o.n_starts, 2);
	ck_assert_str_ne(o.starts[0].worker, "w1");
	ck_assert_str_ne(o.starts[1].worker, "w1");
}
END_TEST

/* The next owner reads the job from its row. */
START_TEST(specification_keeps_long_names)
{
	struct flow_spec *s = fleet_new_spec(1, 1, false), *got;
	json_t *row;

	s->steps[0].label = tg_xstrdup(name_a);
	s->steps[0].data_rack = tg_xstrdup(name_b);
	s->steps[0].image = tg_xstrdup(name_a);
	row = flow_spec_encode(s);
	got = flow_spec_decode(row);
	ck_assert_ptr_nonnull(got);
	ck_assert_str_eq(got->steps[0].label, name_a);
	ck_assert_str_eq(got->steps[0].data_rack, name_b);
	ck_assert_str_eq(got->steps[0].image, name_a);
	json_decref(row);
	flow_spec_free(s);
	flow_spec_free(got);
}
END_TEST

/* A label was taken for another one that begins with the same 63 bytes. */
START_TEST(labels_that_share_a_prefix_stay_apart)
{
	struct flow_spec *s = fleet_new_spec(1, 1, false);

	s->steps[0].label = tg_xstrdup(name_b);
	add_worker("w1", "s", "r1", name_a);
	fleet_add_job(f, "j1", "normal", s, 0);
	fleet_decide(f, &o, 1);
	ck_assert_int_eq(o.n_starts, 0);
	add_worker("w2", "s", "r1", name_b);
	fleet_decide(f, &o, 2);
	ck_assert_int_eq(o.n_starts, 1);
	ck_assert_str_eq(o.starts[0].worker, "w2");
}
END_TEST

/* The engine dropped a worker that had the id of another one when cut. */
START_TEST(workers_that_share_a_prefix_stay_apart)
{
	add_worker(name_a, "s", "r1", "kind");
	add_worker(name_b, "s", "r1", "kind");
	fleet_add_job(f, "j1", "normal", fleet_new_spec(2, 8, true), 0);
	fleet_decide(f, &o, 1);
	ck_assert_int_eq(o.n_starts, 2);
	ck_assert_str_ne(o.starts[0].worker, o.starts[1].worker);
}
END_TEST

TCase *names_tcase(void)
{
	TCase *t = tcase_create("names");

	tcase_add_checked_fixture(t, setup, teardown);
	tcase_add_test(t, queues_that_share_a_prefix_stay_apart);
	tcase_add_test(t, workspaces_that_share_a_prefix_stay_apart);
	tcase_add_test(t, accounts_that_share_a_prefix_stay_apart);
	tcase_add_test(t, services_that_share_a_prefix_stay_apart);
	tcase_add_test(t, racks_that_share_a_prefix_stay_apart);
	tcase_add_test(t, labels_that_share_a_prefix_stay_apart);
	tcase_add_test(t, specification_keeps_long_names);
	tcase_add_test(t, workers_that_share_a_prefix_stay_apart);
	return t;
}
