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

static struct event_base *base;
static struct tg_http_server *server;

static void on_request(struct evhttp_request *req, void *arg)
{
	(void)arg;
	tg_http_reply_json(req, 200, json_object());
}

static void setup(void)
{
	static const struct tg_http_route routes[] = {
		{ "/", true, EVHTTP_REQ_GET, on_request },
		{ .path = NULL },
	};
	struct tg_http_server_opts o = { .addr = "127.0.0.1:0",
					 .routes = routes,
					 .body_bytes = 1000 };

	base = o.base = event_base_new();
	server = tg_http_server_new(&o);
	ck_assert_ptr_nonnull(server);
}

static void teardown(void)
{
	tg_http_server_free(server);
	event_base_free(base);
}

#define LARGE_BODY (4 << 20)

static int connect_to(const char *addr)
{
	struct sockaddr_in sa = { .sin_family = AF_INET };
	char host[TG_ADDR_MAX + 1];
	uint16_t port;
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	ck_assert(!tg_addr_split(addr, host, sizeof(host), &port));
	inet_pton(AF_INET, host, &sa.sin_addr);
	sa.sin_port = htons(port);
	ck_assert(!connect(fd, (struct sockaddr *)&sa, sizeof(sa)));
	fcntl(fd, F_SETFL, O_NONBLOCK);
	return fd;
}

/*
 * The server closed the connection on which a caller was still sending a body
 * that was too large.  That resets it, and the caller never saw the answer.
 */
START_TEST(caller_of_a_large_body_is_answered)
{
	static char body[64 << 10];
	char head[128], got[512] = "";
	int fd = connect_to(tg_http_server_addr(server)), sent = 0;
	ssize_t n;

	signal(SIGPIPE, SIG_IGN);
	n = snprintf(head, sizeof(head),
		     "GET / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n",
		     LARGE_BODY);
	ck_assert_int_eq(send(fd, head, (size_t)n, 0), n);
	while (sent < LARGE_BODY) {
		n = send(fd, body, sizeof(body), 0);
		ck_assert_msg(n > 0 || errno == EAGAIN,
			      "connection broken after %d bytes", sent);
		sent += n > 0 ? (int)n : 0;
		event_base_loop(base, EVLOOP_NONBLOCK);
	}
	for (n = 0; n < 100 && recv(fd, got, sizeof(got) - 1, 0) <= 0; n++) {
		event_base_loop(base, EVLOOP_NONBLOCK);
		usleep(1000);
	}
	ck_assert_msg(strstr(got, "413"), "answer: %s", got);
	close(fd);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("http-body");
	TCase *t = tcase_create("server");

	tcase_add_checked_fixture(t, setup, teardown);
	tcase_add_test(t, caller_of_a_large_body_is_answered);
	suite_add_tcase(s, t);
	return run_suite(s);
}
