#include "rowlist.h"

/* Of the row, besides its entries. */
#define OTHER_BYTES 32

void row_list_begin(struct row_list *l, int64_t row_bytes)
{
	l->entries = json_array();
	l->left = row_bytes > OTHER_BYTES ? (size_t)row_bytes - OTHER_BYTES : 0;
}

bool row_list_add(struct row_list *l, json_t *entry)
{
	/* With a comma.  Escaped characters take up to six bytes each. */
	size_t bytes = json_dumpb(entry, NULL, 0, JSON_COMPACT) + 1;
	bool fits = entry && bytes <= l->left;

	if (fits) {
		json_array_append(l->entries, entry);
		l->left -= bytes;
	}
	json_decref(entry);
	return fits;
}

char *row_list_end(struct row_list *l, const char *name)
{
	char *text = NULL;
	json_t *o;

	if (json_array_size(l->entries)) {
		o = json_pack("{s:O}", name, l->entries);
		text = json_dumps(o, JSON_COMPACT);
		json_decref(o);
	}
	json_decref(l->entries);
	l->entries = NULL;
	return text;
}
