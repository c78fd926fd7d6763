/*
 * Lease expiry: what the scheduler concludes and what the worker does.
 *
 * The worker's clock runs at the rate of the scheduler's with an unknown
 * offset; messages and replies are delayed and lost.  The worker runs the
 * task until the expiry it holds.
 *
 * Checked: when the scheduler concludes that the lease has expired, the task
 * does not run and no message in flight can make it run again.
 *
 * -DTTL_FROM_RECEIPT: the renewal carries a duration that the worker counts
 * from its receipt, instead of an instant of the worker's clock.
 */

#define TTL 3
#define OFFSET 2 /* worker's clock minus scheduler's */
#define END 9

byte now; /* scheduler's clock */
byte expiry; /* worker's clock */
bool concluded; /* the scheduler counts the task as stopped */

chan renew = [2] of { byte }; /* expiry, or a duration */
chan reply = [2] of { byte }; /* worker's clock */

#define worker_now (now + OFFSET)
#define runs (worker_now < expiry)

active proctype clock()
{
	do
	:: now < END -> now++
	:: else -> break
	od
}

active proctype worker_agent()
{
	byte v;

end:	do
	:: atomic {
		renew?v;
		if
#ifdef TTL_FROM_RECEIPT
		:: true -> v = worker_now + v
#endif
		:: true
		fi;
		if
		/* An expired lease is gone: a renewal does not restore it. */
		:: runs && v > expiry -> expiry = v
		:: else
		fi;
		assert(!(concluded && runs))
	   }
	:: atomic { nfull(reply) -> reply!worker_now }
	:: renew?v /* lost */
	od
}

active proctype scheduler()
{
	byte base_worker = OFFSET; /* worker's clock in the last reply */
	byte base_now = 0; /* when that reply came */
	byte sent_now = 0; /* base of the latest renewal that was sent */
	byte v;

	expiry = OFFSET + TTL; /* granted at time 0 */
	do
	:: atomic {
		reply?v ->
		if
		:: v > base_worker -> base_worker = v; base_now = now
		:: else
		fi
	   }
	:: reply?v /* lost */
	:: atomic {
		nfull(renew) ->
#ifdef TTL_FROM_RECEIPT
		renew!TTL;
		sent_now = now
#else
		renew!base_worker + TTL;
		sent_now = base_now
#endif
	   }
	:: atomic {
		now >= sent_now + TTL ->
		concluded = true;
		assert(!runs);
		break
	   }
	od
}
