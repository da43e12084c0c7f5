/*
 * An upstream drains while one of two balancers leaves. Balancer 0 owns the
 * upstream until it leaves, then balancer 1 does; the balancers' views of the
 * ownership differ for a while. There are three kinds of work: a request on an
 * established flow, an upload in progress (two chunks, then a final request) and
 * a feed with two pushes. The step that sets `late` is the drain's time bound.
 * Forwarding to the upstream is one step, so the bound includes the transit time.
 *
 * Claims:
 *   drain_stops    the upstream starts no new request after the bound
 *   flow_survives  once no step is possible, the upload is complete and every
 *                  push has arrived
 *   graceful_exit  once no step is possible, the request is answered, or refused
 *                  because of the drain; it is never left without an outcome and
 *                  never refused because of the exit
 *
 * With SINGLE_SEND the client sends the request once and the exit has no time
 * limit; the request must then survive the exit without a retransmission.
 */

#define WAIT     0
#define ANSWERED 1
#define REFUSED  2

#define UNPOLLED 0
#define SERVING  1
#define DRAINING 2

#define NO_BALANCER 2

/* upstream */
bool draining;
bool late;       /* the drain's time bound has passed */
bool poll_expired; /* poll results from before the drain have expired */
bool started;
byte via = NO_BALANCER; /* balancer that last forwarded the request */
byte chunks;
byte feed_via = 0; /* balancer that last forwarded a packet of the feed */

/* balancers */
bool up[2] = 1;
bool leaving;    /* balancer 0 */
bool leave_known; /* balancer 1 has learned that balancer 0 leaves */
byte poll[2];    /* last poll result that the balancer has */
bool queued[2];  /* the request is queued */
bool admitted[2]; /* result of the check on entry to the queue; only with
                     CHECK_ON_ENTRY */
bool in_transit; /* the request is in transit between the balancers */
bool receiver;   /* balancer that it is sent to */

/* clients */
byte sent;
byte outcome = WAIT;
byte pushed;     /* number of pushes that arrived */
bool done;       /* the upload was answered */

/* A balancer that knows of the drain also knows its time bound. */
#define BEFORE_BOUND(b) (poll[b] == DRAINING && !late)
#ifdef STALE_POLL
#define MAY_FORWARD(b) (poll[b] == SERVING || BEFORE_BOUND(b))
#elif defined(UNPOLLED_ADMITS)
#define MAY_FORWARD(b) ((poll[b] == SERVING && !poll_expired) || BEFORE_BOUND(b) || \
	poll[b] == UNPOLLED)
#else
#define MAY_FORWARD(b) ((poll[b] == SERVING && !poll_expired) || BEFORE_BOUND(b))
#endif

#ifdef SINGLE_SEND
#define MAY_SEND (sent == 0)
#else
/* two retransmissions at any time; more only after every copy was lost */
#define MAY_SEND (sent < 3 || \
	(!queued[0] && !queued[1] && !in_transit && (via == NO_BALANCER || !up[via])))
#endif

/* receive_request handles the request at balancer b. */
inline receive_request(b) {
	if
	:: b == 0 && leaving && !queued[0] -> in_transit = 1; receiver = 1
	:: else ->
#ifdef CHECK_ON_ENTRY
		admitted[b] = MAY_FORWARD(b);
#endif
		queued[b] = 1
	fi
}

inline forward(b) {
	queued[b] = 0;
	via = b;
	if
	:: !started ->
		assert(!late); /* drain_stops */
		started = 1
	:: else /* the upstream repeats its answer */
	fi
}

proctype Clients() {
	byte b;
end:	do
	:: atomic { outcome == WAIT && MAY_SEND ->
		if
		:: up[0] -> b = 0
		:: up[1] -> b = 1
		fi;
		if
		:: sent < 3 -> sent++
		:: else
		fi;
		/* a balancer forwards the request to the balancer that it believes to be
		   the owner */
		if
		:: b == 1 && !leave_known -> in_transit = 1; receiver = 0
		:: else -> receive_request(b)
		fi; b = 0 }
	/* the answer reaches the client through the balancer that forwarded the request */
	:: atomic { outcome == WAIT && started && via != NO_BALANCER && up[via] -> outcome = ANSWERED }
	/* chunks need no owner: every balancer routes them, also by the slot table of
	   an older generation */
#ifdef GENERATION_DROPPED
	:: atomic { chunks < 2 && !draining -> chunks++ }
#else
	:: atomic { chunks < 2 -> chunks++ }
#endif
	/* the final request is part of work in progress, so the drain admits it */
#ifdef DRAIN_BLOCKS_UPLOAD
	:: atomic { chunks == 2 && !done && !draining -> done = 1 }
#else
	:: atomic { chunks == 2 && !done -> done = 1 }
#endif
	/* a push goes through the balancer that last forwarded an acknowledgement */
#ifdef DRAIN_CLOSES_FEED
	:: atomic { pushed < 2 && up[feed_via] && !late -> pushed++ }
#else
	:: atomic { pushed < 2 && up[feed_via] -> pushed++ }
#endif
#ifndef FEED_WITHOUT_ACKS
	:: atomic { pushed < 2 && up[0] && feed_via != 0 -> feed_via = 0 }
	:: atomic { pushed < 2 && up[1] && feed_via != 1 -> feed_via = 1 }
#endif
	od
}

proctype Balancer(byte b) {
end:	do
	:: atomic { in_transit && receiver == b && up[b] -> in_transit = 0; receive_request(b) }
	/* the receiver has exited: the packet is lost */
	:: atomic { in_transit && receiver == b && !up[b] -> in_transit = 0 }
	:: atomic { up[b] && poll[b] != DRAINING && draining -> poll[b] = DRAINING }
	:: atomic { up[b] && poll[b] == UNPOLLED && !draining -> poll[b] = SERVING }
	:: atomic { up[b] && queued[b] && (started || MAY_FORWARD(b)) -> forward(b) }
#ifdef CHECK_ON_ENTRY
	:: atomic { up[b] && queued[b] && admitted[b] -> forward(b) }
#endif
	/* the request is cancelled at the upstream before it is refused, see once.pml */
	:: atomic { up[b] && queued[b] && late && poll[b] == DRAINING && !started ->
		queued[b] = 0; outcome = REFUSED }
#ifdef EXIT_REFUSES
	:: atomic { b == 0 && leaving && queued[b] && !started -> queued[b] = 0; outcome = REFUSED;
		assert(late) }
#endif
	od
}

#define MAY_EXIT (!queued[0] && !(via == 0 && outcome == WAIT) && leave_known && \
	!(in_transit && receiver == 0))

proctype Leave() {
	atomic { leaving = 1 }
	do
	:: atomic { !leave_known -> leave_known = 1 }
#ifdef EXIT_EARLY
	:: atomic { leave_known -> up[0] = 0; queued[0] = 0; break }
#elif defined(EXIT_UNANNOUNCED)
	:: atomic { !queued[0] && !(via == 0 && outcome == WAIT) -> up[0] = 0; break }
#elif defined(SINGLE_SEND)
	:: atomic { MAY_EXIT -> up[0] = 0; break }
#else
	:: atomic { MAY_EXIT -> up[0] = 0; break }
	:: atomic { leave_known -> up[0] = 0; queued[0] = 0; break } /* time limit of 30 s */
#endif
	od;
	if
	:: atomic { !leave_known -> leave_known = 1 } /* by failure detection */
	:: leave_known
	fi
}

proctype Drain() {
	draining = 1;
	poll_expired = 1; /* results from before the drain expire before the bound */
	late = 1
}

active proctype Quiescence() {
end:	do
	:: atomic { timeout ->
		assert(outcome != WAIT);             /* graceful_exit */
		assert(outcome != REFUSED || late);  /* graceful_exit */
		assert(!(outcome == REFUSED && started));
		assert(done && pushed == 2);         /* flow_survives */
		break }
	od
}

#ifdef REACH
active proctype Reach() {
end:	atomic {
#if REACH == 1
		outcome == ANSWERED && !up[0] && via == 1 && late
#elif REACH == 2
		outcome == REFUSED && !up[0]
#elif REACH == 3
		late && !up[0] && chunks == 0 && pushed == 0
#elif REACH == 4
		queued[0] && queued[1]
#elif REACH == 5
		queued[0] && late && leaving && !started
#endif
		-> assert(false) }
}
#endif

init { atomic { run Clients(); run Balancer(0); run Balancer(1); run Leave(); run Drain() } }
