#ifndef TEST_DECIDE_PROPERTY_H
#define TEST_DECIDE_PROPERTY_H

#include <check.h>
#include <stdbool.h>
#include <stdint.h>

#define PACK_WORKERS_MAX 9
#define PACK_SLOTS_MAX 16

/* One resource vector: accelerators, cores, memory. */
struct pack_res {
	int32_t v[3];
};

struct pack_slot {
	int group; /* slots of one group are alike and adjacent in the list */
	struct pack_res need;
	int rack; /* the slot must be in it; -1: any */
	bool together; /* all slots of the group in one rack */
};

struct pack {
	int n_workers, n_slots;
	struct pack_res room[PACK_WORKERS_MAX];
	int rack_of[PACK_WORKERS_MAX];
	struct pack_slot slots[PACK_SLOTS_MAX];
};

/* Whether all slots fit, by trying every way. */
bool pack_fits(struct pack *p);

TCase *property_tcase(void);

#endif
