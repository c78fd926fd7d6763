#include "storeseen.h"

#include "ownerwrites.h"

/* An owner is taken for one that reaches the store this long after a write. */
#define GAP_MAX_MS OWNER_STALE_MS

void store_seen_answer(struct store_seen *s, int64_t clock_ms,
		       int64_t called_ms, int64_t now_ms)
{
	if (!clock_ms) {
		store_seen_failure(s);
		return;
	}
	if (!s->since_clock_ms || clock_ms - s->last.clock_ms > GAP_MAX_MS)
		s->since_clock_ms = clock_ms;
	s->last = (struct tg_store_clock){
		.clock_ms = clock_ms,
		.from_ms = called_ms,
		.to_ms = now_ms,
	};
}

void store_seen_failure(struct store_seen *s)
{
	s->since_clock_ms = 0;
}

void store_seen_inherit(struct store_seen *s, const struct tg_owner_row *r)
{
	if (s->since_clock_ms && r->clock_ms && r->answered_since_clock_ms &&
	    r->answered_since_clock_ms < s->since_clock_ms &&
	    s->since_clock_ms - r->clock_ms <= GAP_MAX_MS)
		s->since_clock_ms = r->answered_since_clock_ms;
}

/* The write shows that the store answers at that time, if it takes effect. */
void store_seen_record(const struct store_seen *s, struct tg_owner_row *r,
		       int64_t now_ms)
{
	r->answered_since_clock_ms = s->since_clock_ms;
	r->clock_ms =
		s->since_clock_ms ? tg_store_clock_of(&s->last, now_ms) : 0;
}

int64_t store_seen_since_ms(const struct store_seen *s)
{
	return s->since_clock_ms ?
		tg_store_clock_latest(&s->last, s->since_clock_ms) :
		0;
}
