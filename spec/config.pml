/*
 * Generations of the configuration document.
 *
 * Two operators save from the generation that they loaded.  Two daemons learn
 * of generations by polling the table and by pushes that are delayed,
 * reordered and duplicated.
 *
 * Checked: a daemon never applies an older generation after a newer one, and
 * each accepted save is the only one of its generation.
 *
 * -DNO_CAS: a save does not require the generation that was loaded.
 * -DAPPLY_ANY: a daemon applies whatever generation arrives.
 */

#define SAVES 2 /* by each operator */

byte generation; /* table row config/current */
byte author; /* writer of the current generation */
byte applied[2];

chan push[2] = [3] of { byte };

active [2] proctype operator()
{
	byte me = _pid + 1;
	byte loaded, n;

	do
	:: n < SAVES ->
		loaded = generation;
		n++;
		atomic {
			if
#ifdef NO_CAS
			:: true ->
#else
			:: generation == loaded ->
#endif
				/* A save over a generation that was not loaded
				 * drops what its author wrote. */
				assert(generation == loaded);
				generation = loaded + 1;
				author = me;
				if
				:: nfull(push[0]) -> push[0]!generation
				:: true
				fi;
				if
				:: nfull(push[1]) -> push[1]!generation
				:: true
				fi
#ifndef NO_CAS
			:: else -> skip /* refused with the difference */
#endif
			fi
		}
	:: else -> break
	od
}

inline apply(g)
{
	if
#ifdef APPLY_ANY
	:: true ->
#else
	:: g > applied[i] ->
#endif
		assert(g >= applied[i]);
		applied[i] = g;
		/* The daemon passes a new generation on to its peer. */
		if
		:: nfull(push[1 - i]) -> push[1 - i]!g
		:: true
		fi
#ifndef APPLY_ANY
	:: else -> skip
#endif
	fi
}

active [2] proctype daemon()
{
	byte i = _pid - 2;
	byte g;

end:	do
	:: atomic { push[i]?g -> apply(g) }
	:: atomic { push[i]?g -> skip } /* lost */
	:: atomic { len(push[i]) > 1 -> push[i]?g; push[i]!g } /* reordered */
	:: atomic { g = generation } ; atomic { apply(g) } /* poll */
	od
}
