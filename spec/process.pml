/*
 * Which process of a worker runs: what the owner concludes from answers to its
 * calls and from entries in the directory (docs/platform.md, "When a worker's
 * process has ended").
 *
 * The worker restarts, at one of two addresses; another worker may listen at
 * the one that it doesn't use.  Calls are answered by whoever listens at their
 * address, and answers arrive late and in any order.  An entry may be that of
 * any earlier process.
 *
 * Checked: the owner takes a process for ended only if it has ended.
 *
 * -DANY_ANSWER: any answer of another process counts, however old the call.
 * -DHIGHER_BOOT: the same, if its boot is higher; the time of day steps.
 * -DENTRY_PROVES: an entry of another process counts.
 * -DANY_ADDRESS: another worker at any address that the owner calls counts.
 */

#define PROCESSES 4
#define CALLS 2
#define ANSWERS_MAX 3 /* counted; more make no difference to two calls */
#define NOBODY 0
#define OTHER_WORKER 9

mtype = { IDLE, SENT, ANSWERED };

/* worker: its processes in order; each has an address and a boot */
byte current = 1;
byte addr[PROCESSES + 1], boot[PROCESSES + 1];
bool shared; /* another worker listens at the other address */

/* owner */
byte known; /* process that it calls, by number; 0 if none */
byte o_addr, answers;

/* calls in progress */
mtype state[CALLS] = IDLE;
byte to[CALLS], answers_at_call[CALLS], by[CALLS];

#ifdef ANY_ANSWER
#define is_later(c) true
#else
#ifdef HIGHER_BOOT
#define is_later(c) (boot[by[c]] > boot[known])
#else
#define is_later(c) (answers_at_call[c] == answers)
#endif
#endif

#ifdef ANY_ADDRESS
#define has_answered_at(a) true
#else
#define has_answered_at(a) (answers > 0 && a == o_addr)
#endif

inline take_for_ended() { assert(known != current) }

/* Calls in progress are about the process before. */
inline turn_to(p)
{
	known = p;
	answers = 0;
	state[0] = IDLE;
	state[1] = IDLE
}

#ifdef HIGHER_BOOT
#define born(p, t) boot[p] = t
#else
#define born(p, t) skip /* no rule reads it */
#endif

active proctype worker()
{
	do
	:: atomic {
		current < PROCESSES ->
		if
		:: addr[current + 1] = 0
		:: addr[current + 1] = 1
		fi;
		if
		:: born(current + 1, 1)
		:: born(current + 1, 2)
		fi;
		current++
	}
	:: shared = !shared
	od
}

inline answer(c)
{
	if
	:: to[c] == addr[current] -> by[c] = current
	:: to[c] != addr[current] && shared -> by[c] = OTHER_WORKER
	fi;
	state[c] = ANSWERED
}

#define can_answer(c) \
	(state[c] == SENT && (to[c] == addr[current] || shared))

active proctype network()
{
	do
	:: atomic { can_answer(0) -> answer(0) }
	:: atomic { can_answer(1) -> answer(1) }
	od
}

inline receive(c)
{
	if
	:: by[c] == OTHER_WORKER ->
		state[c] = IDLE;
		if
		:: known && has_answered_at(to[c]) &&
		   answers_at_call[c] == answers ->
			take_for_ended();
			turn_to(NOBODY)
		:: else -> skip
		fi
	:: by[c] != OTHER_WORKER && (!known || by[c] == known) ->
		state[c] = IDLE;
		known = by[c];
		o_addr = to[c];
		if
		:: answers < ANSWERS_MAX -> answers++
		:: else -> skip
		fi
	:: else ->
		state[c] = IDLE;
		if
		:: is_later(c) ->
			take_for_ended();
			o_addr = to[c];
			turn_to(by[c]);
			answers = 1
		:: else -> skip
		fi
	fi;
	by[c] = NOBODY
}

inline call(c, a)
{
	to[c] = a;
	answers_at_call[c] = answers;
	state[c] = SENT
}

/* Calls go to the known address or to the one in an entry. */
active proctype owner()
{
	do
	:: atomic { state[0] == IDLE -> call(0, 0) }
	:: atomic { state[0] == IDLE -> call(0, 1) }
	:: atomic { state[1] == IDLE -> call(1, 0) }
	:: atomic { state[1] == IDLE -> call(1, 1) }
	:: atomic { state[0] == ANSWERED -> receive(0) }
	:: atomic { state[1] == ANSWERED -> receive(1) }
#ifdef ENTRY_PROVES
	:: atomic {
		/* the entry of the first process */
		known > 1 ->
		take_for_ended();
		turn_to(1)
	}
#endif
	od
}
