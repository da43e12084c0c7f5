/*
 * Quarantine. Endpoint e serves A, is released, may return to A by a back-out,
 * is released again, and is then given to B. Two balancers apply the log; any
 * step of a balancer may be delayed for ever, which covers partitions and
 * pauses. Each may stop and start again; the second starts late. The host list names a
 * balancer's incarnation some time after its start and drops it some time after
 * its stop. Acknowledgements reach the record that the check reads late.
 *
 * Claim:
 *   no_misroute  no balancer sends a packet of A to e while e serves B
 *
 * Guards: the check (part of creating the change on the revision that it was
 * made for) requires an acknowledgement at or after the last release from every
 * incarnation on the host list; a balancer routes to upstreams only after it has
 * found its own incarnation on the host list and has then caught up with a head
 * read after that; it acknowledges a revision only after its workers have sent
 * what they routed by older views; tokens, cached flows and older slot tables
 * are checked against the view.
 *
 * Assumed: the host list is read linearizably and drops only stopped processes.
 */

#define FREE 0
#define A    1
#define B    2

#define MAXREV 5
#define MAXINC 2

byte own[6];      /* holder of e by revision */
byte head = 1;
byte released;    /* last revision that released e */

bool up[2];
byte inc[2];      /* incarnation of the process, from 1 */
byte rev[2];
byte listed[2];   /* incarnation on the host list; 0 for none */
byte want[2];     /* head read after the listing; 0 for not read */
bool serving[2];  /* routes to upstreams; otherwise it forwards to peers only */
byte sending[2];  /* view by which a worker routed a packet of A to e; 0 for none */
byte ack[2];      /* last revision acknowledged, and by which incarnation */
byte acki[2];

byte base;        /* head that the check is made for; 0 for no check */
byte need;        /* release that it is made for */
byte hosts[2];    /* host list that the check read */
bool passed;

#ifdef ACK_BY_MINIMUM
/* the status says only the lowest revision of those who acknowledged */
#define ACKED(b) (hosts[b] == 0 || acki[b] == 0 || ack[b] >= need)
#else
#define ACKED(b) (hosts[b] == 0 || (acki[b] == hosts[b] && ack[b] >= need))
#endif

proctype Operators() {
end:	do
	:: atomic { own[head] == A && head < MAXREV - 1 ->
		head++; own[head] = FREE; released = head }
	/* back-out of the release */
	:: atomic { own[head] == FREE && head == 2 -> head++; own[head] = A }
	:: atomic { own[head] == FREE && base == 0 ->
		base = head;
#ifdef FIRST_RELEASE
		need = 2;
#else
		need = released;
#endif
		hosts[0] = listed[0]; hosts[1] = listed[1] }
	:: atomic { base != 0 && !passed && ACKED(0) && ACKED(1) -> passed = 1; hosts[0] = 0; hosts[1] = 0 }
#ifdef PROBES_COUNT
	/* a balancer that answers no probes counts as gone */
	:: atomic { base != 0 && !passed && (ACKED(0) || ACKED(1)) -> passed = 1; hosts[0] = 0; hosts[1] = 0 }
#endif
#ifdef CHECK_APART
	:: atomic { passed && own[head] == FREE -> head++; own[head] = B; base = 0; need = 0; passed = 0 }
#else
	/* create-if-absent of the revision that was checked */
	:: atomic { passed && base == head -> head++; own[head] = B; base = 0; need = 0; passed = 0 }
#endif
	:: atomic { base != 0 && base != head -> base = 0; need = 0; passed = 0; hosts[0] = 0; hosts[1] = 0 }
	od
}

proctype HostList(byte b) {
end:	do
	:: atomic { up[b] && listed[b] != inc[b] -> listed[b] = inc[b] }
	:: atomic { listed[b] != 0 && (!up[b] || listed[b] != inc[b]) -> listed[b] = 0 }
#ifdef DELIST_LIVE
	:: atomic { listed[b] != 0 -> listed[b] = 0 }
#endif
	od
}

proctype Balancer(byte b) {
end:	do
	:: atomic { !up[b] && inc[b] < MAXINC -> up[b] = 1; inc[b]++ }
	:: atomic { up[b] && inc[b] < MAXINC ->
		up[b] = 0; rev[b] = 0; want[b] = 0; serving[b] = 0; sending[b] = 0 }
	/* start from the platform, or from a peer's answer of any age */
	:: atomic { up[b] && rev[b] == 0 ->
		if
		:: rev[b] = 1
		:: head >= 2 -> rev[b] = 2
		:: head >= 3 -> rev[b] = 3
		:: head >= 4 -> rev[b] = 4
		:: head >= 5 -> rev[b] = 5
		fi }
	:: atomic { rev[b] > 0 && rev[b] < head -> rev[b]++ }
#ifdef HEAD_READ_EARLY
	:: atomic { up[b] && want[b] == 0 -> want[b] = head }
#elif defined(LISTED_BY_NAME)
	:: atomic { up[b] && want[b] == 0 && listed[b] != 0 -> want[b] = head }
#else
	:: atomic { up[b] && want[b] == 0 && listed[b] == inc[b] -> want[b] = head }
#endif
#ifdef SERVE_UNCONFIRMED
	:: atomic { !serving[b] && rev[b] > 0 -> serving[b] = 1 }
#elif defined(HEAD_NOT_READ)
	:: atomic { !serving[b] && rev[b] > 0 && listed[b] == inc[b] -> serving[b] = 1 }
#elif defined(HEAD_READ_EARLY)
	:: atomic { !serving[b] && want[b] > 0 && rev[b] >= want[b] && listed[b] == inc[b] -> serving[b] = 1 }
#else
	:: atomic { !serving[b] && want[b] > 0 && rev[b] >= want[b] -> serving[b] = 1 }
#endif
#ifdef ACK_BEFORE_SENT
	:: atomic { rev[b] > 0 && (ack[b] != rev[b] || acki[b] != inc[b]) ->
#else
	:: atomic { rev[b] > 0 && (ack[b] != rev[b] || acki[b] != inc[b]) &&
		(sending[b] == 0 || sending[b] == rev[b]) ->
#endif
		ack[b] = rev[b]; acki[b] = inc[b] }
	/* by slot table, token or cached flow: e must be A's in the view */
	:: atomic { serving[b] && sending[b] == 0 && own[rev[b]] == A -> sending[b] = rev[b] }
#ifdef TOKEN_UNCHECKED
	:: atomic { serving[b] && sending[b] == 0 -> sending[b] = rev[b] }
#endif
#ifdef TABLE_UNCHECKED
	/* the slot table of an earlier revision still lists e */
	:: atomic { serving[b] && sending[b] == 0 && rev[b] > 1 && own[rev[b] - 1] == A -> sending[b] = rev[b] }
#endif
	:: atomic { sending[b] != 0 -> assert(own[head] != B); sending[b] = 0 } /* no_misroute */
	od
}

#ifdef REACH
active proctype Reach() {
end:	atomic {
#if REACH == 1
		own[head] == B && head == 3
#elif REACH == 2
		own[head] == B && head == 5
#elif REACH == 3
		/* a cut-off process has an old view while e serves B, and does not route */
		own[head] == B && up[1] && own[rev[1]] == A && rev[1] > 0 && !serving[1]
#elif REACH == 4
		own[head] == B && inc[0] == 2 && serving[0] && serving[1]
#elif REACH == 5
		sending[0] == 1 && rev[0] == 2
#elif REACH == 6
		own[head] == FREE && base != 0 && acki[0] == 1 && inc[0] == 2 && serving[0] && listed[0] == 2
#endif
		-> assert(false) }
}
#endif

init {
	atomic {
		own[1] = A;
		up[0] = 1; inc[0] = 1; rev[0] = 1; listed[0] = 1; want[0] = 1; serving[0] = 1;
		run Operators(); run HostList(0); run HostList(1); run Balancer(0); run Balancer(1)
	}
}
