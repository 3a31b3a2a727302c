/*
 * The log of changes: core/jwcatalogue's Editor, in small.
 *
 * Three editors append a change each. Change n is a key that is created once;
 * the reply of a creation may be lost, and then the editor reads the key back.
 * Shown: an editor that gets a number as its result has its change there, no change is
 * in the log twice, and the numbers have no gap.
 *
 * NO_EDIT_ID removes the comparison of the edit id.
 */

#define EDITORS 3
#define KEYS    (EDITORS + 2)

byte owner[KEYS];          /* the editor whose change it is */
byte writes[EDITORS + 1];  /* changes of an editor in the log */

inline create(n) {
	atomic {
		won = (owner[n] == 0);
		if
		:: won ->
			assert(n == 1 || owner[n - 1] != 0);
			owner[n] = me;
			writes[me]++;
			assert(writes[me] == 1)
		:: else
		fi
	}
}

proctype Editor(byte me) {
	byte n = 1;
	bool won;
again:
	/* Read the log to its head, perhaps not the latest by the next step. */
	do
	:: owner[n] != 0 -> n++
	:: owner[n] == 0 -> break
	od;
write:
	if
	:: create(n) /* the reply arrives */
	:: goto lost /* the write itself is lost */
	:: create(n); goto lost
	fi;
	if
	:: won -> goto told
	:: else -> goto again
	fi;
lost:
	if
	:: owner[n] == 0 -> goto write
#ifdef NO_EDIT_ID
	:: owner[n] != 0 -> goto told
#else
	:: owner[n] == me -> goto told
	:: owner[n] != 0 && owner[n] != me -> goto again
#endif
	fi;
told:
	assert(owner[n] == me)
}

init {
	atomic { run Editor(1); run Editor(2); run Editor(3) }
}
