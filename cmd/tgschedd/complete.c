#include <stdlib.h>
#include <string.h>

#include "outage.h"

bool gang_is_complete(const struct observed_lease *all, size_t n,
		      const struct observed_lease *one)
{
	bool *seen, whole = false;
	int32_t found = 0;
	size_t i;

	if (one->gang_size <= 0)
		return false;
	seen = tg_xcalloc((size_t)one->gang_size, sizeof(*seen));
	for (i = 0; i < n; i++) {
		const struct observed_lease *l = &all[i];

		if (l->attempt != one->attempt ||
		    l->gang_size != one->gang_size || l->index < 0 ||
		    l->index >= l->gang_size || strcmp(l->job, one->job) != 0)
			continue;
		if (!l->running && !l->ended)
			goto out;
		found += !seen[l->index];
		seen[l->index] = true;
		whole = whole || l->running;
	}
out:
	free(seen);
	return whole && found == one->gang_size;
}
