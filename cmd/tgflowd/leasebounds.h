#ifndef TGFLOWD_LEASEBOUNDS_H
#define TGFLOWD_LEASEBOUNDS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct board;
struct link;
struct tg_owner_row;

/* Rows that share the workers by a hash of their ids. */
#define LEASE_BOUND_ROWS 64
/* Of them that one write holds, besides its records. */
#define LEASE_BOUND_ROWS_PER_WRITE 6
#define LEASE_BOUND_KEY_LEN 2

/**
 * lease_bounds_open() - read what former owners have stored
 * @done: called once they are read
 */
void lease_bounds_open(struct board *b, void (*done)(struct board *b));
void lease_bounds_close(void);
/** lease_bounds_are_read() - whether that has been called */
bool lease_bounds_are_read(void);
/** lease_bounds_count() - workers that have a bound */
int lease_bounds_count(void);

/**
 * lease_bound_former_ms() - when the leases on a worker have expired, as a
 * former owner has stored it
 *
 * Return: own time; 0 if it has stored none.
 */
int64_t lease_bound_former_ms(const struct board *b, const char *worker);

/**
 * lease_is_bounded() - whether the store may have a bound of the worker's
 * leases, now or once the write in progress has taken effect
 *
 * A new owner would believe it, so no call may extend them beyond it.
 */
bool lease_is_bounded(const char *worker);

/** lease_bound_changed() - the link's worker answers, or has failed again */
void lease_bound_changed(const struct link *l);

/** lease_bounds_drop_unknown() - the next writes drop those without a link */
void lease_bounds_drop_unknown(struct board *b);

/**
 * lease_bound_process_ended() - the link turns to another process of its worker
 *
 * That may hold leases beyond the bound of the process before.
 */
void lease_bound_process_ended(const struct link *l);

/**
 * lease_bounds_next_row() - the next row that has changed, for a write
 * @key: set to its key, of up to LEASE_BOUND_KEY_LEN bytes
 *
 * Return: its value, to be freed; NULL if there is none.
 */
char *lease_bounds_next_row(struct board *b, char *key, size_t size);
/** lease_bounds_wait() - whether further rows have changed */
bool lease_bounds_wait(void);
/** lease_bounds_record() - say in the owner's row if the rows are to be used */
void lease_bounds_record(struct tg_owner_row *r);
/** lease_bounds_written() - the rows taken for the write are durable */
void lease_bounds_written(struct board *b);
/**
 * lease_bounds_not_written() - the write is given up
 *
 * A copy of it may have taken effect, so its bounds still count as stored.
 */
void lease_bounds_not_written(struct board *b);

#endif
