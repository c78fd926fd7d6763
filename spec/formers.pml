/*
 * Owners that replace each other, and which of the former ones are asked whether
 * they still act; see "Which runs may exist" in docs/platform.md.
 *
 * The store's row names the former owners that are not proved to have ended.  A
 * new owner adds the one that it replaces.  It may be replaced before it has
 * asked anyone, or before it has written what it learned.
 *
 * Checked: an owner that counts leases from the end of the former owners does
 * so only when none of them can renew one any more.
 *
 * -DLAST_ONLY: the row names only the owner that was replaced.
 * -DFORGET_LEARNED: an owner that writes names nobody, proved or not.
 */

#define OWNERS 3

byte owner; /* as the store's row says */
bool acts[OWNERS + 1]; /* may renew leases */
bool row_names[OWNERS + 1];
bool names[(OWNERS + 1) * (OWNERS + 1)]; /* by owner, and the one it asks */
bool settled[OWNERS + 1];

#define NAMES(o, p) names[(o) * (OWNERS + 1) + (p)]

inline claim(o)
{
	byte c = 1;

	do
	:: c < o ->
#ifdef LAST_ONLY
		NAMES(o, c) = (c == o - 1);
#else
		NAMES(o, c) = (row_names[c] || c == o - 1);
#endif
		row_names[c] = NAMES(o, c);
		c++
	:: else -> break
	od;
	acts[o] = true;
	owner = o
}

inline write(o)
{
	byte q = 1;

	do
	:: q < o ->
#ifdef FORGET_LEARNED
		row_names[q] = false;
#else
		row_names[q] = NAMES(o, q);
#endif
		q++
	:: else -> break
	od
}

inline count_from_now(o)
{
	byte r = 1;

	do
	:: r < o && !NAMES(o, r) -> r++
	:: r < o && NAMES(o, r) -> break
	:: r == o -> settled[o] = true; break
	od
}

/* Its process ends, or it learns that it has been replaced. */
proctype former(byte me)
{
	acts[me] = false
}

proctype daemon(byte me)
{
	atomic {
		owner == me - 1;
		claim(me)
	}
	run former(me);
	do
	/* The answer of another process, or that it acts no more. */
	:: atomic { me > 1 && NAMES(me, 1) && !acts[1] -> NAMES(me, 1) = false }
	:: atomic { me > 2 && NAMES(me, 2) && !acts[2] -> NAMES(me, 2) = false }
	:: atomic { owner == me -> write(me) }
	:: atomic { !settled[me] -> count_from_now(me) }
	:: atomic { owner != me -> break }
	od
}

/* None of the former owners acts when one counts from their end. */
#define counts_too_early(o) \
	(settled[o] && ((o > 1 && acts[1]) || (o > 2 && acts[2])))

active proctype check()
{
	assert(!counts_too_early(2) && !counts_too_early(3))
}

init
{
	byte o = 1;

	atomic {
		do
		:: o <= OWNERS -> run daemon(o); o++
		:: else -> break
		od
	}
}
