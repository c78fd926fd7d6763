/*
 * Links to workers that other daemons hold under the owner's fencing token: the
 * step of docs/platform.md past one process, not built yet.
 *
 * The owner decides.  It gives the link of a worker to one of two holders under
 * a token that it raises each time, together with a permission to renew leases
 * for some time.  A holder passes orders on, renews leases, and reports lists.
 * Messages are delayed and lost, and a holder that is replaced goes on for any
 * time; the owner's write of an end may be lost.  One task is watched; it runs
 * on this worker, or is started elsewhere when it is given up here.
 *
 * Checked: no run begins while another one runs, here or elsewhere, or after an
 * end that the owner knows; no end is acknowledged before it is stored.
 *
 * -DNO_FENCE: the worker takes calls with any token.
 * -DANY_LIST: a list from before a start counts as news of it.
 * -DACK_EARLY: a holder acknowledges an end when it sees it.
 * -DRENEW_ALWAYS: a holder renews without a permission that is valid.
 */

#define TIME_MAX 4
#define PERMISSION 1 /* from the grant of a link */
#define LEASE 1 /* from a renewal */
#define TOKEN_MAX 3
#define RUN_MAX 2

mtype = { GRANT, START, POLL, ACK };

byte now;

/* worker */
byte w_token, w_run, w_done, w_highest, w_expiry;
bool w_forgot; /* its end was acknowledged */

/* owner */
byte o_token = 1, o_holder, o_granted;
byte o_run, o_run_token; /* last run ordered, and under which token */
bool o_void; /* that run never took effect, and never will */
bool o_known; /* a list under the present token has come */
bool o_done, o_stored, o_elsewhere;

chan order0 = [1] of { mtype, byte, byte }; /* token; run or time of grant */
chan order1 = [1] of { mtype, byte, byte };
chan call = [2] of { mtype, byte, byte, byte }; /* token, run, expiry */
chan list = [1] of { byte, byte, byte, byte }; /* token, run, done, highest */

#ifdef NO_FENCE
#define refused(t) false
#else
#define refused(t) (t < w_token)
#endif

#ifdef RENEW_ALWAYS
#define valid(granted) true
#else
#define valid(granted) (now <= granted + PERMISSION)
#endif

#ifdef ANY_LIST
#define is_news(t) true
#else
#define is_news(t) (t > o_run_token)
#endif

inline extend(e) {
	if
	:: e > w_expiry -> w_expiry = e
	:: else
	fi
}

/* Loses the list if the one before has not been read. */
inline report(t) {
	if
	:: nfull(list) -> list ! t, w_run, w_done, w_highest
	:: true
	fi
}

active proctype worker() {
	mtype m;
	byte t, r, e;

end:
	do
	:: atomic { call ? m, t, r, e ->
		if
		:: refused(t)
		:: else ->
			if
			:: t > w_token -> w_token = t
			:: else
			fi;
			if
			:: m == START && r > w_highest && e >= now ->
				assert(!w_run && !o_elsewhere && !o_done);
				extend(e);
				w_run = r;
				w_highest = r
			:: m == POLL -> extend(e); report(t)
			:: m == ACK && w_done -> w_forgot = true
			:: else
			fi
#ifdef ACK_EARLY
			;
			w_forgot = w_forgot || (m == POLL && w_done)
#endif
		fi;
		assert(!w_forgot || o_stored);
		m = 0; t = 0; r = 0; e = 0 }
	:: atomic { w_run && now <= w_expiry && !o_elsewhere ->
		w_done = w_run; w_run = 0 }
	:: atomic { w_run && now > w_expiry -> w_run = 0 }
	od
}

/* Passes an order on; any of them may be lost on the way. */
proctype holder(chan order) {
	mtype m;
	byte t, v, token, granted;

end:
	do
	:: atomic { order ? m, t, v ->
		if
		:: m == GRANT -> token = t; granted = v
		:: m == START && nfull(call) && valid(granted) ->
			call ! START, t, v, now + LEASE
		:: m == ACK && nfull(call) -> call ! ACK, t, 0, 0
		:: true
		fi;
		m = 0; t = 0; v = 0 }
	:: atomic { token && nfull(call) && valid(granted) ->
		call ! POLL, token, 0, now + LEASE }
	od
}

inline send(m, v) {
	if
	:: o_holder == 0 && nfull(order0) -> order0 ! m, o_token, v
	:: o_holder == 1 && nfull(order1) -> order1 ! m, o_token, v
	:: else
	fi
}

/* All leases have expired that any holder can have renewed. */
#define leases_over (now > o_granted + PERMISSION + LEASE)

active proctype owner() {
	byte t, r, d, h;

	atomic {
		run holder(order0);
		run holder(order1);
		send(GRANT, now)
	};
end:
	do
	:: atomic { list ? t, r, d, h ->
		o_known = o_known || t == o_token;
		if
		:: d && !o_elsewhere -> o_done = true
		:: !d && h < o_run && is_news(t) -> o_void = true
		:: else
		fi;
		t = 0; r = 0; d = 0; h = 0 }
	:: atomic { o_known && !o_done && !o_elsewhere && o_run < RUN_MAX &&
		    (!o_run || o_void) ->
		o_run++;
		o_run_token = o_token;
		o_void = false;
		send(START, o_run) }
	:: o_done && !o_stored -> o_stored = true
	:: atomic { o_stored -> send(ACK, 0) }
	:: atomic { o_token < TOKEN_MAX ->
		o_token++;
		o_holder = 1 - o_holder;
		o_known = false;
		o_granted = now;
		send(GRANT, now) }
	:: atomic { o_run && !o_done && !o_elsewhere && leases_over &&
		    o_token == TOKEN_MAX ->
		assert(!w_run || now > w_expiry);
		o_elsewhere = true }
	od
}

active proctype clock() {
	do
	:: now < TIME_MAX -> now++
	:: else -> break
	od
}
