/*
 * Starts of one task by owners of which each replaces the one before, while the
 * former ones live on; see "Which runs may exist" in docs/platform.md.
 *
 * Start orders are delayed and lost.  An owner may be cut off from a worker for
 * as long as it lasts: nothing below has to happen.  A new owner reads the
 * record after its claim; from then on writes of former owners fail.
 *
 * Checked: the task never runs on two workers.
 *
 * -DSTART_FIRST: a start is ordered before it is recorded.
 * -DNO_FENCE: workers carry out orders of former owners.
 * -DIGNORE_RECORD: a recorded run on a worker that has sent no list counts as
 *	ended.
 * -DNO_STOP_WAIT: a run that is not listed counts as ended at once.
 * -DSTOP_PLANNED: a run that is recorded only as planned is stopped.
 */

#define OWNERS 3
#define WORKERS 2

/* Run of the task on a worker.  A list names it only while it is RUNS. */
#define NONE 0
#define RUNS 1
#define STOPS 2

/* What an owner knows of the task. */
#define FREE 0
#define RECORDED 1 /* its own record is durable; no order sent */
#define PLANNED 2 /* the same, recorded as planned */
#define ORDERED 3 /* recorded and ordered */
#define FROM_PLAN 4 /* ordered, recorded as planned */
#define READ 5 /* record of a former owner */
#define READ_PLAN 6 /* the same, recorded as planned */
#define UNLISTED 7 /* its worker doesn't list it; it may be stopping */

byte holder; /* the store's row: who may write */
byte record_on; /* worker that the record names; 0 for none */
bool record_planned;
byte task_on[WORKERS + 1];
byte fence[WORKERS + 1];
byte muted; /* owners up to this one wrote too long ago to order anything */
bool order[(OWNERS + 1) * (WORKERS + 1)]; /* in flight, by owner and worker */

#define ORDER(o, w) order[(o) * (WORKERS + 1) + (w)]
#ifdef NO_FENCE
#define accepts(w, o) true
#else
#define accepts(w, o) (fence[w] <= (o))
#endif
#define may_write (holder == me)
#define may_order (me > muted)

inline write(w, planned)
{
	record_on = w;
	record_planned = planned
}

inline deliver(o, w)
{
	ORDER(o, w) && accepts(w, o);
	ORDER(o, w) = false;
	if
	:: fence[w] < o -> fence[w] = o
	:: else
	fi;
	if
	:: task_on[w] == NONE -> task_on[w] = RUNS
	:: else
	fi;
	assert(task_on[1] == NONE || task_on[2] == NONE)
}

/* A list under the owner's fence: what it shows of the run on @on. */
inline apply_list()
{
	accepts(on, me);
	fence[on] = me;
	if
	:: task_on[on] == RUNS ->
		if
		:: view == READ -> view = ORDERED
		:: view == READ_PLAN -> view = FROM_PLAN
		:: else
		fi
	:: task_on[on] != RUNS && view == READ -> view = UNLISTED
	:: task_on[on] != RUNS && view == READ_PLAN -> view = FREE
	:: task_on[on] == NONE && view == ORDERED && !ORDER(me, on) ->
		view = FREE
	:: else
	fi
}

/*
 * So much time has passed since the claim that former owners order nothing any
 * more, and that all leases on the worker have expired, those of orders that are
 * still on their way included.
 */
inline expire_leases()
{
	task_on[on] = NONE;
	if
	:: muted < me - 1 -> muted = me - 1
	:: else
	fi;
	o = 1;
	do
	:: o <= me -> ORDER(o, on) = false; o++
	:: else -> break
	od;
	o = 0;
	view = FREE
}

proctype owner(byte me)
{
	byte view = FREE, on, o;

	atomic {
		/* The claim, and what is read after it. */
		holder = me;
		on = record_on;
		if
		:: on && record_planned -> view = READ_PLAN
		:: on && !record_planned -> view = READ
		:: else
		fi
#ifdef IGNORE_RECORD
		;
		view = FREE
#endif
	}
	do
	:: atomic { view == FREE -> select(on : 1 .. WORKERS) };
		if
		:: atomic { may_write -> write(on, false); view = RECORDED }
		:: atomic { may_write -> write(on, true); view = PLANNED }
#ifdef START_FIRST
		:: atomic { may_order -> ORDER(me, on) = true;
			view = ORDERED }
#endif
		:: !may_write -> break
		fi
	:: atomic { view == RECORDED && may_order ->
		ORDER(me, on) = true; view = ORDERED }
	:: atomic { view == PLANNED && may_order ->
		ORDER(me, on) = true; view = FROM_PLAN }
	:: atomic { view == PLANNED && may_write -> view = FREE }
	:: atomic { view == FROM_PLAN && may_write ->
		write(on, false); view = ORDERED }
	:: atomic { view != FREE -> apply_list() }
	:: atomic { view == ORDERED && !ORDER(me, on) && accepts(on, me) &&
		task_on[on] == RUNS -> fence[on] = me; task_on[on] = STOPS }
#ifdef STOP_PLANNED
	:: atomic { view == FROM_PLAN && accepts(on, me) && task_on[on] == RUNS ->
		fence[on] = me; task_on[on] = STOPS }
#endif
	/* The longest time of a stop has passed. */
	:: atomic { view == UNLISTED ->
		if
		:: task_on[on] == STOPS -> task_on[on] = NONE
		:: else
		fi;
		view = FREE }
#ifdef NO_STOP_WAIT
	:: atomic { view == UNLISTED -> view = FREE }
#endif
	:: atomic { view != FREE && may_write -> expire_leases() }
	:: break
	od
}

active proctype worker()
{
	byte o, w;

end:	do
	:: atomic { select(o : 1 .. OWNERS); select(w : 1 .. WORKERS);
		if
		:: deliver(o, w)
		:: ORDER(o, w) -> ORDER(o, w) = false /* lost, or refused */
		:: else
		fi }
	:: atomic { task_on[1] == STOPS -> task_on[1] = NONE }
	:: atomic { task_on[2] == STOPS -> task_on[2] = NONE }
	od
}

/* An owner may be replaced at any time, and goes on. */
init
{
	run owner(1);
	holder == 1;
	run owner(2);
	holder == 2;
	run owner(3)
}
