#ifndef TG_FLOW_ESTIMATE_H
#define TG_FLOW_ESTIMATE_H

/**
 * DOC: estimates of how slow a worker is
 *
 * A run takes as long as its step usually does, times a factor of its worker,
 * times one of its own.  In logarithms these are sums, so that both the step
 * and the worker can be estimated from the same samples, each with the variance
 * that is left: a task of a step whose other tasks have run elsewhere tells
 * more of its worker than one whose declared time is all that is known.
 */

/**
 * struct estimate - of a logarithm
 * @var: its variance; falls with each sample
 */
struct estimate {
	double mean, var;
};

/**
 * estimate_pair() - take a sample of the sum of two estimates
 * @noise_var: variance of the sample itself
 *
 * A sample far from what was expected counts little, since some tasks take
 * several times as long as others of their step for reasons of their own.
 */
void estimate_pair(struct estimate *a, struct estimate *b, double sample,
		   double noise_var);
/** estimate_age() - let the variance grow by @var, up to @max */
void estimate_age(struct estimate *e, double var, double max);

#endif
