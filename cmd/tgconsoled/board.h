#ifndef TG_CONSOLED_BOARD_H
#define TG_CONSOLED_BOARD_H

#include "doc/doc.h"
#include "http/http.h"
#include "member/member.h"
#include "oncrpc/oncrpc.h"
#include "plat/plat.h"

enum {
#define TG_EVENT TG_EVENT_ENUM
#include "events.def"
#undef TG_EVENT
};

#define KEY_BYTES_MAX 256
/* Concurrent loads and saves; further ones are refused. */
#define IN_PROGRESS_MAX 64

struct opts {
	const char *http_addr, *rpc_addr, *platform, *instance, *az, *peers;
	const char *operator_key_file, *log_level;
	int64_t drain_grace_ms, drain_max_ms;
	int64_t wrong_keys_per_min;
	bool secure_cookie;
	bool unsafe_save_unchecked, unsafe_assume_not_written;
};

/**
 * struct guesser - an address that sent wrong keys
 * @wrong: number of wrong keys, less those that time has made up for
 * @at_ms: when @wrong was last brought up to date
 */
struct guesser {
	char addr[64];
	double wrong;
	int64_t at_ms;
};
/* A newer address takes the place of the one with the fewest wrong keys. */
#define GUESSERS_MAX 256

/**
 * struct session - an operator who logged in with the forms
 * @token: value of the cookie
 * @form_token: in every form that changes state
 */
struct session {
	char token[TG_TOKEN_LEN + 1];
	char form_token[TG_TOKEN_LEN + 1];
	char author[TG_NAME_MAX + 1];
	int64_t expires_ms;
};
#define SESSIONS_MAX 64

/** struct board - state of the console */
struct board {
	struct event_base *base;
	struct opts opts;
	char key[KEY_BYTES_MAX + 1];
	struct tg_http_client *client;
	struct tg_plat *plat;
	struct tg_rpc_client *rpc;
	struct tg_rpc_server *rpc_server;
	struct tg_http_server *http;
	struct tg_member *member;
	struct session sessions[SESSIONS_MAX];
	struct guesser guessers[GUESSERS_MAX];
	size_t in_progress; /* loads and saves */
};

extern const struct tg_controller rpc_controller;
extern const char console_style[];

/* --- auth.c --- */

/** auth_read_key() - read the key file; 0 or -1 with a finding */
int auth_read_key(struct board *b, struct tg_findings *f);
/** auth_equal() - compare in a time that depends on the length of @b only */
bool auth_equal(const char *a, const char *b);
/** auth_bearer() - whether the call has the key; replies with 401 if not */
bool auth_bearer(struct board *b, struct evhttp_request *req);
/** auth_author() - @name if it can be an author, else "unnamed" */
const char *auth_author(const char *name);
struct session *auth_session(struct board *b, struct evhttp_request *req);
struct session *auth_open_session(struct board *b, const char *author);
/** auth_refused() - count and log a call without the key */
void auth_refused(struct evhttp_request *req, const char *why);
/**
 * auth_key() - whether @key is the operators' key
 *
 * After --wrong-keys-per-min wrong ones from an address, no key from it is
 * looked at until time has made up for them, so that guesses are bounded.
 */
enum key_end { KEY_RIGHT, KEY_WRONG, KEY_LIMITED };
enum key_end auth_key(struct board *b, struct evhttp_request *req,
		      const char *key);
/** auth_limited() - reply with 429 to a call with KEY_LIMITED */
void auth_limited(struct board *b, struct evhttp_request *req);

/* --- plan.c --- */

enum plan_end { PLAN_OK, PLAN_MISSING, PLAN_NO_INSTANCES };
typedef void (*plan_done)(enum plan_end end, void *arg);
/**
 * console_plan() - whether all guarantees have a place together on the workers
 *	that are neither leaving nor drained
 * @doc: taken over
 * @findings: a finding for each guarantee that has none; must stay until @done
 * @done: may be called from inside
 */
void console_plan(const struct board *b, struct tg_doc *doc,
		  struct tg_findings *findings, plan_done done, void *arg);

/* --- store.c --- */

/** struct stored - the document in the table; generation 0 if there is none */
struct stored {
	uint64_t generation, row_version;
	char author[TG_NAME_MAX + 1];
	char at[24];
	char *text;
	size_t text_bytes;
	json_t *history; /* array, newest first */
	bool held; /* the table did not answer: as this console holds it */
};

/** typedef load_done - @s is NULL if the document can't be had */
typedef void (*load_done)(const struct stored *s, void *arg);
void store_load(struct board *b, load_done done, void *arg);

enum save_end {
	SAVE_DONE,
	SAVE_INVALID,
	SAVE_CONFLICT,
	SAVE_UNAVAILABLE,
	SAVE_UNKNOWN,
	N_SAVE_ENDS,
};

/**
 * struct save_result - how a save ended
 * @generation: of the document that is now in the table, or of the one that
 *	was tried if that is unknown
 * @theirs: with SAVE_CONFLICT the document that is in the table; its text is
 *	NULL if the object did not arrive
 * @findings: with SAVE_INVALID
 * @text: with SAVE_UNAVAILABLE what did not answer
 */
struct save_result {
	enum save_end end;
	uint64_t generation;
	const struct stored *theirs;
	const struct tg_findings *findings;
	const char *text;
};
typedef void (*save_done)(const struct save_result *r, void *arg);

/**
 * typedef check_done - end of a check
 * @end: SAVE_DONE, SAVE_INVALID or SAVE_UNAVAILABLE
 * @f: valid during the call
 */
typedef void (*check_done)(enum save_end end, const struct tg_findings *f,
			   void *arg);
/** store_check() - validate as a save does; @done may be called from inside */
void store_check(struct board *b, const char *text, size_t n, check_done done,
		 void *arg);
/** store_save() - @done may be called from inside */
void store_save(struct board *b, uint64_t generation, const char *text,
		size_t n, const char *author, save_done done, void *arg);

/* --- api.c --- */

void api_document(struct evhttp_request *req, void *arg);
void api_check(struct evhttp_request *req, void *arg);
void api_history(struct evhttp_request *req, void *arg);

/* --- login.c --- */

void login_any(struct evhttp_request *req, void *arg);
void logout(struct evhttp_request *req, void *arg);
/**
 * login_page() - ask for name and key
 * @typed: body of a form that was posted without a session, which is shown
 *	again after the login; or NULL
 */
void login_page(struct evhttp_request *req, int status, const char *message,
		const char *typed);

/* --- pages.c --- */

void pages_form(struct evhttp_request *req, void *arg);
void pages_history(struct evhttp_request *req, void *arg);
void pages_style(struct evhttp_request *req, void *arg);
/** pages_show_typed() - show a form as it was posted, without saving it */
void pages_show_typed(struct board *b, struct evhttp_request *req,
		      struct session *s, const char *body);

/* --- form.c --- */

/** struct form - a posted form */
struct form {
	uint64_t generation;
	char *action; /* "save", "check", "add POINTER", "remove POINTER" */
	char *token;
	json_t *doc;
};

/** form_parse() - read an urlencoded body; what is not a field is ignored */
void form_parse(const char *body, struct form *f);
void form_free(struct form *f);
/** form_edit() - apply an add or remove action */
bool form_edit(struct form *f);

/* --- html.c --- */

/** struct page - what the page of the document shows */
struct page {
	const struct session *session;
	uint64_t generation;
	const char *saved_by, *saved_at;
	const char *message;
	bool is_fault;
	const json_t *doc;
	const struct tg_findings *findings;
	const json_t *differences;
	uint64_t their_generation;
	const char *their_author;
};

/** html_text() - add text with the characters of markup escaped */
void html_text(struct evbuffer *out, const char *s);
void html_head(struct evbuffer *out, const char *title);
void html_foot(struct evbuffer *out);
void html_page(struct evbuffer *out, const struct page *p);
/** html_reply() - send with the headers that restrict a page; frees @out */
void html_reply(struct evhttp_request *req, int status, struct evbuffer *out);

#endif
