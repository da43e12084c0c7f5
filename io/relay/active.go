// Package relay keeps the configuration of a balancer current. In each data
// centre one balancer, the relay, holds a lease and watches the platform; all
// others learn of new revisions from gossip and fetch them from peers.
package relay

import (
	"sync"

	"egretdock/core/fault"
	"egretdock/core/model"
	"egretdock/core/rules"
	"egretdock/io/peers"
)

// maxRecentChanges is the number of changes kept for lagging peers. At 4,700
// changes a day, 256 cover more than an hour; a peer that lags further gets a
// snapshot.
const maxRecentChanges = 256

// ActiveConfig holds the configuration in force and the latest changes to it.
// Its revision never decreases. Safe for concurrent use.
type ActiveConfig struct {
	onChange func(model.Config)
	// applyMu orders the calls of Apply and of onChange. It is taken before mu.
	applyMu sync.Mutex

	mu  sync.Mutex
	cfg model.Config
	// recent holds the latest changes, without a gap; the last one leads to
	// cfg.
	recent []rules.Change
}

// NewActiveConfig returns an ActiveConfig with the empty configuration.
// onChange is called with each new configuration, one at a time and in order. It
// may call Config and UpdateSince, but not Apply.
func NewActiveConfig(onChange func(model.Config)) *ActiveConfig {
	return &ActiveConfig{onChange: onChange}
}

// Config returns the configuration in force.
func (a *ActiveConfig) Config() model.Config {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.cfg
}

// Recent returns the latest changes that led to the configuration in force, without
// a gap; none after a snapshot.
func (a *ActiveConfig) Recent() []rules.Change {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]rules.Change(nil), a.recent...)
}

// UpdateSince returns the changes after a revision, or a snapshot when the changes
// kept do not reach back that far.
func (a *ActiveConfig) UpdateSince(after uint64) peers.Update {
	a.mu.Lock()
	defer a.mu.Unlock()
	if after >= a.cfg.Revision {
		return &peers.Changes{}
	}
	first := a.cfg.Revision - uint64(len(a.recent))
	if after < first {
		return &peers.Snapshot{Config: a.cfg}
	}
	return &peers.Changes{List: append([]rules.Change(nil), a.recent[after-first:]...)}
}

// Apply applies the changes or the snapshot of an update. Changes and snapshots
// that are not newer than the configuration in force are ignored.
func (a *ActiveConfig) Apply(u peers.Update) error {
	a.applyMu.Lock()
	defer a.applyMu.Unlock()
	before := a.Config().Revision
	err := a.update(u)
	// mu is not held: onChange waits for the engine, and the configuration can be
	// read meanwhile.
	if cfg := a.Config(); cfg.Revision > before {
		a.onChange(cfg)
	}
	return err
}

func (a *ActiveConfig) update(u peers.Update) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch u := u.(type) {
	case *peers.Changes:
		for _, c := range u.List {
			if c.Revision <= a.cfg.Revision {
				continue
			}
			next, err := rules.Replay(a.cfg, c)
			if err != nil {
				return fault.Wrap(err, fault.KindInternal, "a change from the log can't be applied", "")
			}
			a.cfg = next
			a.recent = append(a.recent, c)
		}
		if n := len(a.recent) - maxRecentChanges; n > 0 {
			a.recent = append([]rules.Change(nil), a.recent[n:]...)
		}
	case *peers.Snapshot:
		if u.Config.Revision > a.cfg.Revision {
			a.cfg, a.recent = u.Config, nil
		}
	}
	return nil
}
