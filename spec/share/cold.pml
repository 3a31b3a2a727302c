/* Shares of the rate that a cold target may get, while nodes start, the store answers
 * late, and any two nodes may be cut off from each other.
 *
 * Either nodes 0 and 1 run, are registered and have seen each other, and node 2
 * starts; or all three start at once, as after the loss of a region. A node that
 * starts knows itself only. It registers in the store at any time, and reads the
 * store at any time and any number of times, or never. Two nodes may exchange state at
 * any time unless the link between them is cut, and links may be cut or restored at
 * any time. Which node takes itself to be the owner is left open, as views differ: each
 * may use its share, once, and all uses fall into one window, except those that a node
 * that starts has waited out. Registrations don't expire here; docs/PLATFORM.md bounds
 * what two cuts in a row do.
 *
 * The bound is 6, so that halves and thirds are whole.
 */

#define N 3
#define BOUND 6

byte known[N];  /* bit i: this node counts node i */
byte heard[N];  /* bit i: this node has spoken with node i */
byte stored;    /* bit i: node i is registered in the store */
byte listed;    /* bit i: node i has read its own registration */
byte started;   /* bit i: node i starts during the run */
bool cut[9];    /* link i * N + j, i < j */
byte used[N];   /* what each used within the window */
byte spent;     /* bit i: node i has used its share, in or out of the window */

#define bit(i) (1 << (i))
#define has(set, i) ((set & bit(i)) != 0)

inline count(n, c) {
	c = 0;
	if :: has(known[n], 0) -> c++ :: else fi;
	if :: has(known[n], 1) -> c++ :: else fi;
	if :: has(known[n], 2) -> c++ :: else fi
}

/* Whether each node that n counts has exchanged state with it. */
#define spoken(n) ((known[n] & ~bit(n) & ~heard[n]) == 0)

#ifdef NOT_LISTED
#define knownToAll(n) spoken(n)
#else
#define knownToAll(n) (has(listed, n) && spoken(n))
#endif

proctype node(byte me) {
	byte c;
	byte old;
	byte met;
	do
	:: true -> goto done /* it is not the owner */
#ifdef JOIN_AT_ONCE
	:: has(listed, me) -> goto use
#else
	:: knownToAll(me) ->
#ifdef NO_WAIT
		goto use
#else
		if
		:: !has(started, me) -> goto use
		:: else
		fi;
		/* What was used before then leaves the window while it waits, anew for
		 * each node that it gets to know. */
		atomic { old = spent; met = heard[me] };
		skip;
		atomic {
			if
			:: heard[me] == met && knownToAll(me) ->
				if :: has(old, 0) -> used[0] = 0 :: else fi;
				if :: has(old, 1) -> used[1] = 0 :: else fi;
				if :: has(old, 2) -> used[2] = 0 :: else fi;
				goto use
			:: else
			fi
		}
#endif
#endif
	od;
use:
#ifdef WRITE_LATE
	count(me, c);
#endif
	atomic {
#ifndef WRITE_LATE
		count(me, c);
#endif
		used[me] = BOUND / c;
		spent = spent | bit(me);
		assert(used[0] + used[1] + used[2] <= BOUND)
	}
done:
	skip
}

/* Two nodes exchange state, once one knows the other: from then on each counts the other. */
inline speak(i, j) {
	atomic {
		!cut[i * N + j] && (has(known[i], j) || has(known[j], i)) ->
		known[i] = known[i] | bit(j); heard[i] = heard[i] | bit(j);
		known[j] = known[j] | bit(i); heard[j] = heard[j] | bit(i)
	}
}

proctype links() {
	do
	:: speak(0, 1)
	:: speak(0, 2)
	:: speak(1, 2)
	:: cut[1] = !cut[1]
	:: cut[2] = !cut[2]
	:: cut[5] = !cut[5]
	:: break
	od
}

/* A node reads the store: all registrations that stand, its own too. */
inline read(i) {
	atomic {
		known[i] = known[i] | stored;
		listed = listed | (stored & bit(i))
	}
}

/* The store answers sooner or later or never. */
proctype store() {
	do
	:: stored = stored | bit(0)
	:: stored = stored | bit(1)
	:: stored = stored | bit(2)
	:: read(0)
	:: read(1)
	:: read(2)
	:: break
	od
}

init {
	known[0] = 1; known[1] = 2; known[2] = 4;
	if
	:: started = 4;
		known[0] = 3; known[1] = 3;
		heard[0] = 3; heard[1] = 3;
		stored = 3; listed = 3
	:: started = 7
	fi;
	atomic {
		run links(); run store();
		run node(0); run node(1); run node(2)
	}
}
