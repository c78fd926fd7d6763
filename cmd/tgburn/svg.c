#include <stdlib.h>

#include "burn.h"

/* Size of the plot and of its margins in user units. */
#define WIDTH 800
#define HEIGHT 300
#define LEFT 60
#define RIGHT 20
#define TOP 30
#define BOTTOM 40
#define LEGEND_LINE 18
#define BUCKETS 120
#define LEAST_TOP 2.0 /* greatest burn on the axis, at least */

static const char *const colours[] = { "#00468b", "#a40000", "#00592d",
				       "#7a4b00", "#5b2a86", "#006d77" };

struct plot {
	const struct burn_data *data;
	const struct tg_doc *doc;
	const struct burn_group *pairs;
	size_t n;
	double top;
	FILE *out;
};

static int64_t bucket_start(const struct plot *p, int b)
{
	return p->data->first_ms +
		(p->data->last_ms - p->data->first_ms) * b / BUCKETS;
}

/* Burn of the availability in a bucket; negative if there is no figure. */
static double burn_in(const struct plot *p, size_t pair, int b)
{
	const struct tg_service *s =
		tg_doc_service(p->doc, p->pairs[pair].service);
	int64_t from_ms = bucket_start(p, b), to_ms = bucket_start(p, b + 1);
	double all, bad;

	if (!s || s->availability <= 0 || to_ms <= from_ms ||
	    burn_coverage(p->data, from_ms, to_ms) < 0.5)
		return -1;
	all = burn_group_sum(p->data, &p->pairs[pair], BURN_TOTAL, from_ms,
			     to_ms);
	bad = burn_group_sum(p->data, &p->pairs[pair], BURN_FAILED, from_ms,
			     to_ms);
	return all > 0 ? bad / all / (1 - s->availability) : -1;
}

static double x_of(int b)
{
	return LEFT + (double)(WIDTH - LEFT - RIGHT) * b / BUCKETS;
}

static double y_of(const struct plot *p, double burn)
{
	return TOP + (HEIGHT - TOP - BOTTOM) * (1 - burn / p->top);
}

static void find_top(struct plot *p)
{
	size_t i;
	int b;

	p->top = LEAST_TOP;
	for (i = 0; i < p->n; i++)
		for (b = 0; b < BUCKETS; b++) {
			double burn = burn_in(p, i, b);

			if (burn > p->top)
				p->top = burn;
		}
}

/* Buckets without data are shaded, so that they are not read as no failures. */
static void add_gaps(const struct plot *p)
{
	int b;

	for (b = 0; b < BUCKETS; b++) {
		int64_t from_ms = bucket_start(p, b);
		int64_t to_ms = bucket_start(p, b + 1);

		if (to_ms > from_ms &&
		    burn_coverage(p->data, from_ms, to_ms) >= 0.5)
			continue;
		fprintf(p->out,
			"<rect x=\"%.1f\" y=\"%d\" width=\"%.1f\" "
			"height=\"%d\" fill=\"#dddddd\"/>\n",
			x_of(b), TOP, x_of(b + 1) - x_of(b),
			HEIGHT - TOP - BOTTOM);
	}
}

static void add_line(const struct plot *p, size_t pair)
{
	bool open = false;
	int b;

	for (b = 0; b < BUCKETS; b++) {
		double burn = burn_in(p, pair, b);

		if (burn < 0) {
			if (open)
				fprintf(p->out, "\"/>\n");
			open = false;
			continue;
		}
		if (!open)
			fprintf(p->out,
				"<polyline fill=\"none\" stroke=\"%s\" "
				"stroke-width=\"1.5\" points=\"",
				colours[pair % ARRAY_SIZE(colours)]);
		open = true;
		fprintf(p->out, "%.1f,%.1f %.1f,%.1f ", x_of(b), y_of(p, burn),
			x_of(b + 1), y_of(p, burn));
	}
	if (open)
		fprintf(p->out, "\"/>\n");
}

static void add_axes(const struct plot *p)
{
	char from[32], to[32];

	tg_format_utc(p->data->first_ms, from, sizeof(from));
	tg_format_utc(p->data->last_ms, to, sizeof(to));
	fprintf(p->out,
		"<path d=\"M%d %dV%dH%d\" fill=\"none\" stroke=\"#1b1b1b\"/>\n"
		"<line x1=\"%d\" x2=\"%d\" y1=\"%.1f\" y2=\"%.1f\" "
		"stroke=\"#767676\" stroke-dasharray=\"4\"/>\n"
		"<text x=\"%d\" y=\"%.1f\" text-anchor=\"end\">1</text>\n"
		"<text x=\"%d\" y=\"%d\" text-anchor=\"end\">%.1f</text>\n"
		"<text x=\"%d\" y=\"%d\">%s</text>\n"
		"<text x=\"%d\" y=\"%d\" text-anchor=\"end\">%s</text>\n"
		"<text x=\"%d\" y=\"18\">Burn rate of the availability "
		"objective (grey: no data)</text>\n",
		LEFT, TOP, HEIGHT - BOTTOM, WIDTH - RIGHT, LEFT, WIDTH - RIGHT,
		y_of(p, 1), y_of(p, 1), LEFT - 6, y_of(p, 1) + 4, LEFT - 6,
		TOP + 4, p->top, LEFT, HEIGHT - BOTTOM + 18, from,
		WIDTH - RIGHT, HEIGHT - BOTTOM + 18, to, LEFT);
}

/* Names of services and workspaces need no escapes. */
static void add_legend(const struct plot *p)
{
	size_t i;

	for (i = 0; i < p->n; i++)
		fprintf(p->out,
			"<text x=\"%d\" y=\"%zu\" fill=\"%s\">%s of %s</text>"
			"\n",
			LEFT, HEIGHT + i * LEGEND_LINE,
			colours[i % ARRAY_SIZE(colours)], p->pairs[i].service,
			p->pairs[i].workspace);
}

void burn_write_svg(const struct burn_data *d, const struct tg_doc *doc,
		    FILE *out)
{
	struct plot p = { .data = d, .doc = doc, .out = out };
	struct burn_group *pairs = burn_list_groups(d, &p.n);
	size_t i;

	p.pairs = pairs;
	fprintf(out,
		"<svg xmlns=\"http://www.w3.org/2000/svg\" viewBox=\"0 0 %d "
		"%zu\" font-family=\"sans-serif\" font-size=\"12\">\n"
		"<rect width=\"100%%\" height=\"100%%\" fill=\"#ffffff\"/>\n",
		WIDTH, HEIGHT + p.n * LEGEND_LINE);
	add_gaps(&p);
	if (doc) {
		find_top(&p);
		for (i = 0; i < p.n; i++)
			add_line(&p, i);
	} else {
		p.top = LEAST_TOP;
	}
	add_axes(&p);
	add_legend(&p);
	fprintf(out, "</svg>\n");
	free(pairs);
}
