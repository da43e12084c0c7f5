package store

import (
	"context"

	"egretdock/core/fault"
	"egretdock/core/model"
	"egretdock/io/config"
)

// WriteSnapshot stores a configuration for balancers that start. It does
// nothing when the platform has one that is as recent.
func (l *Log) WriteSnapshot(ctx context.Context, cfg model.Config) error {
	old, version, err := l.snapshot(ctx)
	if err != nil {
		return err
	}
	rev := old.Revision
	if rev < cfg.Revision {
		b, err := config.EncodeSnapshot(cfg)
		if err != nil {
			return err
		}
		if _, err := l.objs.Put(ctx, snapshotKey, b, version); err != nil {
			// On a conflict another balancer was first; on a lost answer the
			// next attempt sees what the platform holds.
			return err
		}
		rev = cfg.Revision
	}
	_, err = l.moveHorizon(ctx, func(h Horizon) Horizon {
		h.SnapshotRevision = max(h.SnapshotRevision, rev)
		return h
	})
	return err
}

// Prune deletes changes that are more than keep revisions before the last
// snapshot.
func (l *Log) Prune(ctx context.Context, keep uint64) error {
	h, err := l.moveHorizon(ctx, func(h Horizon) Horizon {
		if h.SnapshotRevision > keep {
			h.Revision = max(h.Revision, h.SnapshotRevision-keep)
		}
		return h
	})
	if err != nil {
		return err
	}
	for rev := h.DeletedRevision + 1; rev <= h.Revision; rev++ {
		if err := l.objs.Delete(ctx, changeKey(rev)); err != nil && fault.KindOf(err) != fault.KindNotFound {
			return err
		}
	}
	_, err = l.moveHorizon(ctx, func(g Horizon) Horizon {
		g.DeletedRevision = max(g.DeletedRevision, h.Revision)
		return g
	})
	return err
}

// moveHorizon updates the horizon if it has not changed since it was read.
func (l *Log) moveHorizon(ctx context.Context, move func(Horizon) Horizon) (Horizon, error) {
	h, err := l.horizon(ctx)
	if err != nil {
		return h, err
	}
	next := move(h)
	if next == h {
		return h, nil
	}
	_, err = l.putRecord(ctx, horizonKey, next, h.version)
	return next, err
}
