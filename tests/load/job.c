#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "load.h"

#define TIMEOUT_MS 10000

struct share {
	const char *name;
	int value;
	unsigned int percent;
};

/* Many small jobs and few large ones, as docs/design.md describes the users. */
static const struct share gang_sizes[] = {
	{ "", 1, 60 }, { "", 2, 15 }, { "", 4, 15 },
	{ "", 8, 8 },  { "", 16, 2 },
};
static const struct share accelerators[] = {
	{ "", 1, 40 },
	{ "", 2, 25 },
	{ "", 4, 20 },
	{ "", 8, 15 },
};
static const struct share classes[] = {
	{ "urgent", 0, 5 },
	{ "guaranteed", 0, 35 },
	{ "lent", 0, 60 },
};

static const struct share *draw(struct tg_rng *rng, const struct share *s)
{
	unsigned int at = (unsigned int)tg_rng_below(rng, 100);

	while (at >= s->percent) {
		at -= s->percent;
		s++;
	}
	return s;
}

/* Log-uniform within a factor of 8 around @median. */
static int64_t draw_ms(struct tg_rng *rng, int64_t median)
{
	double u = (double)tg_rng_below(rng, 1 << 20) / (1 << 20);

	return (int64_t)((double)median * exp2(6.0 * u - 3.0)) + 1;
}

static json_t *make_job(const struct call *c)
{
	const struct opts *o = &c->load->opts;
	struct tg_rng rng = call_rng(c);
	int tasks = draw(&rng, gang_sizes)->value;
	int per_task = draw(&rng, accelerators)->value;
	const char *class = draw(&rng, classes)->name;
	int64_t run_ms = draw_ms(&rng, o->job_ms);
	/* Declared times are often far from the actual ones. */
	int64_t declared_ms = draw_ms(&rng, run_ms);
	int within_rack = tasks <= 4 && per_task == 8;

	return json_pack(
		"{s:s, s:s, s:s, s:s, s:i, s:i, s:i, s:i, s:b, s:I,"
		" s:{s:I}}",
		"workspace", o->workspace, "job", c->key, "class", class, "az",
		o->az, "tasks", tasks, "accelerators_per_task", per_task,
		"cores_per_task", per_task * 4, "memory_gb_per_task",
		per_task * 8, "within_rack", within_rack, "declared_ms",
		(json_int_t)declared_ms, "task", "run_ms", (json_int_t)run_ms);
}

static void on_answer(const struct tg_http_result *r, void *arg)
{
	const char *s;
	enum outcome o = OUTCOME_ERROR;

	call_status(arg, r);
	if (r->end == TG_HTTP_COMPLETE) {
		s = evhttp_find_header(r->headers, "Tg-Outcome");
		if (r->status / 100 == 2)
			o = OUTCOME_ANSWERED;
		else if (s && !strcmp(s, "unknown"))
			o = OUTCOME_UNKNOWN;
		else if (s ? !strcmp(s, "not-run") :
			     r->status / 100 == 4 || r->status == 503)
			o = OUTCOME_NOT_RUN;
	} else if (r->sent) {
		o = OUTCOME_UNKNOWN;
	}
	call_done(arg, o);
}

void job_start(struct call *c)
{
	const struct opts *o = &c->load->opts;
	struct tg_http_header_field headers[] = {
		{ "Tg-Workspace", o->workspace },
		{ NULL, NULL },
	};
	struct tg_http_call_opts call = {
		.method = EVHTTP_REQ_POST,
		.addr = o->target,
		.uri = "/v1/jobs",
		.headers = headers,
		.timeout_ms = TIMEOUT_MS,
		.done = on_answer,
		.arg = c,
	};
	char *text;
	json_t *v;

	snprintf(c->key, sizeof(c->key), "load-%lld-%lld", (long long)o->seed,
		 (long long)c->number);
	v = make_job(c);
	text = json_dumps(v, JSON_COMPACT);
	call.body = text;
	call.body_bytes = strlen(text);
	tg_http_call_start(c->load->http, &call);
	free(text);
	json_decref(v);
}
