#include <stdlib.h>
#include <string.h>

#include "doc/reader.h"

/*
 * struct differ - comparison of two documents
 * @at: holds the pointer; the items of arrays that have a name are matched by
 *	it and have the index of ours, or of theirs if only they have it
 * @name: of the named item that is being compared, or NULL
 */
struct differ {
	struct reader at;
	const char *name;
	json_t *out;
};

static void diff_values(struct differ *d, const json_t *ours,
			const json_t *theirs);

static void add_difference(struct differ *d, const json_t *ours,
			   const json_t *theirs)
{
	json_t *item = json_object();

	json_object_set_new(item, "place", json_string(d->at.path));
	if (d->name)
		json_object_set_new(item, "name", json_string(d->name));
	if (ours)
		json_object_set(item, "ours", (json_t *)ours);
	if (theirs)
		json_object_set(item, "theirs", (json_t *)theirs);
	json_array_append_new(d->out, item);
}

static const char *item_name(const json_t *v)
{
	const char *name = json_string_value(json_object_get(v, "name"));

	return name ? name : json_string_value(json_object_get(v, "worker"));
}

static bool all_named(const json_t *list)
{
	size_t i;

	for (i = 0; i < json_array_size(list); i++)
		if (!item_name(json_array_get(list, i)))
			return false;
	return true;
}

static const json_t *find_named(const json_t *list, const char *name)
{
	size_t i;

	for (i = 0; i < json_array_size(list); i++) {
		const json_t *v = json_array_get(list, i);

		if (!strcmp(item_name(v), name))
			return v;
	}
	return NULL;
}

static void diff_item(struct differ *d, size_t i, const json_t *ours,
		      const json_t *theirs)
{
	size_t mark = reader_push_index(&d->at, i);
	const char *outer = d->name;
	const json_t *any = ours ? ours : theirs;

	if (item_name(any))
		d->name = item_name(any);
	diff_values(d, ours, theirs);
	d->name = outer;
	reader_pop(&d->at, mark);
}

static void diff_named(struct differ *d, const json_t *ours,
		       const json_t *theirs)
{
	size_t i;

	for (i = 0; i < json_array_size(ours); i++) {
		const json_t *v = json_array_get(ours, i);

		diff_item(d, i, v, find_named(theirs, item_name(v)));
	}
	for (i = 0; i < json_array_size(theirs); i++) {
		const json_t *v = json_array_get(theirs, i);

		if (!find_named(ours, item_name(v)))
			diff_item(d, i, NULL, v);
	}
}

static void diff_arrays(struct differ *d, const json_t *ours,
			const json_t *theirs)
{
	size_t n = json_array_size(ours), m = json_array_size(theirs), i;

	if (all_named(ours) && all_named(theirs)) {
		diff_named(d, ours, theirs);
		return;
	}
	for (i = 0; i < n || i < m; i++)
		diff_item(d, i, json_array_get(ours, i),
			  json_array_get(theirs, i));
}

static void diff_objects(struct differ *d, const json_t *ours,
			 const json_t *theirs)
{
	const char *key;
	json_t *v;
	size_t mark;

	json_object_foreach((json_t *)ours, key, v) {
		mark = reader_push(&d->at, key);
		diff_values(d, v, json_object_get(theirs, key));
		reader_pop(&d->at, mark);
	}
	json_object_foreach((json_t *)theirs, key, v) {
		if (json_object_get(ours, key))
			continue;
		mark = reader_push(&d->at, key);
		diff_values(d, NULL, v);
		reader_pop(&d->at, mark);
	}
}

static void diff_values(struct differ *d, const json_t *ours,
			const json_t *theirs)
{
	if (ours && theirs && json_equal(ours, theirs))
		return;
	if (json_is_object(ours) && json_is_object(theirs))
		diff_objects(d, ours, theirs);
	else if (json_is_array(ours) && json_is_array(theirs))
		diff_arrays(d, ours, theirs);
	else
		add_difference(d, ours, theirs);
}

json_t *tg_doc_diff(const json_t *ours, const json_t *theirs)
{
	struct differ d = { .out = json_array() };

	diff_values(&d, ours, theirs);
	return d.out;
}
