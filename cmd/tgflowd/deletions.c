#include <stdlib.h>
#include <string.h>

#include "deletions.h"

static struct deletion *find(const struct deletion *d, const char *key)
{
	struct deletion *x;

	/* The row of a cancellation has the id of its job and a suffix. */
	HASH_FIND(hh, d, key, strcspn(key, "~"), x);
	return x;
}

void deletions_add(struct deletion **d, const char *job, int64_t version)
{
	struct deletion *x = find(*d, job);

	if (!x) {
		x = tg_xcalloc(1, sizeof(*x));
		tg_strlcpy(x->job, job, sizeof(x->job));
		HASH_ADD_STR(*d, job, x);
	}
	x->version = version;
}

bool deletions_cover(const struct deletion *d, const char *key,
		     int64_t row_version)
{
	const struct deletion *x = find(d, key);

	return x && row_version <= x->version;
}

void deletions_forget(struct deletion **d, int64_t version)
{
	struct deletion *x, *tmp;

	HASH_ITER(hh, *d, x, tmp) {
		if (x->version > version)
			continue;
		HASH_DEL(*d, x);
		free(x);
	}
}
