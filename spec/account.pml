/*
 * Renewals on a worker that only one of two scheduler daemons reaches.
 *
 * The active scheduler has lost the worker: its calls may arrive, their replies
 * don't.  The other daemon, a former active scheduler or a standby, reaches the
 * worker and may renew the lease of attempt 1.  It reads the row or hears of
 * epochs by pings at any time or never, and may end.  Messages are delayed
 * without limit; a lost one does no more than one that is not sent.  Clocks have
 * one rate; lease.pml covers expiry by different clocks.
 *
 * Checked: attempt 2 starts only when attempt 1 does not run, nor ever again.
 *
 * -DNO_ACCOUNT: the active scheduler goes by its own renewals alone.
 * -DSEND_RAISED: the raised epoch is sent to the worker that has not answered.
 * -DVOUCH_AT_ONCE: pings show the known epoch before renewals under a lower one
 *	have expired.
 * -DEND_AT_ONCE: the last renewals of a process that ended are not waited for.
 * -DNO_LIMIT: the other daemon renews without limit since its last read.
 */

#define TTL 2
#define LIMIT 1 /* outage_renewal_max_ms */
#define END 6
#define EPOCHS 3

byte now;
byte row = 1; /* epoch in the table */

byte installed = 1; /* at the worker */
byte expiry = TTL; /* of attempt 1 */
bool second; /* attempt 2 runs */
byte sent = 1; /* highest epoch in a call of the active scheduler */
byte shown = 1; /* in pings of the other daemon */
bool ended; /* the other daemon */

chan renew = [1] of { byte, byte }; /* epoch, expiry */

#define runs (now < expiry)

#ifdef NO_LIMIT
#define within_limit true
#else
#define within_limit (now <= read + LIMIT)
#endif

#ifdef END_AT_ONCE
#define end_accounted saw_end
#else
#define end_accounted (saw_end && now >= end_at + TTL)
#endif

#ifdef VOUCH_AT_ONCE
#define may_show true
#else
#define may_show (!low || now >= low - 1 + TTL)
#endif

#ifdef NO_ACCOUNT
#define accounted true
#else
#define accounted (raised && (shown >= raised || end_accounted || \
			      now >= raised_at + LIMIT + TTL))
#endif

active proctype clock()
{
	do
	:: now < END && !second -> now++
	:: else -> break
	od
}

active proctype worker_agent()
{
	byte e, x;

end:	do
	:: atomic {
		renew?e,x;
		if
		:: e >= installed && runs ->
			installed = e;
			if
			:: x > expiry -> expiry = x
			:: else
			fi
		:: else
		fi;
		assert(!(second && runs));
		e = 0;
		x = 0
	   }
	/* A call of the active scheduler arrives, however late. */
	:: atomic { installed < sent && !second -> installed++ }
	od
}

active proctype other()
{
	byte known = 1;
	byte read = 0; /* last read of the row */
	byte base = 0; /* worker's clock in its last reply */
	byte seen = 0; /* epoch in that reply; 0: none since the last renewal */
	byte last = 0; /* last renewal, plus 1; 0: none */
	byte low = 0; /* the last under less than known, plus 1; 0: none */

end:	do
	:: atomic {
		/* reads the row, or hears of its epoch by a ping */
		!second ->
		if
		:: read = now
		:: true
		fi;
		if
		:: row > known ->
			known = row;
			low = last
		:: else
		fi
	   }
	:: atomic { !second -> base = now; seen = installed }
	:: atomic {
		!second && nfull(renew) && seen == known && within_limit ->
		renew!seen,base + TTL;
		last = now + 1;
		seen = 0;
		base = 0
	   }
	:: atomic { !second && shown < known && may_show -> shown = known; low = 0 }
	:: atomic { !second -> ended = true; break }
	od
}

active proctype scheduler()
{
	byte epoch = 1;
	byte raised = 0; /* epoch that the worker can't have */
	byte raised_at = 0;
	byte end_at = 0;
	bool saw_end;

end:	do
	:: atomic {
		!raised && epoch < EPOCHS ->
		epoch++;
		row = epoch;
		raised_at = now
	   }
	:: atomic { !raised && sent < epoch -> sent = epoch }
	:: atomic { !raised && epoch > sent -> raised = epoch }
#ifdef SEND_RAISED
	:: atomic { raised && sent < epoch -> sent = epoch }
#endif
	:: atomic {
		/* the instance list, read after the epoch was raised, lacks it */
		raised && ended && !saw_end ->
		saw_end = true;
		end_at = now
	   }
	:: atomic {
		now >= TTL && accounted ->
		second = true;
		assert(!runs);
		break
	   }
	od
}
