#include "property.h"

/* Subtracts @need, unless it doesn't fit.  Return: whether it fits. */
static bool subtract_if_fits(struct pack_res *avail,
			     const struct pack_res *need)
{
	int k;

	for (k = 0; k < 3; k++)
		if (avail->v[k] < need->v[k])
			return false;
	for (k = 0; k < 3; k++)
		avail->v[k] -= need->v[k];
	return true;
}

/*
 * Places @slot and all after it.  Slots of a group are interchangeable, so each
 * is tried only from worker @first, that of the slot before, on.  @rack is the
 * only rack allowed, -1 for any.
 */
static bool fits_from(struct pack *p, int slot, int first, int rack)
{
	const struct pack_slot *s = &p->slots[slot];
	int w;

	if (slot == p->n_slots)
		return true;
	if (!slot || p->slots[slot - 1].group != s->group) {
		first = 0;
		rack = s->rack;
	}
	for (w = first; w < p->n_workers; w++) {
		struct pack_res before = p->avail[w];

		if (rack >= 0 && p->rack_of[w] != rack)
			continue;
		if (!subtract_if_fits(&p->avail[w], &s->need))
			continue;
		if (fits_from(p, slot + 1, w,
			      s->same_rack ? p->rack_of[w] : rack))
			return true;
		p->avail[w] = before;
	}
	return false;
}

bool pack_fits(struct pack *p)
{
	return fits_from(p, 0, 0, -1);
}
