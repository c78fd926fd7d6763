#include "decide/internal.h"

/*
 * Idle accelerators that can hold tasks of the largest guaranteed shape.  None
 * count unless the AZ, or with within_rack a rack, holds the whole shape.
 */
static int64_t usable_in_az(const struct tg_fleet *f, const struct az *az)
{
	int64_t sum = 0;
	int32_t i;

	for (i = 0; i < az->n_racks; i++) {
		int64_t n = rack_sums(f, az->racks[i])->n_shape_tasks;

		if (!f->shape_within_rack || n >= f->shape_tasks)
			sum += n;
	}
	return sum >= f->shape_tasks ? sum * f->shape.acc : 0;
}

/* The same if @acc idle accelerators were not fragmented, ignoring racks. */
static int64_t usable_if_packed(const struct tg_fleet *f, int64_t acc)
{
	int64_t n = f->shape.acc ? acc / f->shape.acc : 0;

	return n >= f->shape_tasks ? n * f->shape.acc : 0;
}

void tg_fleet_stats(const struct tg_fleet *f, int64_t now_ms,
		    struct tg_fleet_stats *out)
{
	int64_t usable = 0, packed = 0, idle_acc;
	size_t i;
	int32_t k;

	*out = (struct tg_fleet_stats){ .jobs_running = f->n_running,
					.jobs_parked = f->n_parked };
	for (k = 0; k < f->n_racks; k++) {
		const struct rack *r = rack_sums(f, k);

		out->accelerators += r->acc;
		out->accelerators_not_down += r->acc_alive;
		out->accelerators_free += r->idle_acc;
	}
	for (k = 0; f->shape.acc && k < f->n_azs; k++) {
		const struct az *z = &f->azs[k];
		int32_t r;

		usable += usable_in_az(f, z);
		for (idle_acc = 0, r = 0; r < z->n_racks; r++)
			idle_acc += rack_sums(f, z->racks[r])->idle_acc;
		packed += usable_if_packed(f, idle_acc);
	}
	out->accelerators_stranded_packed = out->accelerators_free - packed;
	out->accelerators_stranded_gathered = out->accelerators_free -
		usable_if_packed(f, out->accelerators_free);
	out->accelerators_stranded = out->accelerators_free - usable;
	for (i = 0; i < ARRAY_SIZE(f->queues); i++)
		out->jobs_queued += f->queues[i].n;
	out->jobs_queued += f->assigned.n;
	for (i = 0; i < f->n_guarantees; i++)
		if (now_ms < f->guarantees[i].lapses_ms)
			out->guarantees_at_risk +=
				guarantee_at_risk(&f->guarantees[i]);
}
