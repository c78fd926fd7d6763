#include <event2/event.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "../run.h"
#include "http/http.h"

#define TIMEOUT_MS 200
#define SLOW_MS 1000
/* libevent's clock for timers advances with the kernel's ticks. */
#define TICK_MS 10

static struct event_base *base;
static struct tg_http_server *server;
static struct tg_http_client *client;
static struct tg_http_result result;
static int64_t delay_ms, started_ms, ended_ms;
static size_t body_bytes;

static json_t *make_text(size_t n)
{
	char *text = tg_xcalloc(1, n + 1);
	json_t *v;

	memset(text, 'x', n);
	v = json_stringn(text, n);
	free(text);
	return v;
}

static void answer(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	tg_http_reply_json(arg, 200,
			   json_pack("{s:o}", "body", make_text(body_bytes)));
}

static void on_request(struct evhttp_request *req, void *arg)
{
	struct timeval tv = { .tv_sec = delay_ms / 1000,
			      .tv_usec = delay_ms % 1000 * 1000 };

	(void)arg;
	event_base_once(base, -1, EV_TIMEOUT, answer, req, &tv);
}

static void on_done(const struct tg_http_result *r, void *arg)
{
	(void)arg;
	result = *r;
	ended_ms = tg_now_ms();
	event_base_loopbreak(base);
}

static void setup(void)
{
	static const struct tg_http_route routes[] = {
		{ "/", true, EVHTTP_REQ_GET, on_request },
		{ .path = NULL },
	};
	struct tg_http_server_opts so = { .addr = "127.0.0.1:0",
					  .routes = routes };
	struct tg_http_client_opts co = { .reuse_max_bytes = 100000 };

	base = so.base = co.base = tg_loop_new();
	server = tg_http_server_new(&so);
	client = tg_http_client_new(&co);
	ck_assert_ptr_nonnull(server);
	delay_ms = 0;
	body_bytes = 0;
}

static void teardown(void)
{
	tg_http_client_free(client);
	tg_http_server_free(server);
	event_base_free(base);
}

static void call(void)
{
	struct tg_http_call_opts o = {
		.method = EVHTTP_REQ_GET,
		.addr = tg_http_server_addr(server),
		.uri = "/",
		.timeout_ms = TIMEOUT_MS,
		.done = on_done,
	};

	started_ms = tg_now_ms();
	tg_http_call_start(client, &o);
}

/*
 * The owner's loop was busy for longer than the limit of the calls that it had
 * just made.  It had not even sent the requests when their limits ran out, and
 * took all its workers for silent.
 */
START_TEST(time_in_a_busy_loop_is_not_the_servers)
{
	call();
	usleep(2 * TIMEOUT_MS * 1000);
	event_base_dispatch(base);
	ck_assert_int_eq(result.end, TG_HTTP_COMPLETE);
}
END_TEST

static void keep_busy(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	(void)arg;
	usleep(3 * TIMEOUT_MS * 1000 / 2);
}

/* As before, with the request on its way when the loop gets busy. */
START_TEST(an_answer_that_was_not_read_is_no_timeout)
{
	struct timeval tv = { .tv_usec = TIMEOUT_MS * 1000 / 2 };

	delay_ms = TIMEOUT_MS / 2 + 10;
	event_base_once(base, -1, EV_TIMEOUT, keep_busy, NULL, &tv);
	call();
	event_base_dispatch(base);
	ck_assert_int_eq(result.end, TG_HTTP_COMPLETE);
}
END_TEST

/* A server that is slow is still given up in time. */
START_TEST(a_slow_server_times_out)
{
	delay_ms = SLOW_MS;
	call();
	event_base_dispatch(base);
	ck_assert_int_eq(result.end, TG_HTTP_TIMEOUT);
	ck_assert_int_ge(ended_ms - started_ms, TIMEOUT_MS - TICK_MS);
	ck_assert_int_lt(ended_ms - started_ms, SLOW_MS);
}
END_TEST

/* However often the loop is held up, a limit is extended to its double only. */
START_TEST(a_limit_is_extended_to_its_double)
{
	struct event *busy = event_new(base, -1, EV_PERSIST, keep_busy, NULL);
	struct timeval often = { .tv_usec = 1000 };

	delay_ms = 20 * SLOW_MS;
	event_add(busy, &often);
	call();
	event_base_dispatch(base);
	event_free(busy);
	ck_assert_int_ne(result.end, TG_HTTP_COMPLETE);
	ck_assert_int_lt(ended_ms - started_ms, delay_ms / 4);
}
END_TEST

/* There is no connection left on which a priority could be set. */
START_TEST(a_connection_that_fails_at_once_is_reported)
{
	struct tg_http_call_opts o = {
		.method = EVHTTP_REQ_GET,
		.addr = "255.255.255.255:80",
		.uri = "/",
		.timeout_ms = TIMEOUT_MS,
		.done = on_done,
	};

	tg_http_call_start(client, &o);
	event_base_dispatch(base);
	ck_assert_int_eq(result.end, TG_HTTP_NOT_CONNECTED);
}
END_TEST

#define SERVERS 4

static struct tg_http_server *servers[SERVERS];

static int64_t open_connections(void)
{
	return tg_gauge("tg_http_client_connections", NULL, NULL)->value;
}

/* Calls each server; returns the most connections that were open. */
static int64_t call_each_server(void)
{
	int64_t most = 0;
	int i;

	for (i = 0; i < SERVERS; i++) {
		struct tg_http_call_opts o = {
			.method = EVHTTP_REQ_GET,
			.addr = tg_http_server_addr(servers[i]),
			.uri = "/",
			.timeout_ms = TIMEOUT_MS,
			.done = on_done,
		};

		tg_http_call_start(client, &o);
		event_base_dispatch(base);
		ck_assert_int_eq(result.end, TG_HTTP_COMPLETE);
		if (open_connections() > most)
			most = open_connections();
	}
	return most;
}

/*
 * Idle connections to 1,100 workers, some four to each, used up the descriptors
 * of a small instance.
 */
START_TEST(idle_connections_make_room)
{
	static const struct tg_http_route routes[] = {
		{ "/", true, EVHTTP_REQ_GET, on_request },
		{ .path = NULL },
	};
	struct tg_http_server_opts so = { .base = base,
					  .addr = "127.0.0.1:0",
					  .routes = routes };
	struct tg_http_client_opts co = { .base = base, .connections_max = 2 };
	int i;

	for (i = 0; i < SERVERS; i++)
		servers[i] = tg_http_server_new(&so);
	ck_assert_int_eq(call_each_server(), SERVERS);
	tg_http_client_free(client);
	ck_assert_int_eq(open_connections(), 0);
	client = tg_http_client_new(&co);
	ck_assert_int_eq(call_each_server(), 2);
	ck_assert_int_eq(call_each_server(), 2);
	for (i = 0; i < SERVERS; i++)
		tg_http_server_free(servers[i]);
}
END_TEST

/*
 * The platform's store closed connections some time after a large answer, and
 * with them the call that was waiting there for a change.
 */
START_TEST(connection_with_a_large_response_is_not_reused)
{
	call();
	event_base_dispatch(base);
	ck_assert_int_eq(result.end, TG_HTTP_COMPLETE);
	ck_assert_int_eq(open_connections(), 1);
	body_bytes = 200000;
	call();
	event_base_dispatch(base);
	ck_assert_int_eq(result.end, TG_HTTP_COMPLETE);
	event_base_loop(base, EVLOOP_NONBLOCK);
	ck_assert_int_eq(open_connections(), 0);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("http");
	TCase *t = tcase_create("client");

	tcase_add_checked_fixture(t, setup, teardown);
	tcase_add_test(t, time_in_a_busy_loop_is_not_the_servers);
	tcase_add_test(t, an_answer_that_was_not_read_is_no_timeout);
	tcase_add_test(t, a_slow_server_times_out);
	tcase_add_test(t, a_limit_is_extended_to_its_double);
	tcase_add_test(t, a_connection_that_fails_at_once_is_reported);
	tcase_add_test(t, idle_connections_make_room);
	tcase_add_test(t, connection_with_a_large_response_is_not_reused);
	suite_add_tcase(s, t);
	return run_suite(s);
}
