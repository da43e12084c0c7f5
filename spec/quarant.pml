/*
 * Quarantine of released endpoints. Endpoint e belongs to service A and is
 * released. It may return to A by a back-out and be released again. It is then
 * assigned to service B. Two balancers apply the log; any step of a balancer may
 * be delayed forever, which covers partitions and pauses. Each balancer may
 * restart; balancer 1 is not running at first. The host list adds a balancer's
 * incarnation some time after its start and removes it some time after its stop.
 * The record of acknowledgements that the check reads is updated with a delay.
 *
 * Claim:
 *   no_misroute  no balancer sends a packet of A to e while e belongs to B
 *
 * Guards:
 *   - The check requires, from every incarnation on the host list, an
 *     acknowledgement of the last release or a later revision. The change that
 *     assigns e is created only directly after the revision that was checked.
 *   - A balancer routes to upstreams only after it has found its own incarnation
 *     on the host list, then read the head, and applied the log up to that head.
 *   - It acknowledges a revision only after its workers have sent the packets
 *     that they routed by older views.
 *   - Tokens, cached flows and older slot tables are checked against the view.
 *
 * Assumption: reads of the host list are linearizable, and it removes only
 * stopped processes.
 */

#define FREE 0
#define A    1
#define B    2

#define MAXREV 5
#define MAXINC 2

byte own[6];      /* service that e belongs to, by revision */
byte head = 1;
byte last_release; /* last revision that released e */

bool up[2];
byte inc[2];      /* incarnation of the process, from 1 */
byte rev[2];
byte listed[2];   /* incarnation on the host list; 0 for none */
byte target[2];   /* head to reach before serving, read once listed; 0 for not read */
bool serving[2];  /* routes to upstreams; while false, forwards only to peers */
byte packet_rev[2]; /* revision of the view by which a worker routed a packet of A
                       to e that is still unsent; 0 for none */
byte ack[2];      /* last revision acknowledged */
byte ack_inc[2];  /* incarnation that acknowledged it */

byte check_base;  /* head that the check is made for; 0 for no check */
byte required_ack; /* lowest revision whose acknowledgement the check accepts */
byte checked_hosts[2]; /* host list that the check read */
bool check_passed;

#ifdef ACK_BY_MINIMUM
/* the record holds only the minimum over the balancers that acknowledged */
#define ACKED(b) (checked_hosts[b] == 0 || ack_inc[b] == 0 || ack[b] >= required_ack)
#else
#define ACKED(b) (checked_hosts[b] == 0 || \
	(ack_inc[b] == checked_hosts[b] && ack[b] >= required_ack))
#endif

proctype Operators() {
end:	do
	:: atomic { own[head] == A && head < MAXREV - 1 ->
		head++; own[head] = FREE; last_release = head }
	/* back-out of the release */
	:: atomic { own[head] == FREE && head == 2 -> head++; own[head] = A }
	:: atomic { own[head] == FREE && check_base == 0 ->
		check_base = head;
#ifdef FIRST_RELEASE
		required_ack = 2;
#else
		required_ack = last_release;
#endif
		checked_hosts[0] = listed[0]; checked_hosts[1] = listed[1] }
	:: atomic { check_base != 0 && !check_passed && ACKED(0) && ACKED(1) ->
		check_passed = 1; checked_hosts[0] = 0; checked_hosts[1] = 0 }
#ifdef PROBES_COUNT
	/* a balancer that does not answer probes counts as stopped */
	:: atomic { check_base != 0 && !check_passed && (ACKED(0) || ACKED(1)) ->
		check_passed = 1; checked_hosts[0] = 0; checked_hosts[1] = 0 }
#endif
#ifdef CHECK_APART
	:: atomic { check_passed && own[head] == FREE ->
		head++; own[head] = B; check_base = 0; required_ack = 0; check_passed = 0 }
#else
	/* create-if-absent at the revision after the checked one */
	:: atomic { check_passed && check_base == head ->
		head++; own[head] = B; check_base = 0; required_ack = 0; check_passed = 0 }
#endif
	:: atomic { check_base != 0 && check_base != head ->
		check_base = 0; required_ack = 0; check_passed = 0;
		checked_hosts[0] = 0; checked_hosts[1] = 0 }
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
		up[b] = 0; rev[b] = 0; target[b] = 0; serving[b] = 0; packet_rev[b] = 0 }
	/* start from the platform, or from a peer's answer, which may be out of date */
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
	:: atomic { up[b] && target[b] == 0 -> target[b] = head }
#elif defined(LISTED_BY_NAME)
	:: atomic { up[b] && target[b] == 0 && listed[b] != 0 -> target[b] = head }
#else
	:: atomic { up[b] && target[b] == 0 && listed[b] == inc[b] -> target[b] = head }
#endif
#ifdef SERVE_UNCONFIRMED
	:: atomic { !serving[b] && rev[b] > 0 -> serving[b] = 1 }
#elif defined(HEAD_NOT_READ)
	:: atomic { !serving[b] && rev[b] > 0 && listed[b] == inc[b] -> serving[b] = 1 }
#elif defined(HEAD_READ_EARLY)
	:: atomic { !serving[b] && target[b] > 0 && rev[b] >= target[b] && listed[b] == inc[b] ->
		serving[b] = 1 }
#else
	:: atomic { !serving[b] && target[b] > 0 && rev[b] >= target[b] -> serving[b] = 1 }
#endif
#ifdef ACK_BEFORE_SENT
	:: atomic { rev[b] > 0 && (ack[b] != rev[b] || ack_inc[b] != inc[b]) ->
#else
	:: atomic { rev[b] > 0 && (ack[b] != rev[b] || ack_inc[b] != inc[b]) &&
		(packet_rev[b] == 0 || packet_rev[b] == rev[b]) ->
#endif
		ack[b] = rev[b]; ack_inc[b] = inc[b] }
	/* routed by slot table, token or cached flow: the view must assign e to A */
	:: atomic { serving[b] && packet_rev[b] == 0 && own[rev[b]] == A -> packet_rev[b] = rev[b] }
#ifdef TOKEN_UNCHECKED
	:: atomic { serving[b] && packet_rev[b] == 0 -> packet_rev[b] = rev[b] }
#endif
#ifdef TABLE_UNCHECKED
	/* the slot table of an earlier revision still lists e */
	:: atomic { serving[b] && packet_rev[b] == 0 && rev[b] > 1 && own[rev[b] - 1] == A ->
		packet_rev[b] = rev[b] }
#endif
	:: atomic { packet_rev[b] != 0 -> assert(own[head] != B); packet_rev[b] = 0 } /* no_misroute */
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
		/* a partitioned balancer has an old view while e belongs to B, and does not
		   route */
		own[head] == B && up[1] && own[rev[1]] == A && rev[1] > 0 && !serving[1]
#elif REACH == 4
		own[head] == B && inc[0] == 2 && serving[0] && serving[1]
#elif REACH == 5
		packet_rev[0] == 1 && rev[0] == 2
#elif REACH == 6
		own[head] == FREE && check_base != 0 && ack_inc[0] == 1 && inc[0] == 2 &&
			serving[0] && listed[0] == 2
#endif
		-> assert(false) }
}
#endif

init {
	atomic {
		own[1] = A;
		up[0] = 1; inc[0] = 1; rev[0] = 1; listed[0] = 1; target[0] = 1; serving[0] = 1;
		run Operators(); run HostList(0); run HostList(1); run Balancer(0); run Balancer(1)
	}
}
