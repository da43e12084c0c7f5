package store

import (
	"context"
	"fmt"

	"egretdock/core/fault"
	"egretdock/core/model"
	"egretdock/core/rules"
	"egretdock/io/config"
)

// appendTries bounds the races that one edit loses: each lost race means that
// another edit was accepted.
const appendTries = 64

// Accepted is the outcome of an accepted edit.
type Accepted struct {
	Change rules.Change
	Config model.Config
	// Recovered is true when an answer was lost and reading back showed that
	// the edit took effect.
	Recovered bool
}

// Append accepts an edit: it validates the change against the end of the log
// and creates the next object of the log. Repeating an edit with the same ID
// is safe. The error is a refusal by the rules, unavailable (the edit did not
// take effect), or unknown_outcome.
func (l *Log) Append(ctx context.Context, c rules.Change) (Accepted, error) {
	t, err := l.latest(ctx)
	if err != nil {
		return Accepted{}, err
	}
	if done, ok := accepted(t, c.ID); ok {
		return done, nil
	}
	cfg, lost := t.Config, false
	for range appendTries {
		entry, next, err := l.decide(ctx, cfg, c)
		if err != nil {
			return Accepted{}, unresolved(lost, err, c.ID)
		}
		err = l.create(ctx, entry)
		switch fault.KindOf(err) {
		case fault.KindConflict:
			// Another edit, or this one by a write whose answer was lost.
		case fault.KindUnknownOutcome:
			lost = true
		default:
			if err != nil {
				return Accepted{}, unresolved(lost, err, c.ID)
			}
			return l.settle(ctx, entry, next)
		}
		t, err := l.Advance(ctx, cfg)
		if err != nil {
			return Accepted{}, unresolved(lost, err, c.ID)
		}
		if done, ok := accepted(t, c.ID); ok {
			done.Recovered = true
			return done, nil
		}
		if t.Config.Revision > cfg.Revision {
			// Another edit took the place, so that the lost write has failed
			// or will fail.
			lost = false
		}
		cfg = t.Config
	}
	return Accepted{}, unresolved(lost, fault.New(fault.KindConflict, "other edits keep coming first", "try again"), c.ID)
}

func (l *Log) latest(ctx context.Context) (Tail, error) {
	l.mu.Lock()
	cfg := l.last
	l.mu.Unlock()
	if cfg.Revision == 0 {
		return l.Load(ctx)
	}
	return l.Advance(ctx, cfg)
}

func (l *Log) remember(cfg model.Config) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if cfg.Revision > l.last.Revision {
		l.last = cfg
	}
}

// decide validates the change against cfg. The host list and the status
// records matter only while releases are remembered.
func (l *Log) decide(ctx context.Context, cfg model.Config, c rules.Change) (rules.Change, model.Config, error) {
	var acks rules.Acks
	if len(cfg.Releases()) > 0 {
		var err error
		if acks, err = l.Acks(ctx); err != nil {
			return c, cfg, err
		}
	}
	return rules.Accept(cfg, c, acks)
}

func (l *Log) create(ctx context.Context, c rules.Change) error {
	b, err := config.EncodeChange(c)
	if err != nil {
		return err
	}
	_, err = l.objs.Put(ctx, changeKey(c.Revision), b, 0)
	return err
}

// settle checks that the created object is above the horizon. Below, its key
// was free only because the true change had been pruned.
func (l *Log) settle(ctx context.Context, c rules.Change, next model.Config) (Accepted, error) {
	h, err := l.horizon(ctx)
	if err != nil {
		return Accepted{}, unresolved(true, err, c.ID)
	}
	if c.Revision > h.Revision {
		l.remember(next)
		return Accepted{Change: c, Config: next}, nil
	}
	t, err := l.Load(ctx)
	if err != nil {
		return Accepted{}, unresolved(true, err, c.ID)
	}
	if done, ok := accepted(t, c.ID); ok {
		return done, nil
	}
	// Readers ignore the object, so that a failed deletion does no harm.
	_ = l.objs.Delete(ctx, changeKey(c.Revision))
	return Accepted{}, fault.New(fault.KindConflict, fmt.Sprintf("edit %s was based on revision %d, which is long past", c.ID, c.Revision-1), "run egretdock diff and apply again")
}

// Find returns the change with the given edit ID, if the log still holds it.
func (l *Log) Find(ctx context.Context, id string) (rules.Change, bool, error) {
	objs, _, err := l.objs.List(ctx, ChangePrefix)
	if err != nil {
		return rules.Change{}, false, err
	}
	h, err := l.horizon(ctx)
	if err != nil {
		return rules.Change{}, false, err
	}
	for _, o := range objs {
		c, err := config.DecodeChange(o.Value)
		if err == nil && c.ID == id && c.Revision > h.Revision {
			return c, true, nil
		}
	}
	return rules.Change{}, false, nil
}

// accepted looks for an edit in the part of the log just read and among the
// last edits of all objects.
func accepted(t Tail, id string) (Accepted, bool) {
	for _, c := range t.Changes {
		if c.ID == id {
			return Accepted{Change: c, Config: t.Config}, true
		}
	}
	for _, e := range t.Config.LastEdits() {
		if e.ID == id {
			return Accepted{Change: rules.Change{Revision: e.Revision, ID: e.ID, Author: e.Author}, Config: t.Config}, true
		}
	}
	return Accepted{}, false
}

// unresolved turns an error into an unknown outcome when a write is in doubt.
func unresolved(lost bool, err error, id string) error {
	if !lost {
		return err
	}
	return fault.Wrap(err, fault.KindUnknownOutcome, "it is not known whether edit "+id+" took effect",
		"repeat the command with -edit "+id+" once the platform answers; it takes effect at most once")
}
