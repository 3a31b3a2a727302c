/* A store that is restored from an older copy, and a node that reads it.
 *
 * A target registers as ready, renews that, and writes later that it drains. The store
 * returns to the copy that it made before, up to RETURNS times: its numbers go back and
 * are assigned again, its era rises. The target writes again that it
 * drains. The node reads over two connections, so that answers may come late and out of
 * order.
 *
 * A node that has learned that the target drains must never take it for ready again, and
 * once all is quiet it must know what the store holds.
 */

#define RETURNS 2
#define WRITES 2   /* renewals, in all */

#define COPY 1     /* the number of the copy */

byte era;
byte number = COPY; /* of the last write, which is the target's */
byte draining;     /* as the store holds it */

byte nodeEra, nodeNumber, nodeDraining; /* as the node knows */
byte copiedEra, copiedNumber;           /* of what a store that had come back held of before */
bool known;                             /* the node has learned that the target drains */
bool left;                              /* the target drains */
byte returns, writes;

chan first = [1] of { byte, byte, byte };
chan second = [1] of { byte, byte, byte };

#ifdef NO_ERA
#define earlier(e, n) (n < nodeNumber)
#else
#ifdef ANY_ANSWER
#define earlier(e, n) false
#else
#define earlier(e, n) (e < nodeEra || e == nodeEra && n < nodeNumber)
#endif
#endif

#ifdef NO_HOLD
#define holds false
#else
#define holds (e > nodeEra && nodeDraining)
#endif

inline apply() {
	if
	:: earlier(e, n) -> skip
	:: else ->
		if
		:: holds -> copiedEra = e; copiedNumber = n
		:: else -> skip
		fi;
		if
		:: e == copiedEra && n <= copiedNumber -> d = d || nodeDraining
		:: else -> skip
		fi;
		nodeEra = e; nodeNumber = n; nodeDraining = d;
		assert(!(known && !nodeDraining));
		known = known || nodeDraining
	fi;
	e = 0; n = 0; d = 0
}

active proctype platform() {
	do
	:: atomic { writes < WRITES -> writes++; number++; draining = left }
	:: atomic { !left -> left = true; draining = true; number++ }
	:: atomic { left && !draining -> draining = true; number++ }
	:: atomic { returns < RETURNS -> returns++; era++; number = COPY; draining = false }
	:: atomic { left && draining && returns == RETURNS && writes == WRITES -> break }
	od
}

active proctype node() {
	byte e, n, d;
	do
	:: atomic { nfull(first) -> first!era, number, draining }
	:: atomic { nfull(second) -> second!era, number, draining }
	:: atomic { first?e, n, d -> apply() }
	:: atomic { second?e, n, d -> apply() }
	:: atomic {
		left && draining && returns == RETURNS && writes == WRITES && empty(first) && empty(second) ->
		e = era; n = number; d = draining;
		apply();
		assert(nodeDraining == draining);
		break
	}
	od
}
