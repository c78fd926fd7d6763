#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "port/port.h"

/* A host may come with a port. */
static bool same_host(const char *host, const char *given)
{
	size_t n = strlen(host);

	return !strncasecmp(host, given, n) && (!given[n] || given[n] == ':');
}

const struct tg_queue *tg_site_match(const struct tg_site_doc *d,
				     const char *host, const char *path)
{
	const struct tg_queue *best = NULL;
	size_t i, longest = 0;

	for (i = 0; i < d->n_queues; i++) {
		const struct tg_queue *q = &d->queues[i];
		size_t n = strlen(q->prefix);

		if (!same_host(q->host, host) ||
		    strncmp(path, q->prefix, n) != 0)
			continue;
		if (!best || n > longest) {
			best = q;
			longest = n;
		}
	}
	return best;
}

const struct tg_workspace *tg_site_key(const struct tg_site_doc *d,
				       const char *key)
{
	size_t i, k;

	for (i = 0; i < d->n_workspaces; i++)
		for (k = 0; k < d->workspaces[i].n_keys; k++)
			if (!strcmp(d->workspaces[i].keys[k], key))
				return &d->workspaces[i];
	return NULL;
}

void tg_site_doc_free(struct tg_site_doc *d)
{
	size_t i, k;

	if (!d)
		return;
	for (i = 0; i < d->n_queues; i++) {
		free(d->queues[i].name);
		free(d->queues[i].host);
		free(d->queues[i].prefix);
		free(d->queues[i].service);
	}
	for (i = 0; i < d->n_workspaces; i++) {
		for (k = 0; k < d->workspaces[i].n_keys; k++)
			free(d->workspaces[i].keys[k]);
		free(d->workspaces[i].keys);
		free(d->workspaces[i].name);
	}
	free(d->queues);
	free(d->workspaces);
	free(d);
}

void tg_call_clear(struct tg_call *c)
{
	flow_spec_free(c->spec);
	c->spec = NULL;
	tg_findings_free(&c->findings);
}
