#include <stdlib.h>
#include <string.h>

#include "doc/doc.h"

const struct tg_event_info tg_doc_events[] = {
#define TG_EVENT TG_EVENT_INFO
#include "doc/events.def"
#undef TG_EVENT
	{ 0, TG_INFO, NULL },
};

void tg_doc_free(struct tg_doc *d)
{
	size_t i;

	if (!d)
		return;
	for (i = 0; i < d->n_workspaces; i++)
		free(d->workspaces[i].guarantees);
	for (i = 0; i < d->n_services; i++) {
		free(d->services[i].workspaces);
		free(d->services[i].azs);
	}
	free(d->workspaces);
	free(d->services);
	free(d->drains);
	free(d->text);
	json_decref(d->json);
	free(d);
}

const struct tg_workspace *tg_doc_workspace(const struct tg_doc *d,
					    const char *name)
{
	size_t i;

	for (i = 0; i < d->n_workspaces; i++)
		if (!strcmp(d->workspaces[i].name, name))
			return &d->workspaces[i];
	return NULL;
}

const struct tg_service *tg_doc_service(const struct tg_doc *d,
					const char *name)
{
	size_t i;

	for (i = 0; i < d->n_services; i++)
		if (!strcmp(d->services[i].name, name))
			return &d->services[i];
	return NULL;
}

static bool contains_name(char (*list)[TG_NAME_MAX + 1], size_t n,
			  const char *name)
{
	size_t i;

	for (i = 0; i < n; i++)
		if (!strcmp(list[i], name))
			return true;
	return false;
}

bool tg_service_allows(const struct tg_service *s, const char *workspace)
{
	return contains_name(s->workspaces, s->n_workspaces, workspace);
}

bool tg_service_in_az(const struct tg_service *s, const char *az)
{
	return contains_name(s->azs, s->n_azs, az);
}

bool tg_doc_drains_worker(const struct tg_doc *d, const char *worker)
{
	return contains_name(d->drains, d->n_drains, worker);
}

void tg_doc_digest(const char *text, size_t n, char out[17])
{
	snprintf(out, 17, "%016llx", (unsigned long long)tg_hash64(text, n));
}
