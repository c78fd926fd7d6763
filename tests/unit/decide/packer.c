#include "property.h"

static bool take(struct pack_res *room, const struct pack_res *need)
{
	int k;

	for (k = 0; k < 3; k++)
		if (room->v[k] < need->v[k])
			return false;
	for (k = 0; k < 3; k++)
		room->v[k] -= need->v[k];
	return true;
}

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
		struct pack_res before = p->room[w];

		if (rack >= 0 && p->rack_of[w] != rack)
			continue;
		if (!take(&p->room[w], &s->need))
			continue;
		if (fits_from(p, slot + 1, w,
			      s->together ? p->rack_of[w] : rack))
			return true;
		p->room[w] = before;
	}
	return false;
}

bool pack_fits(struct pack *p)
{
	return fits_from(p, 0, 0, -1);
}
