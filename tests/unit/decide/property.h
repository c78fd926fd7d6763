#ifndef TEST_DECIDE_PROPERTY_H
#define TEST_DECIDE_PROPERTY_H

#include <check.h>
#include <stdbool.h>
#include <stdint.h>

#define PACK_WORKERS_MAX 9
#define PACK_SLOTS_MAX 16

/* Amounts of resources: accelerators, cores, memory. */
struct pack_res {
	int32_t v[3];
};

struct pack_slot {
	int group; /* slots of a group are equal and follow each other */
	struct pack_res need;
	int rack; /* the only rack allowed; -1: any */
	bool same_rack; /* all slots of the group have to be in one rack */
};

struct pack {
	int n_workers, n_slots;
	struct pack_res avail[PACK_WORKERS_MAX];
	int rack_of[PACK_WORKERS_MAX];
	struct pack_slot slots[PACK_SLOTS_MAX];
};

/*
 * Whether all slots fit, by exhaustive search; reduces @avail by them if so.
 * The placement of the library is checked against this.
 */
bool pack_fits(struct pack *p);

TCase *property_tcase(void);

#endif
