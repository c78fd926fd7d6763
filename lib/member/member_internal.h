#ifndef TG_MEMBER_INTERNAL_H
#define TG_MEMBER_INTERNAL_H

#include "member/member.h"

#define MEMBER_PEERS_MAX 512

/* struct peer - a peer and what its pings need */
struct peer {
	struct tg_member_peer pub; /* first */
	bool is_static;
	bool ping_in_flight;
	int64_t next_ping_ms;
	int64_t last_answer_ms; /* 0: none yet */
};

struct tg_member {
	struct tg_member_opts opts;
	char self_addr[TG_ADDR_MAX + 1];
	char boot[TG_TOKEN_LEN + 1];
	uint64_t epoch;
	bool active;

	/* Indexes change only in a list update; calls refer by address. */
	struct tg_member_peer *view; /* copy handed out */
	struct peer *peers;
	size_t n_peers;
	struct tg_instance *instances;
	size_t n_instances;
	bool have_instances, list_in_flight;
	int64_t next_list_ms;

	struct tg_doc *doc;
	uint64_t refused_generation; /* highest that did not validate */
	uint64_t loading_generation;
	char loading_digest[17];
	bool poll_in_flight, pull_in_flight;
	int64_t next_poll_ms;

	struct event *timer;
	struct tg_counter *docs_applied, *docs_refused, *pings, *pushes;
};

/* member_of() - arguments of a call to @addr; freed by the callback */
struct peer_call {
	struct tg_member *m;
	char addr[TG_ADDR_MAX + 1];
};
struct peer_call *member_call_new(struct tg_member *m, const char *addr);
struct peer *member_peer_at(struct tg_member *m, const char *addr);
void member_peers_tick(struct tg_member *m, int64_t now_ms);
void member_note_instances(struct tg_member *m, const struct tg_instance *list,
			   size_t n);
void member_add_static(struct tg_member *m);

void member_doc_tick(struct tg_member *m, int64_t now_ms);
/* member_doc_seen() - a peer says that it holds @generation */
void member_doc_seen(struct tg_member *m, const char *addr,
		     uint64_t generation);
enum tg_rpc_status member_doc_apply(struct tg_member *m, uint64_t generation,
				    const char *text, size_t n);
void member_doc_push(struct tg_member *m);
void member_fill_self(const struct tg_member *m, struct tg_rpc_peer *out);

#endif
