#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "burn.h"

#define TARGETS_MAX 1024

#define SETTING(flag, type, def, min, max, help, field) \
	TG_SETTING(burn_opts, flag, type, def, min, max, false, help, field)

static const struct tg_setting settings[] = {
	SETTING("platform", TG_SET_ADDR, NULL, 0, 0,
		"collect from the entry daemons in the instance list of this "
		"platform",
		platform),
	SETTING("samples", TG_SET_STRING, NULL, 0, 0,
		"file with earlier samples, to which new ones are appended",
		samples),
	SETTING("document", TG_SET_STRING, NULL, 0, 0,
		"file with the document; default: fetched from an instance",
		document),
	SETTING("interval-ms", TG_SET_INT, "10000", 10, 86400000,
		"time between samples", interval_ms),
	SETTING("count", TG_SET_INT, "1", 0, 100000000,
		"samples to take; 0: only read the file", count),
	SETTING("max-gap-ms", TG_SET_INT, "60000", 1, 86400000,
		"samples further apart than this leave a gap", max_gap_ms),
	SETTING("timeout-ms", TG_SET_INT, "2000", 1, 600000,
		"time limit of an HTTP request", timeout_ms),
	SETTING("top", TG_SET_INT, "10", 0, 1000, "number of causes to list",
		top),
	SETTING("format", TG_SET_STRING, "text", 0, 0, "text or csv", format),
	SETTING("svg", TG_SET_STRING, NULL, 0, 0, "file to write a plot to",
		svg),
	{ 0 },
};

struct burn_run {
	const char *prog;
	struct burn_opts opts;
	struct tg_operands addrs;
	struct burn_fetcher *fetch;
	struct burn_data data;
	struct burn_target targets[TARGETS_MAX];
	size_t n_targets;
	char replied_addr[TG_ADDR_MAX + 1]; /* last that replied, or empty */
};

static void add_target(struct burn_run *r, const char *name, const char *addr)
{
	struct burn_target *t = &r->targets[r->n_targets];

	if (r->n_targets == TARGETS_MAX || !tg_addr_valid(addr))
		return;
	memset(t, 0, sizeof(*t));
	if (tg_strlcpy(t->name, name, sizeof(t->name)) &&
	    tg_strlcpy(t->addr, addr, sizeof(t->addr)))
		r->n_targets++;
}

static void add_platform_targets(struct burn_run *r)
{
	char *text =
		burn_fetch_get(r->fetch, r->opts.platform, "/v1/instances");
	json_t *v = text ? json_loads(text, 0, NULL) : NULL;
	const json_t *list = json_object_get(v, "instances");
	size_t i;

	if (!v)
		fprintf(stderr, "%s: %s: could not read the instance list\n",
			r->prog, r->opts.platform);
	for (i = 0; i < json_array_size(list); i++) {
		const char *name = NULL, *kind = NULL, *addr = NULL;

		if (!json_unpack(json_array_get(list, i), "{s:s, s:s, s:s}",
				 "name", &name, "kind", &kind, "addr", &addr) &&
		    !strcmp(kind, "entry") && tg_name_valid(name))
			add_target(r, name, addr);
	}
	json_decref(v);
	free(text);
}

/* Lists the targets anew for each sample, as instances start and stop. */
static void update_targets(struct burn_run *r)
{
	int i;

	r->n_targets = 0;
	for (i = 0; i < r->addrs.n; i++)
		add_target(r, r->addrs.v[i], r->addrs.v[i]);
	if (r->opts.platform)
		add_platform_targets(r);
}

static void take_sample(struct burn_run *r, FILE *out)
{
	int64_t at_ms;
	size_t i;

	update_targets(r);
	burn_fetch_all(r->fetch, r->targets, r->n_targets);
	at_ms = tg_wall_ms();
	for (i = 0; i < r->n_targets; i++) {
		struct burn_target *t = &r->targets[i];

		if (!t->text) {
			burn_record_missed(&r->data, out, at_ms, t->name);
			continue;
		}
		burn_record_sample(&r->data, out, at_ms, t->name, t->text);
		tg_strlcpy(r->replied_addr, t->addr, sizeof(r->replied_addr));
		free(t->text);
	}
}

static int collect_samples(struct burn_run *r)
{
	FILE *out = NULL;
	int64_t i;

	if (!r->addrs.n && !r->opts.platform)
		return 0;
	if (r->opts.samples && r->opts.count) {
		out = fopen(r->opts.samples, "a");
		if (!out) {
			fprintf(stderr, "%s: %s: %s\n", r->prog,
				r->opts.samples, strerror(errno));
			return -1;
		}
	}
	for (i = 0; i < r->opts.count; i++) {
		if (i)
			burn_fetch_sleep(r->fetch, r->opts.interval_ms);
		take_sample(r, out);
	}
	if (out)
		fclose(out);
	return 0;
}

static int write_svg(struct burn_run *r, const struct tg_doc *doc)
{
	FILE *out = fopen(r->opts.svg, "w");

	if (!out) {
		fprintf(stderr, "%s: %s: %s\n", r->prog, r->opts.svg,
			strerror(errno));
		return -1;
	}
	burn_write_svg(&r->data, doc, out);
	return fclose(out);
}

static int write_reports(struct burn_run *r)
{
	const char *addr = *r->replied_addr ? r->replied_addr : NULL;
	struct tg_doc *doc =
		burn_load_document(r->fetch, r->opts.document, addr, r->prog);
	int status = 0;

	if (r->opts.document && !doc)
		return 1;
	if (!strcmp(r->opts.format, "csv"))
		burn_write_csv(&r->data, doc, stdout);
	else
		burn_write_text(&r->data, doc, (size_t)r->opts.top, stdout);
	if (r->opts.svg && write_svg(r, doc))
		status = 1;
	tg_doc_free(doc);
	return status;
}

static int collect_and_report(struct burn_run *r)
{
	int status = 1;

	r->fetch = burn_fetcher_new(&r->opts);
	r->data.max_gap_ms = r->opts.max_gap_ms;
	if (r->opts.samples &&
	    burn_read_samples(&r->data, r->opts.samples, r->prog))
		goto out;
	if (collect_samples(r))
		goto out;
	if (r->data.n_samples)
		status = write_reports(r);
	else
		fprintf(stderr, "%s: no samples\n", r->prog);
out:
	burn_data_free(&r->data);
	burn_fetcher_free(r->fetch);
	return status;
}

static bool check_arguments(const struct burn_run *r)
{
	bool ok = true;
	int i;

	for (i = 0; i < r->addrs.n; i++)
		if (!tg_addr_valid(r->addrs.v[i])) {
			fprintf(stderr, "%s: ADDR: \"%s\" is not IP:PORT\n",
				r->prog, r->addrs.v[i]);
			ok = false;
		}
	if (strcmp(r->opts.format, "text") != 0 &&
	    strcmp(r->opts.format, "csv") != 0) {
		fprintf(stderr, "%s: --format: neither text nor csv\n",
			r->prog);
		ok = false;
	}
	if (!r->addrs.n && !r->opts.platform && !r->opts.samples) {
		fprintf(stderr,
			"%s: needs addresses, --platform or --samples\n",
			r->prog);
		ok = false;
	}
	return ok;
}

int burn_main(int argc, char **argv, const char *prog)
{
	struct tg_settings_spec spec = {
		.prog = prog,
		.summary = "Burn rates of the services' objectives, computed "
			   "from the counters of the instances.",
		.items = settings,
		.operands = "ADDR",
		.operands_min = 0,
		.operands_max = 256,
	};
	struct burn_run *r;
	int status;

	r = tg_xcalloc(1, sizeof(*r));
	r->prog = prog;
	switch (tg_settings_load(&spec, argc, argv, &r->opts, &r->addrs)) {
	case TG_SETTINGS_EXIT:
		status = 0;
		break;
	case TG_SETTINGS_INVALID:
		status = TG_EXIT_USAGE;
		break;
	default:
		tg_log_open(prog, "error");
		status = check_arguments(r) ? collect_and_report(r) :
					      TG_EXIT_USAGE;
		break;
	}
	free(r->addrs.v);
	free(r);
	return status;
}
