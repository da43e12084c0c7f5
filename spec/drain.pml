/*
 * An upstream drains while one of two balancers leaves. Balancer 0 owns the
 * upstream until it leaves, then balancer 1 does; views of this differ for a
 * while. Three kinds of work: a request on an established flow, an upload in
 * progress (two chunks, then a final request), a feed with two pushes. The
 * bound of the drain is the step `late`. Forwarding to the upstream is one step,
 * so the bound includes the transit time.
 *
 * Claims:
 *   drain_stops    the upstream starts no new request after the bound
 *   flow_survives  at rest the upload is complete and every push has arrived
 *   graceful_exit  at rest the request is answered, or refused because of the
 *                  drain; never left open and never refused because of the exit
 *
 * With SINGLE_SEND the client sends the request once and the exit has no time
 * bound: then the exit alone must not lose it.
 */

#define WAIT     0
#define ANSWERED 1
#define REFUSED  2

#define UNPOLLED 0
#define SERVING  1
#define DRAINING 2

#define NOBODY 2

/* upstream */
bool draining;
bool late;       /* the bound has passed */
bool expired;    /* poll results from before the drain are too old to use */
bool started;
byte via = NOBODY; /* balancer that forwarded the request last */
byte chunks;
byte fvia = 0;   /* balancer that forwarded the feed's last packet */

/* balancers */
bool up[2] = 1;
bool leaving;    /* balancer 0 */
bool told;       /* balancer 1 has learned that 0 leaves */
byte poll[2];
bool q[2];       /* the request is queued */
bool granted[2]; /* the check at the entry of the queue; used by one fault only */
bool hop;        /* the request is under way from balancer 0 to 1 or back */
bool tohop;      /* its receiver */

/* clients */
byte sent;
byte outcome = WAIT;
byte pushed;     /* pushes that arrived */
bool done;       /* the upload was answered */

/* A balancer that knows of the drain knows its bound too. */
#define KNOWN(b) (poll[b] == DRAINING && !late)
#ifdef STALE_POLL
#define OPEN(b) (poll[b] == SERVING || KNOWN(b))
#elif defined(UNPOLLED_ADMITS)
#define OPEN(b) ((poll[b] == SERVING && !expired) || KNOWN(b) || poll[b] == UNPOLLED)
#else
#define OPEN(b) ((poll[b] == SERVING && !expired) || KNOWN(b))
#endif

#ifdef SINGLE_SEND
#define MAYSEND (sent == 0)
#else
/* two retransmissions at any time, further ones once all copies are lost */
#define MAYSEND (sent < 3 || (!q[0] && !q[1] && !hop && (via == NOBODY || !up[via])))
#endif

/* take handles the request at balancer b. */
inline take(b) {
	if
	:: b == 0 && leaving && !q[0] -> hop = 1; tohop = 1
	:: else ->
#ifdef CHECK_ON_ENTRY
		granted[b] = OPEN(b);
#endif
		q[b] = 1
	fi
}

inline forward(b) {
	q[b] = 0;
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
	:: atomic { outcome == WAIT && MAYSEND ->
		if
		:: up[0] -> b = 0
		:: up[1] -> b = 1
		fi;
		if
		:: sent < 3 -> sent++
		:: else
		fi;
		/* a balancer passes the request to the owner that it knows */
		if
		:: b == 1 && !told -> hop = 1; tohop = 0
		:: else -> take(b)
		fi; b = 0 }
	/* the answer reaches the client through the balancer that forwarded */
	:: atomic { outcome == WAIT && started && via != NOBODY && up[via] -> outcome = ANSWERED }
	/* chunks need no owner; the table of an older generation still routes them */
#ifdef GENERATION_DROPPED
	:: atomic { chunks < 2 && !draining -> chunks++ }
#else
	:: atomic { chunks < 2 -> chunks++ }
#endif
	/* the final request belongs to work in progress */
#ifdef DRAIN_BLOCKS_UPLOAD
	:: atomic { chunks == 2 && !done && !draining -> done = 1 }
#else
	:: atomic { chunks == 2 && !done -> done = 1 }
#endif
	/* a push travels through the balancer that forwarded the last ack */
#ifdef DRAIN_CLOSES_FEED
	:: atomic { pushed < 2 && up[fvia] && !late -> pushed++ }
#else
	:: atomic { pushed < 2 && up[fvia] -> pushed++ }
#endif
#ifndef FEED_WITHOUT_ACKS
	:: atomic { pushed < 2 && up[0] && fvia != 0 -> fvia = 0 }
	:: atomic { pushed < 2 && up[1] && fvia != 1 -> fvia = 1 }
#endif
	od
}

proctype Balancer(byte b) {
end:	do
	:: atomic { hop && tohop == b && up[b] -> hop = 0; take(b) }
	/* the receiver has exited: the packet is lost */
	:: atomic { hop && tohop == b && !up[b] -> hop = 0 }
	:: atomic { up[b] && poll[b] != DRAINING && draining -> poll[b] = DRAINING }
	:: atomic { up[b] && poll[b] == UNPOLLED && !draining -> poll[b] = SERVING }
	:: atomic { up[b] && q[b] && (started || OPEN(b)) -> forward(b) }
#ifdef CHECK_ON_ENTRY
	:: atomic { up[b] && q[b] && granted[b] -> forward(b) }
#endif
	/* refused through a cancel at the upstream, see once.pml */
	:: atomic { up[b] && q[b] && late && poll[b] == DRAINING && !started -> q[b] = 0; outcome = REFUSED }
#ifdef EXIT_REFUSES
	:: atomic { b == 0 && leaving && q[b] && !started -> q[b] = 0; outcome = REFUSED;
		assert(late) }
#endif
	od
}

#define IDLE (!q[0] && !(via == 0 && outcome == WAIT) && told && !(hop && tohop == 0))

proctype Leave() {
	atomic { leaving = 1 }
	do
	:: atomic { !told -> told = 1 }
#ifdef EXIT_EARLY
	:: atomic { told -> up[0] = 0; q[0] = 0; break }
#elif defined(EXIT_UNANNOUNCED)
	:: atomic { !q[0] && !(via == 0 && outcome == WAIT) -> up[0] = 0; break }
#elif defined(SINGLE_SEND)
	:: atomic { IDLE -> up[0] = 0; break }
#else
	:: atomic { IDLE -> up[0] = 0; break }
	:: atomic { told -> up[0] = 0; q[0] = 0; break } /* after 30 s */
#endif
	od;
	if
	:: atomic { !told -> told = 1 } /* by suspicion */
	:: told
	fi
}

proctype Drain() {
	draining = 1;
	expired = 1; /* results from before the drain expire before the bound */
	late = 1
}

active proctype Rest() {
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
		q[0] && q[1]
#elif REACH == 5
		q[0] && late && leaving && !started
#endif
		-> assert(false) }
}
#endif

init { atomic { run Clients(); run Balancer(0); run Balancer(1); run Leave(); run Drain() } }
