/*
 * The change log. Two operators race for the next revision with create-if-absent;
 * operator 0 then backs its edit out. The platform may run a write late and more
 * than once, and may lose the response. Old changes are pruned. How balancers
 * apply the log is in apply.pml.
 *
 * Claims:
 *   total_order  a revision never changes its edit, and none is skipped
 *   accepted     an operator reports accepted only if its edit is in the log, and
 *                rejected only if it is not and never will be
 *   once         an edit is in the log at most once
 *   settled      at rest every operator has its verdict
 */

#define E1 1 /* edit of operator 0 */
#define E2 2 /* edit of operator 1 */
#define E3 3 /* back-out of E1 by operator 0 */

#define NONE     0
#define ACCEPTED 1
#define REJECTED 2

/* platform; revisions count from 1 */
byte obj[5];   /* edit in object change/<revision>; 0 when the key is absent */
byte truth[5]; /* edit that was created first at the revision */
byte head;
byte snap;     /* revision of the snapshot */

/* by edit */
byte pend[4];  /* bit set of revisions at which a create was sent */
byte okay[4];  /* bit set of revisions with a success response on the way */
byte verdict[4];
bool samekey;  /* E1 and E2 edit the same object */

#define BIT(n)    (1 << (n))
#define EXISTS(e) (truth[1] == e || truth[2] == e || truth[3] == e || truth[4] == e)

inline accept(e) { assert(EXISTS(e)); verdict[e] = ACCEPTED }
inline reject(e) { assert(!EXISTS(e)); verdict[e] = REJECTED }

proctype Operator(byte e) {
	byte n; /* revision of the create that is outstanding */
	/* E3 backs out E1 once that is accepted */
	if
	:: e != E3
	:: e == E3 && verdict[E1] != NONE
	fi;
	if
	:: e == E3 && verdict[E1] == REJECTED -> verdict[E3] = REJECTED
	:: else
	fi;
	do
	:: atomic { verdict[e] != NONE -> break }
	:: atomic { verdict[e] == NONE && n == 0 ->
		/* validate against the state at the head, then create the next revision */
		if
		:: samekey && e != E3 && (EXISTS(E1) || EXISTS(E2)) -> reject(e)
		:: else -> n = head + 1; pend[e] = pend[e] | BIT(n)
		fi }
	:: atomic { n != 0 && verdict[e] == NONE && (okay[e] & BIT(n)) -> accept(e) }
#ifdef LOST_IS_REJECTED
	:: atomic { n != 0 && verdict[e] == NONE -> reject(e) }
#endif
	/* the response is lost, or says that the key exists: read the object */
	:: atomic { n != 0 && verdict[e] == NONE && truth[n] != 0 ->
		if
#ifndef EXISTS_IS_CONFLICT
		:: truth[n] == e -> accept(e)
		:: truth[n] != e && samekey && e != E3 -> reject(e)
		:: truth[n] != e && !(samekey && e != E3) -> n = 0
#else
		:: reject(e)
#endif
		fi }
#ifdef RETRY_UNREAD
	:: atomic { n != 0 && verdict[e] == NONE && truth[n] == e && head < 2 && !samekey -> n = 0 }
#endif
	/* absent: the create may still run, so the operator repeats it at the same
	   revision (no step here, pend keeps it) and reports no verdict */
#ifdef ABSENT_IS_REJECTED
	:: atomic { n != 0 && verdict[e] == NONE && truth[n] == 0 -> reject(e) }
#endif
	od
}

#ifdef OVERWRITE
#define CAN(e, n) ((pend[e] & BIT(n)) && obj[n] != e)
#else
#define CAN(e, n) ((pend[e] & BIT(n)) && obj[n] == 0)
#endif

inline create(e, n) {
	assert(truth[n] == 0 || truth[n] == e); /* total_order */
	assert(n == 1 || truth[n - 1] != 0);    /* total_order */
	assert(verdict[e] != REJECTED);         /* accepted */
	assert(!EXISTS(e) || truth[n] == e);    /* once */
	obj[n] = e;
	truth[n] = e;
	if
	:: head < n -> head = n
	:: else
	fi;
	if
	:: okay[e] = okay[e] | BIT(n)
	:: skip /* the response is lost */
	fi
}

/* A create that was sent may run at any time, also long after the operator gave
   it up; while the key exists it has no effect. */
proctype Create(byte e) {
end:	do
	:: atomic { CAN(e, 1) -> create(e, 1) }
	:: atomic { CAN(e, 2) -> create(e, 2) }
	:: atomic { CAN(e, 3) -> create(e, 3) }
	od
}

proctype Pruner() {
end:	do
	:: atomic { snap < head -> snap++ }
	/* Pruning empties the body of a change and keeps its key and edit id. */
#ifdef PRUNE_DELETES
	:: atomic { snap > 1 && obj[1] != 0 -> obj[1] = 0 }
#endif
	od
}

#define VERDICTS (verdict[E1] != NONE && verdict[E2] != NONE && verdict[E3] != NONE)

active proctype Rest() {
end:	do
	:: atomic { timeout -> assert(VERDICTS); break } /* settled */
	od
}

#ifdef REACH
active proctype Reach() {
end:	atomic {
#if REACH == 1
		verdict[E1] == ACCEPTED && verdict[E2] == REJECTED
#elif REACH == 2
		verdict[E1] == REJECTED && verdict[E2] == ACCEPTED
#elif REACH == 3
		head == 3 && VERDICTS && snap == 3
#elif REACH == 4
		/* accepted although the response was lost */
		verdict[E2] == ACCEPTED && okay[E2] == 0
#endif
		-> assert(false) }
}
#endif

init {
	atomic {
		if
		:: samekey = 0
		:: samekey = 1
		fi;
		run Operator(E1); run Operator(E2); run Operator(E3);
		run Create(E1); run Create(E2); run Create(E3); run Pruner()
	}
}
