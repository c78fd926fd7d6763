#include <stdlib.h>

#include "burn.h"

/* Size of the plot and of its margins in SVG user units. */
#define WIDTH 800
#define HEIGHT 300
#define MARGIN_LEFT 60
#define MARGIN_RIGHT 20
#define MARGIN_TOP 30
#define MARGIN_BOTTOM 40
#define LEGEND_LINE_HEIGHT 18
#define BUCKETS 120 /* time steps of the plot */
#define MIN_AXIS_MAX 2.0 /* the burn axis reaches at least this rate */

static const char *const colours[] = { "#00468b", "#a40000", "#00592d",
				       "#7a4b00", "#5b2a86", "#006d77" };

struct plot {
	const struct burn_data *data;
	const struct tg_doc *doc;
	const struct burn_group *groups;
	size_t n_groups;
	double max_burn; /* upper end of the burn axis */
	FILE *out;
};

static int64_t bucket_start(const struct plot *p, int b)
{
	return p->data->first_ms +
		(p->data->last_ms - p->data->first_ms) * b / BUCKETS;
}

/*
 * Burn rate of the availability objective in a bucket.  It is -1 without an
 * objective, without requests, or with data for less than half of the bucket.
 */
static double bucket_burn_rate(const struct plot *p, size_t group, int b)
{
	const struct tg_service *s =
		tg_doc_service(p->doc, p->groups[group].service);
	int64_t from_ms = bucket_start(p, b), to_ms = bucket_start(p, b + 1);
	double total, bad;

	if (!s || s->availability <= 0 || to_ms <= from_ms ||
	    burn_coverage(p->data, from_ms, to_ms) < 0.5)
		return -1;
	total = burn_group_sum(p->data, &p->groups[group], BURN_TOTAL, from_ms,
			       to_ms);
	bad = burn_group_sum(p->data, &p->groups[group], BURN_FAILED, from_ms,
			     to_ms);
	return total > 0 ? bad / total / (1 - s->availability) : -1;
}

static double bucket_x(int b)
{
	return MARGIN_LEFT +
		(double)(WIDTH - MARGIN_LEFT - MARGIN_RIGHT) * b / BUCKETS;
}

static double burn_y(const struct plot *p, double burn)
{
	return MARGIN_TOP +
		(HEIGHT - MARGIN_TOP - MARGIN_BOTTOM) *
		(1 - burn / p->max_burn);
}

static void find_max_burn(struct plot *p)
{
	size_t i;
	int b;

	p->max_burn = MIN_AXIS_MAX;
	for (i = 0; i < p->n_groups; i++)
		for (b = 0; b < BUCKETS; b++) {
			double burn = bucket_burn_rate(p, i, b);

			if (burn > p->max_burn)
				p->max_burn = burn;
		}
}

/* Shades buckets without data, which would else look like no failures. */
static void draw_gaps(const struct plot *p)
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
			bucket_x(b), MARGIN_TOP, bucket_x(b + 1) - bucket_x(b),
			HEIGHT - MARGIN_TOP - MARGIN_BOTTOM);
	}
}

static void draw_line(const struct plot *p, size_t group)
{
	bool is_open = false;
	int b;

	for (b = 0; b < BUCKETS; b++) {
		double burn = bucket_burn_rate(p, group, b);

		if (burn < 0) {
			if (is_open)
				fprintf(p->out, "\"/>\n");
			is_open = false;
			continue;
		}
		if (!is_open)
			fprintf(p->out,
				"<polyline fill=\"none\" stroke=\"%s\" "
				"stroke-width=\"1.5\" points=\"",
				colours[group % ARRAY_SIZE(colours)]);
		is_open = true;
		fprintf(p->out, "%.1f,%.1f %.1f,%.1f ", bucket_x(b),
			burn_y(p, burn), bucket_x(b + 1), burn_y(p, burn));
	}
	if (is_open)
		fprintf(p->out, "\"/>\n");
}

static void draw_axes(const struct plot *p)
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
		MARGIN_LEFT, MARGIN_TOP, HEIGHT - MARGIN_BOTTOM,
		WIDTH - MARGIN_RIGHT, MARGIN_LEFT, WIDTH - MARGIN_RIGHT,
		burn_y(p, 1), burn_y(p, 1), MARGIN_LEFT - 6, burn_y(p, 1) + 4,
		MARGIN_LEFT - 6, MARGIN_TOP + 4, p->max_burn, MARGIN_LEFT,
		HEIGHT - MARGIN_BOTTOM + 18, from, WIDTH - MARGIN_RIGHT,
		HEIGHT - MARGIN_BOTTOM + 18, to, MARGIN_LEFT);
}

/* Names of services and workspaces contain no characters to escape. */
static void draw_legend(const struct plot *p)
{
	size_t i;

	for (i = 0; i < p->n_groups; i++)
		fprintf(p->out,
			"<text x=\"%d\" y=\"%zu\" fill=\"%s\">%s of %s</text>"
			"\n",
			MARGIN_LEFT, HEIGHT + i * LEGEND_LINE_HEIGHT,
			colours[i % ARRAY_SIZE(colours)], p->groups[i].service,
			p->groups[i].workspace);
}

void burn_write_svg(const struct burn_data *d, const struct tg_doc *doc,
		    FILE *out)
{
	struct plot p = { .data = d, .doc = doc, .out = out };
	struct burn_group *groups = burn_list_groups(d, &p.n_groups);
	size_t i;

	p.groups = groups;
	fprintf(out,
		"<svg xmlns=\"http://www.w3.org/2000/svg\" viewBox=\"0 0 %d "
		"%zu\" font-family=\"sans-serif\" font-size=\"12\">\n"
		"<rect width=\"100%%\" height=\"100%%\" fill=\"#ffffff\"/>\n",
		WIDTH, HEIGHT + p.n_groups * LEGEND_LINE_HEIGHT);
	draw_gaps(&p);
	if (doc) {
		find_max_burn(&p);
		for (i = 0; i < p.n_groups; i++)
			draw_line(&p, i);
	} else {
		p.max_burn = MIN_AXIS_MAX;
	}
	draw_axes(&p);
	draw_legend(&p);
	fprintf(out, "</svg>\n");
	free(groups);
}
