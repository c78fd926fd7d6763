#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "burn.h"

static struct tg_doc *parse(const char *text, size_t n, const char *prog)
{
	struct tg_findings f = { 0 };
	struct tg_doc *d = tg_doc_parse(text, n, &f);

	tg_findings_print(&f, stderr, prog);
	tg_findings_free(&f);
	return d;
}

static struct tg_doc *read_file(const char *path, const char *prog)
{
	char *text = tg_xcalloc(TG_DOC_BYTES_MAX + 2, 1);
	FILE *in = fopen(path, "r");
	struct tg_doc *d = NULL;
	size_t n;

	if (in) {
		n = fread(text, 1, TG_DOC_BYTES_MAX + 1, in);
		fclose(in);
		d = parse(text, n, prog);
	} else {
		fprintf(stderr, "%s: %s: %s\n", prog, path, strerror(errno));
	}
	free(text);
	return d;
}

/* The answer of GET /v1/document of an entry daemon. */
static struct tg_doc *read_answer(const char *answer, const char *prog)
{
	json_t *v = json_loads(answer, 0, NULL);
	char *text = json_dumps(json_object_get(v, "document"), JSON_COMPACT);
	struct tg_doc *d = text ? parse(text, strlen(text), prog) : NULL;

	free(text);
	json_decref(v);
	return d;
}

struct tg_doc *burn_load_document(struct burn_fetcher *f, const char *path,
				  const char *addr, const char *prog)
{
	struct tg_doc *d = NULL;
	char *answer;

	if (path)
		return read_file(path, prog);
	if (!addr)
		return NULL;
	answer = burn_fetch_get(f, addr, "/v1/document");
	if (answer)
		d = read_answer(answer, prog);
	free(answer);
	return d;
}
