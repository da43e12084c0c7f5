package store

import (
	"context"
	"encoding/json"
	"strconv"
	"sync"

	"egretdock/core/fault"
	"egretdock/core/model"
	"egretdock/core/rules"
	"egretdock/io/config"
)

// Keys in the platform.
const (
	ChangePrefix = "change/"
	HostPrefix   = "hosts/"
	StatusPrefix = "status/"
	leasePrefix  = "lease/"
	snapshotKey  = "snapshot"
	horizonKey   = "horizon"
)

// loadTries is how often the log may be pruned while it is read.
const loadTries = 3

func changeKey(rev uint64) string { return ChangePrefix + strconv.FormatUint(rev, 10) }

// Log is the totally ordered log of changes in the platform. An edit is
// accepted exactly when its object change/<revision> exists above the horizon.
// Safe for concurrent use.
type Log struct {
	objs ObjectStore

	// mu protects last, the configuration at the end of the last append. It
	// spares a series of edits from loading the snapshot each time.
	mu   sync.Mutex
	last model.Config
}

// NewLog returns the log in the given store.
func NewLog(objs ObjectStore) *Log { return &Log{objs: objs} }

// Horizon tells which part of the log is gone. It only moves forward.
//
// Changes up to Revision may be deleted. An operator's process that was paused
// since before can still create one of them, since its key is free. Therefore
// whoever reads or creates a change reads the horizon afterwards, and ignores
// changes up to it.
type Horizon struct {
	Revision uint64 `json:"revision"`
	// SnapshotRevision is the revision of the last snapshot; at least Revision.
	SnapshotRevision uint64 `json:"snapshot"`
	// DeletedRevision is the revision up to which deletion is finished.
	DeletedRevision uint64 `json:"deleted"`

	version uint64
}

// Tail is the result of reading the log.
type Tail struct {
	// Config is the configuration at the end of the log.
	Config model.Config
	// Changes lead there from the configuration given; nil when the part in
	// between is gone and Config comes from the snapshot.
	Changes []rules.Change
	Horizon Horizon
}

// Load returns the configuration at the end of the log.
func (l *Log) Load(ctx context.Context) (Tail, error) {
	for range loadTries {
		cfg, _, err := l.snapshot(ctx)
		if err != nil {
			return Tail{}, err
		}
		t, ok, err := l.read(ctx, cfg)
		if ok || err != nil {
			return t, err
		}
		// A newer snapshot was written and the log pruned in between.
	}
	return Tail{}, fault.New(fault.KindUnavailable, "the snapshot in the platform is older than the log", "check that the platform has not lost data")
}

// LoadSince returns the configuration at the end of the log, reading only what
// follows cfg where possible.
func (l *Log) LoadSince(ctx context.Context, cfg model.Config) (Tail, error) {
	t, ok, err := l.read(ctx, cfg)
	if ok || err != nil {
		return t, err
	}
	t, err = l.Load(ctx)
	if err == nil && t.Config.Revision < cfg.Revision {
		return Tail{}, fault.New(fault.KindUnavailable, "the platform's log ends before the revision in force", "check that the platform has not lost data")
	}
	t.Changes = nil
	return t, err
}

// read returns false when the horizon has passed cfg.
func (l *Log) read(ctx context.Context, cfg model.Config) (Tail, bool, error) {
	t := Tail{Config: cfg}
	for {
		c, err := l.change(ctx, t.Config.Revision+1)
		if fault.KindOf(err) == fault.KindNotFound {
			break
		}
		if err != nil {
			return Tail{}, false, err
		}
		next, err := rules.Replay(t.Config, c)
		if err != nil {
			h, herr := l.horizon(ctx)
			if herr == nil && h.Revision > cfg.Revision {
				return Tail{}, false, nil
			}
			return Tail{}, false, fault.Wrap(err, fault.KindInternal, "the log holds a change that does not apply", "")
		}
		t.Config, t.Changes = next, append(t.Changes, c)
	}
	h, err := l.horizon(ctx)
	t.Horizon = h
	return t, err == nil && h.Revision <= cfg.Revision, err
}

// change reads one change. Its place in the log is its key.
func (l *Log) change(ctx context.Context, rev uint64) (rules.Change, error) {
	o, err := l.objs.Get(ctx, changeKey(rev))
	if err != nil {
		return rules.Change{}, err
	}
	c, err := config.DecodeChange(o.Value)
	return c.WithRevision(rev), err
}

// Change returns the change at a revision, when the log still holds it.
func (l *Log) Change(ctx context.Context, rev uint64) (rules.Change, error) {
	return l.change(ctx, rev)
}

// WaitForChange waits until a change after the version of the store appears, or for
// the platform's longest wait. It returns the version to continue from.
func (l *Log) WaitForChange(ctx context.Context, from uint64) (uint64, error) {
	_, version, err := l.objs.Watch(ctx, ChangePrefix, from)
	return max(from, version), err
}

func (l *Log) snapshot(ctx context.Context) (model.Config, uint64, error) {
	o, err := l.objs.Get(ctx, snapshotKey)
	if fault.KindOf(err) == fault.KindNotFound {
		return model.Config{}, 0, nil
	}
	if err != nil {
		return model.Config{}, 0, err
	}
	cfg, err := config.DecodeSnapshot(o.Value)
	return cfg, o.Version, err
}

func (l *Log) horizon(ctx context.Context) (Horizon, error) {
	var h Horizon
	version, err := l.record(ctx, horizonKey, &h)
	h.version = version
	return h, err
}

// record reads a JSON object; version 0 means that there is none.
func (l *Log) record(ctx context.Context, key string, dst any) (version uint64, err error) {
	o, err := l.objs.Get(ctx, key)
	if fault.KindOf(err) == fault.KindNotFound {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	if err := json.Unmarshal(o.Value, dst); err != nil {
		return 0, fault.Wrap(err, fault.KindInvalid, "object "+key+" can't be decoded", "check that all processes run the same version")
	}
	return o.Version, nil
}

func (l *Log) putRecord(ctx context.Context, key string, v any, version uint64) (uint64, error) {
	b, err := json.Marshal(v)
	if err != nil {
		return 0, err
	}
	return l.objs.Put(ctx, key, b, version)
}
