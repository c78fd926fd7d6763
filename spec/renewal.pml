/*
 * Renewal of all leases of a worker in one operation.
 *
 * The worker runs tasks of the gangs A and B, and may run a task C that the
 * scheduler does not know of.  Gang B loses a member elsewhere, so that it must
 * not be renewed from then on; tasks end before the scheduler knows.  Messages
 * are delayed, lost and duplicated.  The operation names the set of leases that
 * the scheduler means to renew; the digest of the contract is taken to tell
 * sets apart.  The clocks are those of lease.pml and are one here.
 *
 * Checked: no lease is renewed beyond the expiry that the scheduler has
 * recorded for it, so it may conclude from its record that the lease is gone.
 *
 * -DRENEW_ANY: the worker renews whatever it runs.
 * -DCOUNT_ONLY: the worker compares the number of leases, not their digest.
 */

#define TTL 3
#define END 4
#define A 1
#define B 2
#define C 4

byte now;
byte runs = A + B;
byte wanted = A + B; /* leases that the scheduler means to renew */
byte expiry[5], recorded[5]; /* by A, B and C */
bool c_started;

chan renew = [2] of { byte, byte }; /* set of leases, expiry */

#define number(s) ((s & 1) + (s >> 1 & 1) + (s >> 2 & 1))

#if defined(RENEW_ANY)
#define matches(s) true
#elif defined(COUNT_ONLY)
#define matches(s) (number(s) == number(runs))
#else
#define matches(s) (s == runs)
#endif

inline renew_one(x, v) {
	if
	:: (runs & x) && v > expiry[x] ->
		expiry[x] = v;
		assert(expiry[x] <= recorded[x])
	:: else
	fi
}

inline renew_all(s, v) {
	if
	:: matches(s) -> renew_one(A, v); renew_one(B, v); renew_one(C, v)
	:: else
	fi
}

inline record(x, v) {
	if
	:: (wanted & x) && v > recorded[x] -> recorded[x] = v
	:: else
	fi
}

active proctype clock()
{
	do
	:: now < END -> now++
	:: else -> break
	od
}

active proctype worker_agent()
{
	byte s, v;

end:	do
	:: atomic { renew?s, v -> renew_all(s, v) }
	:: atomic { renew?<s, v> -> renew_all(s, v) } /* a copy follows */
	:: renew?s, v /* lost */
	:: atomic { (runs & A) -> runs = runs - A }
	:: atomic { (runs & B) -> runs = runs - B }
	:: atomic { (runs & C) -> runs = runs - C }
	:: atomic { !c_started -> c_started = true; runs = runs + C }
	od
}

active proctype scheduler()
{
	do
	:: atomic {
		wanted && nfull(renew) ->
		record(A, now + TTL);
		record(B, now + TTL);
		renew!wanted, now + TTL
	   }
	/* The other member of B is lost. */
	:: atomic { (wanted & B) -> wanted = wanted - B }
	/* The end of a task is reported. */
	:: atomic { (wanted & A) && !(runs & A) -> wanted = wanted - A }
	:: now == END -> break
	od
}
