/*
 * Scheduler epochs and gang start.
 *
 * Two scheduler processes of one AZ take the table row in turn and start a
 * gang of two tasks on two workers.  Any command may be delayed or lost, and
 * COPIES of them arrive a second time at any later moment; a scheduler may be
 * paused at any step.  Clocks are not
 * modelled: leases never expire here (lease.pml covers expiry).
 *
 * Checked: no two attempts of the job run at the same time, and a scheduler
 * that has started the whole gang and still owns the table row is right that
 * the whole gang runs.
 *
 * -DNO_FENCE: workers accept commands of an older epoch.
 * -DREUSE_ATTEMPT: an attempt number that was reserved but not committed is
 * used again under the same epoch.
 */

#define WORKERS 2
#define FREE 0 /* states of a lease; workers start without one */
#define RESERVED 1
#define RUNNING 2
#define EPOCHS 2 /* terms that the table row sees */
#define TRIES 1 /* reservations tried within a term */
#define COPIES 1 /* commands that arrive twice, the second time late */

mtype = { INSTALL, RESERVE, START, STOP };

typedef worker {
	byte epoch; /* highest installed */
	byte attempt;
	byte state
};

worker w[WORKERS];

byte row_epoch; /* table: sched/AZ */
byte row_attempt; /* table: committed attempt of the job */
byte copies;
mtype late[WORKERS]; /* the copy in the network, for one worker */
byte late_epoch, late_attempt, late_from;
byte whole_epoch; /* a scheduler of this epoch believes that the gang runs */

/* One channel for each scheduler and worker: command, epoch, attempt. */
chan cmd[4] = [2] of { mtype, byte, byte };
/* Reply: command and attempt it answers, accepted, attempt and state held. */
chan rep[4] = [1] of { mtype, byte, bool, byte, byte };

inline serve(si, sc, se, sa)
{
	ok = true;
	if
#ifndef NO_FENCE
	:: se < w[si].epoch -> ok = false
#endif
	:: else ->
		w[si].epoch = (se > w[si].epoch -> se : w[si].epoch);
		if
		:: sc == INSTALL -> skip
		:: sc == RESERVE ->
			if
			:: w[si].state == FREE ->
				w[si].state = RESERVED;
				w[si].attempt = sa
			:: else -> ok = (w[si].attempt == sa)
			fi
		:: sc == START ->
			if
			:: w[si].attempt == sa && w[si].state != FREE ->
				w[si].state = RUNNING
			:: else -> ok = false
			fi
		:: sc == STOP ->
			if
			:: w[si].attempt == sa ->
				w[si].state = FREE;
				w[si].attempt = 0
			:: else -> skip
			fi
		fi
	fi
}

/* A reply that nobody awaits is as good as lost. */
inline answer()
{
	serve(i, c, e, a);
	if
	:: nfull(rep[s * 2 + i]) ->
		rep[s * 2 + i]!c, a, ok, w[i].attempt, w[i].state
	:: full(rep[s * 2 + i])
	fi
}

active [WORKERS] proctype worker_agent()
{
	byte i = _pid;
	byte s;
	mtype c;
	byte e, a;
	bool ok;

end:	do
	:: atomic { nempty(cmd[i]) -> s = 0; goto take }
	:: atomic { nempty(cmd[2 + i]) -> s = 1; goto take }
	:: atomic {
		late[i] != 0 ->
		c = late[i]; e = late_epoch; a = late_attempt; s = late_from;
		late[i] = 0; late_epoch = 0; late_attempt = 0; late_from = 0;
		goto take_late
	   }
	od;
take:
	atomic {
		if
		:: cmd[s * 2 + i]?c, e, a
		:: copies < COPIES && !late[0] && !late[1] ->
			/* The network keeps a copy that arrives later. */
			cmd[s * 2 + i]?c, e, a;
			copies++;
			late[i] = c;
			late_epoch = e;
			late_attempt = a;
			late_from = s
		fi
	};
take_late:
	atomic {
		answer();
		c = 0; e = 0; a = 0; ok = false; s = 0;
		assert(!(w[0].state == RUNNING && w[1].state == RUNNING &&
			 w[0].attempt != w[1].attempt));
		assert(!(whole_epoch && whole_epoch == row_epoch &&
			 (w[0].state != RUNNING || w[1].state != RUNNING)))
	}
	goto end
}

/* Sends a command and waits for its reply or gives up. */
inline call(ci, cc, ca)
{
	atomic {
		if
		:: nfull(cmd[me * 2 + ci]) -> cmd[me * 2 + ci]!cc, epoch, ca
		:: full(cmd[me * 2 + ci]) -> skip
		fi
	};
	do
	:: atomic {
		rep[me * 2 + ci]?rc, ra, got, held, state ->
		if
		:: rc == cc && ra == ca -> rc = 0; ra = 0; break
		:: else -> rc = 0; ra = 0 /* of an earlier command */
		fi
	   }
	:: atomic { got = false; held = 0; state = FREE; break }
	od
}

active [2] proctype scheduler()
{
	byte me = _pid - WORKERS;
	byte epoch, attempt, held, held0, i, tries;
	byte state, ra;
	mtype rc;
	bool got, complete;

	atomic { row_epoch < EPOCHS -> row_epoch++; epoch = row_epoch };

	/* Install the epoch; the replies are the inventory. */
	call(0, INSTALL, 0);
	if :: !got -> goto down :: else fi;
	held0 = held;
	call(1, INSTALL, 0);
	if :: !got -> goto down :: else fi;

	complete = (held0 == held && held && held == row_attempt);
	attempt = row_attempt;
	if
	:: held0 > attempt -> attempt = held0
	:: else
	fi;
	if
	:: held > attempt -> attempt = held
	:: else
	fi;
	if
	:: complete -> goto start
	:: else
	fi;

	/* Anything that is not a complete committed gang is stopped first. */
	if
	:: held0 -> call(0, STOP, held0); if :: !got -> goto down :: else fi
	:: else
	fi;
	if
	:: held -> i = held; call(1, STOP, i); if :: !got -> goto down :: else fi
	:: else
	fi;
#ifdef REUSE_ATTEMPT
	attempt = row_attempt;
#endif

again:
	if
	:: tries == TRIES -> goto down
	:: else -> tries++
	fi;
#ifdef REUSE_ATTEMPT
	attempt = row_attempt + 1;
#else
	attempt++;
#endif
	call(0, RESERVE, attempt);
	if :: !got -> goto release :: else fi;
	call(1, RESERVE, attempt);
	if :: !got -> goto release :: else fi;

	/* Commit: the transaction requires the row of this epoch. */
	atomic {
		if
		:: row_epoch == epoch && attempt > row_attempt ->
			row_attempt = attempt
		:: else -> goto down
		fi
	};

start:
	i = 0;
	call(0, START, attempt);
	if :: !got -> goto stop :: else fi;
	call(1, START, attempt);
	if :: !got -> goto stop :: else fi;
	atomic {
		if
		:: row_epoch == epoch -> whole_epoch = epoch
		:: else
		fi
	};
	goto down;

stop:
release:
	call(0, STOP, attempt);
	if :: !got -> goto down :: else fi;
	call(1, STOP, attempt);
	if :: !got -> goto down :: else fi;
	goto again;
down:
	skip
}
