#include <stdlib.h>

#include "workerd.h"

int log_file_open(struct board *b)
{
	json_t *v;

	if (!b->opts.log_file)
		return 0;
	b->log_file = fopen(b->opts.log_file, "a");
	if (!b->log_file)
		return -1;
	v = json_pack("{s:I}", "at_ms", (json_int_t)tg_now_ms());
	log_file_add(b, "boot", v);
	json_decref(v);
	return 0;
}

void log_file_add(struct board *b, const char *kind, const json_t *v)
{
	json_t *line;
	char *s;

	if (!b->log_file)
		return;
	line = json_pack("{s:s, s:s, s:s}", "kind", kind, "worker",
			 b->opts.name, "boot", b->boot);
	json_object_update_missing(line, (json_t *)v);
	s = json_dumps(line, JSON_COMPACT);
	fprintf(b->log_file, "%s\n", s);
	fflush(b->log_file);
	free(s);
	json_decref(line);
}
