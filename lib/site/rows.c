#include <stdlib.h>
#include <string.h>

#include "site/site.h"

/* Largest size of the owner's row without its lists and its holder. */
#define OWNER_OTHER_BYTES (736 + TG_FORMER_LIST_SIZE)
/* In place of the list of long leases: any worker may hold one. */
#define ANY_WORKER "*"
/* In place of the list of former owners: they are not known. */
#define ANY_OWNER "*"
/* Differences of two such times stay in the range of the type. */
#define WALL_MAX_MS (1LL << 53)

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
	json_int_t accepted = 0, version = 0;
	int err = -1;

	memset(r, 0, sizeof(*r));
	if (json_unpack(o, "{s:s,s:s,s:s,s:I,s:o,s?:I}", "id", &id, "queue",
			&queue, "workspace", &workspace, "accepted_wall_ms",
			&accepted, "spec", &spec, "row_version", &version))
		goto out;
	if (!tg_strlcpy(r->id, id, sizeof(r->id)))
		goto out;
	if (accepted < 0 || accepted > WALL_MAX_MS)
		goto out;
	r->accepted_wall_ms = accepted;
	r->row_version = version;
	r->spec = flow_spec_decode(spec);
	if (!r->spec)
		goto out;
	r->queue = tg_xstrdup(queue);
	r->workspace = tg_xstrdup(workspace);
	err = 0;
out:
	json_decref(o);
	return err;
}

void tg_job_row_clear(struct tg_job_row *r)
{
	free(r->queue);
	free(r->workspace);
	flow_spec_free(r->spec);
	r->queue = r->workspace = NULL;
	r->spec = NULL;
}

char *tg_job_notice_encode(const char *row, int64_t row_version)
{
	json_t *o = json_loads(row, 0, NULL);
	char *text;

	json_object_set_new(o, "row_version", json_integer(row_version));
	text = json_dumps(o, JSON_COMPACT);
	json_decref(o);
	return text;
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

/** struct worker_list - list of workers in the owner's row, ",ITEM,ITEM," */
struct worker_list {
	char *text;
	size_t size;
	int64_t bytes_max;
};

static bool add_to_list(const struct worker_list *l, const char *item)
{
	size_t n = strlen(l->text);

	if (n + strlen(item) + 3 > l->size ||
	    (int64_t)(n + strlen(item) + 2) > l->bytes_max)
		return false;
	snprintf(l->text + n, l->size - n, n ? "%s," : ",%s,", item);
	return true;
}

/* What the row has for lists. */
static int64_t lists_bytes(const struct tg_owner_row *r, int64_t row_bytes)
{
	return row_bytes - OWNER_OTHER_BYTES - (int64_t)strlen(r->holder);
}

/* The list of long leases gets a quarter of that. */
static int64_t long_leases_bytes(const struct tg_owner_row *r,
				 int64_t row_bytes)
{
	int64_t bytes = lists_bytes(r, row_bytes) / 4;

	return bytes < TG_LONG_LEASES_SIZE ? bytes : TG_LONG_LEASES_SIZE;
}

static int64_t exits_bytes(const struct tg_owner_row *r, int64_t row_bytes)
{
	int64_t bytes = lists_bytes(r, row_bytes) / 8;

	return bytes < TG_EXITS_SIZE ? bytes : TG_EXITS_SIZE;
}

bool tg_owner_row_add_silent(struct tg_owner_row *r, const char *worker,
			     const struct tg_silent_worker *s,
			     int64_t row_bytes)
{
	char item[TG_KEY_MAX + TG_ADDR_MAX + 32];
	int64_t list_bytes =
		(lists_bytes(r, row_bytes) - long_leases_bytes(r, row_bytes) -
		 exits_bytes(r, row_bytes)) /
		2;
	struct worker_list ids = { r->silent, sizeof(r->silent), list_bytes };
	struct worker_list at = { r->silent_at, sizeof(r->silent_at),
				  list_bytes };
	bool listed = add_to_list(&ids, worker);

	snprintf(item, sizeof(item), "%s %s %lld", worker, s->addr,
		 (long long)s->boot_ms);
	if (*s->addr && s->boot_ms)
		listed &= add_to_list(&at, item);
	return listed;
}

bool tg_owner_row_any_long_lease(const struct tg_owner_row *r)
{
	return !strcmp(r->long_leases, ANY_WORKER);
}

bool tg_owner_row_has_long_lease(const struct tg_owner_row *r,
				 const char *worker)
{
	char item[TG_KEY_MAX + 3];

	snprintf(item, sizeof(item), ",%s,", worker);
	return tg_owner_row_any_long_lease(r) || strstr(r->long_leases, item);
}

static bool add_long_lease(struct tg_owner_row *r, const char *worker,
			   int64_t list_bytes)
{
	struct worker_list l = { r->long_leases, sizeof(r->long_leases),
				 list_bytes };

	return tg_owner_row_has_long_lease(r, worker) ||
		add_to_list(&l, worker);
}

void tg_owner_row_add_long_lease(struct tg_owner_row *r, const char *worker,
				 int64_t row_bytes)
{
	if (!add_long_lease(r, worker, long_leases_bytes(r, row_bytes)))
		tg_owner_row_forget_long_leases(r);
}

void tg_owner_row_add_timed_lease(struct tg_owner_row *r, const char *worker,
				  int64_t end_clock_ms, int64_t row_bytes)
{
	if (!add_long_lease(r, worker, long_leases_bytes(r, row_bytes) / 2) &&
	    end_clock_ms > r->other_leases_clock_ms)
		r->other_leases_clock_ms = end_clock_ms;
}

void tg_owner_row_forget_long_leases(struct tg_owner_row *r)
{
	tg_strlcpy(r->long_leases, ANY_WORKER, sizeof(r->long_leases));
	r->other_leases_clock_ms = 0;
}

void tg_owner_row_add_exit(struct tg_owner_row *r, const char *worker,
			   const struct tg_worker_exit *x, int64_t row_bytes)
{
	char item[TG_KEY_MAX + TG_ADDR_MAX + 100];
	struct worker_list l = { r->exits, sizeof(r->exits),
				 exits_bytes(r, row_bytes) };

	snprintf(item, sizeof(item), "%s %s %lld %lld %lld %lld", worker,
		 x->addr, (long long)x->boot_ms, (long long)x->exit_clock_ms,
		 (long long)x->written_clock_ms, (long long)x->version);
	add_to_list(&l, item);
}

bool tg_owner_row_find_exit(const struct tg_owner_row *r, const char *worker,
			    struct tg_worker_exit *out)
{
	char start[TG_KEY_MAX + 3], addr[TG_ADDR_MAX + 1];
	long long boot, exit, written, version;
	const char *item;

	snprintf(start, sizeof(start), ",%s ", worker);
	item = strstr(r->exits, start);
	if (!item ||
	    sscanf(item + strlen(start), "%63s %lld %lld %lld %lld,", addr,
		   &boot, &exit, &written, &version) != 5 ||
	    !tg_addr_valid(addr) || boot <= 0 || written <= 0)
		return false;
	tg_strlcpy(out->addr, addr, sizeof(out->addr));
	out->boot_ms = boot;
	out->exit_clock_ms = exit;
	out->written_clock_ms = written;
	out->version = version;
	return true;
}

void tg_owner_row_add_former(struct tg_owner_row *r,
			     const struct tg_former_owner *o)
{
	char item[TG_ADDR_MAX + TG_TOKEN_LEN + 2];
	struct worker_list l = { r->former, sizeof(r->former),
				 sizeof(r->former) };

	if (!strcmp(r->former, ANY_OWNER))
		return;
	snprintf(item, sizeof(item), "%s %s", o->addr, o->boot);
	if (!add_to_list(&l, item))
		tg_owner_row_forget_former(r);
}

void tg_owner_row_forget_former(struct tg_owner_row *r)
{
	tg_strlcpy(r->former, ANY_OWNER, sizeof(r->former));
}

int tg_owner_row_formers(const struct tg_owner_row *r,
			 struct tg_former_owner out[TG_FORMER_OWNERS_MAX])
{
	const char *s = r->former;
	int n;

	if (!strcmp(s, ANY_OWNER))
		return -1;
	for (n = 0; *s == ',' && s[1]; n++) {
		/* The lengths are TG_ADDR_MAX and TG_TOKEN_LEN. */
		if (n == TG_FORMER_OWNERS_MAX ||
		    sscanf(s + 1, "%63[^ ,] %32[^ ,]", out[n].addr,
			   out[n].boot) != 2 ||
		    !tg_addr_valid(out[n].addr))
			return -1;
		s += 1 + strcspn(s + 1, ",");
	}
	return n;
}

int64_t tg_store_clock_of(const struct tg_store_clock *c, int64_t own_ms)
{
	return c->clock_ms + own_ms - c->to_ms;
}

int64_t tg_store_clock_by(const struct tg_store_clock *c, int64_t own_ms)
{
	return c->clock_ms + own_ms - c->from_ms;
}

int64_t tg_store_clock_earliest(const struct tg_store_clock *c,
				int64_t clock_ms)
{
	return c->from_ms - (c->clock_ms - clock_ms);
}

int64_t tg_store_clock_latest(const struct tg_store_clock *c, int64_t clock_ms)
{
	return c->to_ms - (c->clock_ms - clock_ms);
}

void tg_owner_row_copy_workers(struct tg_owner_row *to,
			       const struct tg_owner_row *from)
{
	tg_strlcpy(to->silent, from->silent, sizeof(to->silent));
	tg_strlcpy(to->silent_at, from->silent_at, sizeof(to->silent_at));
	tg_strlcpy(to->long_leases, from->long_leases, sizeof(to->long_leases));
	to->other_leases_clock_ms = from->other_leases_clock_ms;
	tg_strlcpy(to->exits, from->exits, sizeof(to->exits));
	to->exits_clock_ms = from->exits_clock_ms;
	to->clock_ms = from->clock_ms;
	to->answered_since_clock_ms = from->answered_since_clock_ms;
}

bool tg_owner_row_find_silent(const struct tg_owner_row *r, const char *worker,
			      struct tg_silent_worker *out)
{
	char start[TG_KEY_MAX + 3], addr[TG_ADDR_MAX + 1];
	const char *item;
	size_t n;

	snprintf(start, sizeof(start), ",%s ", worker);
	item = strstr(r->silent_at, start);
	if (!item)
		return false;
	item += strlen(start);
	n = strcspn(item, " ");
	snprintf(addr, sizeof(addr), "%.*s", (int)n, item);
	if (n > TG_ADDR_MAX || item[n] != ' ' || !tg_addr_valid(addr))
		return false;
	tg_strlcpy(out->addr, addr, sizeof(out->addr));
	out->boot_ms = strtoll(item + n, NULL, 10);
	return out->boot_ms > 0;
}

char *tg_owner_row_encode(const struct tg_owner_row *r)
{
	json_t *o = json_pack(
		"{s:s,s:s,s:s,s:I,s:I,s:I,s:s,s:s,s:s,s:s,s:s,s:I,s:I,s:I,"
		"s:b,s:b,s:b,s:b,s:b}",
		"holder", r->holder, "addr", r->addr, "boot", r->boot, "fence",
		(json_int_t)r->fence, "term", (json_int_t)r->term, "seq",
		(json_int_t)r->seq, "silent", r->silent, "silent_at",
		r->silent_at, "long_leases",
		r->other_leases_clock_ms ? ANY_WORKER : r->long_leases, "exits",
		r->exits, "former", r->former, "exits_clock_ms",
		(json_int_t)r->exits_clock_ms, "clock_ms",
		(json_int_t)r->clock_ms, "answered_since_clock_ms",
		(json_int_t)r->answered_since_clock_ms, "released", r->released,
		"runs_recorded", r->runs_recorded, "settled", r->settled,
		"lease_bounds", r->lease_bounds, "renewals_ended",
		r->renewals_ended);
	char *text;

	if (r->other_leases_clock_ms) {
		json_object_set_new(o, "long_leases_named",
				    json_string(r->long_leases));
		json_object_set_new(o, "other_leases_clock_ms",
				    json_integer(r->other_leases_clock_ms));
	}
	text = json_dumps(o, JSON_COMPACT);
	json_decref(o);
	return text;
}

int tg_owner_row_decode(const struct tg_row *row, struct tg_owner_row *r)
{
	json_t *o = json_loadb(row->value, row->value_bytes, 0, NULL);
	const char *holder, *addr, *boot, *silent, *silent_at = "";
	const char *long_leases = ANY_WORKER, *exits = "", *former = ANY_OWNER;
	const char *named = NULL;
	json_int_t fence, term = 0, seq, exits_clock_ms = 0, clock_ms = 0,
			  since_clock_ms = 0, other_clock_ms = 0;
	int released, runs_recorded = 0, settled = 0, lease_bounds = 0;
	int renewals_ended = 0, err = -1;

	memset(r, 0, sizeof(*r));
	/* Rows written by older versions lack the optional fields. */
	if (json_unpack(
		    o,
		    "{s:s,s:s,s:s,s:I,s?:I,s:I,s:s,s?:s,s?:s,s?:s,s?:s,s?:I,"
		    "s?:I,s?:I,s:b,s?:b,s?:b,s?:b,s?:b,s?:s,s?:I}",
		    "holder", &holder, "addr", &addr, "boot", &boot, "fence",
		    &fence, "term", &term, "seq", &seq, "silent", &silent,
		    "silent_at", &silent_at, "long_leases", &long_leases,
		    "exits", &exits, "former", &former, "exits_clock_ms",
		    &exits_clock_ms, "clock_ms", &clock_ms,
		    "answered_since_clock_ms", &since_clock_ms, "released",
		    &released, "runs_recorded", &runs_recorded, "settled",
		    &settled, "lease_bounds", &lease_bounds, "renewals_ended",
		    &renewals_ended, "long_leases_named", &named,
		    "other_leases_clock_ms", &other_clock_ms))
		goto out;
	r->fence = (uint64_t)fence;
	r->term = (uint64_t)(term ? term : fence);
	r->seq = seq;
	/* Without a list nobody takes part of an item for a whole one. */
	if (!tg_strlcpy(r->silent, silent, sizeof(r->silent)))
		r->silent[0] = '\0';
	if (!tg_strlcpy(r->silent_at, silent_at, sizeof(r->silent_at)))
		r->silent_at[0] = '\0';
	if (named && other_clock_ms > 0) {
		long_leases = named;
		r->other_leases_clock_ms = other_clock_ms;
	}
	if (!tg_strlcpy(r->long_leases, long_leases, sizeof(r->long_leases)))
		tg_owner_row_forget_long_leases(r);
	if (!tg_strlcpy(r->exits, exits, sizeof(r->exits)))
		r->exits[0] = '\0';
	if (!tg_strlcpy(r->former, former, sizeof(r->former)))
		tg_strlcpy(r->former, ANY_OWNER, sizeof(r->former));
	r->exits_clock_ms = exits_clock_ms;
	r->clock_ms = clock_ms;
	r->answered_since_clock_ms = since_clock_ms;
	r->released = released;
	r->runs_recorded = runs_recorded;
	r->settled = settled;
	r->lease_bounds = lease_bounds;
	r->renewals_ended = renewals_ended;
	if (tg_strlcpy(r->holder, holder, sizeof(r->holder)) &&
	    tg_strlcpy(r->addr, addr, sizeof(r->addr)) &&
	    tg_strlcpy(r->boot, boot, sizeof(r->boot)))
		err = 0;
out:
	json_decref(o);
	return err;
}
