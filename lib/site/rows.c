#include <stdlib.h>
#include <string.h>

#include "site/site.h"

const char *tg_job_part_name(int i)
{
	static const char *const parts[TG_JOB_PARTS] = { "0", "1", "2", "3" };

	return parts[i];
}

const char *tg_job_part(const char *job)
{
	return tg_job_part_name(
		(int)(tg_hash64(job, strnlen(job, FLOW_JOB_ID_LEN)) %
		      TG_JOB_PARTS));
}

char *tg_job_row_encode(const struct tg_job_row *r)
{
	json_t *o =
		json_pack("{s:s,s:s,s:s,s:I,s:o}", "id", r->id, "queue",
			  r->queue, "workspace", r->workspace,
			  "accepted_wall_ms", (json_int_t)r->accepted_wall_ms,
			  "spec", flow_spec_encode(r->spec));
	char *text = json_dumps(o, JSON_COMPACT | JSON_SORT_KEYS);

	json_decref(o);
	return text;
}

int tg_job_row_decode(const char *text, size_t n, struct tg_job_row *r)
{
	json_t *o = json_loadb(text, n, 0, NULL), *spec = NULL;
	const char *id, *queue, *workspace;
	json_int_t accepted = 0;
	int err = -1;

	memset(r, 0, sizeof(*r));
	if (json_unpack(o, "{s:s,s:s,s:s,s:I,s:o}", "id", &id, "queue", &queue,
			"workspace", &workspace, "accepted_wall_ms", &accepted,
			"spec", &spec))
		goto out;
	if (!tg_strlcpy(r->id, id, sizeof(r->id)) ||
	    !tg_strlcpy(r->queue, queue, sizeof(r->queue)) ||
	    !tg_strlcpy(r->workspace, workspace, sizeof(r->workspace)))
		goto out;
	r->accepted_wall_ms = accepted;
	r->spec = flow_spec_decode(spec);
	err = r->spec ? 0 : -1;
out:
	json_decref(o);
	return err;
}

bool tg_job_rows_equal(const char *a, size_t a_bytes, const char *b,
		       size_t b_bytes)
{
	json_t *x = json_loadb(a, a_bytes, 0, NULL);
	json_t *y = json_loadb(b, b_bytes, 0, NULL);
	bool equal;

	json_object_del(x, "accepted_wall_ms");
	json_object_del(y, "accepted_wall_ms");
	equal = x && y && json_equal(x, y);
	json_decref(x);
	json_decref(y);
	return equal;
}

void tg_owner_row_add_silent(struct tg_owner_row *r, const char *worker)
{
	size_t n = strlen(r->silent);

	if (n + strlen(worker) + 3 > sizeof(r->silent))
		return;
	snprintf(r->silent + n, sizeof(r->silent) - n, n ? "%s," : ",%s,",
		 worker);
}

bool tg_owner_row_is_silent(const struct tg_owner_row *r, const char *worker)
{
	char name[TG_NAME_MAX + 3];

	snprintf(name, sizeof(name), ",%s,", worker);
	return strstr(r->silent, name) != NULL;
}

char *tg_owner_row_encode(const struct tg_owner_row *r)
{
	json_t *o =
		json_pack("{s:s,s:s,s:s,s:I,s:I,s:s,s:b}", "holder", r->holder,
			  "addr", r->addr, "boot", r->boot, "fence",
			  (json_int_t)r->fence, "seq", (json_int_t)r->seq,
			  "silent", r->silent, "released", r->released);
	char *text = json_dumps(o, JSON_COMPACT);

	json_decref(o);
	return text;
}

int tg_owner_row_decode(const struct tg_row *row, struct tg_owner_row *r)
{
	json_t *o = json_loadb(row->value, row->value_bytes, 0, NULL);
	const char *holder, *addr, *boot, *silent;
	json_int_t fence, seq;
	int released, err = -1;

	memset(r, 0, sizeof(*r));
	if (json_unpack(o, "{s:s,s:s,s:s,s:I,s:I,s:s,s:b}", "holder", &holder,
			"addr", &addr, "boot", &boot, "fence", &fence, "seq",
			&seq, "silent", &silent, "released", &released))
		goto out;
	r->fence = (uint64_t)fence;
	r->seq = seq;
	tg_strlcpy(r->silent, silent, sizeof(r->silent));
	r->released = released;
	if (tg_strlcpy(r->holder, holder, sizeof(r->holder)) &&
	    tg_strlcpy(r->addr, addr, sizeof(r->addr)) &&
	    tg_strlcpy(r->boot, boot, sizeof(r->boot)))
		err = 0;
out:
	json_decref(o);
	return err;
}
