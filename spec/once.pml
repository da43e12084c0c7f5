/*
 * One non-idempotent request on one flow. Two balancers both believe that they
 * own the upstream. The network keeps every packet ever sent and may deliver it
 * at any time, any number of times, to either balancer, or never; this covers
 * loss, reordering, duplication and retransmission. When the open is duplicated,
 * both upstreams hold a connection with the flow id. Upstream 0 may restart once.
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
 * NO_DUP makes the network deliver each packet at most once. Every other macro
 * except REACH, which selects a situation to reach, removes one guard.
 */

#define WAIT     0
#define ANSWERED 1
#define NOT_RUN  2
#define UNKNOWN  3

#define MAXCONN 3 /* connections that upstreams accept in total */
#define A1 1      /* bit of attempt 1 */
#define A2 2      /* bit of attempt 2 */

#ifdef NO_DUP
#define CONSUME(set, a) set = set & ~a
#else
#define CONSUME(set, a) skip
#endif

/* client */
byte outcome = WAIT;
byte sent;           /* bit set of attempts sent */
byte kept_upstream;  /* upstream of the accept that the client keeps */
byte kept_handshake; /* handshake number of that accept; 0 before any accept */
byte kept_inc;       /* upstream's incarnation when the client kept the accept */

/* packets in the network: bit sets of attempts unless noted */
byte requests;   /* requests from the client */
byte accepts[2]; /* accepts by upstream: bit sets of handshake numbers */
byte forwarded;  /* requests that a balancer forwarded, by token or slot table */
byte moved;      /* requests that a balancer retries on a connection of its own */
byte cancels;    /* cancels that a balancer sent */
byte refusals;   /* refusals sent to the client */
byte resets;     /* resets sent to the client; set only in runs that read them */

/* upstreams */
byte conn[2];    /* handshake number of the open connection; 0 for none */
bool started[2]; /* the request was started on the connection */
byte refused[2]; /* attempts that were refused on the connection */
byte inc[2];     /* incarnation */
byte last_handshake[2]; /* only with HANDSHAKE_COUNTER */
byte nconn;      /* connections accepted so far */
byte runs;       /* times that the request ran */

#ifdef NO_HANDSHAKE
#define HOLDS_CONN(u) (conn[u] != 0)
#else
#define HOLDS_CONN(u) (conn[u] != 0 && conn[u] == kept_handshake)
#endif

inline reset(u, a) {
#if defined(RESET_IS_REFUSAL) || defined(REACH)
	resets = resets | a
#elif defined(RESET_SAME_INCARNATION)
	if
	:: u == kept_upstream && inc[u] == kept_inc -> resets = resets | a
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

inline refuse(a) { refusals = refusals | a }

proctype Client() {
	byte u, h;
end:	do
	/* the client keeps the first accept that arrives */
	:: atomic { kept_handshake == 0 && (accepts[0] | accepts[1]) != 0 ->
		if
		:: accepts[0] != 0 -> u = 0
		:: accepts[1] != 0 -> u = 1
		fi;
		h = 1;
		do
		:: accepts[u] & (1 << h) -> break
		:: h < MAXCONN -> h++
		:: h == MAXCONN -> break
		od;
		if
		:: accepts[u] & (1 << h) -> kept_upstream = u; kept_handshake = h; kept_inc = inc[u]
		:: else
		fi;
		accepts[0] = 0; accepts[1] = 0; u = 0; h = 0 }
	:: atomic { kept_handshake != 0 && outcome == WAIT && !(sent & A1) ->
		sent = sent | A1; requests = requests | A1 }
#ifdef LATE_RETRANSMIT
	:: atomic { (sent & A1) && !(sent & A2) ->
#else
	:: atomic { outcome == WAIT && (sent & A1) && !(sent & A2) ->
#endif
		sent = sent | A2; requests = requests | A2 }
	:: atomic { outcome == WAIT && runs != 0 -> outcome = ANSWERED; assert(runs >= 1) }
#ifdef NO_ID_MATCH
	/* a late answer to an earlier request of the flow */
	:: atomic { outcome == WAIT && sent != 0 -> outcome = ANSWERED; assert(runs >= 1) }
#endif
#ifdef ANY_REFUSAL
	:: atomic { outcome == WAIT && (sent & refusals) != 0 ->
#elif defined(RESET_IS_REFUSAL) || defined(RESET_SAME_INCARNATION)
	:: atomic { outcome == WAIT && sent != 0 && (sent & ~(refusals | resets)) == 0 ->
#else
	:: atomic { outcome == WAIT && sent != 0 && (sent & ~refusals) == 0 ->
#endif
		outcome = NOT_RUN; assert(runs == 0) }
	:: atomic { outcome == WAIT && sent != 0 -> outcome = UNKNOWN }
	od
}

/*
 * Both balancers. Queueing in a balancer delays a packet just as the network
 * does, so the balancers need no state: in each step one of them handles one
 * copy. One may forward a copy while the other refuses another copy.
 */
proctype Balancers() {
	byte a;
end:	do
	:: atomic { requests != 0 ->
		if
		:: requests & A1 -> a = A1
		:: requests & A2 -> a = A2
		fi;
		CONSUME(requests, a);
		if
		:: forwarded = forwarded | a
		:: cancels = cancels | a /* late refusal: it first cancels at the upstream */
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
		last_handshake[u]++; conn[u] = last_handshake[u];
#else
		conn[u] = nconn; /* models a random number that is never reused */
#endif
		if
		:: kept_handshake == 0 -> accepts[u] = accepts[u] | (1 << conn[u])
		:: else
		fi }
	/* the connection is closed or evicted */
	:: atomic { conn[u] != 0 -> conn[u] = 0; started[u] = 0; refused[u] = 0 }
	/* restart */
	:: atomic { u == 0 && inc[u] == 0 ->
		inc[u] = 1; conn[u] = 0; started[u] = 0; refused[u] = 0; last_handshake[u] = 0 }
	:: atomic { forwarded != 0 ->
		if
		:: forwarded & A1 -> a = A1
		:: forwarded & A2 -> a = A2
		fi;
		CONSUME(forwarded, a);
		if
		:: !HOLDS_CONN(u) -> reset(u, a)
		:: HOLDS_CONN(u) && (refused[u] & a) -> refuse(a)
		:: HOLDS_CONN(u) && !(refused[u] & a) && started[u] ->
#ifdef NO_DEDUP
			execute(u)
#else
			skip /* duplicate: the upstream repeats its answer */
#endif
		:: HOLDS_CONN(u) && !(refused[u] & a) && !started[u] ->
			if
			:: execute(u)
			:: refuse(a); /* shed */
#ifndef SHED_FORGOTTEN
				refused[u] = refused[u] | a
#endif
			fi
		fi; a = 0 }
#ifdef RETRY_ELSEWHERE
	:: atomic { moved != 0 && conn[u] != 0 && !started[u] -> execute(u) }
#endif
	:: atomic { cancels != 0 ->
		if
		:: cancels & A1 -> a = A1
		:: cancels & A2 -> a = A2
		fi;
		CONSUME(cancels, a);
		if
		:: !HOLDS_CONN(u) ->
#ifdef CANCEL_UNKNOWN_REFUSED
			refuse(a)
#else
			reset(u, a)
#endif
		:: HOLDS_CONN(u) && started[u] ->
#ifdef CANCEL_STARTED_REFUSED
			refuse(a)
#else
			skip /* the upstream repeats its answer */
#endif
		:: HOLDS_CONN(u) && !started[u] ->
#ifndef CANCEL_FORGOTTEN
			refused[u] = refused[u] | a;
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
		outcome == UNKNOWN && runs == 0 && (sent & ~(refusals | resets)) == 0 && refusals != 0
#elif REACH == 6
		(forwarded & cancels & A1) && conn[0] != 0 && conn[1] != 0
#elif REACH == 7
		outcome == ANSWERED && inc[0] == 1 && kept_inc == 0 && kept_upstream == 0
#elif REACH == 8
		resets != 0 && runs == 1
#endif
		-> assert(false) }
}
#endif

init {
	atomic {
		run Client(); run Balancers(); run Upstream(0); run Upstream(1)
	}
}
