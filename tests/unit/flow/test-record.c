#include <stdlib.h>
#include <string.h>

#include "record-store.h"

/*
 * The rows that hold the progress of a job: their sizes, and what a new owner
 * makes of them if it takes over between two transactions.
 */

static struct flow *f;
static struct orders o;
static struct record_store store;

static void setup(void)
{
	f = fleet_new();
}

static void teardown(void)
{
	flow_free(f);
	record_store_clear(&store);
}

static void take_over(void)
{
	flow_free(f);
	f = fleet_new();
}

static int64_t done_of(const char *job)
{
	struct flow_job_status v;

	ck_assert(flow_job_status(f, job, &v));
	return v.done;
}

static enum flow_state state_of(const char *job)
{
	struct flow_job_status v;

	ck_assert(flow_job_status(f, job, &v));
	return v.state;
}

static void count_run(const struct flow_run_ref *r, int64_t started_ms,
		      void *arg)
{
	(void)r;
	(void)started_ms;
	++*(int *)arg;
}

static int runs_on(const char *worker)
{
	int n = 0;

	flow_each_run_of(f, worker, false, count_run, &n);
	return n;
}

/* A job of 100 tasks on worker w1, which needs four rows. */
static void add_job(void)
{
	fleet_add_worker(f, "w1", "r1", 100);
	fleet_add_job(f, "j1", "normal", fleet_new_spec(100, 1, false), 0);
}

/* Starts all tasks of it. */
static void run_job(void)
{
	add_job();
	fleet_decide_unwritten(f, &o, 1);
	ck_assert_uint_eq(record_store_write(&store, f, 90), 4);
	fleet_start_recorded(f, &o, 2);
	fleet_confirm_starts(f, &o, 2);
}

/* Makes a new owner of the engine, which reads the job. */
static void read_job(void)
{
	take_over();
	add_job();
	record_store_read(&store, f);
}

/* The platform's smallest limit that is known, and its usual one. */
#define SMALL_ROW_BYTES 16384
#define ROW_BYTES 65536

/*
 * Starts all tasks on workers with ids of @id_bytes, with the largest numbers,
 * after those from @from until before @end have failed, whose records get as
 * large as they can; writes that.
 */
static void write_largest(const char *job, int32_t tasks, int32_t from,
			  int32_t end, char checkpoint, size_t id_bytes)
{
	char worker[TG_KEY_MAX + 1], saved[FLOW_CHECKPOINT_LEN + 1];
	int32_t i, k;

	memset(worker, 'w', id_bytes);
	worker[id_bytes] = '\0';
	memset(saved, checkpoint, FLOW_CHECKPOINT_LEN);
	saved[FLOW_CHECKPOINT_LEN] = '\0';
	fleet_add_job(f, job, "unknown", fleet_new_spec(tasks, 0, false), 0);
	for (i = 0; i < tasks; i++) {
		struct flow_run_ref r = { job, 0, 0, i, 0 };

		snprintf(worker, sizeof(worker), "%05d", i / 100);
		worker[5] = 'w';
		if (i % 100 == 0)
			fleet_add_worker(f, worker, "r1", 1);
		for (k = 0; k < 20 && i >= from && i < end; k++) {
			r.run = INT32_MAX - 100 + k;
			flow_report_end(f, &r, worker, FLOW_RUN_FAILED, saved,
					1);
		}
		r.run = INT32_MAX;
		flow_report_run(f, &r, worker, 50, saved, 2);
	}
	while (record_store_write(&store, f, 90))
		;
}

/*
 * All progress of a job was in one row, which the store refused once the job
 * was large: nothing more was recorded, and no start went on (review/3).
 */
START_TEST(row_stays_small_however_large_the_job)
{
	/* The largest job in parts, since the time of a test is limited. */
	static const struct {
		int32_t tasks, from, end;
	} parts[] = {
		{ 1, 0, 1 },
		{ 31, 0, 31 },
		{ 32, 0, 32 },
		{ 33, 0, 33 },
		{ 64, 0, 64 },
		{ 65, 0, 65 },
		{ 1000, 0, 1000 },
		{ 20000, 0, 5024 },
		{ 20000, 5024, 10048 },
		{ 20000, 10048, 15072 },
		{ 20000, 15072, 20000 },
	};
	int32_t tasks = parts[_i].tasks;
	size_t rows =
		((size_t)tasks + FLOW_RECORD_TASKS - 1) / FLOW_RECORD_TASKS;

	write_largest("j1", tasks, parts[_i].from, parts[_i].end, 'c',
		      TG_NAME_MAX);
	ck_assert_uint_eq(store.n, rows);
	ck_assert_uint_le(store.largest_bytes, SMALL_ROW_BYTES);
	take_over();
	fleet_add_job(f, "j1", "unknown", fleet_new_spec(tasks, 0, false), 0);
	record_store_read(&store, f);
	ck_assert_ptr_null(flow_take_dirty(f));
	/* Each task has its run, and none is started again. */
	fleet_decide_unwritten(f, &o, 10);
	ck_assert_ptr_null(flow_take_dirty(f));
}
END_TEST

/* An id of a worker may be as long as a key of the store. */
START_TEST(row_fits_with_any_checkpoint_and_worker)
{
	write_largest("j1", 100, 0, 100, '\x01', TG_KEY_MAX);
	ck_assert_uint_le(store.largest_bytes, ROW_BYTES);
}
END_TEST

/* The cost of an end must not depend on the size of its job. */
START_TEST(change_of_one_task_writes_one_row)
{
	fleet_add_worker(f, "w1", "r1", 1000);
	fleet_add_job(f, "j1", "normal", fleet_new_spec(1000, 1, false), 0);
	fleet_decide(f, &o, 1);
	ck_assert_int_eq(o.n_starts, 1000);
	fleet_end_run(f, &o.starts[500], FLOW_RUN_DONE, 2);
	ck_assert_str_eq(flow_take_dirty(f), "j1~00480");
	ck_assert_ptr_null(flow_take_dirty(f));
}
END_TEST

/* No member of a gang may start before all are recorded. */
START_TEST(gang_waits_for_all_its_records)
{
	fleet_add_worker(f, "w1", "r1", 100);
	fleet_add_job(f, "j1", "normal", fleet_new_spec(40, 1, true), 0);
	fleet_decide_unwritten(f, &o, 1);
	ck_assert_uint_eq(record_store_write(&store, f, 1), 1);
	fleet_start_recorded(f, &o, 2);
	ck_assert_int_eq(o.n_starts, 0);
	ck_assert_uint_eq(record_store_write(&store, f, 1), 1);
	fleet_start_recorded(f, &o, 3);
	ck_assert_int_eq(o.n_starts, 40);
}
END_TEST

/* The end of a gang is in several rows, of which the new owner has the first.
 */
START_TEST(gang_that_is_done_in_part_is_done)
{
	fleet_add_worker(f, "w1", "r1", 100);
	fleet_add_job(f, "j1", "normal", fleet_new_spec(40, 1, true), 0);
	fleet_decide(f, &o, 1);
	fleet_confirm_starts(f, &o, 2);
	fleet_end_run(f, &o.starts[39], FLOW_RUN_DONE, 3);
	ck_assert_uint_eq(record_store_write(&store, f, 1), 1);
	take_over();
	fleet_add_job(f, "j1", "normal", fleet_new_spec(40, 1, true), 0);
	record_store_read(&store, f);
	ck_assert_int_eq(done_of("j1"), 40);
}
END_TEST

/* A gang resumes from one checkpoint, whichever rows were written. */
START_TEST(gang_has_one_checkpoint_after_takeover)
{
	struct flow_spec *s = fleet_new_spec(40, 1, true);
	struct flow_run_ref r;
	int i;

	s->steps[0].checkpoints = true;
	fleet_add_worker(f, "w1", "r1", 100);
	fleet_add_job(f, "j1", "normal", s, 0);
	fleet_decide(f, &o, 1);
	fleet_confirm_starts(f, &o, 2);
	for (i = 39; i >= 0; i--) {
		char saved[8];

		snprintf(saved, sizeof(saved), "c%d", i);
		r = fleet_run_ref(&o.starts[i]);
		flow_report_end(f, &r, "w1", FLOW_RUN_STOPPED, saved, 3);
		if (i == 20)
			while (record_store_write(&store, f, 90))
				;
	}
	record_store_write(&store, f, 1);
	take_over();
	s = fleet_new_spec(40, 1, true);
	s->steps[0].checkpoints = true;
	fleet_add_worker(f, "w1", "r1", 100);
	fleet_add_job(f, "j1", "normal", s, 0);
	record_store_read(&store, f);
	flow_report_list_end(f, "w1", 10, 11);
	flow_report_list_end(f, "w1", 12 + STOP_MS, 13 + STOP_MS);
	fleet_decide(f, &o, 14 + STOP_MS);
	ck_assert_int_eq(o.n_starts, 40);
	for (i = 1; i < 40; i++)
		ck_assert_str_eq(o.starts[i].saved, o.starts[0].saved);
}
END_TEST

/* Rows of a job that ended are deleted, but never before its end is stored. */
START_TEST(rows_of_an_ended_job_are_deleted_after_its_end)
{
	int i;

	run_job();
	for (i = 99; i >= 0; i--)
		fleet_end_run(f, &o.starts[i], FLOW_RUN_DONE, 3);
	ck_assert_int_eq(state_of("j1"), FLOW_COMPLETED);
	ck_assert(!flow_next_expired(f, 1000, 0));
	/* Record 0 goes first. */
	ck_assert_uint_eq(record_store_write(&store, f, 1), 1);
	ck_assert_str_eq(store.rows[0].text, "{\"state\":2}");
	ck_assert_uint_eq(store.n, 4);
	/* A new owner ignores what the others still say. */
	read_job();
	ck_assert_int_eq(runs_on("w1"), 0);
	ck_assert_int_eq(state_of("j1"), FLOW_COMPLETED);
	ck_assert(!flow_has_dirty(f));
	ck_assert(!flow_next_expired(f, 1000, 0));
	while (record_store_write(&store, f, 2))
		;
	ck_assert_uint_eq(store.n, 1);
	ck_assert_str_eq(flow_next_expired(f, 1000, 0), "j1");
}
END_TEST

/* The last task ends the job, but its row has other tasks that are done. */
START_TEST(row_is_not_deleted_before_the_end_is_stored)
{
	int i;

	run_job();
	for (i = 0; i < 99; i++)
		fleet_end_run(f, &o.starts[i], FLOW_RUN_DONE, 3);
	record_store_write(&store, f, 90);
	fleet_end_run(f, &o.starts[99], FLOW_RUN_DONE, 4);
	record_store_write(&store, f, 1);
	read_job();
	ck_assert(state_of("j1") == FLOW_COMPLETED || done_of("j1") >= 99);
}
END_TEST

/* Runs that are being stopped are recorded until they end, in any row. */
START_TEST(runs_of_a_cancelled_job_are_read_from_all_rows)
{
	int i;

	run_job();
	flow_cancel(f, "j1", 3);
	for (i = 0; i < 90; i++)
		fleet_end_run(f, &o.starts[i], FLOW_RUN_STOPPED, 4);
	while (record_store_write(&store, f, 90))
		;
	ck_assert_uint_eq(store.n, 3);
	read_job();
	ck_assert_int_eq(state_of("j1"), FLOW_CANCELLED);
	ck_assert_int_eq(runs_on("w1"), 10);
}
END_TEST

/* Returns the row that an older version wrote for a job of 100 tasks. */
static char *old_row(void)
{
	json_t *runs = json_array(), *row;
	char *text;
	int i;

	for (i = 60; i < 100; i++)
		json_array_append_new(runs, json_pack("[iis]", i, 1, "w1"));
	row = json_pack("{s:i,s:[{s:s,s:{s:[i,s,[i],[],i]},s:o}]}", "state", 0,
			"steps", "done", "0-49", "tasks", "55", 1, "c", 1, 0,
			"runs", runs);
	text = json_dumps(row, JSON_COMPACT);
	json_decref(row);
	return text;
}

/*
 * Older versions wrote a job into one row.  A take-over may come after any of
 * the transactions that replace it.
 */
START_TEST(row_of_an_older_version_is_split)
{
	char *text = old_row();
	struct flow_run_ref r = { "j1", 0, 0, 99, 1 };
	struct flow_stats st;
	int n;

	record_store_put(&store, "j1", text);
	free(text);
	read_job();
	ck_assert_int_eq(done_of("j1"), 50);
	ck_assert_int_eq(runs_on("w1"), 40);
	flow_report_end(f, &r, "w1", FLOW_RUN_DONE, "", 2);
	for (n = 0; n < _i; n++)
		ck_assert_uint_eq(record_store_write(&store, f, 1), 1);
	/* Nothing starts before the old row is replaced. */
	fleet_decide_unwritten(f, &o, 3);
	flow_stats(f, &st);
	ck_assert_int_eq(st.runs, _i < 4 ? 39 : 49);

	read_job();
	ck_assert_int_ge(runs_on("w1"), 39);
	while (record_store_write(&store, f, 1))
		;
	flow_report_end(f, &r, "w1", FLOW_RUN_DONE, "", 2);
	while (record_store_write(&store, f, 1))
		;
	ck_assert_uint_eq(store.n, 4);
	read_job();
	ck_assert_int_eq(done_of("j1"), 51);
	ck_assert_int_eq(runs_on("w1"), 39);
	fleet_decide(f, &o, 4);
	ck_assert_int_eq(o.n_starts, 10);
	ck_assert_str_eq(o.starts[5].saved, "c");
}
END_TEST

/*
 * A write that the store refuses for good was repeated for ever, and stopped
 * every other job.
 */
START_TEST(job_whose_record_is_refused_fails_alone)
{
	fleet_add_worker(f, "w1", "r1", 100);
	fleet_add_job(f, "j1", "normal", fleet_new_spec(40, 1, false), 0);
	fleet_add_job(f, "j2", "normal", fleet_new_spec(40, 1, false), 0);
	fleet_decide_unwritten(f, &o, 1);
	record_store_refuse(f, 4);
	ck_assert_str_eq(flow_take_dirty(f), "j1");
	flow_mark_unwritten(f);
	ck_assert(flow_record_refused(f, "j1~00032"));
	ck_assert_int_eq(state_of("j1"), FLOW_FAILED);
	while (record_store_write(&store, f, 1))
		;
	ck_assert_uint_eq(store.n, 3);
	fleet_start_recorded(f, &o, 2);
	ck_assert_int_eq(o.n_starts, 40);
	ck_assert_str_eq(o.starts[0].job, "j2");
	/* Even that it has failed is refused: nothing is tried again. */
	ck_assert(!flow_record_refused(f, "j1"));
	ck_assert(!flow_has_dirty(f));
}
END_TEST

/* A transaction must not write a row twice. */
START_TEST(record_is_taken_once_in_a_write)
{
	fleet_add_worker(f, "w1", "r1", 100);
	fleet_add_job(f, "j1", "normal", fleet_new_spec(40, 1, false), 0);
	fleet_decide_unwritten(f, &o, 1);
	ck_assert_str_eq(flow_take_dirty(f), "j1");
	ck_assert_str_eq(flow_take_dirty(f), "j1~00032");
	ck_assert(flow_record_refused(f, "j1~00032"));
	ck_assert_ptr_null(flow_take_dirty(f));
	ck_assert(flow_has_dirty(f));
	flow_mark_written(f);
	ck_assert_str_eq(flow_take_dirty(f), "j1");
	ck_assert_ptr_null(flow_take_dirty(f));
}
END_TEST

/* Guards against a search that finds only the current run of a task. */
START_TEST(end_of_an_older_run_is_found)
{
	struct flow_run_ref r = { "j1", 0, 0, 0, 1 };

	fleet_add_worker(f, "w1", "r1", 1);
	fleet_add_worker(f, "w2", "r1", 1);
	fleet_add_job(f, "j1", "normal", fleet_new_spec(1, 1, false), 0);
	flow_report_run(f, &r, "w1", 50, "", 1);
	r.run = 2;
	flow_report_run(f, &r, "w2", 50, "", 2);
	/* The current one ends first, or not. */
	if (_i) {
		flow_report_end(f, &r, "w2", FLOW_RUN_FAILED, "", 3);
		ck_assert_int_eq(runs_on("w2"), 0);
	}
	r.run = 1;
	flow_report_end(f, &r, "w1", FLOW_RUN_FAILED, "", 4);
	ck_assert_int_eq(runs_on("w1"), 0);
}
END_TEST

TCase *record_tcase(void)
{
	TCase *t = tcase_create("records");

	tcase_add_checked_fixture(t, setup, teardown);
	tcase_add_loop_test(t, row_stays_small_however_large_the_job, 0, 11);
	tcase_add_test(t, row_fits_with_any_checkpoint_and_worker);
	tcase_add_test(t, change_of_one_task_writes_one_row);
	tcase_add_test(t, gang_waits_for_all_its_records);
	tcase_add_test(t, gang_that_is_done_in_part_is_done);
	tcase_add_test(t, gang_has_one_checkpoint_after_takeover);
	tcase_add_test(t, rows_of_an_ended_job_are_deleted_after_its_end);
	tcase_add_test(t, row_is_not_deleted_before_the_end_is_stored);
	tcase_add_test(t, runs_of_a_cancelled_job_are_read_from_all_rows);
	tcase_add_loop_test(t, row_of_an_older_version_is_split, 0, 5);
	tcase_add_test(t, job_whose_record_is_refused_fails_alone);
	tcase_add_test(t, record_is_taken_once_in_a_write);
	tcase_add_loop_test(t, end_of_an_older_run_is_found, 0, 2);
	return t;
}
