#ifndef TEST_RECORD_STORE_H
#define TEST_RECORD_STORE_H

#include "fleet.h"

/* Rows of the store that hold the progress of jobs. */

#define RECORD_ROWS_MAX 2048

struct record_row {
	char key[FLOW_PROGRESS_KEY_LEN + 1];
	char *text;
};

struct record_store {
	struct record_row rows[RECORD_ROWS_MAX];
	size_t n;
	size_t largest_bytes; /* of all rows that were written */
};

/**
 * record_store_write() - write up to @max records in one transaction
 *
 * Return: how many there were.
 */
size_t record_store_write(struct record_store *s, struct flow *f, size_t max);
/** record_store_refuse() - a transaction with up to @max records is refused */
void record_store_refuse(struct flow *f, size_t max);
/** record_store_read() - read all rows into the engine of a new owner */
void record_store_read(struct record_store *s, struct flow *f);
/** record_store_put() - a row that another process has written */
void record_store_put(struct record_store *s, const char *key,
		      const char *text);
void record_store_clear(struct record_store *s);

#endif
