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

// Keys and key prefixes in the platform.
const (
	ChangePrefix = "change/"
	HostPrefix   = "hosts/"
	StatusPrefix = "status/"
	leasePrefix  = "lease/"
	snapshotKey  = "snapshot"
	horizonKey   = "horizon"
)

// maxLoadAttempts bounds the attempts of Load: one fails when the log is pruned
// while it is read.
const maxLoadAttempts = 3

func changeKey(rev uint64) string { return ChangePrefix + strconv.FormatUint(rev, 10) }

// Log is the totally ordered log of changes in the platform. An edit is
// accepted exactly when its object change/<revision> exists above the horizon.
// Safe for concurrent use.
type Log struct {
	objects ObjectStore

	// mu protects cached, the configuration after the last append. With it, a
	// series of edits need not load the snapshot for each.
	mu     sync.Mutex
	cached model.Config
}

// NewLog returns the log in the given store.
func NewLog(objects ObjectStore) *Log { return &Log{objects: objects} }

// Horizon is the record of how far the log has been pruned. Its revisions never
// decrease.
//
// Changes up to Revision may have been deleted. A writer that was paused while
// they were deleted can create one of them again, since the key is free.
// Therefore every process reads the horizon after it has read or created a
// change, and ignores changes up to Revision.
type Horizon struct {
	Revision uint64 `json:"revision"`
	// SnapshotRevision is the revision of the last snapshot; it is at least
	// Revision.
	SnapshotRevision uint64 `json:"snapshot"`
	// DeletedRevision is the revision up to which all changes are deleted.
	DeletedRevision uint64 `json:"deleted"`

	version uint64
}

// Tail is the result of reading the log to its end.
type Tail struct {
	// Config is the configuration at the end of the log.
	Config model.Config
	// Changes lead from the configuration that reading started with to Config;
	// nil when some of them were pruned and Config comes from the snapshot.
	Changes []rules.Change
	Horizon Horizon
}

// Load returns the configuration at the end of the log.
func (l *Log) Load(ctx context.Context) (Tail, error) {
	for range maxLoadAttempts {
		cfg, _, err := l.snapshot(ctx)
		if err != nil {
			return Tail{}, err
		}
		t, ok, err := l.read(ctx, cfg)
		if ok || err != nil {
			return t, err
		}
		// Meanwhile a newer snapshot was written and the log pruned.
	}
	return Tail{}, fault.New(fault.KindUnavailable, "the snapshot in the platform is older than the log", "check that the platform has not lost data")
}

// LoadSince returns the configuration at the end of the log. It reads only the
// changes after cfg unless they were pruned.
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

// read reads the changes after cfg. It returns false when some of them were
// pruned.
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
			return Tail{}, false, fault.Wrap(err, fault.KindInternal, "a change from the log can't be applied", "")
		}
		t.Config, t.Changes = next, append(t.Changes, c)
	}
	h, err := l.horizon(ctx)
	t.Horizon = h
	return t, err == nil && h.Revision <= cfg.Revision, err
}

// change reads one change. Its revision is given by its key.
func (l *Log) change(ctx context.Context, rev uint64) (rules.Change, error) {
	o, err := l.objects.Get(ctx, changeKey(rev))
	if err != nil {
		return rules.Change{}, err
	}
	c, err := config.DecodeChange(o.Value)
	return c.WithRevision(rev), err
}

// Change returns the change at a revision, if it was not pruned.
func (l *Log) Change(ctx context.Context, rev uint64) (rules.Change, error) {
	return l.change(ctx, rev)
}

// WaitForChange waits until a change is written after the store's version from,
// or until the platform ends the wait. It returns the version to continue from.
func (l *Log) WaitForChange(ctx context.Context, from uint64) (uint64, error) {
	_, version, err := l.objects.Watch(ctx, ChangePrefix, from)
	if err != nil {
		return from, err
	}
	// The version is lower than from if the platform was restored from a copy.
	return version, nil
}

func (l *Log) snapshot(ctx context.Context) (model.Config, uint64, error) {
	o, err := l.objects.Get(ctx, snapshotKey)
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
	version, err := l.getRecord(ctx, horizonKey, &h)
	h.version = version
	return h, err
}

// getRecord decodes a JSON object into dst; version 0 means that there is none.
func (l *Log) getRecord(ctx context.Context, key string, dst any) (version uint64, err error) {
	o, err := l.objects.Get(ctx, key)
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
	return l.objects.Put(ctx, key, b, version)
}
