#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include "oncrpc/codec.h"
#include "../run.h"
#include "suites.h"

/*
 * On a site with 147 instances the standbys and queue daemons of all of them
 * call the owner.  It closed each connection beyond the 256th as soon as it was
 * opened, so that the same callers were turned away for ever and took the owner
 * for dead.
 */

#define CONNECTIONS_MAX 4

static struct event_base *base;
static struct tg_rpc_server *server;

static void setup(void)
{
	struct tg_rpc_server_opts o = {
		.addr = "127.0.0.1:0",
		.max_connections = CONNECTIONS_MAX,
	};

	base = o.base = tg_loop_new();
	server = tg_rpc_server_new(&o);
	ck_assert_ptr_nonnull(server);
}

static void teardown(void)
{
	tg_rpc_server_free(server);
	event_base_free(base);
}

static void run_loop(void)
{
	int i;

	for (i = 0; i < 20; i++) {
		event_base_loop(base, EVLOOP_NONBLOCK);
		usleep(1000);
	}
}

static int open_connection(void)
{
	struct sockaddr_in sa = { .sin_family = AF_INET };
	char host[TG_ADDR_MAX + 1];
	uint16_t port;
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	ck_assert_int_eq(tg_addr_split(tg_rpc_server_addr(server), host,
				       sizeof(host), &port),
			 0);
	inet_pton(AF_INET, host, &sa.sin_addr);
	sa.sin_port = htons(port);
	ck_assert_int_eq(connect(fd, (struct sockaddr *)&sa, sizeof(sa)), 0);
	run_loop();
	return fd;
}

/* Return: whether the server answers a call on the connection. */
static bool is_served(int fd)
{
	struct evbuffer *out = evbuffer_new();
	char buf[256];
	size_t n;
	void *p = rpc_encode_call(7, TG_RPC_NULL, NULL, &n);
	ssize_t got;

	rpc_write_record(out, p, n);
	evbuffer_write(out, fd);
	evbuffer_free(out);
	free(p);
	run_loop();
	got = recv(fd, buf, sizeof(buf), MSG_DONTWAIT);
	return got > 0;
}

START_TEST(the_longest_idle_connection_makes_room)
{
	int fds[CONNECTIONS_MAX], late, i;

	signal(SIGPIPE, SIG_IGN);
	for (i = 0; i < CONNECTIONS_MAX; i++)
		fds[i] = open_connection();
	/* The first two have been used since the third was opened. */
	ck_assert(is_served(fds[0]));
	ck_assert(is_served(fds[1]));
	ck_assert(is_served(fds[3]));
	late = open_connection();
	ck_assert(is_served(late));
	ck_assert(is_served(fds[0]));
	ck_assert(is_served(fds[1]));
	ck_assert(is_served(fds[3]));
	ck_assert(!is_served(fds[2]));
	for (i = 0; i < CONNECTIONS_MAX; i++)
		close(fds[i]);
	close(late);
}
END_TEST

static enum tg_rpc_call_status call_end;

static void on_done(enum tg_rpc_call_status end, const void *res, void *arg)
{
	(void)res;
	(void)arg;
	call_end = end;
	event_base_loopbreak(base);
}

/*
 * A daemon that had been stopped took its peers for silent, since the limits of
 * its calls had run out before it could read the answers.
 */
START_TEST(time_in_a_held_up_loop_is_not_the_peers)
{
	struct tg_rpc_client *c = tg_rpc_client_new(base);

	tg_rpc_call(c, tg_rpc_server_addr(server), TG_RPC_NULL, NULL, 100,
		    on_done, NULL);
	usleep(300000);
	event_base_dispatch(base);
	ck_assert_int_eq(call_end, TG_RPC_CALL_OK);
	tg_rpc_client_free(c);
}
END_TEST

TCase *server_tcase(void)
{
	TCase *t = tcase_create("server");

	tcase_add_checked_fixture(t, setup, teardown);
	tcase_add_test(t, time_in_a_held_up_loop_is_not_the_peers);
	tcase_add_test(t, the_longest_idle_connection_makes_room);
	return t;
}
