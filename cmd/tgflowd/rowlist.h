#ifndef TGFLOWD_ROWLIST_H
#define TGFLOWD_ROWLIST_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * struct row_list - list that is encoded as the value of a row of the store
 * @left: bytes that the row has for further entries
 */
struct row_list {
	json_t *entries;
	size_t left;
};

/** row_list_begin() - @row_bytes is the largest size of the row */
void row_list_begin(struct row_list *l, int64_t row_bytes);
/**
 * row_list_add() - take over @entry, and leave it out if it doesn't fit
 *
 * Return: whether it is in the list.
 */
bool row_list_add(struct row_list *l, json_t *entry);
/**
 * row_list_end() - end the list
 *
 * Return: {"NAME":[ENTRY,...]}, which the caller frees; NULL for an empty list.
 */
char *row_list_end(struct row_list *l, const char *name);

#endif
