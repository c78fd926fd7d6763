/*
 * Fencing tokens of calls to a worker whose process is replaced, while owners
 * follow each other (docs/platform.md, "When a worker's process has ended").
 *
 * A call names the worker only.  It may be carried out late, by a later process
 * of the worker, which has seen no token at first.  A write of the owner takes
 * effect if no other owner has claimed meanwhile; its answer may come late.
 *
 * Checked: no two owners use the same token; once an owner counts the worker's
 * lists of a process as complete, that process carries out no call which was
 * sent to an earlier one; an owner gives up its term for a refused call only if
 * there is a later owner; a successor's ping always tells it of one.
 *
 * -DNO_RAISE: the next process is called with the same token.
 * -DUSE_EARLY: a higher token is used before it is recorded.
 * -DANY_LIST: a list counts that was asked for with the token before.
 * -DANY_REFUSAL: any refused call shows a later owner.
 * -DSENT_COUNTS: an owner keeps its term if it is told of a token that it has
 *	sent to the store, but may not have recorded.
 */

#ifndef OWNERS
#define OWNERS 2 /* with 3: 33.9 million states, 92 s */
#endif
#define PROCESSES 3
#define TOKENS 5
#define NOBODY 0

/* the store's row */
byte holder, row_fence, claim_fence;

/* worker */
byte process = 1, seen;

/* a call that is carried out late */
byte late_by, late_to, late_token;

/* owners: what they know, by number */
byte known[4], listed[4], token[4];
byte user[TOKENS + 2]; /* of each token */

#ifdef ANY_REFUSAL
#define is_highest(o, t) true
#else
#define is_highest(o, t) (t >= token[o])
#endif

inline use(o, t)
{
	token[o] = t;
	assert(user[t] == NOBODY || user[t] == o);
	user[t] = o
}

active proctype worker()
{
	do
	:: atomic { process < PROCESSES -> process++; seen = 0 }
	od
}

#define has_listed(o) (late_by <= (o) && listed[o] == process)

active proctype network()
{
	do
	:: atomic { late_by && late_token >= seen ->
		seen = late_token;
		/* What is sent before the first list changes nothing. */
		assert(late_to == NOBODY || late_to == process ||
		       !(has_listed(1) || has_listed(2) || has_listed(3)));
		late_by = NOBODY }
	:: atomic { late_by && late_token < seen ->
		assert(!is_highest(late_by, late_token) || holder != late_by);
		late_by = NOBODY }
	:: atomic { late_by -> late_by = NOBODY } /* lost */
	od
}

proctype owner(byte me)
{
	byte recorded, pending, asked, answered_by, link, asked_link;
	bool applied, awaits;

	atomic {
		row_fence++;
		claim_fence = row_fence;
		holder = me;
		recorded = row_fence;
		use(me, recorded)
	}
	do
	/* Lists. */
	:: atomic { !asked -> asked = token[me]; asked_link = link }
	:: atomic { asked && !answered_by && asked >= seen ->
		seen = asked; answered_by = process }
	:: atomic { asked && !answered_by && asked < seen ->
		assert(!is_highest(me, asked) || holder != me);
		if
		:: holder != me -> break
		:: else -> asked = 0
		fi }
	:: atomic { answered_by && asked_link != link ->
		answered_by = NOBODY; asked = 0 }
	:: atomic { answered_by && asked_link == link ->
		if
		:: known[me] && known[me] != answered_by ->
			listed[me] = NOBODY;
			link++;
#ifndef NO_RAISE
			if
			:: awaits -> skip
			:: !awaits && recorded > token[me] -> use(me, recorded)
			:: else -> awaits = true
			fi
#endif
		:: else
		fi;
		known[me] = answered_by;
		if
#ifdef ANY_LIST
		:: true -> listed[me] = answered_by
#else
		:: asked == token[me] && !awaits -> listed[me] = answered_by
#endif
		:: else
		fi;
		answered_by = NOBODY;
		asked = 0 }
	/* Another call. */
	:: atomic { !late_by -> late_by = me; late_to = known[me];
		late_token = token[me] }
	/* Writes. */
	:: atomic { awaits && !pending && row_fence < TOKENS ->
		pending = recorded + 1;
#ifdef USE_EARLY
		awaits = false;
		use(me, pending)
#endif
	}
	:: atomic { pending && !applied && holder == me ->
		row_fence = pending; applied = true }
	:: atomic { applied ->
		recorded = pending; pending = 0; applied = false;
		if
		:: awaits && token[me] < recorded ->
			awaits = false; use(me, recorded)
		:: else
		fi }
	:: atomic { pending && !applied && holder != me -> break }
	/* Its successor's ping: it gives up its term. */
	:: atomic { holder == me + 1 ->
#ifdef SENT_COUNTS
		assert(claim_fence > (pending -> pending : recorded));
#else
		assert(claim_fence > recorded);
#endif
		break }
	od
}

/* An owner may be replaced at any time, and goes on. */
init
{
	run owner(1);
	holder == 1;
	atomic { row_fence < TOKENS -> run owner(2) };
	holder == 2
#if OWNERS > 2
	;
	atomic { row_fence < TOKENS -> run owner(3) }
#endif
}
