/*
 * One key, two nodes and the claim log of one slot in the store.
 *
 * The store is one register with a version: its value names who holds the key
 * (0 for nobody, n + 1 for node n). A write is a message that the store may
 * apply at once, late, or never; its reply may be lost. A node may stop
 * for any time between any two steps, since the steps of all processes
 * interleave freely, and it may crash for good.
 *
 * Checked: the key runs at most once, and no state is stuck but those in which
 * both nodes have ended. Left out: groups, segments and their expiry, bodies,
 * tickets and the handover, which the stateful fuzzing of core/jwclaim covers.
 *
 * Two seeded faults have to be caught. -DTRUST_UNKNOWN: a write whose reply was
 * lost counts as written. -DLATE_RELEASE: a release goes through whatever
 * was written since, as a delete without a version would.
 */
#define NODES 2
#define TRIES 2 /* calls with the key at each node */
#define DRIFT 7 /* bound of the version */

byte version = 0;
byte owner = 0;
byte runs = 0;

/* writes in transit: at most two of each node, as a late one may be overtaken */
typedef Write {
	bit live;
	byte value;
	byte on
};
Write wire[4];

/* the store applies any pending write at any time */
active proctype store()
{
	byte i;
end:
	do
	:: atomic {
		wire[0].live -> i = 0; goto apply
	   }
	:: atomic {
		wire[1].live -> i = 1; goto apply
	   }
	:: atomic {
		wire[2].live -> i = 2; goto apply
	   }
	:: atomic {
		wire[3].live -> i = 3;
apply:
		if
#ifdef LATE_RELEASE
		:: wire[i].value == 0 && version < DRIFT ->
			version++;
			owner = 0
#endif
		:: wire[i].on == version && version < DRIFT ->
			version++;
			owner = wire[i].value
		:: else -> skip
		fi;
		wire[i].live = 0;
		i = 0
	   }
	:: atomic { /* lost on the way */
		wire[0].live -> wire[0].live = 0
	   }
	:: atomic {
		wire[2].live -> wire[2].live = 0
	   }
	od
}

/* send a write and get true, false or unknown as its result */
#define SWAP(slot, val)                                                       \
	atomic {                                                              \
		if                                                            \
		:: version == seen && version < DRIFT ->                      \
			version++; owner = val; seen = version; result = 1    \
		:: version == seen && version < DRIFT ->                      \
			version++; owner = val; result = 2 /* reply lost */   \
		:: version != seen || version == DRIFT -> result = 0          \
		:: !wire[slot].live ->                                        \
			wire[slot].live = 1; wire[slot].value = val;          \
			wire[slot].on = seen; result = 2 /* on its way */     \
		fi                                                            \
	}

proctype node(byte me)
{
	byte seen;      /* version of the view */
	byte holder;    /* holder by the view */
	byte result;
	byte tries;
	bit held;

	do
	:: tries == TRIES -> break
	:: tries < TRIES ->
		tries++;
		held = 0;
		atomic { seen = version; holder = owner }
		if
		:: holder != 0 -> goto next /* elsewhere, join or unknown: not run here */
		:: else -> skip
		fi;
claim:
		SWAP(2 * me, me + 1);
#ifdef TRUST_UNKNOWN
		if
		:: result == 2 -> result = 1
		:: else -> skip
		fi;
#endif
		if
		:: result == 1 -> held = 1
		:: result == 0 || result == 2 ->
			/* lost the swap, or uncertain: read back */
			atomic {
				if
				:: owner == me + 1 -> held = 1; seen = version
				:: owner != 0 && owner != me + 1 -> goto next
				:: owner == 0 && version < DRIFT -> seen = version; goto claim
				:: owner == 0 && version == DRIFT -> goto next
				fi
			}
		fi;
		if
		:: held ->
			if
			:: atomic { runs++; assert(runs <= 1) }; goto done
			:: goto release   /* certainly not dispatched */
			:: goto done      /* crash with the claim held */
			fi
		:: else -> goto next
		fi;
release:
			do
		:: atomic { seen = version; holder = owner }
			if
			:: holder != me + 1 -> break /* the release is in the log */
			:: holder == me + 1 && seen == DRIFT -> goto done
			:: else ->
				SWAP(2 * me + 1, 0);
				if
				:: result == 1 -> break
				:: else -> skip
				fi
			fi
		od;
next:
		skip
	od;
done:
	skip
}

init {
	atomic {
		run node(0);
		run node(1)
	}
}
