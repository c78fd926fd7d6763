#include <stdlib.h>
#include <string.h>

#include "doc/reader.h"

/*
 * struct differ - comparison of two documents
 * @path: holds the JSON pointer of the values.  Named array items are matched
 *	by name; their index is that in our array, or that in their array if
 *	only theirs has the item.
 * @name: name of the innermost named item that is being compared, or NULL
 * @differences: result, see tg_doc_diff()
 */
struct differ {
	struct reader path;
	const char *name;
	json_t *differences;
};

static void diff_values(struct differ *d, const json_t *ours,
			const json_t *theirs);

static void append_difference(struct differ *d, const json_t *ours,
			      const json_t *theirs)
{
	json_t *item = json_object();

	json_object_set_new(item, "place", json_string(d->path.path));
	if (d->name)
		json_object_set_new(item, "name", json_string(d->name));
	if (ours)
		json_object_set(item, "ours", (json_t *)ours);
	if (theirs)
		json_object_set(item, "theirs", (json_t *)theirs);
	json_array_append_new(d->differences, item);
}

/* Returns the name of an array item, or NULL; drains are named by worker. */
static const char *get_item_name(const json_t *v)
{
	const char *name = json_string_value(json_object_get(v, "name"));

	return name ? name : json_string_value(json_object_get(v, "worker"));
}

static bool all_items_named(const json_t *list)
{
	size_t i;

	for (i = 0; i < json_array_size(list); i++)
		if (!get_item_name(json_array_get(list, i)))
			return false;
	return true;
}

static const json_t *find_item_by_name(const json_t *list, const char *name)
{
	size_t i;

	for (i = 0; i < json_array_size(list); i++) {
		const json_t *v = json_array_get(list, i);

		if (!strcmp(get_item_name(v), name))
			return v;
	}
	return NULL;
}

static void diff_item(struct differ *d, size_t i, const json_t *ours,
		      const json_t *theirs)
{
	size_t saved_len = reader_push_index(&d->path, i);
	const char *outer_name = d->name;
	const json_t *present = ours ? ours : theirs;

	if (get_item_name(present))
		d->name = get_item_name(present);
	diff_values(d, ours, theirs);
	d->name = outer_name;
	reader_pop(&d->path, saved_len);
}

static void diff_named_items(struct differ *d, const json_t *ours,
			     const json_t *theirs)
{
	size_t i;

	for (i = 0; i < json_array_size(ours); i++) {
		const json_t *v = json_array_get(ours, i);

		diff_item(d, i, v, find_item_by_name(theirs, get_item_name(v)));
	}
	for (i = 0; i < json_array_size(theirs); i++) {
		const json_t *v = json_array_get(theirs, i);

		if (!find_item_by_name(ours, get_item_name(v)))
			diff_item(d, i, NULL, v);
	}
}

static void diff_arrays(struct differ *d, const json_t *ours,
			const json_t *theirs)
{
	size_t n = json_array_size(ours), m = json_array_size(theirs), i;

	if (all_items_named(ours) && all_items_named(theirs)) {
		diff_named_items(d, ours, theirs);
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
	size_t saved_len;

	json_object_foreach((json_t *)ours, key, v) {
		saved_len = reader_push_key(&d->path, key);
		diff_values(d, v, json_object_get(theirs, key));
		reader_pop(&d->path, saved_len);
	}
	json_object_foreach((json_t *)theirs, key, v) {
		if (json_object_get(ours, key))
			continue;
		saved_len = reader_push_key(&d->path, key);
		diff_values(d, NULL, v);
		reader_pop(&d->path, saved_len);
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
		append_difference(d, ours, theirs);
}

json_t *tg_doc_diff(const json_t *ours, const json_t *theirs)
{
	struct differ d = { .differences = json_array() };

	diff_values(&d, ours, theirs);
	return d.differences;
}
