#include "decide/internal.h"

/* Accelerators that can hold tasks of the largest guaranteed shape. */
static int64_t usable_in_az(const struct tg_fleet *f, const struct az *az)
{
	int64_t sum = 0;
	int32_t i;

	for (i = 0; i < az->n_racks; i++) {
		int64_t n = rack_sums(f, az->racks[i])->shapes;

		if (!f->shape_within_rack || n >= f->shape_tasks)
			sum += n;
	}
	return sum >= f->shape_tasks ? sum * f->shape.acc : 0;
}

void tg_fleet_stats(const struct tg_fleet *f, int64_t now_ms,
		    struct tg_fleet_stats *out)
{
	int64_t usable = 0;
	size_t i;
	int32_t k;

	*out = (struct tg_fleet_stats){ .jobs_running = f->n_running,
					.jobs_parked = f->n_parked };
	for (k = 0; k < f->n_racks; k++) {
		const struct rack *r = rack_sums(f, k);

		out->accelerators += r->acc;
		out->accelerators_up += r->acc_alive;
		out->accelerators_free += r->idle_acc;
	}
	for (k = 0; f->shape.acc && k < f->n_azs; k++)
		usable += usable_in_az(f, &f->azs[k]);
	out->accelerators_stranded = out->accelerators_free - usable;
	for (i = 0; i < ARRAY_SIZE(f->queues); i++)
		out->jobs_queued += f->queues[i].n;
	out->jobs_queued += f->held.n;
	for (i = 0; i < f->n_guarantees; i++)
		if (now_ms < f->guarantees[i].lapses_ms)
			out->guarantees_at_risk +=
				guarantee_at_risk(&f->guarantees[i]);
}
