#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "../run.h"
#include "odd.h"
#include "platform/platform.h"

#define CAPACITY "\"capacity\":{\"cpu\":1000,\"mem-mb\":2000,\"gpu\":8}"
#define ENTRY \
	"\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"a\"," CAPACITY

static int decode(const char *text, struct tg_worker_entry *out)
{
	struct tg_row row = { .key = "w1",
			      .value = text,
			      .value_bytes = strlen(text) };

	return tg_platform_ops.worker(&row, out);
}

/*
 * Invalid entries, such as those written by other programs, must be rejected
 * and must not crash the decoder.
 */
START_TEST(invalid_entries_are_rejected)
{
	static const char *const bad[] = {
		"",
		"not JSON",
		"[]",
		"{}",
		"{" ENTRY "}",
		"{" ENTRY ",\"state\":\"resting\"}",
		"{" ENTRY ",\"state\":7}",
		"{" ENTRY ",\"state\":\"ready\",\"labels\":7}",
		"{" ENTRY ",\"state\":\"ready\",\"labels\":[7]}",
		"{" ENTRY ",\"state\":\"ready\",\"born\":\"x\"}",
		"{" ENTRY ",\"state\":\"ready\",\"born\":1.5}",
		"{\"service\":\"s\",\"address\":\"here\",\"state\":\"ready\"," CAPACITY
		"}",
		"{\"address\":\"10.0.0.1:80\",\"state\":\"ready\"," CAPACITY
		"}",
		"{\"service\":\"s\",\"address\":\"10.0.0.1:80\","
		"\"state\":\"ready\"}",
		"{\"service\":\"s\",\"address\":\"10.0.0.1:80\","
		"\"state\":\"ready\",\"capacity\":{\"gpu\":-1}}",
	};
	struct tg_worker_entry e;
	size_t i;

	for (i = 0; i < ARRAY_SIZE(bad); i++)
		ck_assert_msg(decode(bad[i], &e) == -1, "%s", bad[i]);
}
END_TEST

START_TEST(entries_are_decoded)
{
	struct tg_worker_entry e;

	ck_assert_int_eq(decode("{" ENTRY ",\"state\":\"draining\","
				"\"remaining-ms\":1200,\"born\":17,"
				"\"labels\":[\"kind\",\"r1\"],\"new\":1}",
				&e),
			 0);
	ck_assert_str_eq(e.id, "w1");
	ck_assert_str_eq(e.rack, "r1");
	ck_assert(e.draining);
	ck_assert_int_eq(e.remaining_ms, 1200);
	ck_assert_int_eq(e.boot_ms, 17);
	ck_assert_int_eq(e.capacity.accelerators, 8);
	tg_worker_entry_clear(&e);
	ck_assert_int_eq(decode("{" ENTRY ",\"state\":\"ready\"}", &e), 0);
	ck_assert_int_eq(e.remaining_ms, -1);
	ck_assert_str_eq(e.rack, "");
	tg_worker_entry_clear(&e);
}
END_TEST

/*
 * A worker of a service whose name has over 63 bytes was taken for invalid, its
 * labels of that length were dropped, and its rack was cut.
 */
START_TEST(entries_keep_long_names)
{
	char name[TG_KEY_MAX + 1], *text;
	struct tg_worker_entry e;
	struct tg_row row = { .key = name };

	memset(name, 'n', TG_KEY_MAX);
	name[TG_KEY_MAX] = '\0';
	text = tg_xasprintf("{\"service\":\"%s\",\"zone\":\"%s\","
			    "\"address\":\"10.0.0.1:80\"," CAPACITY
			    ",\"state\":\"ready\","
			    "\"labels\":[\"%skind\",\"%s\u00e9\"]}",
			    name, name, name, name);
	row.value = text;
	row.value_bytes = strlen(text);
	ck_assert_int_eq(tg_platform_ops.worker(&row, &e), 0);
	ck_assert_str_eq(e.id, name);
	ck_assert_str_eq(e.service, name);
	ck_assert_str_eq(e.az, name);
	ck_assert_int_eq(e.n_labels, 2);
	ck_assert_uint_eq(strlen(e.labels[0]), TG_KEY_MAX + 4);
	ck_assert_uint_eq(strlen(e.rack), TG_KEY_MAX + 2);
	tg_worker_entry_clear(&e);
	free(text);
}
END_TEST

/* A wrongly decoded document would let jobs run where they must not. */
START_TEST(document_is_decoded)
{
	static const char text[] =
		"{\"version\":7,\"routes\":[{\"name\":\"r\",\"host\":\"h\","
		"\"path-prefix\":\"/a/\",\"service\":\"s\",\"priority\":2,"
		"\"max-attempts\":4,\"stretch\":1.5,\"target-runtime-ms\":600},"
		"{\"name\":\"q\",\"host\":\"h\",\"path-prefix\":\"/a/b/\","
		"\"service\":\"s\"}],\"tenants\":[{\"name\":\"t\","
		"\"api-keys\":[\"k\"],\"guaranteed\":{\"gpu\":72}}]}";
	struct tg_row row = { .key = "config",
			      .value = text,
			      .value_bytes = sizeof(text) - 1 };
	struct tg_findings f = { 0 };
	struct tg_site_doc *d = tg_platform_ops.decode_document(&row, &f);

	ck_assert_ptr_nonnull(d);
	ck_assert_int_eq(d->generation, 7);
	ck_assert_str_eq(tg_site_doc_find_queue(d, "h:80", "/a/b/x")->name,
			 "q");
	ck_assert_str_eq(tg_site_doc_find_queue(d, "H", "/a/x")->name, "r");
	ck_assert_ptr_null(tg_site_doc_find_queue(d, "hh", "/a/x"));
	ck_assert_ptr_null(tg_site_doc_find_queue(d, "h", "/c"));
	ck_assert_int_eq(tg_site_doc_find_queue(d, "h", "/a/x")->max_attempts,
			 4);
	ck_assert_int_eq(tg_site_doc_find_workspace(d, "k")->guaranteed, 72);
	ck_assert_ptr_null(tg_site_doc_find_workspace(d, "kk"));
	tg_site_doc_free(d);
	row.value = "{\"version\":\"x\",\"routes\":{}}";
	row.value_bytes = strlen(row.value);
	ck_assert_ptr_null(tg_platform_ops.decode_document(&row, &f));
	ck_assert_int_eq((int)f.total, 2);
	tg_findings_free(&f);
}
END_TEST

static size_t json_bytes, json_bytes_max;

static void *count_malloc(size_t n)
{
	size_t *p = malloc(n + 2 * sizeof(*p));

	*p = n;
	json_bytes += n;
	if (json_bytes > json_bytes_max)
		json_bytes_max = json_bytes;
	return p + 2;
}

static void count_free(void *block)
{
	size_t *p = block;

	if (!p)
		return;
	json_bytes -= p[-2];
	free(p - 2);
}

/* The queue daemon exceeded 32 MB while it decoded a document. */
START_TEST(large_document_is_decoded_in_little_memory)
{
	struct tg_row row = { .key = "config" };
	struct tg_findings f = { 0 };
	struct tg_site_doc *d;
	char *text;
	size_t n;
	FILE *out = open_memstream(&text, &n);
	int i;

	fprintf(out, "{\"version\":7,\"routes\":[");
	for (i = 0; i < 10000; i++)
		fprintf(out, "%s{\"name\":\"q%d\",\"host\":\"h\"}",
			i ? "," : "", i);
	fprintf(out, "]}");
	fclose(out);
	row.value = text;
	row.value_bytes = n;
	json_set_alloc_funcs(count_malloc, count_free);
	d = tg_platform_ops.decode_document(&row, &f);
	json_set_alloc_funcs(malloc, free);
	ck_assert_ptr_nonnull(d);
	ck_assert_uint_eq(d->n_queues, 10000);
	ck_assert_str_eq(d->queues[9999].name, "q9999");
	ck_assert_uint_eq(json_bytes, 0);
	ck_assert_uint_lt(json_bytes_max, 64 << 10);
	tg_site_doc_free(d);
	free(text);
}
END_TEST

START_TEST(document_with_a_syntax_error_is_rejected)
{
	static const char text[] =
		" { \"version\" : 7 , \"routes\" : [ {} , {\"name\":\"q\"} ] ,"
		"\"tenants\":[],\"services\":[{\"name\":\"s\"}],"
		"\"limits\":{\"max-body-bytes\":5}}";
	static const char *const wrong[] = {
		"",
		"[]",
		"{,}",
		"{\"version\"}",
		"{\"version\":}",
		"{\"routes\":[{},]}",
		"{\"routes\":[,{}]}",
		"{\"routes\":[{}{}]}",
		"{\"version\":7}}",
		"{\"version\":7} x",
		"{version:7}",
		"{\"a\":1,}",
		"{\"services\":[{\"a\"}]}",
		"{\"a\":1 \"b\":2}",
	};
	struct tg_row row = { .key = "config", .value = text };
	struct tg_findings f = { 0 };
	struct tg_site_doc *d;
	size_t i;

	for (i = 0; i < sizeof(text) - 1; i++) {
		row.value_bytes = i;
		ck_assert_ptr_null(tg_platform_ops.decode_document(&row, &f));
		tg_findings_free(&f);
	}
	for (i = 0; i < ARRAY_SIZE(wrong); i++) {
		struct tg_row w = { .key = "config",
				    .value = wrong[i],
				    .value_bytes = strlen(wrong[i]) };

		ck_assert_ptr_null(tg_platform_ops.decode_document(&w, &f));
		tg_findings_free(&f);
	}
	row.value_bytes = sizeof(text) - 1;
	d = tg_platform_ops.decode_document(&row, &f);
	ck_assert_ptr_nonnull(d);
	ck_assert_uint_eq(d->n_queues, 2);
	ck_assert_uint_eq(d->n_workspaces, 0);
	ck_assert_int_eq(d->body_bytes, 5);
	tg_site_doc_free(d);
}
END_TEST

/* All faults of a settings file must be reported at once. */
START_TEST(settings_findings_are_complete)
{
	char path[] = "/tmp/tg-settings-XXXXXX";
	static const char text[] = "node=i1\nip=10.0.0.1\nnew.field=x\n"
				   "platform.address=nowhere\n"
				   "internal-ports=7000,7015\n"
				   "bounds.stop-ms=fast\nbounds.status_s=1.5\n";
	struct tg_site_settings set;
	struct tg_findings f = { 0 };
	int fd = mkstemp(path);

	ck_assert_int_eq((int)write(fd, text, sizeof(text) - 1),
			 (int)sizeof(text) - 1);
	close(fd);
	ck_assert_int_eq(tg_platform_ops.read_settings(path, &set, &f), -1);
	unlink(path);
	/* 2 invalid values; zone, heartbeat-ms, bounds.hold-max-ms missing. */
	ck_assert_int_eq((int)f.total, 5);
	ck_assert_str_eq(set.instance, "i1");
	ck_assert_int_eq(set.peers_port, 7000);
	ck_assert_int_eq(set.status_keep_ms, 1500);
	tg_findings_free(&f);
	ck_assert_int_eq(tg_platform_ops.read_settings("/nowhere", &set, &f),
			 -1);
	tg_findings_free(&f);
}
END_TEST

/* Reads settings with a line added; returns the number of findings. */
static size_t read_with(const char *line, struct tg_site_settings *set)
{
	char path[] = "/tmp/tg-settings-XXXXXX";
	struct tg_findings f = { 0 };
	int fd = mkstemp(path);
	size_t n;

	dprintf(fd,
		"node=i1\nzone=a\nip=10.0.0.1\nplatform.address=10.0.0.2:80\n"
		"internal-ports=7000\nheartbeat-ms=500\n"
		"bounds.hold-max-ms=1\nbounds.stop-ms=1\n"
		"bounds.status_s=1\n%s\n",
		line);
	close(fd);
	tg_platform_ops.read_settings(path, set, &f);
	unlink(path);
	n = f.total;
	tg_findings_free(&f);
	return n;
}

/*
 * With rows as large as a transaction the owner would find no room for any
 * record beside its own row.
 */
START_TEST(transaction_has_room_for_two_rows)
{
	struct tg_site_settings set;

	ck_assert_uint_eq(read_with("", &set), 0);
	ck_assert_int_eq(set.row_bytes, 65536);
	ck_assert_uint_eq(read_with("platform.row-bytes=16384", &set), 0);
	ck_assert_int_eq(set.row_bytes, 16384);
	ck_assert_uint_eq(read_with("platform.row-bytes=1048576", &set), 0);
	ck_assert_int_ge(set.tx_bytes, 2 * set.row_bytes);
	ck_assert_uint_eq(read_with("platform.row-bytes=0", &set), 1);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("platform");
	TCase *t = tcase_create("adapter");

	tcase_add_test(t, invalid_entries_are_rejected);
	tcase_add_test(t, entries_are_decoded);
	tcase_add_test(t, entries_keep_long_names);
	tcase_add_test(t, document_is_decoded);
	tcase_add_test(t, large_document_is_decoded_in_little_memory);
	tcase_add_test(t, document_with_a_syntax_error_is_rejected);
	tcase_add_test(t, settings_findings_are_complete);
	tcase_add_test(t, transaction_has_room_for_two_rows);
	suite_add_tcase(s, t);
	suite_add_tcase(s, odd_tcase());
	return run_suite(s);
}
