#ifndef TG_MEMBER_H
#define TG_MEMBER_H

#include "base/base.h"
#include "doc/doc.h"
#include "oncrpc/oncrpc.h"
#include "plat/plat.h"

/**
 * DOC: peers and configuration document of a process
 *
 * Keeps track of the peers of a process (entry daemons, schedulers and
 * consoles), of the instance lists and of the configuration document.  Peers
 * come from the platform's instance list and from the setting "peers"; those of
 * the own AZ are pinged every second, schedulers of other AZs every ten
 * seconds.  The document comes from the table, from DOC_PUSH and from DOC_PULL;
 * only a higher generation is applied.
 *
 * Points in time are values of tg_now_ms() in this process.
 */

enum {
#define TG_EVENT TG_EVENT_ENUM
#include "member/events.def"
#undef TG_EVENT
};
/** tg_member_events - log events, to be registered with tg_log_register() */
extern const struct tg_event_info tg_member_events[];

/**
 * TG_MEMBER_SETTINGS() - settings that all daemons have
 * @opts_type: option struct of the daemon, with one field per setting
 * @needs_platform: whether --platform is required
 * @grace_ms: default of --drain-grace-ms, as text
 * @max_ms: default of --drain-max-ms, as text
 */
#define TG_MEMBER_SETTINGS(opts_type, needs_platform, grace_ms, max_ms)            \
	TG_SETTING(opts_type, "http-addr", TG_SET_ADDR, "127.0.0.1:0", 0, 0,       \
		   false, "IP:PORT to listen on for HTTP, port 0 for any",         \
		   http_addr),                                                     \
		TG_SETTING(opts_type, "rpc-addr", TG_SET_ADDR, "127.0.0.1:0",      \
			   0, 0, false,                                            \
			   "IP:PORT for other processes, TCP and UDP, port 0 "     \
			   "for any",                                              \
			   rpc_addr),                                              \
		TG_SETTING(opts_type, "instance", TG_SET_NAME, NULL, 0, 0,         \
			   true, "name of this instance", instance),               \
		TG_SETTING(opts_type, "az", TG_SET_NAME, NULL, 0, 0, true,         \
			   "availability zone", az),                               \
		TG_SETTING(opts_type, "platform", TG_SET_ADDR, NULL, 0, 0,         \
			   needs_platform,                                         \
			   "IP:PORT of the platform's service", platform),         \
		TG_SETTING(opts_type, "peers", TG_SET_ADDRS, NULL, 0, 0,           \
			   false,                                                  \
			   "RPC addresses of peers, beside the instance list",     \
			   peers),                                                 \
		TG_SETTING(opts_type, "drain-grace-ms", TG_SET_INT, grace_ms,      \
			   0, 600000, false,                                       \
			   "listening goes on this long after SIGTERM, in ms",     \
			   drain_grace_ms),                                        \
		TG_SETTING(                                                        \
			opts_type, "drain-max-ms", TG_SET_INT, max_ms, 0,          \
			3600000, false,                                            \
			"the process ends at the latest this long after SIGTERM, " \
			"in ms",                                                   \
			drain_max_ms),                                             \
		TG_SETTING(opts_type, "log-level", TG_SET_STRING, "info", 0,       \
			   0, false, "debug, info, warn or error", log_level)

/**
 * tg_member_log_open() - open the log and register the events of all libraries
 * @events: events of the program, registered as well
 */
void tg_member_log_open(const char *prog, const char *level,
			const struct tg_event_info *events);
/**
 * tg_member_warn_unsafe() - log an event for each flag --unsafe-... that is set
 * @event: number of the event
 * @opts: option struct that @settings describe
 */
void tg_member_warn_unsafe(int event, const struct tg_setting *settings,
			   const void *opts);

struct tg_member;

/**
 * struct tg_member_opts - options of tg_member_new(); strings are copied
 * @base: event loop
 * @plat: platform client, or NULL without a platform
 * @rpc: used for PING, DOC_PUSH and DOC_PULL
 * @instance: own name
 * @role: "entry", "sched" or "console"
 * @az: own AZ
 * @peers: IP:PORT,IP:PORT... of static peers, or NULL
 * @on_doc: called when a new document has become the current one; the previous
 *	one stays valid until this returns.  May be NULL.
 * @on_instances: called when an instance list was read, with the instances of
 *	all AZs.  For unchanged lists it is called less often.  May be NULL.
 * @arg: passed to the callbacks
 * @unsafe_apply_any: for fault tests: any other generation is applied, also a
 *	lower one
 * @unsafe_no_doc_polls: for fault tests: once there is a current document, new
 *	ones are accepted by DOC_PUSH only
 */
struct tg_member_opts {
	struct event_base *base;
	struct tg_plat *plat;
	struct tg_rpc_client *rpc;
	const char *instance;
	const char *role;
	const char *az;
	const char *peers;
	void (*on_doc)(const struct tg_doc *doc, void *arg);
	void (*on_instances)(const struct tg_instance *list, size_t n,
			     void *arg);
	void *arg;
	bool unsafe_apply_any;
	bool unsafe_no_doc_polls;
};

/**
 * struct tg_member_peer - another process
 * @instance: instance name; empty until a static peer has answered
 * @role: "entry", "sched" or "console"; empty until known
 * @az: availability zone; empty until known
 * @boot: identifier that is new at each start of the peer; empty until the peer
 *	has answered
 * @rpc_addr: RPC address, IP:PORT; identifies the peer
 * @http_addr: HTTP address from the last list that had the peer, or empty
 * @live: the peer has answered a ping within 3 s (30 s if in another AZ)
 * @listed: the peer is in an instance list
 * @leaving: the instance list gives its state as leaving
 * @draining: according to its last answer, the peer is draining
 * @active: according to its last answer, the peer is its AZ's active scheduler
 * @generation: generation of its document, 0 for none
 * @epoch: epoch of a scheduler
 * @boot_ms: when its first answer with this @boot arrived; 0: none yet
 * @answered_ms: when its last answer arrived; 0: none yet
 */
struct tg_member_peer {
	char instance[TG_NAME_MAX + 1];
	char role[TG_NAME_MAX + 1];
	char az[TG_NAME_MAX + 1];
	char boot[TG_NAME_MAX + 1];
	char rpc_addr[TG_ADDR_MAX + 1];
	char http_addr[TG_ADDR_MAX + 1];
	bool live, listed, leaving, draining, active;
	uint64_t generation, epoch;
	int64_t boot_ms, answered_ms;
};

/** tg_member_new() - create; sends nothing before tg_member_start() */
struct tg_member *tg_member_new(const struct tg_member_opts *opts);
/**
 * tg_member_start() - start polling the platform and pinging the peers
 * @rpc_addr: RPC address of this process, which is not added as a peer
 */
void tg_member_start(struct tg_member *m, const char *rpc_addr);
/**
 * tg_member_free() - free; NULL is allowed
 *
 * The RPC and platform clients have to be freed before, since their calls refer
 * to @m.
 */
void tg_member_free(struct tg_member *m);

/** tg_member_boot_id() - identifier of this process, new at each start */
const char *tg_member_boot_id(const struct tg_member *m);
/**
 * tg_member_set_scheduler_state() - set what a scheduler tells its peers about
 * itself
 * @epoch: its epoch
 * @active: whether it is the active scheduler of its AZ
 */
void tg_member_set_scheduler_state(struct tg_member *m, uint64_t epoch,
				   bool active);

/**
 * tg_member_doc() - get the current document
 *
 * Return: NULL if there is none.  Valid until on_doc returns for the next one.
 */
const struct tg_doc *tg_member_doc(const struct tg_member *m);
/**
 * tg_member_ready() - whether there is a current document
 * @why: set to a constant message if there is none
 */
bool tg_member_ready(const struct tg_member *m, const char **why);
/**
 * tg_member_publish_doc() - apply a document and push it to the peers of the
 * own AZ
 * @generation: generation of the document
 * @text: the document
 * @n: length of @text in bytes
 *
 * Used by the console after a save.
 *
 * Return: TG_RPC_OK if the document is the current one now; TG_RPC_STALE if
 * @generation is not higher than that of the current one; TG_RPC_REFUSED if the
 * document is invalid.
 */
enum tg_rpc_status tg_member_publish_doc(struct tg_member *m,
					 uint64_t generation, const char *text,
					 size_t n);

/**
 * tg_member_peers() - get all peers, without this process
 *
 * The array is valid until control returns to the event loop.
 */
const struct tg_member_peer *tg_member_peers(const struct tg_member *m,
					     size_t *n);
/**
 * tg_member_find_peer() - find a peer by name and role
 *
 * Return: the peer, a live one if possible, or NULL.
 */
const struct tg_member_peer *tg_member_find_peer(const struct tg_member *m,
						 const char *instance,
						 const char *role);
/**
 * tg_member_active_scheduler() - find the live active scheduler of an AZ
 *
 * Return: the one with the highest epoch if several claim to be active, or
 * NULL.
 */
const struct tg_member_peer *
tg_member_active_scheduler(const struct tg_member *m, const char *az);
/**
 * tg_member_count_live() - count the live processes of a role in the own AZ,
 * including this process if it has the role
 */
size_t tg_member_count_live(const struct tg_member *m, const char *role);
/** tg_member_find_peer_by_addr() - find a peer by RPC address, or NULL */
const struct tg_member_peer *
tg_member_find_peer_by_addr(const struct tg_member *m, const char *rpc_addr);
/**
 * tg_member_refresh_list() - read the instance list of the own AZ at the next
 * tick, in 100 ms at most, instead of after the usual interval
 */
void tg_member_refresh_list(struct tg_member *m);
/**
 * tg_member_own_list_as_of_ms() - when the last instance list of the own AZ
 * that came from the platform was requested, so it is at least as new; 0: none
 * yet
 */
int64_t tg_member_own_list_as_of_ms(const struct tg_member *m);
/**
 * tg_member_first_listed_ms() - when a list as in tg_member_own_list_as_of_ms()
 * first had an entry with the name and role of this process; 0: none yet
 */
int64_t tg_member_first_listed_ms(const struct tg_member *m);
/**
 * tg_member_instances() - get the instances of the own AZ and of the AZs that
 * the document or a peer names
 *
 * The list of the own AZ is read every 2 s.  The lists of the other AZs are
 * read in turn, each every 10 s, or every 2 s times their number if that is
 * longer.  Long lists without an entity tag are read less often.
 *
 * Return: NULL before the first list.
 */
const struct tg_instance *tg_member_instances(const struct tg_member *m,
					      size_t *n);

/**
 * tg_member_rpc_handlers - handlers of PING, DOC_PUSH, DOC_PULL and
 * INSTANCE_LIST
 *
 * To be used as the common handlers of an RPC server, with the struct tg_member
 * as their argument.
 */
extern const tg_rpc_handler tg_member_rpc_handlers[TG_RPC_N_PROCS];

#endif
