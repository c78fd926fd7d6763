#include <arpa/inet.h>
#include <errno.h>
#include <event2/event.h>
#include <fcntl.h>
#include <signal.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "../run.h"
#include "http/http.h"

/* Limits of a server, each brought about alone, on one loop. */

#define BODY_MAX 100000
#define CONNECTIONS 4
#define REQUEST "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

static struct event_base *base;
static struct tg_http_server *server;
/* Not answered yet: the last one, and how many there were. */
static struct evhttp_request *held;
static struct evhttp_request *all_held[64];
static size_t n_held;
static size_t body_seen;

static void on_request(struct evhttp_request *req, void *arg)
{
	(void)arg;
	body_seen = evbuffer_get_length(evhttp_request_get_input_buffer(req));
	tg_http_reply_text(req, 200, "text/plain", "ok", 2);
}

static void on_held(struct evhttp_request *req, void *arg)
{
	(void)arg;
	held = all_held[n_held++] = req;
}

static void serve(struct tg_http_limits limits)
{
	static const struct tg_http_route routes[] = {
		{ "/held", false, EVHTTP_REQ_GET, on_held },
		{ "/", true, EVHTTP_REQ_GET | EVHTTP_REQ_POST, on_request },
		{ .path = NULL },
	};
	struct tg_http_server_opts o = { .addr = "127.0.0.1:0",
					 .routes = routes,
					 .body_bytes = BODY_MAX,
					 .limits = limits };

	base = o.base = event_base_new();
	server = tg_http_server_new(&o);
	ck_assert_ptr_nonnull(server);
}

static void setup(void)
{
	signal(SIGPIPE, SIG_IGN);
	tg_log_register(tg_http_events);
	held = NULL;
	n_held = 0;
	body_seen = 0;
}

static void teardown(void)
{
	tg_http_server_free(server);
	event_base_free(base);
}

static void turn(int ms)
{
	for (; ms > 0; ms -= 5) {
		event_base_loop(base, EVLOOP_NONBLOCK);
		usleep(5000);
	}
}

/* The server has not accepted it yet. */
static int open_from(const char *from)
{
	struct sockaddr_in sa = { .sin_family = AF_INET };
	char host[TG_ADDR_MAX + 1];
	uint16_t port;
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	inet_pton(AF_INET, from, &sa.sin_addr);
	ck_assert(!bind(fd, (struct sockaddr *)&sa, sizeof(sa)));
	ck_assert(!tg_addr_split(tg_http_server_addr(server), host,
				 sizeof(host), &port));
	inet_pton(AF_INET, host, &sa.sin_addr);
	sa.sin_port = htons(port);
	ck_assert(!connect(fd, (struct sockaddr *)&sa, sizeof(sa)));
	fcntl(fd, F_SETFL, O_NONBLOCK);
	return fd;
}

static int connect_from(const char *from)
{
	int fd = open_from(from);

	turn(20);
	return fd;
}

static void send_text(int fd, const char *text)
{
	send(fd, text, strlen(text), MSG_NOSIGNAL);
}

/* Return: 1 for an answer with status 200, 0 for none, -1 if closed. */
static int answer(int fd)
{
	char got[4096] = "";
	ssize_t n = -1;
	int i;

	for (i = 0; i < 100 && n < 0; i++) {
		turn(5);
		n = recv(fd, got, sizeof(got) - 1, 0);
		if (n < 0 && errno != EAGAIN)
			return -1;
	}
	if (n == 0)
		return -1;
	return n > 0 && strstr(got, "200 OK");
}

static int get(int fd)
{
	send_text(fd, REQUEST);
	return answer(fd);
}

/* Clients that get answers keep their connections; one that asks nothing goes.
 */
START_TEST(idle_connection_makes_room_for_a_new_one)
{
	struct tg_http_limits l = { .connections = CONNECTIONS };
	int active[CONNECTIONS - 1], idle, added, i;

	serve(l);
	idle = connect_from("127.0.0.1");
	for (i = 0; i < CONNECTIONS - 1; i++) {
		active[i] = connect_from("127.0.0.1");
		ck_assert_int_eq(get(active[i]), 1);
	}
	added = connect_from("127.0.0.2");
	ck_assert_int_eq(get(added), 1);
	ck_assert_int_eq(answer(idle), -1);
	for (i = 0; i < CONNECTIONS - 1; i++)
		ck_assert_int_eq(get(active[i]), 1);
}
END_TEST

/* A request that waits for its answer is not given up for another client. */
START_TEST(request_in_progress_keeps_its_connection)
{
	struct tg_http_limits l = { .connections = 1 };
	int first;

	serve(l);
	first = connect_from("127.0.0.1");
	send_text(first, "GET /held HTTP/1.1\r\nHost: h\r\n\r\n");
	turn(20);
	ck_assert_ptr_nonnull(held);
	connect_from("127.0.0.1");
	turn(50);
	tg_http_reply_text(held, 200, "text/plain", "ok", 2);
	ck_assert_int_eq(answer(first), 1);
}
END_TEST

/*
 * None of these can be closed for another one, so that no more are accepted.
 * Once they have ended, others are.
 */
START_TEST(connections_are_accepted_again_after_many_at_once)
{
	struct tg_http_limits l = { .connections = 1 };
	int fds[40], fd, i;
	size_t k = 0;

	serve(l);
	for (i = 0; i < 40; i++) {
		fds[i] = open_from("127.0.0.1");
		send_text(fds[i], "GET /held HTTP/1.1\r\nHost: h\r\n\r\n");
	}
	turn(100);
	ck_assert_uint_gt(n_held, 1);
	ck_assert_uint_lt(n_held, 40);
	/* Those that were not accepted come in as others are answered. */
	for (i = 0; i < 60; i++) {
		for (; k < n_held; k++)
			tg_http_reply_text(all_held[k], 200, "text/plain", "ok",
					   2);
		turn(10);
	}
	for (i = 0; i < 40; i++)
		close(fds[i]);
	turn(100);
	fd = connect_from("127.0.0.2");
	ck_assert_int_eq(get(fd), 1);
}
END_TEST

START_TEST(one_address_has_a_limit_of_its_own)
{
	struct tg_http_limits l = { .connections = 10, .per_address = 2 };
	int first, over, other;

	serve(l);
	first = connect_from("127.0.0.1");
	connect_from("127.0.0.1");
	over = connect_from("127.0.0.1");
	other = connect_from("127.0.0.2");
	ck_assert_int_eq(get(over), -1);
	ck_assert_int_eq(get(first), 1);
	ck_assert_int_eq(get(other), 1);
}
END_TEST

/* Bytes that come one by one keep a connection from idling. */
START_TEST(request_that_never_ends_is_given_up)
{
	struct tg_http_limits l = { .request_ms = 300 };
	int fd, i;

	serve(l);
	fd = connect_from("127.0.0.1");
	send_text(fd, "GET / HTTP/1.1\r\nX: ");
	for (i = 0; i < 40; i++) {
		send_text(fd, "x");
		turn(50);
	}
	ck_assert_int_eq(answer(fd), -1);
}
END_TEST

/* The time counts for one request, not for those after it. */
START_TEST(connection_outlives_the_time_of_a_request)
{
	struct tg_http_limits l = { .request_ms = 300 };
	int fd, i;

	serve(l);
	fd = connect_from("127.0.0.1");
	for (i = 0; i < 10; i++) {
		ck_assert_int_eq(get(fd), 1);
		turn(100);
	}
}
END_TEST

START_TEST(largest_request_makes_room)
{
	struct tg_http_limits l = { .buffered_bytes = BODY_MAX };
	static char body[BODY_MAX - 1000];
	int large, small;

	serve(l);
	large = connect_from("127.0.0.1");
	small = connect_from("127.0.0.1");
	send_text(large,
		  "POST / HTTP/1.1\r\nHost: h\r\n"
		  "Content-Length: 99900\r\n\r\n");
	send(large, body, sizeof(body), MSG_NOSIGNAL);
	turn(50);
	send_text(small,
		  "POST / HTTP/1.1\r\nHost: h\r\n"
		  "Content-Length: 20000\r\n\r\n");
	send(small, body, 20000, MSG_NOSIGNAL);
	ck_assert_int_eq(answer(small), 1);
	ck_assert_int_eq(body_seen, 20000);
	ck_assert_int_eq(answer(large), -1);
}
END_TEST

/* evhttp takes a chunk only when it is there as a whole. */
START_TEST(chunk_as_large_as_a_body_is_taken)
{
	struct tg_http_limits l = { .connections = 10 };
	static char body[BODY_MAX - 100];
	char text[64];
	int fd;

	serve(l);
	fd = connect_from("127.0.0.1");
	send_text(fd,
		  "POST / HTTP/1.1\r\nHost: h\r\n"
		  "Transfer-Encoding: chunked\r\n\r\n");
	snprintf(text, sizeof(text), "%zx\r\n", sizeof(body));
	send_text(fd, text);
	send(fd, body, sizeof(body), MSG_NOSIGNAL);
	send_text(fd, "\r\n0\r\n\r\n");
	ck_assert_int_eq(answer(fd), 1);
	ck_assert_int_eq(body_seen, sizeof(body));
}
END_TEST

/* Requests sent ahead are answered, in order, to a client that reads. */
START_TEST(requests_ahead_are_answered_to_who_reads)
{
	struct tg_http_limits l = { .connections = 10 };
	static char ahead[100 * (sizeof(REQUEST) - 1) + 1], got[1 << 20];
	size_t sent = 0, n = 0, received = 0, answers = 0;
	const char *p;
	int fd, i;

	serve(l);
	fd = connect_from("127.0.0.1");
	while (n < sizeof(ahead) - 1)
		n += (size_t)snprintf(ahead + n, sizeof(ahead) - n, "%s",
				      REQUEST);
	for (i = 0; i < 4000 && answers < 100; i++) {
		ssize_t k = send(fd, ahead + sent, n - sent, MSG_NOSIGNAL);

		sent += k > 0 ? (size_t)k : 0;
		event_base_loop(base, EVLOOP_NONBLOCK);
		k = recv(fd, got + received, sizeof(got) - 1 - received, 0);
		received += k > 0 ? (size_t)k : 0;
		if (k < 0)
			usleep(1000);
		answers = 0;
		for (p = got; (p = strstr(p, "200 OK")); p++)
			answers++;
	}
	ck_assert_int_eq(sent, n);
	ck_assert_int_eq(answers, 100);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("http-limits");
	TCase *t = tcase_create("limits");

	tcase_set_timeout(t, 30);
	tcase_add_checked_fixture(t, setup, teardown);
	tcase_add_test(t, idle_connection_makes_room_for_a_new_one);
	tcase_add_test(t, request_in_progress_keeps_its_connection);
	tcase_add_test(t, connections_are_accepted_again_after_many_at_once);
	tcase_add_test(t, one_address_has_a_limit_of_its_own);
	tcase_add_test(t, request_that_never_ends_is_given_up);
	tcase_add_test(t, connection_outlives_the_time_of_a_request);
	tcase_add_test(t, largest_request_makes_room);
	tcase_add_test(t, chunk_as_large_as_a_body_is_taken);
	tcase_add_test(t, requests_ahead_are_answered_to_who_reads);
	suite_add_tcase(s, t);
	return run_suite(s);
}
