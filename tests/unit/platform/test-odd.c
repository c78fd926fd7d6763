#include <stdlib.h>
#include <string.h>

#include "../run.h"
#include "odd.h"
#include "platform/platform.h"
#include "site/site.h"

/*
 * Other writers leave odd entries among those of the workers, and in other
 * rows.  None may end the daemon or be taken for a worker.
 */

#define FUZZ_ROUNDS 3000
#define TEXT_MAX 4096

static const char good_worker[] =
	"{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"a\","
	"\"state\":\"ready\",\"born\":1700000000000,\"remaining-ms\":5000,"
	"\"capacity\":{\"cpu\":128000,\"mem-mb\":262144,\"gpu\":8},"
	"\"labels\":[\"a\",\"r1\"]}";
static const char good_document[] =
	"{\"version\":7,\"routes\":[{\"name\":\"n\",\"host\":\"h\","
	"\"path-prefix\":\"/n/\",\"priority\":1,\"service\":\"s\","
	"\"max-attempts\":3,\"stretch\":3.0,\"target-runtime-ms\":1000}],"
	"\"limits\":{\"max-body-bytes\":262144},"
	"\"tenants\":[{\"name\":\"c\",\"api-keys\":[\"k\"],"
	"\"guaranteed\":{\"gpu\":8}}]}";
static const char good_job[] =
	"{\"id\":\"0123456789abcdef\",\"queue\":\"q\",\"workspace\":\"w\","
	"\"accepted_wall_ms\":1700000000000,\"spec\":{\"text\":\"t\","
	"\"times\":2,\"first_wall_ms\":1700000000000,\"interval_ms\":500,"
	"\"steps\":[{\"tasks\":3,\"cpu\":1000,\"memory_mb\":10,"
	"\"accelerators\":1,\"declared_ms\":300,\"after\":[]}]}}";

static struct tg_row row_of(const char *key, const char *text, size_t n)
{
	return (struct tg_row){ .key = key, .value = text, .value_bytes = n };
}

static int decode_worker(const char *key, const char *text, size_t n)
{
	struct tg_row row = row_of(key, text, n);
	struct tg_worker_entry e;
	int err = tg_platform_ops.worker(&row, &e);

	if (!err) {
		/* What a scheduler adds up over all workers. */
		ck_assert_int_ge(e.capacity.cpu_millicores, 0);
		ck_assert_int_le(e.capacity.cpu_millicores, 10000000);
		ck_assert_int_le(e.capacity.memory_mb, 100000000);
		ck_assert_int_le(e.capacity.accelerators, 1024);
		ck_assert_int_ge(e.boot_ms, 0);
	}
	return err;
}

static void decode_document(const char *text, size_t n)
{
	struct tg_row row = row_of("config", text, n);
	struct tg_findings f = { 0 };
	struct tg_site_doc *d = tg_platform_ops.decode_document(&row, &f);
	size_t i;

	for (i = 0; d && i < d->n_queues; i++) {
		ck_assert_int_ge(d->queues[i].priority, 0);
		ck_assert_int_ge(d->queues[i].max_attempts, 1);
		ck_assert(d->queues[i].stretch >= 0 &&
			  d->queues[i].stretch <= 1000);
	}
	tg_site_doc_free(d);
	tg_findings_free(&f);
}

static void decode_job(const char *text, size_t n)
{
	struct tg_job_row job;

	if (!tg_job_row_decode(text, n, &job))
		ck_assert_int_le(job.accepted_wall_ms, 1LL << 53);
	tg_job_row_clear(&job);
}

static void decode_owner(const char *text, size_t n)
{
	struct tg_row row = row_of("owner", text, n);
	struct tg_owner_row o;

	tg_owner_row_decode(&row, &o);
}

/* The entry of a worker with one member replaced by @value. */
static char *with(const char *name, const char *value)
{
	json_t *o = json_loads(good_worker, 0, NULL);
	char *text, *marker, *out;

	json_object_set_new(o, name, json_string("%here%"));
	text = json_dumps(o, JSON_COMPACT);
	json_decref(o);
	marker = strstr(text, "\"%here%\"");
	*marker = '\0';
	out = tg_xasprintf("%s%s%s", text, value,
			   marker + strlen("\"%here%\""));
	free(text);
	return out;
}

static char *repeat(const char *s, size_t n, const char *end)
{
	size_t bytes = strlen(s), size = n * bytes + strlen(end) + 1, i;
	char *out = tg_xcalloc(1, size);

	for (i = 0; i < n; i++)
		tg_strlcpy(out + i * bytes, s, size - i * bytes);
	tg_strlcpy(out + n * bytes, end, size - n * bytes);
	return out;
}

START_TEST(odd_members_are_rejected)
{
	static const struct {
		const char *name, *value;
	} odd[] = {
		{ "address", "\"10.0.0.1:0\"" },
		{ "address", "\"10.0.0.1:65536\"" },
		{ "address", "\"10.0.0.1:-1\"" },
		{ "address", "\"10.0.0.1:99999999999\"" },
		{ "address", "80" },
		{ "born", "-1" },
		{ "born", "1e300" },
		{ "born", "9223372036854775807" },
		{ "born", "12345678901234567890" },
		{ "remaining-ms", "9223372036854775807" },
		{ "remaining-ms", "-5" },
		{ "capacity", "{\"cpu\":1e300,\"mem-mb\":1,\"gpu\":1}" },
		{ "capacity",
		  "{\"cpu\":9223372036854775808.0,\"mem-mb\":1,\"gpu\":1}" },
		{ "capacity",
		  "{\"cpu\":-9223372036854775808.0,\"mem-mb\":1,\"gpu\":1}" },
		{ "capacity",
		  "{\"cpu\":9223372036854775807,\"mem-mb\":1,\"gpu\":1}" },
		{ "capacity",
		  "{\"cpu\":1,\"mem-mb\":9223372036854775807,\"gpu\":1}" },
		{ "capacity",
		  "{\"cpu\":1,\"mem-mb\":1,\"gpu\":9223372036854775807}" },
		{ "capacity", "{\"cpu\":1,\"mem-mb\":1,\"gpu\":-8}" },
		{ "capacity", "[1,2,3]" },
		{ "service", "\"\\ud800\"" },
		{ "labels", "{}" },
		{ "labels", "[[]]" },
	};
	size_t i;

	ck_assert_int_eq(decode_worker("w1", good_worker, strlen(good_worker)),
			 0);
	for (i = 0; i < ARRAY_SIZE(odd); i++) {
		char *text = with(odd[i].name, odd[i].value);

		ck_assert_msg(decode_worker("w1", text, strlen(text)) == -1,
			      "%s", text);
		free(text);
	}
}
END_TEST

/* Ids stand in lists that commas and spaces separate, and in headers. */
START_TEST(odd_ids_are_rejected)
{
	static const char *const odd[] = { "", "a,b", "a b", "a\r\nb", "\xff" };
	size_t i;

	for (i = 0; i < ARRAY_SIZE(odd); i++)
		ck_assert_int_eq(
			decode_worker(odd[i], good_worker, strlen(good_worker)),
			-1);
}
END_TEST

START_TEST(deep_and_long_entries_are_decoded_or_rejected)
{
	char *nested = repeat("[", 4000000, "");
	char *closed = repeat("[", 4500, "1");
	char *labels = repeat("\"l\",", 1000000, "\"l\"]");
	char *list = tg_xasprintf("[%s", labels);
	char *entry = with("labels", list);
	char *wide = repeat("k", 10000, "");

	ck_assert_int_eq(decode_worker("w1", nested, strlen(nested)), -1);
	ck_assert_int_eq(decode_worker("w1", closed, strlen(closed)), -1);
	ck_assert_int_eq(decode_worker("w1", entry, strlen(entry)), 0);
	ck_assert_int_eq(decode_worker(wide, good_worker, strlen(good_worker)),
			 -1);
	free(nested);
	free(closed);
	free(labels);
	free(list);
	free(entry);
	free(wide);
}
END_TEST

/* Values that are odd at the place where they are put. */
static const char *const tokens[] = {
	"1e300",
	"-1e300",
	"9223372036854775807",
	"-9223372036854775808",
	"9223372036854775808.0",
	"4294967296",
	"18446744073709551616",
	"-1",
	"0.5",
	"null",
	"true",
	"{}",
	"[]",
	"\"\"",
	"[[[[[[[[]]]]]]]]",
	"\"\\u0000\"",
	"\"\xff\xfe\"",
};

/* Replaces a value, or some bytes, of @good. */
static size_t mutate(const char *good, unsigned int *seed, char *out)
{
	size_t n = strlen(good), at, end, i;
	const char *token;

	if (rand_r(seed) % 3) {
		at = (size_t)rand_r(seed) % n;
		while (at < n && good[at] != ':' && good[at] != '[')
			at++;
		at += at < n;
		end = at + strcspn(good + at, ",}]");
		token = tokens[(size_t)rand_r(seed) % ARRAY_SIZE(tokens)];
		return (size_t)snprintf(out, TEXT_MAX, "%.*s%s%s", (int)at,
					good, token, good + end);
	}
	memcpy(out, good, n + 1);
	for (i = 0; i < 3; i++)
		out[(size_t)rand_r(seed) % n] = (char)(rand_r(seed) % 256);
	return rand_r(seed) % 4 ? n : (size_t)rand_r(seed) % n;
}

/* TG_FUZZ_ROUNDS lets it run longer by hand; _i is the seed. */
START_TEST(fuzz_rows)
{
	const char *rounds_set = getenv("TG_FUZZ_ROUNDS");
	int rounds = rounds_set ? atoi(rounds_set) : FUZZ_ROUNDS, i;
	unsigned int seed = (unsigned int)_i;
	char text[TEXT_MAX];
	size_t n;

	for (i = 0; i < rounds; i++) {
		n = mutate(good_worker, &seed, text);
		decode_worker("w1", text, n);
		n = mutate(good_document, &seed, text);
		decode_document(text, n);
		n = mutate(good_job, &seed, text);
		decode_job(text, n);
		decode_owner(text, n);
	}
}
END_TEST

TCase *odd_tcase(void)
{
	TCase *t = tcase_create("odd");

	tcase_set_timeout(t, 120);
	tcase_add_test(t, odd_members_are_rejected);
	tcase_add_test(t, odd_ids_are_rejected);
	tcase_add_test(t, deep_and_long_entries_are_decoded_or_rejected);
	tcase_add_loop_test(t, fuzz_rows, 1, 6);
	return t;
}
