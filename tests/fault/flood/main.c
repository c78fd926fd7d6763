#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/base.h"

/*
 * Clients that don't read: sends on many connections as much as the server
 * takes, and reads nothing.  Once nothing more is taken, or all is sent, it
 * prints "holding" and keeps the connections open until its input ends.
 */

/* No connection has taken anything for this long: the server doesn't read. */
#define QUIET_MS 2000
#define FLOOD_MAX_MS 20000
#define CHUNK_BYTES 65536

struct settings {
	const char *addr, *kind, *path;
	int64_t connections, bytes, addresses;
};

static const struct tg_setting settings[] = {
	TG_SETTING(settings, "addr", TG_SET_ADDR, NULL, 0, 0, true,
		   "address of the server", addr),
	TG_SETTING(
		settings, "kind", TG_SET_STRING, NULL, 0, 0, true,
		"ahead, announced, plain, chunked, headers, unfinished, idle "
		"or all",
		kind),
	TG_SETTING(settings, "path", TG_SET_STRING, "/", 0, 0, false,
		   "path of the requests", path),
	TG_SETTING(settings, "connections", TG_SET_INT, "12", 1, 1000, false,
		   "number of connections", connections),
	TG_SETTING(settings, "bytes", TG_SET_INT, "1000000", 1, 1 << 30, false,
		   "bytes to send on a connection", bytes),
	TG_SETTING(settings, "addresses", TG_SET_INT, "1", 1, 200, false,
		   "loopback addresses to connect from", addresses),
	{ .flag = NULL },
};

/**
 * struct flow - what a connection sends
 * @head: sent once
 * @body: sent again and again; empty to send the head only
 * @bytes_max: most that is sent; 0 for no limit of its own
 */
struct flow {
	char head[512];
	char *body;
	size_t head_bytes, body_bytes;
	int64_t bytes_max;
};

struct connection {
	int fd; /* -1 once the server has closed it */
	const struct flow *flow;
	size_t at; /* in the head, then in the body */
	bool head_sent;
	int64_t sent;
};

static const char *const kinds[] = { "ahead",	"announced", "plain",
				     "chunked", "headers",   "unfinished",
				     "idle" };
static struct flow flows[ARRAY_SIZE(kinds)];

static void repeat(struct flow *f, const char *text)
{
	size_t n = strlen(text), i;

	f->body_bytes = CHUNK_BYTES / n * n;
	f->body = tg_xcalloc(1, f->body_bytes + 1);
	for (i = 0; i < f->body_bytes; i += n)
		memcpy(f->body + i, text, n);
}

static void make_flows(const struct settings *s)
{
	char text[512];
	size_t i;

	snprintf(text, sizeof(text), "GET %s HTTP/1.1\r\nHost: h\r\n\r\n",
		 s->path);
	repeat(&flows[0], text);
	snprintf(flows[1].head, sizeof(flows[1].head),
		 "POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: "
		 "1000000000\r\n\r\n",
		 s->path);
	repeat(&flows[1], "x");
	snprintf(flows[2].head, sizeof(flows[2].head),
		 "POST %s HTTP/1.1\r\nHost: h\r\n\r\n", s->path);
	repeat(&flows[2], "x");
	snprintf(flows[3].head, sizeof(flows[3].head),
		 "POST %s HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: "
		 "chunked\r\n\r\n",
		 s->path);
	snprintf(text, sizeof(text), "100\r\n%0256d\r\n", 0);
	repeat(&flows[3], text);
	snprintf(flows[4].head, sizeof(flows[4].head), "GET %s HTTP/1.1\r\n",
		 s->path);
	repeat(&flows[4], "X-Header: 0123456789\r\n");
	/* Within the server's limit, but the rest never comes. */
	snprintf(flows[5].head, sizeof(flows[5].head),
		 "POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: "
		 "1000000\r\n\r\n",
		 s->path);
	repeat(&flows[5], "x");
	flows[5].bytes_max = 900000;
	snprintf(flows[6].head, sizeof(flows[6].head), "GET %s HTT", s->path);
	for (i = 0; i < ARRAY_SIZE(flows); i++)
		flows[i].head_bytes = strlen(flows[i].head);
}

static const struct flow *flow_of(const struct settings *s, int64_t i)
{
	size_t k;

	for (k = 0; k < ARRAY_SIZE(kinds); k++)
		if (!strcmp(s->kind, kinds[k]))
			return &flows[k];
	return &flows[(size_t)i % ARRAY_SIZE(kinds)];
}

/* From 127.N.0.1 on, so that each address has as many connections. */
static int connect_from(const char *addr, int64_t source)
{
	struct sockaddr_in to = { .sin_family = AF_INET }, from = to;
	char host[TG_ADDR_MAX + 1];
	uint16_t port;
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	if (fd < 0 || tg_addr_split(addr, host, sizeof(host), &port))
		return -1;
	from.sin_addr.s_addr =
		htonl((127U << 24) | (1U << 8) | (uint32_t)(source + 1));
	inet_pton(AF_INET, host, &to.sin_addr);
	to.sin_port = htons(port);
	if (bind(fd, (struct sockaddr *)&from, sizeof(from)) ||
	    connect(fd, (struct sockaddr *)&to, sizeof(to))) {
		close(fd);
		return -1;
	}
	fcntl(fd, F_SETFL, O_NONBLOCK);
	return fd;
}

static bool is_done(const struct settings *s, const struct connection *c)
{
	const struct flow *f = c->flow;

	return c->fd < 0 || c->sent >= s->bytes ||
		(f->bytes_max && c->sent >= f->bytes_max) ||
		(c->head_sent && !f->body_bytes);
}

/* Return: whether anything was sent. */
static bool send_some(struct connection *c)
{
	const struct flow *f = c->flow;
	const char *from = c->head_sent ? f->body : f->head;
	size_t end = c->head_sent ? f->body_bytes : f->head_bytes;
	ssize_t n;

	if (!c->head_sent && !end) {
		c->head_sent = true;
		return true;
	}
	n = send(c->fd, from + c->at, end - c->at, MSG_NOSIGNAL);
	if (n < 0 && errno != EAGAIN) {
		close(c->fd);
		c->fd = -1;
	}
	if (n <= 0)
		return false;
	c->sent += n;
	c->at += (size_t)n;
	if (c->at == end) {
		c->at = 0;
		c->head_sent = true;
	}
	return true;
}

static void flood(const struct settings *s, struct connection *list)
{
	struct pollfd *p = tg_xcalloc((size_t)s->connections, sizeof(*p));
	int64_t started_ms = tg_now_ms(), active_ms = started_ms, now_ms, i;

	do {
		nfds_t n = 0;

		for (i = 0; i < s->connections; i++)
			if (!is_done(s, &list[i]))
				p[n++] = (struct pollfd){ .fd = list[i].fd,
							  .events = POLLOUT };
		if (!n)
			break;
		poll(p, n, 100);
		now_ms = tg_now_ms();
		for (i = 0; i < s->connections; i++)
			if (!is_done(s, &list[i]) && send_some(&list[i]))
				active_ms = now_ms;
	} while (now_ms - active_ms < QUIET_MS &&
		 now_ms - started_ms < FLOOD_MAX_MS);
	free(p);
}

int main(int argc, char **argv)
{
	static const struct tg_settings_spec spec = {
		.prog = "flood",
		.summary = "sends without reading",
		.items = settings,
	};
	struct settings s;
	struct connection *list;
	int64_t i, sent = 0, open = 0;
	char c;

	switch (tg_settings_load(&spec, argc, argv, &s, NULL)) {
	case TG_SETTINGS_EXIT:
		return 0;
	case TG_SETTINGS_INVALID:
		return TG_EXIT_USAGE;
	default:
		break;
	}
	signal(SIGPIPE, SIG_IGN);
	make_flows(&s);
	list = tg_xcalloc((size_t)s.connections, sizeof(*list));
	for (i = 0; i < s.connections; i++) {
		list[i].flow = flow_of(&s, i);
		list[i].fd = connect_from(s.addr, i % s.addresses);
	}
	flood(&s, list);
	for (i = 0; i < s.connections; i++) {
		sent += list[i].sent;
		open += list[i].fd >= 0;
	}
	fprintf(stderr, "sent %lld bytes, %lld connections open\n",
		(long long)sent, (long long)open);
	printf("holding\n");
	fflush(stdout);
	while (read(STDIN_FILENO, &c, 1) > 0)
		;
	return 0;
}
