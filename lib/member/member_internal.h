#ifndef TG_MEMBER_INTERNAL_H
#define TG_MEMBER_INTERNAL_H

#include "member/member.h"

/*
 * struct peer - a peer and its ping state
 * @info: the part that callers see; copied to peer_infos of struct tg_member
 * @is_static: from the setting "peers", so it is never removed
 */
struct peer {
	struct tg_member_peer info;
	bool is_static;
	bool ping_in_flight;
	int64_t next_ping_ms;
};

/*
 * struct peer_call - argument of an RPC to a peer
 * @addr: identifies the peer when the call ends, as it may have been moved in
 *	memory or removed
 */
struct peer_call {
	struct tg_member *m;
	char addr[TG_ADDR_MAX + 1];
	struct peer_call *prev, *next;
};

/* Document that the row config/current names, while its object is read. */
struct pending_doc {
	uint64_t generation;
	char digest[17];
};

/* Entity tag of the instance list of an AZ that was read last. */
struct list_etag {
	char az[TG_NAME_MAX + 1];
	char etag[TG_ETAG_MAX + 1];
};

/*
 * struct tg_member - see DOC in member.h
 * @own_list_read_ms: when the last read of the list of the own AZ was started;
 *	0: read it at the next tick
 * @own_list_requested_ms: the same, but not reset to 0
 * @own_list_as_of_ms: own_list_requested_ms of the last successful read
 * @first_listed_ms: when a list first had this process; 0: not yet
 * @instances_reported_ms: when on_instances was last called
 * @list_failed: the last read from the platform failed
 * @pulled_instances: pages of a peer's list received so far
 * @pull_offset: number of entries that the peer has sent
 * @refused_generation: highest generation that failed validation
 * @expected_generation: a peer was asked for the body of this generation, which
 *	is expected until expected_until_ms
 */
struct tg_member {
	struct tg_member_opts opts;
	char own_rpc_addr[TG_ADDR_MAX + 1];
	char boot[17];
	uint64_t epoch;
	bool active;

	struct peer *peers;
	struct tg_member_peer *peer_infos; /* copies of peers[].info */
	size_t n_peers;
	struct peer_call *calls;

	struct tg_instance *instances;
	size_t n_instances;
	bool has_instances, list_in_flight;
	char list_in_flight_az[TG_NAME_MAX + 1];
	size_t next_other_az; /* counts the lists of other AZs read */
	int64_t own_list_read_ms, own_list_requested_ms, next_other_az_list_ms;
	int64_t own_list_as_of_ms;
	int64_t first_listed_ms;
	int64_t instances_reported_ms;
	struct list_etag etags[TG_DOC_AZS_MAX + 1];
	bool list_failed;
	struct tg_instance *pulled_instances;
	size_t n_pulled_instances;
	uint32_t pull_offset;
	int64_t next_pull_ms;

	struct tg_doc *doc;
	uint64_t refused_generation;
	uint64_t expected_generation;
	int64_t expected_until_ms;
	struct pending_doc pending_doc;
	bool poll_in_flight, pull_in_flight;
	int64_t next_poll_ms;

	struct event *timer;
	struct tg_counter *docs_applied, *docs_refused, *pings, *pushes;
	struct tg_gauge *generation, *live;
};

struct peer_call *member_new_peer_call(struct tg_member *m, const char *addr);
void member_free_peer_call(struct peer_call *c);
struct peer *member_find_peer_by_addr(struct tg_member *m, const char *addr);
void member_add_static_peers(struct tg_member *m);
/* member_role_name() - role of an instance kind; "" for workers */
const char *member_role_name(enum tg_instance_kind kind);
void member_list_tick(struct tg_member *m, int64_t now_ms);
/* member_add_listed_peer() - add or update the peer of a list entry */
void member_add_listed_peer(struct tg_member *m, const struct tg_instance *in);
void member_remove_unlisted_peers(struct tg_member *m);
/* member_update_peer_infos() - copy the peers for tg_member_peers() */
void member_update_peer_infos(struct tg_member *m);
void member_peers_tick(struct tg_member *m, int64_t now_ms);
void member_describe_self(const struct tg_member *m, struct tg_rpc_peer *out);

void member_serve_ping(struct tg_rpc_req *req, void *call, void *member);
void member_serve_doc_push(struct tg_rpc_req *req, void *call, void *member);
void member_serve_doc_pull(struct tg_rpc_req *req, void *call, void *member);
void member_serve_instance_list(struct tg_rpc_req *req, void *call,
				void *member);

void member_doc_tick(struct tg_member *m, int64_t now_ms);
/*
 * member_doc_pull_if_newer() - read the document from a peer with a higher
 * generation
 * @addr: RPC address of the peer
 * @generation: generation of its document
 */
void member_doc_pull_if_newer(struct tg_member *m, const char *addr,
			      uint64_t generation);
/* member_doc_offer_to_peers() - offer the document to older peers of the AZ */
void member_doc_offer_to_peers(struct tg_member *m);
/* member_doc_apply() - like tg_member_publish_doc(), but without pushing */
enum tg_rpc_status member_doc_apply(struct tg_member *m, uint64_t generation,
				    const char *text, size_t n);

#endif
