#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "port/port.h"

/* @header is the value of a Host header, which may include a port. */
static bool host_matches(const char *host, const char *header)
{
	size_t n = strlen(host);

	return !strncasecmp(host, header, n) &&
		(!header[n] || header[n] == ':');
}

const struct tg_queue *tg_site_doc_find_queue(const struct tg_site_doc *d,
					      const char *host,
					      const char *path)
{
	const struct tg_queue *best = NULL;
	size_t i, longest = 0;

	for (i = 0; i < d->n_queues; i++) {
		const struct tg_queue *q = &d->queues[i];
		size_t n = strlen(q->prefix);

		if (!host_matches(q->host, host) ||
		    strncmp(path, q->prefix, n) != 0)
			continue;
		if (!best || n > longest) {
			best = q;
			longest = n;
		}
	}
	return best;
}

const struct tg_workspace *
tg_site_doc_find_workspace(const struct tg_site_doc *d, const char *key)
{
	size_t i, k;

	for (i = 0; i < d->n_workspaces; i++)
		for (k = 0; k < d->workspaces[i].n_keys; k++)
			if (!strcmp(d->workspaces[i].keys[k], key))
				return &d->workspaces[i];
	return NULL;
}

static void forget_strings(struct tg_worker_entry *e)
{
	e->service = e->az = e->rack = NULL;
	memset(e->labels, 0, sizeof(e->labels));
	e->n_labels = 0;
}

void tg_worker_entry_clear(struct tg_worker_entry *e)
{
	int i;

	free(e->service);
	free(e->az);
	free(e->rack);
	for (i = 0; i < e->n_labels; i++)
		free(e->labels[i]);
	forget_strings(e);
}

void tg_worker_entry_move(struct tg_worker_entry *to,
			  struct tg_worker_entry *from)
{
	tg_worker_entry_clear(to);
	*to = *from;
	forget_strings(from);
}

void tg_queue_clear(struct tg_queue *q)
{
	free(q->name);
	free(q->host);
	free(q->prefix);
	free(q->service);
}

void tg_workspace_clear(struct tg_workspace *w)
{
	size_t k;

	for (k = 0; k < w->n_keys; k++)
		free(w->keys[k]);
	free(w->keys);
	free(w->name);
}

void tg_site_doc_free(struct tg_site_doc *d)
{
	size_t i;

	if (!d)
		return;
	for (i = 0; i < d->n_queues; i++)
		tg_queue_clear(&d->queues[i]);
	for (i = 0; i < d->n_workspaces; i++)
		tg_workspace_clear(&d->workspaces[i]);
	free(d->queues);
	free(d->workspaces);
	free(d->removed);
	free(d);
}

void tg_request_clear(struct tg_request *c)
{
	flow_spec_free(c->spec);
	c->spec = NULL;
	tg_findings_free(&c->findings);
}
