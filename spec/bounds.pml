/*
 * Bounds of leases that owners store for the next one (docs/platform.md, "What
 * the next owner knows of silent workers").
 *
 * Calls and answers may be lost, and one call at a time may arrive a step later,
 * at the next process as well, which grants the longest lease.  A write without
 * an answer is repeated unchanged; the store may refuse a copy for good after
 * another one took effect.  A former owner may go on until the next step of
 * time.  Owner 2 may be of an older version.  One run of one task.  restart.pml
 * has the list of long leases, formers.pml who is asked for the former's end.
 *
 * Checked: whoever takes the run for ended because leases have expired is right.
 * A bound that is not handed on only costs time: the next owner counts longer.
 *
 * -DRENEW_STORED: an owner renews while a bound is stored.
 * -DSTART_STORED: it sends a start while a bound is stored.
 * -DREMOVE_UNCONFIRMED: it renews before the removal of a bound is durable.
 * -DTAKE_LATE: it renews until a write with a bound is durable.
 * -DREFUSED_FREES: it renews once a copy of such a write is refused for good.
 * -DOWN_ONLY: a bound counts the owner's own calls only.
 * -DOLD_VERSION: bounds count that an older version has not kept to.
 */
#define ASKED 1 /* steps of time that a lease lasts */
#define LONGEST 2
#define LONG_END (LONGEST + 1) /* after a call that arrives a step later */
#define OWNERS 3
#define NONE 7

byte process = 1, lease, seen; /* seen: owner whose token the worker knows */
byte late_owner, late_process, late; /* call under way; steps until it is lost */
byte owner = 1, ordered; /* ordered: the owner that has yet to send the start */
byte known[OWNERS + 1];
bool acts[OWNERS + 1], holds[OWNERS + 1]; /* holds: a bound may be stored */
bool runs, late_start, old, silent, recorded, confirmed, durable, over;
bool clean = true; /* rows that an older version left are emptied */
byte counted, other, listed, former, own;
/* a write: 1 not in effect, 2 in effect, 3 also refused; and the store */
byte writing, w_bound, s_bound = NONE;
bool w_run, w_long, w_says, w_held, s_run, s_long, s_says = true;

#define MAX(a, b) ((a) > (b) -> (a) : (b))
#define MIN(a, b) ((a) < (b) -> (a) : (b))
#define LESS(v) (v && v != NONE -> v - 1 : v)
#ifdef OWN_ONLY
#define COUNT own
#else
#define COUNT (recorded && !confirmed -> MAX(other, counted) : counted)
#endif
#ifdef RENEW_STORED
#define MAY_RENEW(o) true
#else
#define MAY_RENEW(o) !holds[o]
#endif
#ifdef START_STORED
#define MAY_START(o) true
#else
#define MAY_START(o) !holds[o]
#endif
#ifdef OLD_VERSION
#define CLEAN true
#else
#define CLEAN s_says
#endif

inline set_late(o, p, n, start)
{
	late_owner = o; late_process = p; late = n; late_start = start
}

inline end_former(o)
{
	acts[o] = false; known[o] = 0; holds[o] = false;
	ordered = (ordered == o -> 0 : ordered)
}

/* The worker carries out a call, unless it has seen a higher token. */
inline grant(o, p, expiry, start)
{
	if
	:: o >= seen -> seen = o;
		lease = (p == process -> MAX(lease, expiry) : LONGEST);
		runs = lease && (runs || start)
	:: else
	fi
}

/* A list of the worker's runs, under the present owner's token. */
inline list()
{
	seen = owner; silent = false;
	if
	:: known[owner] != process ->
		over = recorded && confirmed && known[owner];
		known[owner] = process;
		counted = LONGEST; own = LONGEST; listed = LONGEST;
		set_late(0, 0, 0, false)
	:: else
	fi;
	confirmed = confirmed || (recorded && runs);
	over = over || (recorded && durable && !runs && ordered != owner && !late_start)
}

inline send(o, start)
{
	counted = (o == owner -> MAX(counted, ASKED) : counted);
	own = (o == owner -> MAX(own, ASKED) : own);
	other = (o == owner -> LONG_END : other);
	if
	:: grant(o, known[o], ASKED, start);
		if
		:: o == owner && known[o] == process -> confirmed = confirmed || start; list()
		:: silent = silent || o == owner
		fi
	:: !late_owner -> set_late(o, known[o], ASKED + 1, start); silent = silent || o == owner
	:: silent = silent || o == owner
	fi
}

/* What a write holds.  A bound is kept to from now on. */
inline collect()
{
	w_run = recorded; w_long = listed || (recorded && !confirmed);
	w_says = clean && !old; w_held = holds[owner];
	w_bound = (old -> s_bound : NONE);
	w_bound = (w_says && (silent || (w_held && !known[owner])) -> MIN(s_bound, COUNT) : w_bound);
#ifndef TAKE_LATE
	holds[owner] = w_held || (w_says && w_bound != NONE);
#endif
#ifdef REMOVE_UNCONFIRMED
	holds[owner] = holds[owner] && w_bound != NONE;
#endif
	writing = 1
}

inline written()
{
	holds[owner] = w_says && w_bound != NONE;
	ordered = (w_run && !durable -> owner : ordered);
	durable = w_run; clean = true; writing = 0
}

inline claim()
{
	if
	:: writing == 2 -> written() /* the answer comes after the claim */
	:: true
	fi;
	owner++; acts[owner] = true; writing = 0; w_bound = NONE;
	if
	:: owner == 2 -> old = true
	:: old = false
	fi;
	recorded = s_run; durable = s_run; confirmed = !s_long;
	silent = false; own = 0; former = 1;
	counted = former + (s_long -> LONG_END : ASKED);
	other = former + LONG_END; listed = (s_long -> counted : 0);
	clean = CLEAN; s_says = s_says && !old;
	holds[owner] = !old && clean && s_bound != NONE;
	counted = (holds[owner] -> MIN(counted, s_bound) : counted);
	other = (holds[owner] -> MIN(other, s_bound) : other)
}

/* All leases and bounds are counted down, and former owners have ended. */
inline step()
{
	lease = LESS(lease); runs = runs && lease; late = LESS(late);
	counted = LESS(counted); other = LESS(other); listed = LESS(listed);
	former = 0; own = LESS(own); s_bound = LESS(s_bound); w_bound = LESS(w_bound);
	for (o : 1 .. owner - 1) { end_former(o) }
	o = 0;
	late_owner = (late -> late_owner : 0);
	late_process = (late -> late_process : 0);
	late_start = late_start && late
}

active proctype site()
{
	byte o;

	acts[1] = true;
	do
	:: over -> break
	:: atomic { !over && process == 1 -> process = 2; lease = 0; runs = false; seen = 0 }
	:: atomic { !over -> step() }
	:: atomic { !over && late_owner ->
		grant(late_owner, late_process, late - 1, late_start); set_late(0, 0, 0, false) }
	:: atomic { !over -> list() } /* a poll without an expiry */
	:: atomic { !over -> silent = true }
	:: atomic { !over -> select (o : 1 .. owner);
		if
		:: acts[o] && known[o] && MAY_RENEW(o) && !(o == owner && silent) -> send(o, false)
		:: acts[o] && known[o] && MAY_START(o) && ordered == o -> ordered = 0; send(o, true)
		:: o < owner -> end_former(o)
		:: ordered == owner -> ordered = 0 /* the start is given up */
		:: else
		fi; o = 0 }
	/* A run is ordered once the write that records it is durable. */
	:: atomic { !over && !recorded && known[owner] && !silent && !holds[owner] ->
		recorded = true; confirmed = false; durable = false }
	:: atomic { !over && !writing -> collect() }
	:: atomic { !over && writing == 1 -> writing = 2;
		s_run = w_run; s_long = w_long; s_says = w_says; s_bound = w_bound }
	:: atomic { !over && writing == 2 -> written() }
	/* A copy is refused for good. */
	:: atomic { !over && (writing == 1 || writing == 2) -> writing = (writing == 2 -> 3 : 0);
#ifdef REFUSED_FREES
		holds[owner] = w_held
#endif
	}
	:: atomic { !over && owner < OWNERS -> claim() }
	/* The former owners' end is proved. */
	:: atomic { !over && former && !known[owner] && !(owner > 1 && acts[1]) && !(owner > 2 && acts[2]) ->
		counted = MIN(counted, (listed -> LONG_END : ASKED));
		other = MIN(other, LONG_END); former = 0 }
	:: atomic { !over && recorded && durable && silent && ordered != owner && !counted &&
		(confirmed || !other) -> assert(!runs); over = true }
	od
}
