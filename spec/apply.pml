/*
 * Two balancers apply the change log, which config.pml shows to be totally
 * ordered. Revisions 1 and 2 are edits; revision 3 backs out revision 1. Both
 * balancers may believe at the same time that they hold the relay lease. Watch
 * events and peers' answers may be delayed without bound, so an event for any
 * revision up to the head, and any prefix that the peer has ever had, may arrive
 * at any time. Each balancer restarts at most once and then starts from whatever
 * prefix its peer answers with, or from the platform's snapshot.
 *
 * Claims:
 *   in_effect      the edits in effect at a balancer are exactly those of the log
 *                  up to its revision, without edits that were backed out
 *   never_reverts  the revision that a balancer serves never decreases, not even
 *                  when it restarts from a peer with an older revision
 *   converges      after faults stop, every balancer eventually serves the head
 */

#define HEAD 3

byte head = 1;
byte lease;      /* holder + 1; 0 when the lease is free */
bool faults_stopped;

byte rev[2];
byte eff[2];     /* bit set of the edits in effect */
byte max_rev[2]; /* highest revision that the balancer has ever had */
bool relay[2];   /* the balancer believes that it holds the lease */
byte target[2];  /* head to reach before serving, read once the balancer was on
                    the host list; 0 for not read */
bool serving[2]; /* routes to upstreams; while false, forwards only to peers */
byte served[2];  /* highest revision ever served */
byte restarts[2];

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

inline check_in_effect(b) {
	assert(eff[b] == PREFIX(rev[b])); /* in_effect */
	if
	:: rev[b] > max_rev[b] -> max_rev[b] = rev[b]
	:: else
	fi
}

inline check_claims(b) {
	check_in_effect(b);
	if
	:: serving[b] ->
		assert(rev[b] >= served[b]); /* never_reverts */
		served[b] = rev[b]
	:: else
	fi
}

/* watch_event handles an event for revision r. */
inline watch_event(b, r) {
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
	check_claims(b)
}

/* peer_answer handles a peer's answer that holds the log up to revision r. */
inline peer_answer(b, r) {
	if
	:: r > rev[b] -> rev[b] = r; eff[b] = PREFIX(r)
#ifdef PEER_OLDER
	:: r < rev[b] -> rev[b] = r; eff[b] = PREFIX(r)
#endif
	:: else
	fi;
	check_claims(b)
}

proctype Balancer(byte b) {
	byte r;
end:	do
	:: atomic { lease == 0 && !relay[b] && (!faults_stopped || !relay[1 - b]) ->
		lease = b + 1; relay[b] = 1 }
	/* a paused holder may detect the loss of its lease after any delay */
	:: atomic { relay[b] && lease != b + 1 -> relay[b] = 0 }
#ifndef RELAY_NEVER_READS
	:: atomic { relay[b] && rev[b] < head -> r = rev[b] + 1; watch_event(b, r); r = 0 }
#endif
	:: atomic { !faults_stopped ->
		if
		:: r = 1
		:: head >= 2 -> r = 2
		:: head >= 3 -> r = 3
		fi; watch_event(b, r); r = 0 }
	:: atomic { rev[1 - b] > rev[b] || (!faults_stopped && max_rev[1 - b] > 0) ->
		if
		:: rev[1 - b] > rev[b] -> r = rev[1 - b]
		:: !faults_stopped && max_rev[1 - b] >= 1 -> r = 1
		:: !faults_stopped && max_rev[1 - b] >= 2 -> r = 2
		fi; peer_answer(b, r); r = 0 }
	/* start from the platform's snapshot, which is one revision behind the head */
	:: atomic { rev[b] == 0 && head > 1 ->
		rev[b] = head - 1; eff[b] = PREFIX(head - 1); check_in_effect(b) }
	/* restart: the state is lost, including the belief that it holds the lease */
	:: atomic { !faults_stopped && restarts[b] == 0 ->
		restarts[b] = 1; rev[b] = 0; eff[b] = 0; relay[b] = 0; target[b] = 0; serving[b] = 0 }
	:: atomic { !serving[b] && target[b] == 0 -> target[b] = head }
#ifdef SERVE_UNCONFIRMED
	:: atomic { !serving[b] && rev[b] > 0 -> serving[b] = 1; check_claims(b) }
#else
	:: atomic { !serving[b] && target[b] > 0 && rev[b] >= target[b] ->
		serving[b] = 1; check_claims(b) }
#endif
	od
}

proctype Platform() {
end:	do
	:: atomic { head < HEAD -> head++ }
	:: atomic { !faults_stopped && lease != 0 -> lease = 0 }
#ifndef LEASE_STAYS
	/* a lease whose holder restarted expires */
	:: atomic { faults_stopped && lease != 0 && !relay[lease - 1] -> lease = 0 }
#endif
	:: atomic { !faults_stopped -> faults_stopped = 1 }
	od
}

active proctype Quiescence() {
end:	do
	:: atomic { timeout -> /* converges */
		assert(rev[0] == HEAD && rev[1] == HEAD && serving[0] && serving[1]); break }
	od
}

#ifdef REACH
active proctype Reach() {
end:	atomic {
#if REACH == 1
		/* a restarted balancer is behind the revision that it served, so it does not serve */
		restarts[0] == 1 && rev[0] == 1 && served[0] == 3 && !serving[0]
#elif REACH == 2
		relay[0] && relay[1] && head == 3
#elif REACH == 3
		faults_stopped && serving[0] && serving[1] && restarts[0] == 1 && restarts[1] == 1 &&
			rev[0] == 3 && rev[1] == 3
#endif
		-> assert(false) }
}
#endif

init { atomic { run Balancer(0); run Balancer(1); run Platform() } }
