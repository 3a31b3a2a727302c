/* Units of a quota that go from leaves up to a relay and back down.
 *
 * Each leaf refills its share, spends, gives units to the relay and claims some back.
 * Messages and answers are lost or arrive late, and leaves and the relay restart with
 * nothing. What was spent must never be more than what was refilled.
 */

#define LEAVES 2
#define MINTS 3   /* units that each leaf may mint */

byte level[LEAVES];  /* units of the leaves */
byte relay;          /* units of the relay */
byte minted[LEAVES];
byte spent;
byte total;          /* minted by all */
byte up[LEAVES];     /* units on their way to the relay; 0 for no message */
byte down[LEAVES];   /* units on their way back */
bit asked[LEAVES];   /* an answer is owed */

#ifdef GIVES_LATE
#define takeOff(i, n) skip       /* given units are taken off once the answer is there */
#define settle(i, n) level[i] = (level[i] > n -> level[i] - n : 0)
#else
#define takeOff(i, n) level[i] = level[i] - n
#define settle(i, n) skip
#endif

#ifdef REPEATS
#define lost(i) skip             /* a claim without an answer is made once more as it was */
#else
#define lost(i) asked[i] = 0; up[i] = 0
#endif

#ifdef KEEPS_GRANT
#define granted(n) skip          /* a relay takes a grant off once it knows that it arrived */
#else
#define granted(n) relay = relay - n
#endif

active [LEAVES] proctype leaf() {
	byte i = _pid;
	byte given = 0;
	do
	:: atomic { minted[i] < MINTS -> minted[i]++; level[i]++; total++ }
	:: atomic { level[i] > 0 -> level[i]--; spent++; assert(spent <= total) }
	:: atomic { /* claims, with what it doesn't need */
		!asked[i] && up[i] == 0 && down[i] == 0 ->
		asked[i] = 1;
		if
		:: level[i] > 0 -> given = 1
		:: given = 0
		fi;
		takeOff(i, given);
		up[i] = given + 1
	}
	:: atomic { /* the answer arrives */
		asked[i] && down[i] > 0 ->
		level[i] = level[i] + down[i] - 1; settle(i, given); given = 0;
		down[i] = 0; up[i] = 0; asked[i] = 0
	}
	:: atomic { asked[i] && down[i] > 0 -> down[i] = 0; lost(i) } /* the answer is lost */
	:: atomic { asked[i] && up[i] > 0 && down[i] == 0 -> lost(i) } /* the claim is lost */
	:: atomic { level[i] = 0; given = 0; up[i] = 0; down[i] = 0; asked[i] = 0 } /* starts anew */
	od
}

active proctype theRelay() {
	byte i;
	do
	:: i = 0
	:: i = 1
	:: atomic { /* a claim arrives */
		asked[i] && up[i] > 0 && down[i] == 0 ->
		relay = relay + up[i] - 1;
#ifndef REPEATS
		up[i] = 0;
#endif
		if
		:: relay > 0 -> down[i] = 2; granted(1)
		:: down[i] = 1
		fi
	}
	:: atomic { relay = 0 } /* starts anew */
	od
}
