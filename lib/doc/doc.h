#ifndef TG_DOC_H
#define TG_DOC_H

#include <jansson.h>

#include "base/base.h"

/**
 * DOC: configuration document
 *
 * One JSON document describes the whole desired state.  Parsing reports all
 * errors as findings, each with the JSON pointer of the value at fault.
 */

enum {
#define TG_EVENT TG_EVENT_ENUM
#include "doc/events.def"
#undef TG_EVENT
};
/** tg_doc_events - log events, to be registered with tg_log_register() */
extern const struct tg_event_info tg_doc_events[];

#define TG_DOC_BYTES_MAX 262144
#define TG_DOC_WORKSPACES_MAX 512
#define TG_DOC_SERVICES_MAX 512
#define TG_DOC_GUARANTEES_MAX 64 /* per workspace */
#define TG_DOC_DRAINS_MAX 1024
#define TG_DOC_AZS_MAX 64

struct tg_guarantee_spec {
	char az[TG_NAME_MAX + 1];
	int32_t tasks, accelerators_per_task;
	bool within_rack;
	int64_t lapses_wall_ms; /* Unix time; INT64_MAX: never */
};

struct tg_workspace {
	char name[TG_NAME_MAX + 1];
	int32_t max_in_flight; /* requests, per AZ; 0: no limit */
	int32_t rate_per_s; /* requests, per AZ; 0: no limit */
	int32_t quota_accelerators; /* at the same time; 0: no limit */
	struct tg_guarantee_spec *guarantees;
	size_t n_guarantees;
};

struct tg_service {
	char name[TG_NAME_MAX + 1];
	char (*workspaces)[TG_NAME_MAX + 1];
	size_t n_workspaces;
	char (*azs)[TG_NAME_MAX + 1];
	size_t n_azs;
	int32_t timeout_ms;
	int32_t queue; /* max. requests queued in one entry daemon */
	uint16_t idempotent_methods; /* bit set of EVHTTP_REQ_* */
	double availability; /* objective, in [0, 1); 0: none */
	double latency_share; /* objective: fraction within latency_ms */
	int32_t latency_ms;
};

/** struct tg_doc - valid document, immutable except for @generation */
struct tg_doc {
	uint64_t generation; /* set by the caller of tg_doc_parse() */
	int32_t weight_completion, weight_fragmentation;
	struct tg_workspace *workspaces;
	size_t n_workspaces;
	struct tg_service *services;
	size_t n_services;
	char (*drains)[TG_NAME_MAX + 1]; /* names of workers to drain */
	size_t n_drains;
	char *text; /* copy of the parsed text */
	size_t text_bytes;
	json_t *json; /* the parsed JSON value */
};

/**
 * tg_doc_parse() - parse and validate a document
 * @text: the document, any bytes; need not end with NUL
 * @n: length of @text in bytes
 * @f: findings are appended to it
 *
 * Safe for untrusted input; memory use is at most a small multiple of @n.
 *
 * Return: the document, to be freed with tg_doc_free(), or NULL if @f got at
 * least one finding.
 */
struct tg_doc *tg_doc_parse(const char *text, size_t n, struct tg_findings *f);
/** tg_doc_free() - free a document; NULL is allowed */
void tg_doc_free(struct tg_doc *d);
/** tg_doc_workspace() - find a workspace by name, or NULL */
const struct tg_workspace *tg_doc_workspace(const struct tg_doc *d,
					    const char *name);
/** tg_doc_service() - find a service by name, or NULL */
const struct tg_service *tg_doc_service(const struct tg_doc *d,
					const char *name);
/** tg_service_allows() - whether callers of @workspace may use the service */
bool tg_service_allows(const struct tg_service *s, const char *workspace);
bool tg_service_in_az(const struct tg_service *s, const char *az);
bool tg_doc_drains_worker(const struct tg_doc *d, const char *worker);
/** tg_doc_digest() - write the digest of @text as 16 hexadecimal digits */
void tg_doc_digest(const char *text, size_t n, char out[17]);
/**
 * tg_doc_diff() - compare two documents
 *
 * Array items are matched by name if all items of both arrays have one, else by
 * index.
 *
 * Return: array of {"place": pointer, "name": name, "ours": value, "theirs":
 * value}, as a new reference.  "name" is that of the innermost named array item
 * around the value and is missing if there is none; "ours" or "theirs" is
 * missing if that document lacks the value.
 */
json_t *tg_doc_diff(const json_t *ours, const json_t *theirs);

#endif
