#ifndef TG_DOC_READER_H
#define TG_DOC_READER_H

#include "doc/doc.h"

/* Keys of an object are shown up to this many bytes in a pointer. */
#define READER_KEY_MAX 64

/*
 * struct reader - reads members of JSON values and collects findings
 * @path: JSON pointer of the value being read
 * @ints_as_reals: integers came as reals, because one exceeds 64 bits
 */
struct reader {
	struct tg_findings *f;
	char path[512];
	size_t len;
	bool ints_as_reals;
};

struct int_field {
	const char *key;
	int64_t min, max, def;
	bool required;
};

/* These extend the pointer; the result is passed to reader_pop(). */
size_t reader_push(struct reader *r, const char *key);
size_t reader_push_index(struct reader *r, size_t i);
void reader_pop(struct reader *r, size_t mark);
/* reader_fault() - add a finding at the pointer */
void reader_fault(struct reader *r, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

/*
 * reader_object() - whether @v is an object; its members that are not in @keys,
 * which ends with NULL, become findings
 */
bool reader_object(struct reader *r, const json_t *v, const char *const *keys);
/*
 * reader_array() - member @key as an array of at most @max items
 *
 * Return: the number of items to read, 0 if there is no such array.
 */
size_t reader_array(struct reader *r, const json_t *obj, const char *key,
		    size_t max, bool required, json_t **list);
int32_t reader_int(struct reader *r, const json_t *obj,
		   const struct int_field *field);
bool reader_bool(struct reader *r, const json_t *obj, const char *key,
		 bool def);
/* reader_share() - number in [0, 1), or @def */
double reader_share(struct reader *r, const json_t *obj, const char *key,
		    double def);
/* reader_name() - @v as a name at the present pointer */
bool reader_name(struct reader *r, const json_t *v, char out[TG_NAME_MAX + 1]);
bool reader_name_member(struct reader *r, const json_t *obj, const char *key,
			char out[TG_NAME_MAX + 1]);

#endif
