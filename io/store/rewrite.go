package store

import (
	"context"
	"fmt"

	"egretdock/core/fault"
	"egretdock/core/rules"
)

// Rewrite writes the changes of a balancer again that the platform has lost, as it
// does when it is restored from a copy. list holds the latest changes that the
// balancer has in force, without a gap. It returns how many were written. The error
// is a conflict if another edit has taken a revision in the meantime.
func (l *Log) Rewrite(ctx context.Context, list []rules.Change) (int, error) {
	lost, err := l.lostChanges(ctx, list)
	if err != nil {
		return 0, err
	}
	for i, c := range lost {
		err := l.create(ctx, c)
		if fault.KindOf(err) == fault.KindConflict {
			// Another balancer may be writing the same changes.
			_, err = l.holds(ctx, c)
		}
		if err != nil {
			return i, err
		}
	}
	return len(lost), nil
}

// lostChanges returns the changes at the end of list that the log lacks.
func (l *Log) lostChanges(ctx context.Context, list []rules.Change) ([]rules.Change, error) {
	if len(list) == 0 {
		return nil, nil
	}
	// Usually nothing is lost, and one read shows it.
	if held, err := l.holds(ctx, list[len(list)-1]); held || err != nil {
		return nil, err
	}
	h, err := l.horizon(ctx)
	if err != nil {
		return nil, err
	}
	for i := len(list) - 1; i > 0; i-- {
		c := list[i-1]
		if c.Revision <= h.Revision {
			return list[i:], nil
		}
		held, err := l.holds(ctx, c)
		if held || err != nil {
			return list[i:], err
		}
	}
	if list[0].Revision == h.Revision+1 {
		return list, nil
	}
	// Changes above a gap would never be read, and the gap would be filled by other
	// edits.
	before := list[0].Revision - 1
	if _, err := l.change(ctx, before); err != nil {
		return nil, fault.Wrap(err, fault.KindUnavailable, fmt.Sprintf("the platform's log ends before revision %d, the first that is known here", before), "check that the platform has not lost data")
	}
	return list, nil
}

// holds reports whether the log has a change. It fails with a conflict if another
// edit has its revision.
func (l *Log) holds(ctx context.Context, c rules.Change) (bool, error) {
	got, err := l.change(ctx, c.Revision)
	switch {
	case fault.KindOf(err) == fault.KindNotFound:
		return false, nil
	case err != nil:
		return false, err
	case got.ID != c.ID:
		return false, fault.New(fault.KindConflict, fmt.Sprintf("the platform's log has edit %s at revision %d, where edit %s was accepted before", got.ID, c.Revision, c.ID), "apply edit "+c.ID+" again and restart the balancers one by one")
	}
	return true, nil
}
