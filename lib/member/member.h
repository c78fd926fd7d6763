#ifndef TG_MEMBER_H
#define TG_MEMBER_H

#include "base/base.h"
#include "doc/doc.h"
#include "oncrpc/oncrpc.h"
#include "plat/plat.h"

/**
 * DOC: peers and document of a process
 *
 * One process's view of its peers (entry daemons, schedulers, consoles) and of
 * the configuration document.  Peers come from the platform's instance list
 * and from the static addresses of the settings; those of the own AZ are
 * pinged every second, schedulers of other AZs every ten seconds.  The
 * document comes from the table, from DOC_PUSH and from DOC_PULL; only a
 * higher generation is applied.
 */

enum {
#define TG_EVENT TG_EVENT_ENUM
#include "member/events.def"
#undef TG_EVENT
};
/** tg_member_events - register with tg_log_register() */
extern const struct tg_event_info tg_member_events[];

/**
 * TG_MEMBER_SETTINGS() - settings that all daemons have
 * @of: option struct of the daemon, with fields named like the flags
 * @needs_platform: whether it can't start without --platform
 * @grace: default of --drain-grace-ms, as text
 * @max: default of --drain-max-ms, as text
 */
#define TG_MEMBER_SETTINGS(of, needs_platform, grace, max)                         \
	TG_SETTING(of, "http-addr", TG_SET_ADDR, "127.0.0.1:0", 0, 0, false,       \
		   "IP:PORT to listen on for HTTP, port 0 for any",                \
		   http_addr),                                                     \
		TG_SETTING(of, "rpc-addr", TG_SET_ADDR, "127.0.0.1:0", 0, 0,       \
			   false,                                                  \
			   "IP:PORT for other processes, TCP and UDP, port 0 "     \
			   "for any",                                              \
			   rpc_addr),                                              \
		TG_SETTING(of, "instance", TG_SET_NAME, NULL, 0, 0, true,          \
			   "name of this instance", instance),                     \
		TG_SETTING(of, "az", TG_SET_NAME, NULL, 0, 0, true,                \
			   "availability zone", az),                               \
		TG_SETTING(of, "platform", TG_SET_ADDR, NULL, 0, 0,                \
			   needs_platform,                                         \
			   "IP:PORT of the platform's service", platform),         \
		TG_SETTING(of, "peers", TG_SET_ADDRS, NULL, 0, 0, false,           \
			   "RPC addresses of peers, beside the instance list",     \
			   peers),                                                 \
		TG_SETTING(of, "drain-grace-ms", TG_SET_INT, grace, 0, 600000,     \
			   false,                                                  \
			   "listening goes on this long after SIGTERM, in ms",     \
			   drain_grace_ms),                                        \
		TG_SETTING(                                                        \
			of, "drain-max-ms", TG_SET_INT, max, 0, 3600000,           \
			false,                                                     \
			"the process ends at the latest this long after SIGTERM, " \
			"in ms",                                                   \
			drain_max_ms),                                             \
		TG_SETTING(of, "log-level", TG_SET_STRING, "info", 0, 0,           \
			   false, "debug, info, warn or error", log_level)

/**
 * tg_member_log_open() - open the log with the events of the daemons' libraries
 * @events: those of the program
 */
void tg_member_log_open(const char *prog, const char *level,
			const struct tg_event_info *events);
/**
 * tg_member_warn_unsafe() - log each flag --unsafe-... that is set
 * @event: number of the warning
 * @opts: option struct that @settings describe
 */
void tg_member_warn_unsafe(int event, const struct tg_setting *settings,
			   const void *opts);

struct tg_member;

/**
 * struct tg_member_opts - options of a view
 * @base: event loop
 * @plat: platform client, or NULL without a platform
 * @rpc: used for PING, DOC_PUSH and DOC_PULL
 * @instance: own name
 * @role: "entry", "sched" or "console"
 * @az: own AZ
 * @peers: IP:PORT,IP:PORT... of static peers, or NULL
 * @on_doc: a new document is in force; the previous one stays valid until this
 *	returns.  May be NULL.
 * @on_instances: a new instance list was read; gets those of all AZs.  May be
 *	NULL.
 * @arg: passed to the callbacks
 * @unsafe_apply_any: for fault tests: any other generation is applied, also a
 *	lower one
 * @unsafe_no_doc_polls: for fault tests: once a document is in force, a further
 *	one comes by DOC_PUSH only
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
 * @instance: name; empty until a static peer has answered
 * @role: "entry", "sched" or "console"; empty until known
 * @az: empty until known
 * @boot: new at each start of the peer; empty until it has answered
 * @rpc_addr: where it is called; identifies the peer
 * @http_addr: from the instance list, else empty
 * @live: it answered a ping lately (3 s in the own AZ, 30 s in others)
 * @listed: it is in the instance list
 * @leaving: the instance list says so
 * @draining: its last answer said so
 * @active: its last answer said that it is its AZ's active scheduler
 * @generation: of its document, 0 for none
 * @epoch: of a scheduler
 * @boot_ms: own clock at its first answer with this boot; 0: none yet
 * @answered_ms: own clock at its last answer; 0: none yet
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

/** tg_member_new() - nothing is sent before tg_member_start() */
struct tg_member *tg_member_new(const struct tg_member_opts *opts);
/**
 * tg_member_start() - begin to poll and to ping
 * @rpc_addr: own address, left out of the peers
 */
void tg_member_start(struct tg_member *m, const char *rpc_addr);
/**
 * tg_member_free() - free after the RPC and platform clients, whose calls
 * refer to it
 */
void tg_member_free(struct tg_member *m);

/** tg_member_boot() - own boot, new at each start */
const char *tg_member_boot(const struct tg_member *m);
/** tg_member_set_scheduler() - what a scheduler says of itself in pings */
void tg_member_set_scheduler(struct tg_member *m, uint64_t epoch, bool active);

/** tg_member_doc() - document in force, or NULL; valid until on_doc */
const struct tg_doc *tg_member_doc(const struct tg_member *m);
/** tg_member_ready() - whether a document is in force; sets *why otherwise */
bool tg_member_ready(const struct tg_member *m, const char **why);
/**
 * tg_member_offer() - apply a document and push it to the AZ's peers
 * @generation: its generation
 * @text: document
 * @n: its length in bytes
 *
 * Used by the console after a save.
 *
 * Return: TG_RPC_OK if it is in force now; TG_RPC_STALE if its generation is
 * not higher than that in force; TG_RPC_REFUSED if it does not validate.
 */
enum tg_rpc_status tg_member_offer(struct tg_member *m, uint64_t generation,
				   const char *text, size_t n);

/** tg_member_peers() - all peers, itself not among them; valid in this turn */
const struct tg_member_peer *tg_member_peers(const struct tg_member *m,
					     size_t *n);
/** tg_member_find() - peer by name and role, live or not, or NULL */
const struct tg_member_peer *tg_member_find(const struct tg_member *m,
					    const char *instance,
					    const char *role);
/**
 * tg_member_scheduler() - live active scheduler of @az, or NULL
 *
 * Of several that say so, the one with the highest epoch.
 */
const struct tg_member_peer *tg_member_scheduler(const struct tg_member *m,
						 const char *az);
/**
 * tg_member_live_count() - live processes of @role in the own AZ, itself
 * included if it has that role
 */
size_t tg_member_live_count(const struct tg_member *m, const char *role);
/** tg_member_peer_at() - peer by RPC address, or NULL */
const struct tg_member_peer *tg_member_peer_at(const struct tg_member *m,
					       const char *rpc_addr);
/** tg_member_read_list() - read the own AZ's list at once from the platform */
void tg_member_read_list(struct tg_member *m);
/**
 * tg_member_list_ms() - own clock when the last list of the own AZ that came
 * from the platform was asked for; 0: none yet
 */
int64_t tg_member_list_ms(const struct tg_member *m);
/**
 * tg_member_listed_ms() - own clock when such a list first had this instance
 * and role; 0: none yet
 */
int64_t tg_member_listed_ms(const struct tg_member *m);
/**
 * tg_member_instances() - last instance lists of the own AZ (read every 2 s)
 * and of those that the document or a peer names (every 10 s, or 2 s times
 * their number); NULL before the first
 */
const struct tg_instance *tg_member_instances(const struct tg_member *m,
					      size_t *n);

/**
 * tg_member_handlers - of PING, DOC_PUSH, DOC_PULL and INSTANCE_LIST, for the
 * common handlers of a server; their argument is the view
 */
extern const tg_rpc_handler tg_member_handlers[TG_RPC_N_PROCS];

#endif
