#include <stdlib.h>
#include <string.h>

#include "outage.h"

bool gang_is_complete(const struct observed_lease *all, size_t n,
		      const struct observed_lease *lease)
{
	bool *seen, any_running = false;
	int32_t n_seen = 0;
	size_t i;

	if (lease->gang_size <= 0)
		return false;
	seen = tg_xcalloc((size_t)lease->gang_size, sizeof(*seen));
	for (i = 0; i < n; i++) {
		const struct observed_lease *l = &all[i];

		if (l->attempt != lease->attempt ||
		    l->gang_size != lease->gang_size || l->index < 0 ||
		    l->index >= l->gang_size || strcmp(l->job, lease->job) != 0)
			continue;
		if (!l->running && !l->ended)
			goto out;
		n_seen += !seen[l->index];
		seen[l->index] = true;
		any_running = any_running || l->running;
	}
out:
	free(seen);
	return any_running && n_seen == lease->gang_size;
}
