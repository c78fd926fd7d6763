#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "burn.h"

static struct tg_doc *parse_document(const char *text, size_t n,
				     const char *prog)
{
	struct tg_findings f = { 0 };
	struct tg_doc *d = tg_doc_parse(text, n, &f);

	tg_findings_print(&f, stderr, prog);
	tg_findings_free(&f);
	return d;
}

static struct tg_doc *read_document_file(const char *path, const char *prog)
{
	char *text = tg_xcalloc(TG_DOC_BYTES_MAX + 2, 1);
	FILE *in = fopen(path, "r");
	struct tg_doc *d = NULL;
	size_t n;

	if (in) {
		n = fread(text, 1, TG_DOC_BYTES_MAX + 1, in);
		fclose(in);
		d = parse_document(text, n, prog);
	} else {
		fprintf(stderr, "%s: %s: %s\n", prog, path, strerror(errno));
	}
	free(text);
	return d;
}

/* Parses the reply of an entry daemon to GET /v1/document. */
static struct tg_doc *parse_reply(const char *reply, const char *prog)
{
	json_t *v = json_loads(reply, 0, NULL);
	char *text = json_dumps(json_object_get(v, "document"), JSON_COMPACT);
	struct tg_doc *d =
		text ? parse_document(text, strlen(text), prog) : NULL;

	free(text);
	json_decref(v);
	return d;
}

struct tg_doc *burn_load_document(struct burn_fetcher *f, const char *path,
				  const char *addr, const char *prog)
{
	struct tg_doc *d = NULL;
	char *reply;

	if (path)
		return read_document_file(path, prog);
	if (!addr)
		return NULL;
	reply = burn_fetch_get(f, addr, "/v1/document");
	if (reply)
		d = parse_reply(reply, prog);
	free(reply);
	return d;
}
