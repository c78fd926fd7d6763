#ifndef TGFLOWD_FENCETOKEN_H
#define TGFLOWD_FENCETOKEN_H

#include <stdbool.h>
#include <stdint.h>

/**
 * fence_shows_later_owner() - whether a call that a worker refuses for its
 * fencing token shows that there is a later owner
 * @sent: token of the call
 * @highest: highest token of this owner's calls to the worker
 *
 * A call that one with a higher token has overtaken is refused as well.
 */
bool fence_shows_later_owner(uint64_t sent, uint64_t highest);

/**
 * ping_shows_later_owner() - whether a peer knows of a later owner
 * @told: what the ping tells: the term of the owner that the peer knows, or
 *	from older versions the token in that owner's row
 * @recorded: highest token that this owner is known to have recorded
 *
 * A later owner began above all that this one recorded before.
 */
bool ping_shows_later_owner(uint64_t told, uint64_t recorded);

#endif
