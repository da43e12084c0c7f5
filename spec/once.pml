/*
 * One non-idempotent request on one flow. Two balancers both believe that they
 * own the upstream. The fabric keeps every packet ever sent and may deliver it
 * at any time, any number of times, to either balancer, or never; this covers
 * loss, reordering, duplication and retransmission. Two upstreams hold the flow
 * id when the open is duplicated; upstream 0 restarts once.
 *
 * Claims:
 *   at_most_once  the request runs at most once
 *   not_run_true  after not_run, it has not run and never runs
 *   answered_ran  after answered, it has run
 *
 * A reset never counts as a refusal. It proves only that the copy that it
 * responds to was not run; another copy of the same attempt may have run on
 * the connection before it was lost.
 *
 * Macros REFUSE_AT_ONCE and RESET_* and the others below remove one guard each.
 * NO_DUP makes the fabric deliver each packet at most once.
 */

#define WAIT     0
#define ANSWERED 1
#define NOT_RUN  2
#define UNKNOWN  3

#define MAXCONN 3 /* connections that upstreams accept in total */
#define A1 1      /* bit of attempt 1 */
#define A2 2      /* bit of attempt 2 */

#ifdef NO_DUP
#define TAKE(set, a) set = set & ~a
#else
#define TAKE(set, a) skip
#endif

/* client */
byte outcome = WAIT;
byte sent;  /* attempts sent */
byte cu;    /* upstream of the accept that the client keeps */
byte ch;    /* handshake number of that accept; 0 before any accept */
byte cinc;  /* incarnation of that accept */

/* packets in the fabric: bit sets of attempts unless noted */
byte net;     /* requests from the client */
byte acc[2];  /* accepts by upstream, bit set of handshake numbers */
byte fwd;     /* requests that a balancer forwarded, by token or slot table */
byte moved;   /* requests that a balancer moved to a connection of its own */
byte can;     /* cancels that a balancer sent */
byte ref;     /* refusals on the way to the client */
byte rst;     /* resets; written only where a run needs them */

/* upstreams */
byte conn[2];   /* handshake number of the connection held; 0 for none */
bool started[2];/* the connection has started the request */
byte tomb[2];   /* attempts that the connection refused */
byte inc[2];
byte lasth[2];
byte nconn;
byte runs;

#ifdef NO_HANDSHAKE
#define HOLDS(u) (conn[u] != 0)
#else
#define HOLDS(u) (conn[u] != 0 && conn[u] == ch)
#endif

inline reset(u, a) {
#if defined(RESET_IS_REFUSAL) || defined(REACH)
	rst = rst | a
#elif defined(RESET_SAME_INCARNATION)
	if
	:: u == cu && inc[u] == cinc -> rst = rst | a
	:: else
	fi
#else
	skip
#endif
}

inline execute(u) {
	runs++;
	started[u] = 1;
	assert(runs <= 1);         /* at_most_once */
	assert(outcome != NOT_RUN) /* not_run_true: never runs later */
}

inline refuse(a) { ref = ref | a }

proctype Client() {
	byte u, h;
end:	do
	/* keep the first accept that arrives */
	:: atomic { ch == 0 && (acc[0] | acc[1]) != 0 ->
		if
		:: acc[0] != 0 -> u = 0
		:: acc[1] != 0 -> u = 1
		fi;
		h = 1;
		do
		:: acc[u] & (1 << h) -> break
		:: h < MAXCONN -> h++
		:: h == MAXCONN -> break
		od;
		if
		:: acc[u] & (1 << h) -> cu = u; ch = h; cinc = inc[u]
		:: else
		fi;
		acc[0] = 0; acc[1] = 0; u = 0; h = 0 }
	:: atomic { ch != 0 && outcome == WAIT && !(sent & A1) ->
		sent = sent | A1; net = net | A1 }
#ifdef LATE_RETRANSMIT
	:: atomic { (sent & A1) && !(sent & A2) ->
#else
	:: atomic { outcome == WAIT && (sent & A1) && !(sent & A2) ->
#endif
		sent = sent | A2; net = net | A2 }
	:: atomic { outcome == WAIT && runs != 0 -> outcome = ANSWERED; assert(runs >= 1) }
#ifdef NO_ID_MATCH
	/* a late answer of an earlier request of the flow */
	:: atomic { outcome == WAIT && sent != 0 -> outcome = ANSWERED; assert(runs >= 1) }
#endif
#ifdef ANY_REFUSAL
	:: atomic { outcome == WAIT && (sent & ref) != 0 ->
#elif defined(RESET_IS_REFUSAL) || defined(RESET_SAME_INCARNATION)
	:: atomic { outcome == WAIT && sent != 0 && (sent & ~(ref | rst)) == 0 ->
#else
	:: atomic { outcome == WAIT && sent != 0 && (sent & ~ref) == 0 ->
#endif
		outcome = NOT_RUN; assert(runs == 0) }
	:: atomic { outcome == WAIT && sent != 0 -> outcome = UNKNOWN }
	od
}

/*
 * Either balancer. A queue in a balancer delays a packet as the fabric does, so
 * the balancers need no state of their own: each step is one of them acting on
 * one copy. One may forward a copy while the other refuses another copy.
 */
proctype Balancers() {
	byte a;
end:	do
	:: atomic { net != 0 ->
		if
		:: net & A1 -> a = A1
		:: net & A2 -> a = A2
		fi;
		TAKE(net, a);
		if
		:: fwd = fwd | a
		:: can = can | a /* late refusal: cancel at the upstream first */
#ifdef REFUSE_AT_ONCE
		:: refuse(a)
#endif
#ifdef RETRY_ELSEWHERE
		:: moved = moved | a
#endif
		fi; a = 0 }
	od
}

proctype Upstream(byte u) {
	byte a;
end:	do
	/* a copy of the open arrives */
	:: atomic { conn[u] == 0 && nconn < MAXCONN ->
		nconn++;
#ifdef HANDSHAKE_COUNTER
		lasth[u]++; conn[u] = lasth[u];
#else
		conn[u] = nconn; /* stands for a random number that is never reused */
#endif
		if
		:: ch == 0 -> acc[u] = acc[u] | (1 << conn[u])
		:: else
		fi }
	/* the connection is closed or evicted */
	:: atomic { conn[u] != 0 -> conn[u] = 0; started[u] = 0; tomb[u] = 0 }
	/* restart */
	:: atomic { u == 0 && inc[u] == 0 ->
		inc[u] = 1; conn[u] = 0; started[u] = 0; tomb[u] = 0; lasth[u] = 0 }
	:: atomic { fwd != 0 ->
		if
		:: fwd & A1 -> a = A1
		:: fwd & A2 -> a = A2
		fi;
		TAKE(fwd, a);
		if
		:: !HOLDS(u) -> reset(u, a)
		:: HOLDS(u) && (tomb[u] & a) -> refuse(a)
		:: HOLDS(u) && !(tomb[u] & a) && started[u] ->
#ifdef NO_DEDUP
			execute(u)
#else
			skip /* duplicate; the answer is repeated */
#endif
		:: HOLDS(u) && !(tomb[u] & a) && !started[u] ->
			if
			:: execute(u)
			:: refuse(a); /* shed */
#ifndef SHED_FORGOTTEN
				tomb[u] = tomb[u] | a
#endif
			fi
		fi; a = 0 }
#ifdef RETRY_ELSEWHERE
	:: atomic { moved != 0 && conn[u] != 0 && !started[u] -> execute(u) }
#endif
	:: atomic { can != 0 ->
		if
		:: can & A1 -> a = A1
		:: can & A2 -> a = A2
		fi;
		TAKE(can, a);
		if
		:: !HOLDS(u) ->
#ifdef CANCEL_UNKNOWN_REFUSED
			refuse(a)
#else
			reset(u, a)
#endif
		:: HOLDS(u) && started[u] ->
#ifdef CANCEL_STARTED_REFUSED
			refuse(a)
#else
			skip /* the answer is repeated */
#endif
		:: HOLDS(u) && !started[u] ->
#ifndef CANCEL_FORGOTTEN
			tomb[u] = tomb[u] | a;
#endif
			refuse(a)
		fi; a = 0 }
	od
}

#ifdef REACH
active proctype Reach() {
end:
	atomic {
#if REACH == 1
		outcome == ANSWERED
#elif REACH == 2
		outcome == NOT_RUN && sent == A1
#elif REACH == 3
		outcome == NOT_RUN && sent == (A1 | A2)
#elif REACH == 4
		outcome == UNKNOWN && runs == 1
#elif REACH == 5
		outcome == UNKNOWN && runs == 0 && (sent & ~(ref | rst)) == 0 && ref != 0
#elif REACH == 6
		(fwd & can & A1) && conn[0] != 0 && conn[1] != 0
#elif REACH == 7
		outcome == ANSWERED && inc[0] == 1 && cinc == 0 && cu == 0
#elif REACH == 8
		rst != 0 && runs == 1
#endif
		-> assert(false) }
}
#endif

init {
	atomic {
		run Client(); run Balancers(); run Upstream(0); run Upstream(1)
	}
}
