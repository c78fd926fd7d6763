#include <stdlib.h>

#include "base/base.h"

void tg_findings_add(struct tg_findings *f, const char *place, const char *fmt,
		     ...)
{
	struct tg_finding *item;
	va_list ap;

	f->total++;
	if (f->n == TG_FINDINGS_MAX)
		return;
	f->items = tg_xrealloc(f->items, (f->n + 1) * sizeof(*f->items));
	item = &f->items[f->n++];
	item->place = tg_xstrdup(place);
	va_start(ap, fmt);
	if (vasprintf(&item->text, fmt, ap) < 0)
		item->text = tg_xstrdup(fmt);
	va_end(ap);
}

void tg_findings_print(const struct tg_findings *f, FILE *out, const char *prog)
{
	size_t i;

	for (i = 0; i < f->n; i++)
		fprintf(out, "%s: %s: %s\n", prog, f->items[i].place,
			f->items[i].text);
	if (f->total > f->n)
		fprintf(out, "%s: %zu more findings\n", prog, f->total - f->n);
}

void tg_findings_free(struct tg_findings *f)
{
	size_t i;

	for (i = 0; i < f->n; i++) {
		free(f->items[i].place);
		free(f->items[i].text);
	}
	free(f->items);
	*f = (struct tg_findings){ 0 };
}
