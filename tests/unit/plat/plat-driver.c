#include <stdlib.h>
#include <string.h>

#include "plat/plat.h"

/*
 * Runs calls of lib/plat against platformd, for tests/script/plat.sh.  Reads
 * commands from stdin, one per line.  Commands that call lib/plat only start
 * the call; "wait" runs the event loop until all calls are done and prints
 * their results in the order in which the calls were started.
 */

#define CALLS_MAX 4096
#define WORDS_MAX 32
#define LINE_BYTES_MAX 4096
#define POLL_MS 10

struct opts {
	const char *platform;
	int64_t timeout_ms, settle_ms, group_ms, group_max;
};

struct driver {
	struct opts opts;
	struct event_base *base;
	struct tg_http_client *http;
	struct tg_plat *plat;
	char *results[CALLS_MAX];
	size_t n_started, n_ended;
	bool direct_pending;
	json_t *direct_answer; /* to the last call_platformd() */
};

/* Argument of the callback of a call; @index is its place in the results. */
struct pending_call {
	struct driver *d;
	size_t index;
	char *label;
};

static const char *const result_names[] = { "ok",	 "conflict",
					    "not_found", "unavailable",
					    "unknown",	 "invalid" };

static struct pending_call *new_pending_call(struct driver *d,
					     const char *label)
{
	struct pending_call *c = tg_xcalloc(1, sizeof(*c));

	if (d->n_started == CALLS_MAX) {
		fprintf(stderr, "plat-driver: too many calls before wait\n");
		exit(1);
	}
	c->d = d;
	c->index = d->n_started++;
	c->label = tg_xstrdup(label);
	return c;
}

/* Frees @detail. */
static void store_result(struct pending_call *c, enum tg_plat_result result,
			 char *detail)
{
	c->d->results[c->index] = tg_xasprintf("%s: %s%s", c->label,
					       result_names[result], detail);
	c->d->n_ended++;
	free(detail);
	free(c->label);
	free(c);
}

static char *describe_rows(const struct tg_row *rows, size_t n)
{
	char *text = tg_xstrdup(""), *longer;
	size_t i;

	for (i = 0; i < n; i++) {
		longer = tg_xasprintf("%s %s=%llu", text, rows[i].key,
				      (unsigned long long)rows[i].version);
		free(text);
		text = longer;
	}
	return text;
}

static void on_txn(enum tg_plat_result result, const struct tg_row *rows,
		   size_t n, void *arg)
{
	store_result(arg, result, describe_rows(rows, n));
}

static void add_txn_word(struct tg_txn *t, char *word)
{
	char *key = strchr(word, '='), *value;

	if (!key)
		return;
	*key++ = '\0';
	value = strchr(key, ':');
	if (value)
		*value++ = '\0';
	if (!strcmp(word, "if"))
		tg_txn_if(t, key, strtoull(value ? value : "0", NULL, 10));
	else if (!strcmp(word, "put"))
		tg_txn_put(t, key, json_pack("{s:s}", "v", value ? value : ""));
	else if (!strcmp(word, "delete"))
		tg_txn_delete(t, key);
}

/* txn NAME [if=KEY:VERSION] [put=KEY:TEXT] [delete=KEY]... */
static void cmd_txn(struct driver *d, char **words, int n)
{
	struct tg_txn *t = tg_txn_new(d->plat);
	int i;

	for (i = 2; i < n; i++)
		add_txn_word(t, words[i]);
	tg_txn_commit(t, on_txn, new_pending_call(d, words[1]));
}

static void on_insert(enum tg_plat_result result, const struct tg_row *rows,
		      size_t n, void *arg)
{
	(void)rows;
	(void)n;
	store_result(arg, result, tg_xstrdup(""));
}

/* many COUNT PREFIX [BYTES]: inserts rows, each in a separate transaction */
static void cmd_many(struct driver *d, char **words, int n)
{
	int i, count = atoi(words[1]), bytes = n > 3 ? atoi(words[3]) : 0;
	char key[64], *text = tg_xcalloc(1, (size_t)bytes + 1);

	memset(text, 'x', (size_t)bytes);
	for (i = 0; i < count; i++) {
		struct tg_txn *t = tg_txn_new(d->plat);

		snprintf(key, sizeof(key), "%s%04d", words[2], i);
		tg_txn_if(t, key, 0);
		tg_txn_put(t, key, json_pack("{s:s}", "v", text));
		tg_txn_commit(t, on_insert, new_pending_call(d, "many"));
	}
	free(text);
}

static void on_row(enum tg_plat_result result, const struct tg_row *row,
		   void *arg)
{
	store_result(arg, result, row ? describe_rows(row, 1) : tg_xstrdup(""));
}

static void cmd_get(struct driver *d, char **words, int n)
{
	(void)n;
	tg_row_get(d->plat, words[1], on_row, new_pending_call(d, "get"));
}

static void on_rows(enum tg_plat_result result, const struct tg_row *rows,
		    size_t n, void *arg)
{
	bool in_key_order = true;
	size_t i;

	for (i = 1; i < n; i++)
		if (strcmp(rows[i - 1].key, rows[i].key) >= 0)
			in_key_order = false;
	store_result(arg, result,
		     tg_xasprintf(" %zu rows%s", n,
				  in_key_order ? "" : ", not in key order"));
}

static void cmd_list(struct driver *d, char **words, int n)
{
	(void)n;
	tg_rows_list(d->plat, words[1], on_rows, new_pending_call(d, "list"));
}

static void on_object(enum tg_plat_result result, const void *body, size_t n,
		      void *arg)
{
	store_result(arg, result,
		     n ? tg_xasprintf(" %.*s", (int)n, (const char *)body) :
			 tg_xstrdup(""));
}

static void cmd_object_put(struct driver *d, char **words, int n)
{
	(void)n;
	tg_object_put(d->plat, words[1], words[2], strlen(words[2]), on_object,
		      new_pending_call(d, "object-put"));
}

static void cmd_object_get(struct driver *d, char **words, int n)
{
	(void)n;
	tg_object_get(d->plat, words[1], on_object,
		      new_pending_call(d, "object-get"));
}

static void on_instances(enum tg_plat_result result,
			 const struct tg_instance *instances, size_t n,
			 const char *etag, void *arg)
{
	char *text = tg_xstrdup(""), *longer;
	size_t i;

	(void)etag;
	for (i = 0; i < n; i++) {
		longer = tg_xasprintf("%s %s/%s/%d%s", text, instances[i].name,
				      instances[i].az, (int)instances[i].slots,
				      instances[i].leaving ? "/leaving" : "");
		free(text);
		text = longer;
	}
	store_result(arg, result, text);
}

static void cmd_instances(struct driver *d, char **words, int n)
{
	tg_instances_list(d->plat, n > 1 ? words[1] : NULL, "", on_instances,
			  new_pending_call(d, "instances"));
}

static void cmd_wait(struct driver *d, char **words, int n)
{
	size_t i;

	(void)words;
	(void)n;
	while (d->n_ended < d->n_started)
		event_base_loop(d->base, EVLOOP_ONCE);
	for (i = 0; i < d->n_started; i++) {
		printf("%s\n", d->results[i]);
		free(d->results[i]);
	}
	d->n_started = d->n_ended = 0;
}

/* Like "wait", but prints how many calls had each result. */
static void cmd_wait_count(struct driver *d, char **words, int n)
{
	size_t i, k, count;

	(void)words;
	(void)n;
	while (d->n_ended < d->n_started)
		event_base_loop(d->base, EVLOOP_ONCE);
	for (k = 0; k < ARRAY_SIZE(result_names); k++) {
		count = 0;
		for (i = 0; i < d->n_started; i++)
			count += !strcmp(strrchr(d->results[i], ' ') + 1,
					 result_names[k]);
		if (count)
			printf("%zu %s\n", count, result_names[k]);
	}
	for (i = 0; i < d->n_started; i++)
		free(d->results[i]);
	d->n_started = d->n_ended = 0;
}

static void on_direct_answer(const struct tg_http_result *r, void *arg)
{
	struct driver *d = arg;

	json_decref(d->direct_answer);
	d->direct_answer = tg_http_result_json(r);
	d->direct_pending = false;
}

/* Calls platformd directly, without lib/plat, and waits for the answer. */
static void call_platformd(struct driver *d, enum evhttp_cmd_type method,
			   const char *uri, const char *body)
{
	struct tg_http_call_opts call = {
		.method = method,
		.addr = d->opts.platform,
		.uri = uri,
		.body = body,
		.body_bytes = strlen(body),
		.timeout_ms = 30000,
		.done = on_direct_answer,
		.arg = d,
	};

	d->direct_pending = true;
	tg_http_call_start(d->http, &call);
	while (d->direct_pending)
		event_base_loop(d->base, EVLOOP_ONCE);
}

static void cmd_fault(struct driver *d, char **words, int n)
{
	(void)n;
	call_platformd(d, EVHTTP_REQ_POST, "/standin/faults", words[1]);
}

/* other JSON: sends the transaction JSON as if from another process */
static void cmd_other_process(struct driver *d, char **words, int n)
{
	(void)n;
	call_platformd(d, EVHTTP_REQ_POST, "/v1/table/txn", words[1]);
}

static void on_poll_timer(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	(void)arg;
}

/* until FIELD N: waits until FIELD of platformd's statistics is at least N */
static void cmd_until(struct driver *d, char **words, int n)
{
	struct timeval tv = { .tv_usec = POLL_MS * 1000 };

	(void)n;
	for (;;) {
		call_platformd(d, EVHTTP_REQ_GET, "/standin/stats", "");
		if (json_integer_value(json_object_get(
			    d->direct_answer, words[1])) >= atoi(words[2]))
			return;
		event_base_once(d->base, -1, EV_TIMEOUT, on_poll_timer, NULL,
				&tv);
		event_base_loop(d->base, EVLOOP_ONCE);
	}
}

/* history PREFIX: prints all versions of the rows, and which "other" wrote */
static void cmd_history(struct driver *d, char **words, int n)
{
	char *uri = tg_xasprintf("/standin/history?prefix=%s", words[1]);
	json_t *v;
	size_t i;

	(void)n;
	call_platformd(d, EVHTTP_REQ_GET, uri, "");
	free(uri);
	printf("history:");
	json_array_foreach(json_object_get(d->direct_answer, "history"), i, v) {
		const char *token =
			json_string_value(json_object_get(v, "token"));

		printf(" %s=%lld%s",
		       json_string_value(json_object_get(v, "key")),
		       (long long)json_integer_value(
			       json_object_get(v, "version")),
		       strcmp(token, "other") != 0 ? "" : "(other)");
	}
	printf("\n");
}

static void cmd_counters(struct driver *d, char **words, int n)
{
	(void)d;
	(void)words;
	(void)n;
	printf("transactions %llu, sent %llu, unknown %llu\n",
	       (unsigned long long)tg_counter("tg_table_txns_total", "", NULL)
		       ->value,
	       (unsigned long long)tg_counter("tg_table_writes_total", "", NULL)
		       ->value,
	       (unsigned long long)tg_counter("tg_table_unknown_total", "",
					      NULL)
		       ->value);
}

static void cmd_reachable(struct driver *d, char **words, int n)
{
	(void)words;
	(void)n;
	printf("reachable: %s\n", tg_plat_reachable(d->plat) ? "yes" : "no");
}

static const struct command {
	const char *name;
	int words;
	void (*run)(struct driver *d, char **words, int n);
} commands[] = {
	{ "txn", 2, cmd_txn },
	{ "many", 3, cmd_many },
	{ "get", 2, cmd_get },
	{ "list", 2, cmd_list },
	{ "object-put", 3, cmd_object_put },
	{ "object-get", 2, cmd_object_get },
	{ "instances", 1, cmd_instances },
	{ "wait", 1, cmd_wait },
	{ "wait-count", 1, cmd_wait_count },
	{ "fault", 2, cmd_fault },
	{ "other", 2, cmd_other_process },
	{ "until", 3, cmd_until },
	{ "history", 2, cmd_history },
	{ "counters", 1, cmd_counters },
	{ "reachable", 1, cmd_reachable },
};

static void run_line(struct driver *d, char *line)
{
	char *words[WORDS_MAX], *save = NULL;
	int n = 0;
	size_t i;

	for (words[0] = strtok_r(line, " \n", &save);
	     words[n] && n + 1 < WORDS_MAX;)
		words[++n] = strtok_r(NULL, " \n", &save);
	if (!n || *words[0] == '#')
		return;
	for (i = 0; i < ARRAY_SIZE(commands); i++)
		if (!strcmp(commands[i].name, words[0]) &&
		    n >= commands[i].words) {
			commands[i].run(d, words, n);
			return;
		}
	fprintf(stderr,
		"plat-driver: %s: unknown command or missing argument\n",
		words[0]);
	exit(1);
}

#define SETTING(flag, type, def, max, help, field) \
	TG_SETTING(opts, flag, type, def, 0, max, false, help, field)

static const struct tg_setting settings[] = {
	SETTING("platform", TG_SET_ADDR, NULL, 0, "address of platformd",
		platform),
	SETTING("timeout-ms", TG_SET_INT, "0", 60000,
		"time limit of one HTTP call, in ms", timeout_ms),
	SETTING("settle-ms", TG_SET_INT, "0", 60000,
		"how long writes are sent again, in ms", settle_ms),
	SETTING("group-ms", TG_SET_INT, "0", 60000,
		"how long a group waits for more, in ms", group_ms),
	SETTING("group-max", TG_SET_INT, "0", 1000,
		"maximum transactions per group", group_max),
	{ 0 },
};

int main(int argc, char **argv)
{
	static const struct tg_settings_spec spec = {
		.prog = "plat-driver",
		.summary = "Runs calls of lib/plat from commands on stdin.",
		.items = settings,
	};
	static struct driver d;
	struct tg_http_client_opts http = { 0 };
	struct tg_plat_opts plat = { 0 };
	char line[LINE_BYTES_MAX];

	if (tg_settings_load(&spec, argc, argv, &d.opts, NULL) !=
	    TG_SETTINGS_OK)
		return TG_EXIT_USAGE;
	tg_log_open("plat-driver", "warn");
	tg_log_register(tg_plat_events);
	tg_log_register(tg_http_events);
	http.base = plat.base = d.base = event_base_new();
	plat.http = d.http = tg_http_client_new(&http);
	plat.addr = d.opts.platform;
	plat.timeout_ms = d.opts.timeout_ms;
	plat.settle_ms = d.opts.settle_ms;
	plat.group_ms = d.opts.group_ms;
	plat.group_max = (size_t)d.opts.group_max;
	d.plat = tg_plat_new(&plat);
	while (fgets(line, sizeof(line), stdin))
		run_line(&d, line);
	json_decref(d.direct_answer);
	tg_plat_free(d.plat);
	tg_http_client_free(d.http);
	event_base_free(d.base);
	return 0;
}
