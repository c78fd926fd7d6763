/*
 * Leases on a worker that restarts, is cut off, and loses its owner
 * (docs/platform.md, "How long a lease may last").
 *
 * An expiry is a time on the clock of the process that the owner knows.  Another
 * process of the worker that carries out the call grants the longest lease
 * instead.  The worker may restart, be cut off and come back, answers may be
 * lost, and the owner may be replaced at any time.  One task; each step of time
 * counts all leases and bounds down.  Calls are not carried out late; fence.pml
 * has those.
 *
 * Checked: whoever takes the task's run for ended because leases have expired is
 * right.
 *
 * -DNO_LIST: the owner's row lists no workers with long leases.
 * -DRESTARTS_ONLY: it lists none for a start that is not confirmed.
 * -DUNCONFIRMED_ONLY: it lists none for a process that was new.
 * -DNOT_CARRIED: a new owner does not list what it was told.
 * -DANY_ANSWER: any answer confirms a start, whatever its clock.
 * -DUNCONFIRMED_TIMED: a start that is not confirmed may count with a time.
 * -DNOT_CARRIED_TIME: a new owner does not hand on the time for others.
 * -DONE_BOUND: leases of unconfirmed starts count as asked for.
 */

#define ASKED 2 /* steps of time that a lease lasts */
#define LONGEST 4
#define PROCESSES 4
#define OWNERS 4

/* worker */
byte process = 1, lease;
bool runs, cut;

/* owner: the process it knows, and the run of the task as it knows it */
byte known, owners = 1;
bool recorded, confirmed, ordered;
/* bounds: leases as asked for, of other processes, long ones to be listed */
byte counted, other, listed;

/* the store: the run, and the owner's row: the list or the time for others */
bool row_run, row_long;
byte row_time;

inline at_least(v, n)
{
	if
	:: v < n -> v = n
	:: else
	fi
}

/* The worker carries out a call that has an expiry. */
inline grant()
{
	if
	:: known == process -> at_least(lease, ASKED)
	:: else -> lease = LONGEST
	fi
}

inline send()
{
	at_least(counted, ASKED);
	other = LONGEST
}

/* An answer with the worker's list. */
inline list()
{
	if
	:: known != process ->
		known = process;
		counted = LONGEST;
		listed = LONGEST
	:: else
	fi;
	if
	:: runs && recorded -> confirmed = true
	:: !runs && recorded && !ordered -> recorded = false
	:: else
	fi
}

inline write()
{
	row_run = recorded;
#ifdef NO_LIST
	row_long = false
#else
#ifdef RESTARTS_ONLY
	row_long = listed
#else
#ifdef UNCONFIRMED_ONLY
	row_long = recorded && !confirmed
#else
	/* If the list is too long, the time covers all but unconfirmed starts. */
	if
	:: row_long = listed || (recorded && !confirmed); row_time = 0
#ifdef UNCONFIRMED_TIMED
	:: row_long = false; row_time = listed
#else
	:: row_long = recorded && !confirmed; row_time = listed
#endif
	fi
#endif
#endif
#endif
}

active proctype worker()
{
	do
	:: atomic { process < PROCESSES -> process++; lease = 0; runs = false }
	:: atomic { cut = !cut }
	od
}

active proctype clock()
{
	do
	:: atomic {
		if
		:: lease -> lease--
		:: else
		fi;
		runs = runs && lease;
		if
		:: counted -> counted--
		:: else
		fi;
		if
		:: other -> other--
		:: else
		fi;
		if
		:: listed -> listed--
		:: else
		fi;
		if
		:: row_time -> row_time--
		:: else
		fi }
	od
}

active proctype owner()
{
	do
	/* A poll; it renews leases once the owner knows a process. */
	:: atomic { !cut && !known -> list() }
	:: atomic { known -> send();
		if
		:: !cut -> grant(); list()
		:: !cut -> grant() /* no answer */
		:: true /* not carried out */
		fi }
	/* A start is recorded before it is ordered. */
	:: atomic { known && !recorded ->
		recorded = true; confirmed = false; ordered = true; write() }
	:: atomic { ordered -> send();
		if
		:: !cut -> runs = true; grant(); ordered = false;
			if
#ifdef ANY_ANSWER
			:: true -> confirmed = true
#else
			:: known == process -> confirmed = true
#endif
			:: true /* no answer */
			fi
		:: true -> ordered = false /* not carried out */
		fi }
	:: atomic { write() }
	/* The task is started elsewhere. */
#ifdef ONE_BOUND
	:: atomic { recorded && !ordered && !counted ->
#else
	:: atomic { recorded && !ordered && !counted && (confirmed || !other) ->
#endif
		assert(!runs); recorded = false }
	/* Another owner takes over. */
	:: atomic { owners < OWNERS ->
		owners++;
		known = 0;
		ordered = false;
		recorded = row_run;
		confirmed = !row_long;
		counted = (row_long -> LONGEST :
			(row_time > ASKED -> row_time : ASKED));
		other = LONGEST;
#ifdef NOT_CARRIED
		listed = 0;
		row_long = false
#else
#ifdef NOT_CARRIED_TIME
		listed = (row_long -> LONGEST : 0);
		row_time = 0
#else
		listed = (row_long -> LONGEST : row_time)
#endif
#endif
	}
	od
}
