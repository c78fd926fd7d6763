#ifndef TG_MEMBER_INTERNAL_H
#define TG_MEMBER_INTERNAL_H

#include "member/member.h"

struct peer {
	struct tg_member_peer pub;
	bool is_static;
	bool ping_in_flight;
	int64_t next_ping_ms;
};

/* A call to a peer; peers are found again by address when it ends. */
struct peer_call {
	struct tg_member *m;
	char addr[TG_ADDR_MAX + 1];
	struct peer_call *prev, *next;
};

/* Document that config/current names, while its object is loaded. */
struct loading {
	uint64_t generation;
	char digest[17];
};

/* The list of an AZ that the process has, by the platform's entity tag. */
struct list_tag {
	char az[TG_NAME_MAX + 1];
	char tag[TG_ETAG_MAX + 1];
};

struct tg_member {
	struct tg_member_opts opts;
	char self_addr[TG_ADDR_MAX + 1];
	char boot[17];
	uint64_t epoch;
	bool active;

	struct peer *peers;
	struct tg_member_peer *view; /* copy of peers[].pub, handed out */
	size_t n_peers;
	struct peer_call *calls;

	struct tg_instance *instances;
	size_t n_instances;
	bool have_instances, list_in_flight;
	char list_az[TG_NAME_MAX + 1]; /* AZ of the list in flight */
	size_t next_other; /* turn of the other AZs */
	int64_t own_list_ms, own_list_asked_ms, next_other_list_ms;
	int64_t list_ms; /* the last good own list was asked for */
	int64_t listed_ms; /* a list had this process first */
	int64_t own_passed_ms; /* the list of the own AZ went to on_instances */
	struct list_tag tags[TG_DOC_AZS_MAX + 1];
	bool list_failed; /* the last read of the platform's list */
	struct tg_instance *pulled; /* pages of a peer's list so far */
	size_t n_pulled;
	uint32_t pull_from; /* entries that the peer has sent */
	int64_t next_pull_ms;

	struct tg_doc *doc;
	uint64_t refused_generation; /* highest that did not validate */
	uint64_t offered_generation; /* a peer was asked for its body */
	int64_t offered_until_ms;
	struct loading loading;
	bool poll_in_flight, pull_in_flight;
	int64_t next_poll_ms;

	struct event *timer;
	struct tg_counter *docs_applied, *docs_refused, *pings, *pushes;
	struct tg_gauge *generation, *live;
};

struct peer_call *member_call_new(struct tg_member *m, const char *addr);
void member_call_free(struct peer_call *c);
struct peer *member_peer_at(struct tg_member *m, const char *addr);
void member_add_static(struct tg_member *m);
const char *member_role_of(enum tg_instance_kind kind);
void member_list_tick(struct tg_member *m, int64_t now_ms);
void member_note_listed(struct tg_member *m, const struct tg_instance *in);
void member_drop_unlisted(struct tg_member *m);
void member_update_view(struct tg_member *m);
void member_peers_tick(struct tg_member *m, int64_t now_ms);
void member_fill_self(const struct tg_member *m, struct tg_rpc_peer *out);

void member_serve_ping(struct tg_rpc_req *req, void *call, void *member);
void member_serve_doc_push(struct tg_rpc_req *req, void *call, void *member);
void member_serve_doc_pull(struct tg_rpc_req *req, void *call, void *member);
void member_serve_instance_list(struct tg_rpc_req *req, void *call,
				void *member);

void member_doc_tick(struct tg_member *m, int64_t now_ms);
/* member_doc_seen() - the peer at @addr holds @generation */
void member_doc_seen(struct tg_member *m, const char *addr,
		     uint64_t generation);
void member_doc_push(struct tg_member *m);
enum tg_rpc_status member_doc_apply(struct tg_member *m, uint64_t generation,
				    const char *text, size_t n);

#endif
