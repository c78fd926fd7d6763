#include "flow/estimate.h"

/*
 * Degrees of freedom of the distribution that samples are taken to have: with
 * few, outliers count little.
 */
#define FREEDOM 4.0

static void update(struct estimate *e, double gain, double residual)
{
	e->mean += gain * residual;
	e->var *= 1 - gain;
}

void estimate_pair(struct estimate *a, struct estimate *b, double sample,
		   double noise_var)
{
	double residual = sample - a->mean - b->mean;
	double var = a->var + b->var + noise_var;
	double sum;

	noise_var *= 1 + residual * residual / (FREEDOM * var);
	sum = a->var + b->var + noise_var;
	update(a, a->var / sum, residual);
	update(b, b->var / sum, residual);
}

void estimate_age(struct estimate *e, double var, double max)
{
	e->var += var;
	if (e->var > max)
		e->var = max;
}
