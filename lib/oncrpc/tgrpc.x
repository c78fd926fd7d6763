/*
 * ONC RPC protocol between the daemons of tarragonfield.  After a change run
 * "make -C lib/oncrpc generate", which writes tgrpc.h and tgrpc_xdr.c.
 */

const TG_RPC_NAME_MAX = 63;
const TG_RPC_KEY_MAX = 200;
const TG_RPC_ADDR_MAX = 63;
const TG_RPC_TEXT_MAX = 8192;
const TG_RPC_JSON_MAX = 65536;
const TG_RPC_DOC_MAX = 262144;
const TG_RPC_BODY_MAX = 786432;
const TG_RPC_LIST_KEY_MAX = 65536;
const TG_RPC_NOTES_MAX = 256;
const TG_RPC_LIST_MAX = 65536;
const TG_RPC_PATH_MAX = 2048;
const TG_RPC_INSTANCES_MAX = 1024;

typedef string tg_rpc_name<TG_RPC_NAME_MAX>;
typedef string tg_rpc_key<TG_RPC_KEY_MAX>;
typedef string tg_rpc_addr<TG_RPC_ADDR_MAX>;

enum tg_rpc_status {
	TG_RPC_OK = 0,
	TG_RPC_NOT_FOUND = 1,	/* no such job, key or document */
	TG_RPC_NOT_ACTIVE = 2,	/* receiver is not the AZ's active scheduler */
	TG_RPC_REFUSED = 3,	/* nothing was done; text has the reason */
	TG_RPC_UNAVAILABLE = 4,	/* not possible now; nothing was done */
	TG_RPC_UNKNOWN = 5,	/* may have been done; query the state */
	TG_RPC_STALE = 6	/* generation, epoch or boot out of date */
};

/* Identity and state of a process. */
struct tg_rpc_peer {
	tg_rpc_key instance;
	tg_rpc_name role;	/* "entry", "sched" or "console" */
	tg_rpc_key az;
	tg_rpc_name boot;	/* id of this run, new at every start */
	unsigned hyper generation;	/* of the document in force; 0 for none */
	unsigned hyper epoch;	/* election epoch of a scheduler; else 0 */
	bool active;		/* is the AZ's active scheduler */
	bool draining;
};

/*
 * DOC_PUSH with an empty body announces a generation: the receiver replies
 * TG_RPC_OK to request the body, or TG_RPC_STALE.  The reply to DOC_PULL has an
 * empty body if there is no newer generation.
 */
struct tg_rpc_doc {
	unsigned hyper generation;
	opaque body<TG_RPC_DOC_MAX>;
};

struct tg_rpc_generation {
	unsigned hyper generation;
};

struct tg_rpc_doc_result {
	tg_rpc_status status;
	unsigned hyper generation;	/* in force at the receiver */
};

/* Arguments of job procedures, as in the HTTP API of the entry daemon. */
struct tg_rpc_job {
	tg_rpc_name workspace;
	tg_rpc_name job;
	opaque spec<TG_RPC_JSON_MAX>;	/* JSON; JOB_SUBMIT and JOB_STORE only */
};

struct tg_rpc_list {
	/* Empty for all.  For the flow daemons, the name of a queue. */
	string workspace<TG_RPC_LIST_KEY_MAX>;
	tg_rpc_name after;	/* list only names that sort after this */
	unsigned int limit;
};

struct tg_rpc_answer {
	tg_rpc_status status;
	unsigned hyper epoch;
	opaque json<TG_RPC_LIST_MAX>;
	string text<TG_RPC_TEXT_MAX>;	/* reason unless TG_RPC_OK */
};

/* A request forwarded to the entry daemon that its issued key names. */
struct tg_rpc_request {
	tg_rpc_name workspace;
	tg_rpc_name service;
	string key<255>;
	string method<16>;
	string path<TG_RPC_PATH_MAX>;
	string content_type<255>;
	unsigned int deadline_ms;	/* time left when sent */
	bool ask;	/* report the outcome, do not execute */
	opaque body<TG_RPC_BODY_MAX>;
};

enum tg_rpc_outcome {
	TG_RPC_ANSWERED = 0,
	TG_RPC_NOT_RUN = 1,
	TG_RPC_OUTCOME_UNKNOWN = 2
};

struct tg_rpc_response {
	tg_rpc_outcome outcome;
	unsigned int http_status;
	string content_type<255>;
	string reason<1024>;
	opaque body<TG_RPC_BODY_MAX>;
};

enum tg_rpc_worker_state {
	TG_RPC_WORKER_UP = 0,
	TG_RPC_WORKER_DOWN = 1,
	TG_RPC_WORKER_DRAINING = 2
};

struct tg_rpc_worker_note {
	tg_rpc_name worker;
	tg_rpc_name boot;
	unsigned hyper seq;	/* increases with each observation of a sender */
	hyper observed_ms;	/* worker's clock at its last probe response */
	tg_rpc_worker_state state;
	unsigned int slots;
	unsigned int slots_in_use;
	unsigned int connections;
};

struct tg_rpc_worker_notes {
	tg_rpc_name instance;	/* sender */
	tg_rpc_name boot;
	tg_rpc_worker_note notes<TG_RPC_NOTES_MAX>;
};

/* Entry of the platform's instance list as last read by the sender. */
struct tg_rpc_instance {
	tg_rpc_name name;
	unsigned int kind;	/* enum tg_instance_kind */
	tg_rpc_name az;
	tg_rpc_name rack;
	tg_rpc_addr addr;
	tg_rpc_addr service_addr;
	tg_rpc_addr rpc_addr;
	bool leaving;
	unsigned int cores;
	unsigned int memory_gb;
	unsigned int accelerators;
	unsigned int slots;
	unsigned int connections;
};

struct tg_rpc_instance_page {
	tg_rpc_name az;
	unsigned int from;	/* number of entries of the AZ to skip */
};

struct tg_rpc_instances {
	tg_rpc_status status;
	bool more;
	tg_rpc_instance list<TG_RPC_INSTANCES_MAX>;
};

program TG_RPC_PROGRAM {
	version TG_RPC_V1 {
		void TG_RPC_NULL(void) = 0;
		tg_rpc_peer TG_RPC_PING(tg_rpc_peer) = 1;
		tg_rpc_doc_result TG_RPC_DOC_PUSH(tg_rpc_doc) = 2;
		tg_rpc_doc TG_RPC_DOC_PULL(tg_rpc_generation) = 3;
		tg_rpc_answer TG_RPC_JOB_SUBMIT(tg_rpc_job) = 4;
		tg_rpc_answer TG_RPC_JOB_CANCEL(tg_rpc_job) = 5;
		tg_rpc_answer TG_RPC_JOB_STATUS(tg_rpc_job) = 6;
		tg_rpc_answer TG_RPC_JOB_LIST(tg_rpc_list) = 7;
		tg_rpc_answer TG_RPC_JOB_EXPLAIN(tg_rpc_job) = 8;
		tg_rpc_response TG_RPC_REQUEST_FORWARD(tg_rpc_request) = 9;
		void TG_RPC_WORKER_NOTES(tg_rpc_worker_notes) = 10;
		/*
		 * Workers with their state.  A flow daemon tells what its last
		 * term as the owner has left: {"leases":[[ID,LEFT_MS],...]}.
		 */
		tg_rpc_answer TG_RPC_WORKER_LIST(tg_rpc_list) = 11;
		tg_rpc_answer TG_RPC_GUARANTEE_LIST(tg_rpc_list) = 12;
		tg_rpc_instances TG_RPC_INSTANCE_LIST(tg_rpc_instance_page)
			= 13;
		/* Store the job row in spec on behalf of a caller's daemon. */
		tg_rpc_answer TG_RPC_JOB_STORE(tg_rpc_job) = 14;
	} = 1;
} = 0x20547401;
