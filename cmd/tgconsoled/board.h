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

/* Buffer for the operator key; the key may have one byte less. */
#define KEY_BYTES_MAX 256
/* Maximum of operations in progress; further loads and saves are rejected. */
#define IN_PROGRESS_MAX 64

struct opts {
	struct tg_http_limits http;
	const char *http_addr, *rpc_addr, *platform, *instance, *az, *peers;
	const char *operator_key_file, *log_level;
	int64_t drain_grace_ms, drain_max_ms;
	int64_t wrong_keys_per_min;
	bool secure_cookie;
	bool unsafe_save_unchecked, unsafe_assume_not_written;
};

/**
 * struct key_failures - wrong operator keys received from one client address
 * @addr: IP address, "-" if unknown
 * @count: number of wrong keys; it decays by --wrong-keys-per-min
 * @updated_ms: when the decay was last applied to @count
 */
struct key_failures {
	char addr[64];
	double count;
	int64_t updated_ms;
};
/* A new address replaces the entry with the lowest count. */
#define KEY_FAILURES_MAX 256

/**
 * struct session - session of an operator who logged in with a browser
 * @token: value of the session cookie
 * @form_token: hidden field of every form that changes state, which protects
 *	against cross-site request forgery
 * @author: name that the operator gave at login
 * @expires_ms: by tg_now_ms(); a session in the past is free for reuse
 */
struct session {
	char token[TG_TOKEN_LEN + 1];
	char form_token[TG_TOKEN_LEN + 1];
	char author[TG_NAME_MAX + 1];
	int64_t expires_ms;
};
#define SESSIONS_MAX 64

/**
 * struct board - state that the console's controllers and handlers share
 * @key: operator key from --operator-key-file
 * @in_progress: loads, checks and saves that have not ended
 */
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
	struct key_failures key_failures[KEY_FAILURES_MAX];
	size_t in_progress;
};

extern const struct tg_controller rpc_controller;
extern const char console_style[];

/* --- auth.c --- */

/**
 * auth_read_key() - read the operator key from --operator-key-file
 *
 * Return: 0; -1 with a finding in @f.
 */
int auth_read_key(struct board *b, struct tg_findings *f);
/**
 * auth_equal_const_time() - compare strings in constant time
 *
 * The time depends on the length of @b only, so @b is the secret.
 */
bool auth_equal_const_time(const char *a, const char *b);
/**
 * auth_require_bearer() - check the operator key in the Authorization header
 *
 * Return: true if it is valid; otherwise false after a reply with 401 or 429.
 */
bool auth_require_bearer(struct board *b, struct evhttp_request *req);
/**
 * auth_author_name() - validate the name of an author
 * @name: as given by the operator, or NULL
 *
 * Return: @name if it is printable ASCII of valid length, else "unnamed".
 */
const char *auth_author_name(const char *name);
/** auth_get_session() - session of the cookie; NULL if it is not valid */
struct session *auth_get_session(struct board *b, struct evhttp_request *req);
/**
 * auth_open_session() - begin a session, in place of the one that expires first
 *
 * Return: NULL if the kernel gave no random numbers.
 */
struct session *auth_open_session(struct board *b, const char *author);
/**
 * auth_count_refused() - count and log a request without a valid operator key
 * @why: "wrong", "none" or "limit", as logged
 */
void auth_count_refused(struct evhttp_request *req, const char *why);
/**
 * enum key_result - result of a check of the operator key
 * @KEY_RATE_LIMITED: the address has sent too many wrong keys
 */
enum key_result { KEY_VALID, KEY_INVALID, KEY_RATE_LIMITED };
/**
 * auth_check_key() - check the operator key that a request carries
 * @key: may be NULL
 *
 * After --wrong-keys-per-min wrong keys from an address, all keys from it are
 * rejected without a comparison, even the valid one, until the count has
 * decayed.  This bounds the rate of guesses.
 */
enum key_result auth_check_key(struct board *b, struct evhttp_request *req,
			       const char *key);
/** auth_reply_rate_limited() - reply with 429 after KEY_RATE_LIMITED */
void auth_reply_rate_limited(struct board *b, struct evhttp_request *req);

/* --- plan.c --- */

/**
 * enum plan_result - result of a placement check
 * @PLAN_NO_FIT: at least one guarantee does not fit
 * @PLAN_NO_INSTANCES: the instance list could not be read
 */
enum plan_result { PLAN_OK, PLAN_NO_FIT, PLAN_NO_INSTANCES };
typedef void (*plan_done)(enum plan_result result, void *arg);
/**
 * plan_check_guarantees() - check that all guarantees fit on the workers at
 *once
 * @doc: ownership passes to the function
 * @findings: receives a finding for each guarantee that does not fit; must stay
 *	valid until @done is called
 * @done: may be called before the function returns
 *
 * Workers that are leaving or drained are not counted.
 */
void plan_check_guarantees(const struct board *b, struct tg_doc *doc,
			   struct tg_findings *findings, plan_done done,
			   void *arg);

/* --- store.c --- */

/**
 * struct stored_doc - a document as loaded by the console
 * @generation: 0 if the table has no document yet
 * @row_version: version of the row config/current, the condition of a save
 * @author: who saved it; empty if unknown
 * @at: when it was saved, in UTC; empty if unknown
 * @text: JSON text, NUL-terminated
 * @history: array of saves, newest first
 * @from_cache: the table did not reply, so this is the document that this
 *	console has in force, without author and history
 */
struct stored_doc {
	uint64_t generation, row_version;
	char author[TG_NAME_MAX + 1];
	char at[24];
	char *text;
	size_t text_bytes;
	json_t *history;
	bool from_cache;
};

/**
 * typedef load_done - end of a load
 * @s: valid during the call; NULL if the document could not be loaded
 */
typedef void (*load_done)(const struct stored_doc *s, void *arg);
/** store_load() - load the document; @done may be called before it returns */
void store_load(struct board *b, load_done done, void *arg);

/**
 * enum save_outcome - outcome of a save
 * @SAVE_INVALID: the document has findings; nothing was saved
 * @SAVE_CONFLICT: another save came first; nothing was saved
 * @SAVE_UNAVAILABLE: a service did not reply, the row of the document is
 *	invalid, or too many saves are in progress; nothing was saved
 * @SAVE_UNKNOWN: the reply to the write was lost, so it may have been saved
 */
enum save_outcome {
	SAVE_DONE,
	SAVE_INVALID,
	SAVE_CONFLICT,
	SAVE_UNAVAILABLE,
	SAVE_UNKNOWN,
	N_SAVE_OUTCOMES,
};

/**
 * struct save_result - result of a save, valid during the callback
 * @generation: with SAVE_DONE and SAVE_CONFLICT, of the document in the table;
 *	with SAVE_UNKNOWN, the one that the save would have made
 * @theirs: with SAVE_CONFLICT, the document in the table; its text is NULL if
 *	the object could not be read
 * @findings: with SAVE_INVALID, what is wrong
 * @unavailable: with SAVE_UNAVAILABLE, what was unavailable
 */
struct save_result {
	enum save_outcome outcome;
	uint64_t generation;
	const struct stored_doc *theirs;
	const struct tg_findings *findings;
	const char *unavailable;
};
typedef void (*save_done)(const struct save_result *r, void *arg);

/**
 * typedef check_done - end of a check
 * @outcome: SAVE_DONE, SAVE_INVALID or SAVE_UNAVAILABLE
 * @f: findings, valid during the call
 */
typedef void (*check_done)(enum save_outcome outcome,
			   const struct tg_findings *f, void *arg);
/**
 * store_check() - validate a document as a save does, without saving it
 * @text: needed only until the function returns
 * @done: may be called before the function returns
 */
void store_check(struct board *b, const char *text, size_t n, check_done done,
		 void *arg);
/**
 * store_save() - validate a document and write it to object store and table
 * @generation: generation that the operator edited; the save ends with
 *	SAVE_CONFLICT if the table has another one
 * @text: copied
 * @done: may be called before the function returns
 */
void store_save(struct board *b, uint64_t generation, const char *text,
		size_t n, const char *author, save_done done, void *arg);

/* --- api.c --- */

void api_document(struct evhttp_request *req, void *arg);
void api_check(struct evhttp_request *req, void *arg);
void api_history(struct evhttp_request *req, void *arg);

/* --- login.c --- */

void login_handle(struct evhttp_request *req, void *arg);
void login_handle_logout(struct evhttp_request *req, void *arg);
/**
 * login_reply_page() - reply with the login form
 * @message: error to show, or NULL
 * @posted: urlencoded body of a form that was posted without a session, kept in
 *	a hidden field and shown again after the login; or NULL
 */
void login_reply_page(struct evhttp_request *req, int status,
		      const char *message, const char *posted);

/* --- pages.c --- */

void pages_document(struct evhttp_request *req, void *arg);
void pages_history(struct evhttp_request *req, void *arg);
void pages_style(struct evhttp_request *req, void *arg);
/**
 * pages_show_posted() - show a posted form again without saving it
 * @body: urlencoded form
 */
void pages_show_posted(struct board *b, struct evhttp_request *req,
		       struct session *s, const char *body);

/* --- form.c --- */

/**
 * struct form - a posted form of the document
 * @generation: generation that the form was made from
 * @action: "save", "check", "add POINTER" or "remove POINTER"
 * @token: form_token of the session that the form was sent to
 * @doc: document made from the fields
 */
struct form {
	uint64_t generation;
	char *action;
	char *token;
	json_t *doc;
};

/**
 * form_parse() - parse an urlencoded body; unknown fields are ignored
 * @f: release with form_free()
 */
void form_parse(const char *body, struct form *f);
void form_free(struct form *f);
/**
 * form_apply_action() - apply an "add" or "remove" action to the document
 *
 * Return: false if the action is another one.
 */
bool form_apply_action(struct form *f);

/* --- html.c --- */

/**
 * struct document_page - contents of the page with the form of the document
 * @saved_by: author of the generation, NULL if unknown
 * @message: shown above the form, or NULL
 * @is_error: show @message as an error
 * @findings: shown at their fields, or NULL
 * @differences: after a conflict, as from tg_doc_diff(); else NULL
 * @their_generation: after a conflict, the generation in the table
 * @their_author: after a conflict, who saved that generation
 */
struct document_page {
	const struct session *session;
	uint64_t generation;
	const char *saved_by, *saved_at;
	const char *message;
	bool is_error;
	const json_t *doc;
	const struct tg_findings *findings;
	const json_t *differences;
	uint64_t their_generation;
	const char *their_author;
};

/** html_text() - append text with markup characters escaped */
void html_text(struct evbuffer *out, const char *s);
/** html_begin() - append the page up to the beginning of its main element */
void html_begin(struct evbuffer *out, const char *title);
/** html_end() - append the end of the page */
void html_end(struct evbuffer *out);
/** html_document() - append the whole page with the form of the document */
void html_document(struct evbuffer *out, const struct document_page *p);
/**
 * html_reply() - reply with a page and its security headers
 * @out: ownership passes to the function
 */
void html_reply(struct evhttp_request *req, int status, struct evbuffer *out);

#endif
