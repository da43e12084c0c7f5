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

// keepChanges is the number of changes kept for peers that lag. At 4,700
// changes a day, 256 cover more than an hour; a peer that lags more gets a
// snapshot.
const keepChanges = 256

// ActiveConfig holds the configuration in force. It only moves forward. Safe for
// concurrent use.
type ActiveConfig struct {
	deliver func(model.Config)

	mu  sync.Mutex
	cfg model.Config
	// recent are the last changes without a gap, up to cfg.
	recent []rules.Change
}

// NewActiveConfig returns a keeper of the empty configuration. deliver gets each new
// configuration, one at a time and in order; it must not block.
func NewActiveConfig(deliver func(model.Config)) *ActiveConfig { return &ActiveConfig{deliver: deliver} }

// Config returns the configuration in force.
func (k *ActiveConfig) Config() model.Config {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.cfg
}

// Since returns what follows a revision.
func (k *ActiveConfig) Since(after uint64) peers.Update {
	k.mu.Lock()
	defer k.mu.Unlock()
	if after >= k.cfg.Revision {
		return &peers.Changes{}
	}
	first := k.cfg.Revision - uint64(len(k.recent))
	if after < first {
		return &peers.Snapshot{Config: k.cfg}
	}
	return &peers.Changes{List: append([]rules.Change(nil), k.recent[after-first:]...)}
}

// Apply takes what is newer than the configuration in force and ignores the
// rest.
func (k *ActiveConfig) Apply(u peers.Update) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	before := k.cfg.Revision
	err := k.take(u)
	if k.cfg.Revision > before {
		k.deliver(k.cfg)
	}
	return err
}

func (k *ActiveConfig) take(u peers.Update) error {
	switch u := u.(type) {
	case *peers.Changes:
		for _, c := range u.List {
			if c.Revision <= k.cfg.Revision {
				continue
			}
			next, err := rules.Replay(k.cfg, c)
			if err != nil {
				return fault.Wrap(err, fault.KindInternal, "a change from the log does not apply", "")
			}
			k.cfg = next
			k.recent = append(k.recent, c)
		}
		if n := len(k.recent) - keepChanges; n > 0 {
			k.recent = append([]rules.Change(nil), k.recent[n:]...)
		}
	case *peers.Snapshot:
		if u.Config.Revision > k.cfg.Revision {
			k.cfg, k.recent = u.Config, nil
		}
	}
	return nil
}
