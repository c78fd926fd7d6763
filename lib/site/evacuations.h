#ifndef TG_EVACUATIONS_H
#define TG_EVACUATIONS_H

#include "site/site.h"

/**
 * DOC: evacuated availability zones
 *
 * Operators request in the platform's store that nothing be started in an AZ.
 * The list is read again and again rather than followed: its age then bounds
 * what may be missing from it, also while the store refuses this instance.
 */

struct tg_evacuations;

/**
 * struct tg_evacuations_opts - options of the list
 * @bound_ms: a request is in force this long after the store acknowledged it
 * @on_change: the list has changed, or is current again; may be NULL
 */
struct tg_evacuations_opts {
	struct tg_site *site;
	int64_t bound_ms;
	void (*on_change)(void *arg);
	void *arg;
};

/** tg_evacuations_new() - read the list from now on */
struct tg_evacuations *tg_evacuations_new(const struct tg_evacuations_opts *o);
/** tg_evacuations_free() - stop reading; @e may be NULL */
void tg_evacuations_free(struct tg_evacuations *e);
/**
 * tg_evacuations_are_current() - whether an order that is sent now can't break
 * a request that is not in the list yet
 */
bool tg_evacuations_are_current(const struct tg_evacuations *e);
/** tg_evacuations_age_ms() - age of the list; -1 before the first one */
int64_t tg_evacuations_age_ms(const struct tg_evacuations *e);
/** tg_evacuations_azs() - names of the AZs; valid until the next change */
size_t tg_evacuations_azs(const struct tg_evacuations *e,
			  const char *const **azs);

/**
 * tg_evacuations_max_age_ms() - age up to which a list may be acted on
 *
 * What remains of @bound_ms is for the order to reach its worker.
 */
int64_t tg_evacuations_max_age_ms(int64_t bound_ms);

#endif
