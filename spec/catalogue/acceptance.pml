/*
 * Acceptance of catalogue changes: core/jwcatalogue, in small.
 *
 * One region with three nodes. Node 0 gathers the confirmations. Node 1 is a
 * member that may die and restart under its name. Node 2 joins, by the service
 * or, behind a network partition, with node 1 as its sponsor, and may die. What
 * node 0 knows of the others may be old, and all steps interleave freely.
 *
 * Shown: a change is accepted only when every serving node has it in force, and
 * no revision falls.
 *
 * Left out, as docs/CATALOGUE.md says: a sponsor that dies before the node that
 * it sponsors has found another, and a host list that drops a serving node.
 *
 * Each of the macros HEAD_FIRST, MEMBERS_FIRST, SPONSOR_FORGETS, EARLY_RELEASE
 * and SILENCE removes one protection. CHANGES is the number of changes.
 */

#define NODES   3
#ifndef CHANGES
#define CHANGES 1
#endif
#define MIN(a, b) ((a) < (b) -> (a) : (b))

/* The platform's service. */
byte head;          /* number of the last change */
byte record[NODES]; /* incarnation in the member record, 0 for none */
byte accepted;      /* revision in the region's confirmation */

bool cut; /* the region cannot reach the service */

/* The nodes. */
bool alive[NODES];
bool serving[NODES];
byte incarnation[NODES];
byte revision[NODES];

/* What node 1 confirms as the sponsor of node 2. */
bool adopted;
byte adoptedRevision;

/* What node 0 knows of the others, perhaps a while old. */
byte heardIncarnation[NODES];
byte heardRevision[NODES];
bool heardServing[NODES];

#ifdef SPONSOR_FORGETS
#define CONFIRMED1 revision[1]
#else
#define CONFIRMED1 (adopted -> MIN(revision[1], adoptedRevision) : revision[1])
#endif

inline raise(n, to) {
	assert(revision[n] <= to);
	revision[n] = to
}

/* Editor appends the changes; log.pml has the race for a number. */
proctype Editor() {
	do
	:: head < CHANGES -> head++
	:: head == CHANGES -> break
	od
}

/* Follower brings changes into force, from the service or a peer. */
proctype Follower(byte n) {
	byte next;
end:	do
	:: atomic { serving[n] && !cut && revision[n] < head -> raise(n, revision[n] + 1) }
	:: atomic { n > 0 && serving[n] && serving[n - 1] && revision[n] < revision[n - 1] -> raise(n, revision[n - 1]) }
	od
}

/* enter registers a node and then reads the head of the log. */
inline enter(n) {
#ifdef HEAD_FIRST
	atomic { !cut; if :: revision[n] < head -> raise(n, head) :: else fi };
	atomic { !cut; record[n] = incarnation[n] };
#else
	atomic { !cut; record[n] = incarnation[n] };
#ifdef EARLY_RELEASE
	adopted = false;
#endif
	atomic { !cut; if :: revision[n] < head -> raise(n, head) :: else fi };
#endif
}

proctype Member1() {
	byte restarts = 1;
end:	do
	:: atomic {
		restarts > 0 && !(adopted && alive[2]) ->
		restarts--;
		serving[1] = false; alive[1] = false; adopted = false; revision[1] = 0
	   };
	   atomic { incarnation[1]++; alive[1] = true };
	   enter(1);
	   serving[1] = true
	od
}

proctype Joiner2() {
	atomic { alive[2] = true; incarnation[2] = 1 };
	if
	:: enter(2); serving[2] = true
	:: atomic {
		cut && serving[1] ->
		adopted = true; adoptedRevision = revision[1]; raise(2, revision[1])
	   };
	   serving[2] = true;
	   do
	   :: atomic { alive[1] && adopted && adoptedRevision < revision[2] -> adoptedRevision = revision[2] }
	   :: !cut -> break
	   od;
	   enter(2);
	   adopted = false
	fi;
	/* It may die at last; the sponsorship ends when the host list says so. */
	if
	:: atomic { serving[2] = false; alive[2] = false; adopted = false }
	:: skip
	fi
}

/* Exchange brings state to node 0; its earlier state stands for late messages. */
proctype Exchange() {
end:	do
	:: atomic { alive[1] -> heardIncarnation[1] = incarnation[1]; heardRevision[1] = CONFIRMED1; heardServing[1] = serving[1] }
	:: atomic { alive[2] -> heardIncarnation[2] = incarnation[2]; heardRevision[2] = revision[2]; heardServing[2] = serving[2] }
	od
}

inline count(n) {
	if
	:: members[n] != 0 && heardIncarnation[n] == members[n] -> all = MIN(all, heardRevision[n])
	:: members[n] != 0 && heardIncarnation[n] != members[n] -> all = 0
	:: members[n] == 0 && heardServing[n] -> all = MIN(all, heardRevision[n])
	:: else
	fi
}

proctype Gatherer() {
	byte seen, all;
	byte members[NODES];
end:	do
	:: !cut ->
#ifdef MEMBERS_FIRST
	   atomic { members[1] = record[1]; members[2] = record[2] };
	   seen = revision[0];
#else
	   seen = revision[0];
	   atomic { members[1] = record[1]; members[2] = record[2] };
#endif
	   atomic { all = seen; count(1); count(2) };
	   atomic { !cut; if :: all > accepted -> accepted = all :: else fi };
	   atomic { seen = 0; all = 0; members[1] = 0; members[2] = 0 }
	/* The host list drops a node that is dead, and its record goes, if it is
	 * still that of the process that died. */
#ifdef SILENCE
	:: atomic { !cut && record[2] != 0 -> record[2] = 0; heardServing[2] = false }
#else
	:: atomic { !cut && record[2] != 0 && !alive[2] -> record[2] = 0; heardServing[2] = false }
	:: atomic { !alive[2] -> heardServing[2] = false }
#endif
	od
}

proctype Cut() {
	byte cuts = 1;
end:	do
	:: cuts > 0 && !cut -> atomic { cuts--; cut = true }
	:: cut -> cut = false
	od
}

/* Monitor may run between any two steps of the others. */
active proctype Monitor() {
end:	do
	:: atomic {
		(serving[0] && revision[0] < accepted) ||
		(serving[1] && revision[1] < accepted) ||
		(serving[2] && revision[2] < accepted) -> assert(false)
	   }
	od
}

init {
	atomic {
		record[0] = 1; incarnation[0] = 1; alive[0] = true; serving[0] = true;
		record[1] = 1; incarnation[1] = 1; alive[1] = true; serving[1] = true;
		run Editor();
		run Follower(0); run Follower(1); run Follower(2);
		run Member1(); run Joiner2();
		run Exchange(); run Gatherer(); run Cut()
	}
}
