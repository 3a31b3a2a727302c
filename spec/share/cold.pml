/* Shares of what a cold target bears, while a node joins and any two nodes may
 * be cut from each other.
 *
 * Nodes 0 and 1 run and have heard each other. Node 2 starts: it reads the
 * store, where all are registered, and the others read of it at any later
 * time or never. Two nodes may speak at any time unless the link between them
 * is cut, and links may be cut or mended at any time. Who believes itself the owner is
 * left open, as views differ: each may use its share, once, and all fall into one
 * window, but for what node 2 waits for.
 *
 * The bound is 6, so that halves and thirds are whole.
 */

#define N 3
#define BOUND 6

byte known[N];  /* bit i: this node counts node i */
byte heard[N];  /* bit i: this node has spoken with node i */
bool cut[9];    /* link i * N + j, i < j */
bool used[N];
byte sum;

#define bit(i) (1 << (i))
#define has(set, i) ((set & bit(i)) != 0)

inline count(n, c) {
	c = 0;
	if :: has(known[n], 0) -> c++ :: else fi;
	if :: has(known[n], 1) -> c++ :: else fi;
	if :: has(known[n], 2) -> c++ :: else fi
}

/* Whether each node that n counts has spoken with it. */
#define knownToAll(n) ((known[n] & ~bit(n) & ~heard[n]) == 0)

proctype node(byte me) {
	byte c;
	byte old;
	if
#ifdef JOIN_AT_ONCE
	:: !used[me] ->
#else
	:: knownToAll(me) ->
#ifndef NO_WAIT
		/* What was used before then leaves the window while it waits. */
		if
		:: me == 2 -> old = sum; skip; sum = sum - old
		:: else
		fi;
#endif
#endif
		atomic {
			used[me] = true;
			count(me, c);
			sum = sum + BOUND / c;
			assert(sum <= BOUND)
		}
	:: true -> skip /* it is not the owner */
	fi
}

/* Two nodes speak: from then on each counts the other. */
inline speak(i, j) {
	atomic {
		!cut[i * N + j] ->
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

/* The others read in the store that node 2 is there, sooner or later or never. */
proctype readers() {
	do
	:: known[0] = known[0] | bit(2)
	:: known[1] = known[1] | bit(2)
	:: break
	od
}

init {
	known[0] = 3; known[1] = 3; known[2] = 7;
	heard[0] = 3; heard[1] = 3; heard[2] = 4;
	atomic {
		run links(); run readers();
		run node(0); run node(1); run node(2)
	}
}
