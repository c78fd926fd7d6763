#include <ctype.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/random.h>

#include "board.h"

#define KEY_BYTES_MIN 16
#define SESSION_MS (12 * 3600 * 1000)
#define COOKIE "tgconsole="

int auth_read_key(struct board *b, struct tg_findings *f)
{
	FILE *in = fopen(b->opts.operator_key_file, "r");
	size_t n;

	if (!in) {
		tg_findings_add(f, "--operator-key-file", "%s: %s",
				b->opts.operator_key_file, strerror(errno));
		return -1;
	}
	n = fread(b->key, 1, sizeof(b->key) - 1, in);
	fclose(in);
	b->key[n] = '\0';
	while (n && isspace((unsigned char)b->key[n - 1]))
		b->key[--n] = '\0';
	if (n >= KEY_BYTES_MIN && strlen(b->key) == n)
		return 0;
	tg_findings_add(f, "--operator-key-file",
			"needs a key of %d to %d characters", KEY_BYTES_MIN,
			KEY_BYTES_MAX - 1);
	return -1;
}

bool auth_equal_const_time(const char *a, const char *b)
{
	size_t n = strlen(a), m = strlen(b), i;
	volatile unsigned char differs = n != m;

	for (i = 0; i < m; i++)
		differs |= (unsigned char)(a[n ? i % n : 0] ^ b[i]);
	return !differs;
}

static const char *peer_addr(struct evhttp_request *req)
{
	struct evhttp_connection *con = evhttp_request_get_connection(req);
	char *addr = NULL;
	ev_uint16_t port = 0;

	if (con)
		evhttp_connection_get_peer(con, &addr, &port);
	return addr ? addr : "-";
}

void auth_count_refused(struct evhttp_request *req, const char *why)
{
	tg_counter("tg_console_keys_refused_total",
		   "Calls and logins without the operator key.", NULL)
		->value++;
	tg_log(EV_CONSOLE_KEY_REFUSED, "why=%s from=%s", why, peer_addr(req));
}

static void decay_failures(const struct board *b, struct key_failures *f,
			   int64_t now_ms)
{
	f->count -= (double)(now_ms - f->updated_ms) *
		(double)b->opts.wrong_keys_per_min / 60000;
	if (f->count < 0)
		f->count = 0;
	f->updated_ms = now_ms;
}

/* Returns the entry of @addr; makes one if there is none. */
static struct key_failures *get_failures(struct board *b, const char *addr)
{
	struct key_failures *lowest = &b->key_failures[0];
	int64_t now_ms = tg_now_ms();
	size_t i;

	for (i = 0; i < KEY_FAILURES_MAX; i++) {
		struct key_failures *f = &b->key_failures[i];

		decay_failures(b, f, now_ms);
		if (!strcmp(f->addr, addr))
			return f;
		if (f->count < lowest->count)
			lowest = f;
	}
	tg_strlcpy(lowest->addr, addr, sizeof(lowest->addr));
	lowest->count = 0;
	return lowest;
}

enum key_result auth_check_key(struct board *b, struct evhttp_request *req,
			       const char *key)
{
	struct key_failures *f = get_failures(b, peer_addr(req));

	if (f->count > (double)b->opts.wrong_keys_per_min - 1) {
		auth_count_refused(req, "limit");
		return KEY_RATE_LIMITED;
	}
	if (key && auth_equal_const_time(key, b->key))
		return KEY_VALID;
	if (key)
		f->count++;
	auth_count_refused(req, key ? "wrong" : "none");
	return KEY_INVALID;
}

void auth_reply_rate_limited(struct board *b, struct evhttp_request *req)
{
	char seconds[24];

	snprintf(seconds, sizeof(seconds), "%lld",
		 60 / (long long)b->opts.wrong_keys_per_min + 1);
	evhttp_add_header(evhttp_request_get_output_headers(req), "Retry-After",
			  seconds);
	tg_http_reply_error(req, 429, "Authorization",
			    "too many wrong operator keys from this address");
}

bool auth_require_bearer(struct board *b, struct evhttp_request *req)
{
	static const char prefix[] = "Bearer ";
	const char *header = tg_http_header(req, "Authorization");
	bool has_prefix =
		header && !strncasecmp(header, prefix, strlen(prefix));

	switch (auth_check_key(b, req,
			       has_prefix ? header + strlen(prefix) : header)) {
	case KEY_VALID:
		return true;
	case KEY_RATE_LIMITED:
		auth_reply_rate_limited(b, req);
		return false;
	default:
		break;
	}
	evhttp_add_header(evhttp_request_get_output_headers(req),
			  "WWW-Authenticate", "Bearer");
	tg_http_reply_error(req, 401, "Authorization",
			    "needs the operator key: Bearer KEY");
	return false;
}

const char *auth_author_name(const char *name)
{
	const char *c;

	if (!name || !*name || strlen(name) > TG_NAME_MAX)
		return "unnamed";
	for (c = name; *c; c++)
		if (*c < ' ' || *c > '~')
			return "unnamed";
	return name;
}

/* tg_random_token() falls back to the clock, which would make a session
 * guessable. */
static bool random_token(char out[TG_TOKEN_LEN + 1])
{
	unsigned char bytes[TG_TOKEN_LEN / 2];
	size_t i;

	if (getrandom(bytes, sizeof(bytes), 0) != (ssize_t)sizeof(bytes))
		return false;
	for (i = 0; i < sizeof(bytes); i++)
		snprintf(out + 2 * i, 3, "%02x", bytes[i]);
	return true;
}

struct session *auth_open_session(struct board *b, const char *author)
{
	struct session *s = &b->sessions[0];
	size_t i;

	for (i = 1; i < SESSIONS_MAX; i++)
		if (b->sessions[i].expires_ms < s->expires_ms)
			s = &b->sessions[i];
	if (!random_token(s->token) || !random_token(s->form_token)) {
		memset(s, 0, sizeof(*s));
		return NULL;
	}
	tg_strlcpy(s->author, auth_author_name(author), sizeof(s->author));
	s->expires_ms = tg_now_ms() + SESSION_MS;
	return s;
}

static struct session *find_session(struct board *b, const char *token)
{
	int64_t now_ms = tg_now_ms();
	size_t i;

	for (i = 0; i < SESSIONS_MAX; i++) {
		struct session *s = &b->sessions[i];

		if (s->expires_ms > now_ms &&
		    auth_equal_const_time(token, s->token))
			return s;
	}
	return NULL;
}

struct session *auth_get_session(struct board *b, struct evhttp_request *req)
{
	const char *c = tg_http_header(req, "Cookie");
	char token[TG_TOKEN_LEN + 1];

	while (c && *c) {
		c += strspn(c, "; ");
		if (!strncmp(c, COOKIE, strlen(COOKIE))) {
			tg_strlcpy(token, c + strlen(COOKIE), sizeof(token));
			token[strcspn(token, "; ")] = '\0';
			return strlen(token) == TG_TOKEN_LEN ?
				find_session(b, token) :
				NULL;
		}
		c = strchr(c, ';');
	}
	return NULL;
}
