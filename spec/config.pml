/*
 * The change log. Two operators compete for the next revision with
 * create-if-absent; operator 0 then backs out its edit. The platform may execute
 * a write late and more than once, and may lose the response. Old changes are
 * pruned. apply.pml models how balancers apply the log.
 *
 * Claims:
 *   total_order  a revision holds the same edit forever, and none is skipped
 *   accepted     an operator reports accepted only if its edit is in the log, and
 *                rejected only if the edit is not and never will be in it
 *   once         an edit is in the log at most once
 *   settled      once no step is possible, every operator has its verdict
 */

#define E1 1 /* edit of operator 0 */
#define E2 2 /* edit of operator 1 */
#define E3 3 /* back-out of E1 by operator 0 */

#define NONE     0
#define ACCEPTED 1
#define REJECTED 2

/* platform; revisions count from 1 */
byte obj[5];   /* edit in object change/<revision>; 0 when the key is absent */
byte truth[5]; /* edit that was first created at the revision; 0 for none */
byte head;
byte snapshot; /* revision of the snapshot */

/* by edit */
byte sent[4];    /* bit set of revisions at which a create was sent */
byte success[4]; /* bit set of revisions with a success response that was not lost */
byte verdict[4];
bool same_object; /* E1 and E2 edit the same object */

#define BIT(n)    (1 << (n))
#define IN_LOG(e) (truth[1] == e || truth[2] == e || truth[3] == e || truth[4] == e)

inline accept(e) { assert(IN_LOG(e)); verdict[e] = ACCEPTED }
inline reject(e) { assert(!IN_LOG(e)); verdict[e] = REJECTED }

proctype Operator(byte e) {
	byte n; /* revision of the outstanding create; 0 for none */
	/* E3 backs out E1, so it waits for E1's verdict; if E1 is rejected, so is E3 */
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
		:: same_object && e != E3 && (IN_LOG(E1) || IN_LOG(E2)) -> reject(e)
		:: else -> n = head + 1; sent[e] = sent[e] | BIT(n)
		fi }
	:: atomic { n != 0 && verdict[e] == NONE && (success[e] & BIT(n)) -> accept(e) }
#ifdef LOST_IS_REJECTED
	:: atomic { n != 0 && verdict[e] == NONE -> reject(e) }
#endif
	/* the response was lost or reports that the key exists: read the object */
	:: atomic { n != 0 && verdict[e] == NONE && truth[n] != 0 ->
		if
#ifndef EXISTS_IS_CONFLICT
		:: truth[n] == e -> accept(e)
		:: truth[n] != e && same_object && e != E3 -> reject(e)
		:: truth[n] != e && !(same_object && e != E3) -> n = 0
#else
		:: reject(e)
#endif
		fi }
#ifdef RETRY_UNREAD
	:: atomic { n != 0 && verdict[e] == NONE && truth[n] == e && head < 2 && !same_object -> n = 0 }
#endif
	/* The object is absent: the create may still be executed, so the operator
	   retries at the same revision and reports no verdict. This needs no step,
	   because a create in sent may be executed any number of times. */
#ifdef ABSENT_IS_REJECTED
	:: atomic { n != 0 && verdict[e] == NONE && truth[n] == 0 -> reject(e) }
#endif
	od
}

#ifdef OVERWRITE
#define CAN_CREATE(e, n) ((sent[e] & BIT(n)) && obj[n] != e)
#else
#define CAN_CREATE(e, n) ((sent[e] & BIT(n)) && obj[n] == 0)
#endif

inline create(e, n) {
	assert(truth[n] == 0 || truth[n] == e); /* total_order */
	assert(n == 1 || truth[n - 1] != 0);    /* total_order */
	assert(verdict[e] != REJECTED);         /* accepted */
	assert(!IN_LOG(e) || truth[n] == e);    /* once */
	obj[n] = e;
	truth[n] = e;
	if
	:: head < n -> head = n
	:: else
	fi;
	if
	:: success[e] = success[e] | BIT(n)
	:: skip /* the response is lost */
	fi
}

/* A create that was sent may be executed at any time, even after the operator
   stopped waiting for it; while the key exists it has no effect. */
proctype Create(byte e) {
end:	do
	:: atomic { CAN_CREATE(e, 1) -> create(e, 1) }
	:: atomic { CAN_CREATE(e, 2) -> create(e, 2) }
	:: atomic { CAN_CREATE(e, 3) -> create(e, 3) }
	od
}

proctype Pruner() {
end:	do
	:: atomic { snapshot < head -> snapshot++ }
	/* Pruning removes the body of a change and keeps its key and edit id, so it
	   changes no state of this model. */
#ifdef PRUNE_DELETES
	:: atomic { snapshot > 1 && obj[1] != 0 -> obj[1] = 0 }
#endif
	od
}

#define ALL_DECIDED (verdict[E1] != NONE && verdict[E2] != NONE && verdict[E3] != NONE)

active proctype Quiescence() {
end:	do
	:: atomic { timeout -> assert(ALL_DECIDED); break } /* settled */
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
		head == 3 && ALL_DECIDED && snapshot == 3
#elif REACH == 4
		/* accepted although the response was lost */
		verdict[E2] == ACCEPTED && success[E2] == 0
#endif
		-> assert(false) }
}
#endif

init {
	atomic {
		if
		:: same_object = 0
		:: same_object = 1
		fi;
		run Operator(E1); run Operator(E2); run Operator(E3);
		run Create(E1); run Create(E2); run Create(E3); run Pruner()
	}
}
