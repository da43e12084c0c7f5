package store

import (
	"context"
	"fmt"

	"egretdock/core/fault"
	"egretdock/core/model"
	"egretdock/core/rules"
	"egretdock/io/config"
)

// maxAppendAttempts bounds the attempts to append one edit. An attempt fails
// when another edit is accepted first.
const maxAppendAttempts = 64

// Accepted is the outcome of an accepted edit.
type Accepted struct {
	Change rules.Change
	Config model.Config
	// Recovered is true when the response to the write was lost and reading the
	// log showed that the edit took effect.
	Recovered bool
}

// Append validates an edit against the end of the log and creates the next
// object of the log from it. Repeating an edit with the same ID is safe. The
// error is a refusal by the rules, unavailable (the edit did not take effect),
// or unknown_outcome.
func (l *Log) Append(ctx context.Context, c rules.Change) (Accepted, error) {
	t, err := l.loadLatest(ctx)
	if err != nil {
		return Accepted{}, err
	}
	if done, ok := findAccepted(t, c.ID); ok {
		return done, nil
	}
	cfg, inDoubt := t.Config, false
	outrun := fault.New(fault.KindConflict, "other edits were accepted first on every attempt", "try again")
	var lastErr error = outrun
	for range maxAppendAttempts {
		entry, next, err := l.validate(ctx, cfg, c)
		if err != nil {
			return Accepted{}, outcomeError(inDoubt, err, c.ID)
		}
		err = l.create(ctx, entry)
		switch fault.KindOf(err) {
		case fault.KindConflict:
			// The object was created by another edit, or by an earlier write of
			// this edit whose response was lost.
			lastErr = outrun
		case fault.KindUnknownOutcome:
			inDoubt, lastErr = true, err
		default:
			if err != nil {
				return Accepted{}, outcomeError(inDoubt, err, c.ID)
			}
			return l.confirm(ctx, entry, next)
		}
		t, err := l.LoadSince(ctx, cfg)
		if err != nil {
			return Accepted{}, outcomeError(inDoubt, err, c.ID)
		}
		if done, ok := findAccepted(t, c.ID); ok {
			done.Recovered = true
			return done, nil
		}
		if t.Config.Revision > cfg.Revision {
			// Another edit has the revision, so that the write in doubt has
			// failed or will fail.
			inDoubt, lastErr = false, outrun
		}
		cfg = t.Config
	}
	return Accepted{}, outcomeError(inDoubt, lastErr, c.ID)
}

func (l *Log) loadLatest(ctx context.Context) (Tail, error) {
	l.mu.Lock()
	cfg := l.cached
	l.mu.Unlock()
	if cfg.Revision == 0 {
		return l.Load(ctx)
	}
	return l.LoadSince(ctx, cfg)
}

func (l *Log) cache(cfg model.Config) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if cfg.Revision > l.cached.Revision {
		l.cached = cfg
	}
}

// validate checks the change against cfg. It reads the host list and the status
// records only if cfg has release records, which depend on acknowledgements.
func (l *Log) validate(ctx context.Context, cfg model.Config, c rules.Change) (rules.Change, model.Config, error) {
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
	_, err = l.objects.Put(ctx, changeKey(c.Revision), b, 0)
	return err
}

// confirm checks that the created object is above the horizon. Otherwise its
// key was free only because the change of that revision had been pruned.
func (l *Log) confirm(ctx context.Context, c rules.Change, next model.Config) (Accepted, error) {
	h, err := l.horizon(ctx)
	if err != nil {
		return Accepted{}, outcomeError(true, err, c.ID)
	}
	if c.Revision > h.Revision {
		l.cache(next)
		return Accepted{Change: c, Config: next}, nil
	}
	t, err := l.Load(ctx)
	if err != nil {
		return Accepted{}, outcomeError(true, err, c.ID)
	}
	if done, ok := findAccepted(t, c.ID); ok {
		return done, nil
	}
	// Readers ignore the object, so that a failed deletion is harmless.
	_ = l.objects.Delete(ctx, changeKey(c.Revision))
	return Accepted{}, fault.New(fault.KindConflict, fmt.Sprintf("edit %s was based on revision %d, which has been pruned from the log", c.ID, c.Revision-1), "run egretdock diff and apply again")
}

// FindEdit returns the change with the given edit ID, if it was not pruned.
func (l *Log) FindEdit(ctx context.Context, id string) (rules.Change, bool, error) {
	objs, _, err := l.objects.List(ctx, ChangePrefix)
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

// findAccepted looks for an edit in the changes just read and among the last
// edits of all objects.
func findAccepted(t Tail, id string) (Accepted, bool) {
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

// outcomeError turns an error into an unknown outcome when a write of the edit
// is in doubt.
func outcomeError(inDoubt bool, err error, id string) error {
	if !inDoubt {
		return err
	}
	return fault.Wrap(err, fault.KindUnknownOutcome, "it is not known whether edit "+id+" took effect",
		"repeat the command with -edit "+id+" once the platform answers; it takes effect at most once")
}
