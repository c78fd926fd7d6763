#include <arpa/inet.h>
#include <ctype.h>
#include <netdb.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "base/base.h"

bool tg_name_valid(const char *s)
{
	size_t n;

	if (!s || !*s || *s == '-')
		return false;
	n = strspn(s, "abcdefghijklmnopqrstuvwxyz0123456789-");
	return !s[n] && n <= TG_NAME_MAX;
}

bool tg_strlcpy(char *dst, const char *src, size_t size)
{
	size_t n = strnlen(src, size);

	if (!size)
		return false;
	if (n == size) {
		memcpy(dst, src, size - 1);
		dst[size - 1] = '\0';
		return false;
	}
	memcpy(dst, src, n + 1);
	return true;
}

/* Bytes of a character that begins with @lead. */
static size_t utf8_bytes(unsigned char lead)
{
	return lead < 0xc0 ? 1 : lead < 0xe0 ? 2 : lead < 0xf0 ? 3 : 4;
}

void tg_utf8_trim(char *s)
{
	size_t n = strlen(s), tail = 0;

	while (tail < 3 && tail < n && (s[n - 1 - tail] & 0xc0) == 0x80)
		tail++;
	if (tail < n && utf8_bytes((unsigned char)s[n - 1 - tail]) > tail + 1)
		s[n - 1 - tail] = '\0';
}

static int parse_port(const char *s, uint16_t *port)
{
	char *end;
	long v;

	if (!isdigit((unsigned char)*s))
		return -1;
	v = strtol(s, &end, 10);
	if (*end || v > UINT16_MAX)
		return -1;
	*port = (uint16_t)v;
	return 0;
}

int tg_addr_split(const char *s, char *host, size_t size, uint16_t *port)
{
	const char *colon = strrchr(s, ':');
	unsigned char parsed[sizeof(struct in6_addr)];
	size_t n;
	int family = AF_INET;

	if (!colon || colon == s)
		return -1;
	n = (size_t)(colon - s);
	if (*s == '[') {
		if (s[n - 1] != ']' || n < 3)
			return -1;
		family = AF_INET6;
		s++;
		n -= 2;
	}
	if (n >= size)
		return -1;
	memcpy(host, s, n);
	host[n] = '\0';
	if (inet_pton(family, host, parsed) != 1)
		return -1;
	return parse_port(colon + 1, port);
}

bool tg_addr_valid(const char *s)
{
	char host[TG_ADDR_MAX + 1];
	uint16_t port;

	return s && !tg_addr_split(s, host, sizeof(host), &port);
}

int tg_bound_addr(int fd, char *out, size_t size)
{
	struct sockaddr_storage ss = { 0 };
	struct sockaddr *sa = (struct sockaddr *)&ss;
	socklen_t n = sizeof(ss);
	char host[TG_ADDR_MAX + 1], port[8];

	if (getsockname(fd, sa, &n) ||
	    getnameinfo(sa, n, host, sizeof(host), port, sizeof(port),
			NI_NUMERICHOST | NI_NUMERICSERV))
		return -1;
	snprintf(out, size, strchr(host, ':') ? "[%s]:%s" : "%s:%s", host,
		 port);
	return 0;
}
