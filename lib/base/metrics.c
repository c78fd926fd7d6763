#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "base/base.h"

/* Longer keys are found by a copy on the heap. */
#define SHORT_KEY_BYTES 320
#define OVERFLOW_LABELS "overflow=\"true\""

enum metric_kind { COUNTER, GAUGE, HISTOGRAM };

struct series {
	char *key; /* "name{labels}" */
	const char *name, *help;
	char *labels;
	enum metric_kind kind;
	union {
		struct tg_counter counter;
		struct tg_gauge gauge;
		struct tg_hist *hist;
	} u;
	UT_hash_handle hh;
};

static struct series *all_series;

static struct series *find_series(const char *name, const char *labels)
{
	char short_key[SHORT_KEY_BYTES], *key = short_key;
	struct series *s;

	if (snprintf(short_key, sizeof(short_key), "%s{%s}", name, labels) >=
	    (int)sizeof(short_key))
		key = tg_xasprintf("%s{%s}", name, labels);
	HASH_FIND_STR(all_series, key, s);
	if (key != short_key)
		free(key);
	return s;
}

static struct series *add_series(const char *name, const char *help,
				 const char *labels, enum metric_kind kind)
{
	struct series *s = tg_xcalloc(1, sizeof(*s));

	s->key = tg_xasprintf("%s{%s}", name, labels);
	s->name = name;
	s->help = help;
	s->labels = tg_xstrdup(labels);
	s->kind = kind;
	if (kind == HISTOGRAM)
		s->u.hist = tg_xcalloc(1, sizeof(*s->u.hist));
	HASH_ADD_KEYPTR(hh, all_series, s->key, strlen(s->key), s);
	return s;
}

static struct series *get_series(const char *name, const char *help,
				 const char *labels, enum metric_kind kind)
{
	struct series *s;

	if (!labels)
		labels = "";
	s = find_series(name, labels);
	if (s)
		return s;
	if (HASH_COUNT(all_series) < TG_SERIES_MAX)
		return add_series(name, help, labels, kind);
	s = find_series(name, OVERFLOW_LABELS);
	if (s)
		return s;
	tg_log(EV_SERIES_LIMIT, "name=%s", name);
	return add_series(name, help, OVERFLOW_LABELS, kind);
}

struct tg_counter *tg_counter(const char *name, const char *help,
			      const char *labels)
{
	return &get_series(name, help, labels, COUNTER)->u.counter;
}

struct tg_gauge *tg_gauge(const char *name, const char *help,
			  const char *labels)
{
	return &get_series(name, help, labels, GAUGE)->u.gauge;
}

struct tg_hist *tg_histogram(const char *name, const char *help,
			     const char *labels)
{
	return get_series(name, help, labels, HISTOGRAM)->u.hist;
}

char *tg_metric_label(const char *name, const char *value)
{
	char *text = tg_xcalloc(strlen(name) + 2 * strlen(value) + 4, 1);
	char *p = text + sprintf(text, "%s=\"", name);

	for (; *value; value++) {
		if (*value == '\\' || *value == '"' || *value == '\n')
			*p++ = '\\';
		*p++ = *value == '\n' ? 'n' : *value;
	}
	*p = '"';
	return text;
}

static void on_buffer_change(struct evbuffer *buf,
			     const struct evbuffer_cb_info *info, void *arg)
{
	struct tg_counter *c = arg;

	(void)buf;
	c->value += info->n_added;
}

void tg_count_bytes(struct evbuffer *buf, struct tg_counter *c)
{
	evbuffer_add_cb(buf, on_buffer_change, c);
}

static int compare_series(const struct series *a, const struct series *b)
{
	int c = strcmp(a->name, b->name);

	return c ? c : strcmp(a->key, b->key);
}

static void write_histogram(struct evbuffer *out, const struct series *s)
{
	const char *sep = *s->labels ? "," : "";
	const struct tg_hist *h = s->u.hist;
	uint64_t cumulative = 0;
	size_t b;

	for (b = 0; b < TG_HIST_BUCKETS; b++) {
		cumulative += h->counts[b];
		/* One line per power of two, to keep the page short. */
		if ((b + 1) % (1U << TG_HIST_SUB_BITS) || !cumulative)
			continue;
		evbuffer_add_printf(
			out, "%s_bucket{%s%sle=\"%llu\"} %llu\n", s->name,
			s->labels, sep,
			(1ULL << (TG_HIST_SUB_BITS + (b >> TG_HIST_SUB_BITS))) -
				1,
			(unsigned long long)cumulative);
		if (cumulative == h->n)
			break;
	}
	evbuffer_add_printf(out,
			    "%s_bucket{%s%sle=\"+Inf\"} %llu\n"
			    "%s_sum{%s} %llu\n%s_count{%s} %llu\n",
			    s->name, s->labels, sep, (unsigned long long)h->n,
			    s->name, s->labels, (unsigned long long)h->sum,
			    s->name, s->labels, (unsigned long long)h->n);
}

static void write_series(struct evbuffer *out, const struct series *s)
{
	bool unlabelled = !*s->labels;

	if (s->kind == HISTOGRAM) {
		write_histogram(out, s);
		return;
	}
	evbuffer_add_printf(out, "%s%s%s%s ", s->name, unlabelled ? "" : "{",
			    s->labels, unlabelled ? "" : "}");
	if (s->kind == COUNTER)
		evbuffer_add_printf(out, "%llu\n",
				    (unsigned long long)s->u.counter.value);
	else
		evbuffer_add_printf(out, "%lld\n", (long long)s->u.gauge.value);
}

void tg_metrics_write(struct evbuffer *out)
{
	static const char *const kinds[] = { "counter", "gauge", "histogram" };
	const char *last_name = "";
	struct series *s;

	HASH_SORT(all_series, compare_series);
	for (s = all_series; s; s = s->hh.next) {
		if (strcmp(last_name, s->name) != 0)
			evbuffer_add_printf(out, "# HELP %s %s\n# TYPE %s %s\n",
					    s->name, s->help, s->name,
					    kinds[s->kind]);
		last_name = s->name;
		write_series(out, s);
	}
}
