/*
 * Balancers applying the change log, which config.pml shows to be in total
 * order. Revisions 1 and 2 are edits, 3 backs out revision 1. Two balancers may
 * both believe that they hold the relay lease. A watch event or a peer's answer
 * may be handled at any later time, so an event of any revision up to the head
 * and any prefix that the peer has ever had may arrive at any time. Each
 * balancer restarts once and then starts from its peer, whatever that has, or
 * from the platform's snapshot.
 *
 * Claims:
 *   in_effect      what a balancer has in effect is exactly the prefix of the log
 *                  up to its revision (so a backed-out edit is gone)
 *   never_reverts  the revision that a balancer serves never decreases, not even
 *                  when it restarts from a peer with an older revision
 *   converges      once faults stop, every balancer serves the head
 */

#define HEAD 3

byte head = 1;
byte lease;      /* 0 free, otherwise balancer + 1 */
bool quiet;      /* faults have stopped */

byte rev[2];
byte eff[2];     /* bit set of the edits in effect */
byte had[2];     /* highest revision that the balancer ever had */
bool relay[2];   /* believes that it holds the lease */
byte want[2];    /* head that it read after it was listed; 0 for none */
bool serving[2]; /* routes to upstreams; otherwise it forwards to peers only */
byte served[2];  /* highest revision ever served */
byte boots[2];

#define BIT(r)    (1 << (r))
#define PREFIX(r) ((r) == 0 -> 0 : ((r) == 1 -> BIT(1) : ((r) == 2 -> (BIT(1) | BIT(2)) : BIT(2))))

inline apply(b, r) {
	rev[b] = r;
	if
	:: r == 3 ->
#ifndef BACK_OUT_KEEPS
		eff[b] = eff[b] & ~BIT(1)
#else
		skip
#endif
	:: else -> eff[b] = eff[b] | BIT(r)
	fi
}

inline note(b) {
	assert(eff[b] == PREFIX(rev[b])); /* in_effect */
	if
	:: rev[b] > had[b] -> had[b] = rev[b]
	:: else
	fi
}

inline check(b) {
	note(b);
	if
	:: serving[b] ->
		assert(rev[b] >= served[b]); /* never_reverts */
		served[b] = rev[b]
	:: else
	fi
}

/* event handles a watch event for revision r. */
inline event(b, r) {
	if
#ifdef APPLY_GAP
	:: r > rev[b] -> apply(b, r)
#elif defined(APPLY_OLDER)
	:: r != rev[b] && r <= rev[b] + 1 -> apply(b, r)
#else
	:: r == rev[b] + 1 -> apply(b, r)
#endif
	:: else
	fi;
	check(b)
}

/* fetched handles a peer's answer that holds the log up to revision r. */
inline fetched(b, r) {
	if
	:: r > rev[b] -> rev[b] = r; eff[b] = PREFIX(r)
#ifdef PEER_OLDER
	:: r < rev[b] -> rev[b] = r; eff[b] = PREFIX(r)
#endif
	:: else
	fi;
	check(b)
}

proctype Balancer(byte b) {
	byte r;
end:	do
	:: atomic { lease == 0 && !relay[b] && (!quiet || !relay[1 - b]) -> lease = b + 1; relay[b] = 1 }
	/* a paused holder notices late that its lease lapsed */
	:: atomic { relay[b] && lease != b + 1 -> relay[b] = 0 }
#ifndef RELAY_NEVER_READS
	:: atomic { relay[b] && rev[b] < head -> r = rev[b] + 1; event(b, r); r = 0 }
#endif
	:: atomic { !quiet ->
		if
		:: r = 1
		:: head >= 2 -> r = 2
		:: head >= 3 -> r = 3
		fi; event(b, r); r = 0 }
	:: atomic { rev[1 - b] > rev[b] || (!quiet && had[1 - b] > 0) ->
		if
		:: rev[1 - b] > rev[b] -> r = rev[1 - b]
		:: !quiet && had[1 - b] >= 1 -> r = 1
		:: !quiet && had[1 - b] >= 2 -> r = 2
		fi; fetched(b, r); r = 0 }
	/* start from the platform's snapshot, which trails the head */
	:: atomic { rev[b] == 0 && head > 1 -> rev[b] = head - 1; eff[b] = PREFIX(head - 1); note(b) }
	/* restart without memory; a new lease is needed */
	:: atomic { !quiet && boots[b] == 0 ->
		boots[b] = 1; rev[b] = 0; eff[b] = 0; relay[b] = 0; want[b] = 0; serving[b] = 0 }
	:: atomic { !serving[b] && want[b] == 0 -> want[b] = head }
#ifdef SERVE_UNCONFIRMED
	:: atomic { !serving[b] && rev[b] > 0 -> serving[b] = 1; check(b) }
#else
	:: atomic { !serving[b] && want[b] > 0 && rev[b] >= want[b] -> serving[b] = 1; check(b) }
#endif
	od
}

proctype Platform() {
end:	do
	:: atomic { head < HEAD -> head++ }
	:: atomic { !quiet && lease != 0 -> lease = 0 }
#ifndef LEASE_STAYS
	/* the lease of a holder that restarted lapses */
	:: atomic { quiet && lease != 0 && !relay[lease - 1] -> lease = 0 }
#endif
	:: atomic { !quiet -> quiet = 1 }
	od
}

active proctype Rest() {
end:	do
	:: atomic { timeout -> /* converges */
		assert(rev[0] == HEAD && rev[1] == HEAD && serving[0] && serving[1]); break }
	od
}

#ifdef REACH
active proctype Reach() {
end:	atomic {
#if REACH == 1
		/* a restarted balancer has less than it served and does not serve it */
		boots[0] == 1 && rev[0] == 1 && served[0] == 3 && !serving[0]
#elif REACH == 2
		relay[0] && relay[1] && head == 3
#elif REACH == 3
		quiet && serving[0] && serving[1] && boots[0] == 1 && boots[1] == 1 && rev[0] == 3 && rev[1] == 3
#endif
		-> assert(false) }
}
#endif

init { atomic { run Balancer(0); run Balancer(1); run Platform() } }
