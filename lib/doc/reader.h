#ifndef TG_DOC_READER_H
#define TG_DOC_READER_H

#include "doc/doc.h"

/* Longer keys are truncated in JSON pointers, in bytes. */
#define READER_KEY_MAX 64

/*
 * struct reader - reads members of JSON values and collects findings
 * @path: JSON pointer (RFC 6901) to the value being read
 * @path_len: length of @path in bytes
 * @ints_as_reals: integers were decoded as reals because at least one of them
 *	does not fit into 64 bits
 */
struct reader {
	struct tg_findings *findings;
	char path[512];
	size_t path_len;
	bool ints_as_reals;
};

/*
 * struct int_field - integer member of an object
 * @default_value: used if the member is missing or invalid
 */
struct int_field {
	const char *key;
	int64_t min, max, default_value;
	bool required;
};

/*
 * These append a key or an index to @path and return its previous length, which
 * reader_pop() restores.
 */
size_t reader_push_key(struct reader *r, const char *key);
size_t reader_push_index(struct reader *r, size_t i);
void reader_pop(struct reader *r, size_t saved_len);
/* reader_add_finding() - report an error at @path */
void reader_add_finding(struct reader *r, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

/*
 * reader_check_object() - whether @v is an object
 * @keys: allowed keys, ends with NULL
 *
 * Each member with another key adds a finding, but does not make the call fail.
 */
bool reader_check_object(struct reader *r, const json_t *v,
			 const char *const *keys);
/*
 * reader_get_array() - get member @key, an array of at most @max items
 * @required: a missing or empty array adds a finding
 * @list: set to the member, borrowed; NULL if it is missing
 *
 * Return: the number of items to read, at most @max; 0 if the member is missing
 * or not an array.
 */
size_t reader_get_array(struct reader *r, const json_t *obj, const char *key,
			size_t max, bool required, json_t **list);
int32_t reader_get_int(struct reader *r, const json_t *obj,
		       const struct int_field *field);
bool reader_get_bool(struct reader *r, const json_t *obj, const char *key,
		     bool default_value);
/*
 * reader_get_fraction() - get member @key, a number in [0, 1)
 *
 * Return: @default_value if the member is missing or invalid.
 */
double reader_get_fraction(struct reader *r, const json_t *obj, const char *key,
			   double default_value);
/*
 * reader_copy_name() - copy the name @v to @out
 *
 * Adds a finding at @path and returns false if @v is not a valid name.
 */
bool reader_copy_name(struct reader *r, const json_t *v,
		      char out[TG_NAME_MAX + 1]);
/* reader_get_name() - copy the name in the required member @key to @out */
bool reader_get_name(struct reader *r, const json_t *obj, const char *key,
		     char out[TG_NAME_MAX + 1]);

#endif
