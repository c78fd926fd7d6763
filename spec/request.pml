/*
 * Request claim and dispatch for one key supplied by the caller.
 *
 * Three copies of one non-idempotent request arrive at entry daemons in any
 * order and at the same time.  The table has outages and loses answers after
 * the write took effect.  A backend server may refuse, run and answer, run and
 * not answer, or not run and not answer.  Entry daemons die at any step.
 *
 * Checked: the request runs at most once; at the moment a daemon decides on
 * "not run", the request has not run; "answered" is the recorded answer.
 *
 * -DNO_CLAIM: the request is dispatched without a claim.
 * -DOUTAGE_SAYS_NOT_RUN: while the table can't be read the answer is "not run",
 * although an earlier copy may have run.
 */

#define COPIES 3

bool table_up = true;
byte claim; /* 0: absent, else the copy that wrote it */
bool recorded; /* outcome in the claim row */
byte runs;

active proctype platform()
{
end:	do
	:: table_up = false
	:: table_up = true
	od
}

inline say_not_run()
{
	atomic {
		assert(runs == 0);
		goto done
	}
}

active [COPIES] proctype copy()
{
	byte me = _pid;
	bool answer;

write:
	atomic {
		if
#ifdef NO_CLAIM
		:: goto dispatch
#else
		:: table_up && claim == 0 ->
			claim = me;
			if
			:: goto dispatch
			:: goto settle /* answer lost */
			fi
		:: table_up && claim != 0 -> goto taken
		:: table_up -> goto settle /* request lost */
#ifdef OUTAGE_SAYS_NOT_RUN
		:: !table_up -> say_not_run()
#else
		:: !table_up -> goto unknown
#endif
#endif
		fi
	}

settle: /* the same write again, with the same token */
	atomic {
		if
		:: table_up && claim == me -> goto dispatch
		:: table_up && claim != 0 && claim != me -> goto taken
		:: table_up && claim == 0 -> goto write
		:: goto unknown /* gave up: nothing is dispatched */
		fi
	}

taken:
	atomic {
		if
		:: recorded -> assert(runs == 1); goto done
		:: else -> goto unknown
		fi
	}

dispatch:
	if
	:: skip
	:: goto done /* the daemon dies */
	fi;
	if
	:: atomic { runs++; assert(runs <= 1); answer = true }
	:: atomic { runs++; assert(runs <= 1) }
	:: goto unknown /* neither run nor answered */
	:: goto refused
	fi;
	if
	:: answer && table_up -> recorded = true
	:: goto done
	:: !answer -> goto unknown
	fi;
	goto done;

refused: /* decided first, then the claim is released */
	atomic {
		assert(runs == 0);
		if
		:: table_up && claim == me -> claim = 0
		:: true
		fi;
		goto done
	}

unknown:
done:
	skip
}
