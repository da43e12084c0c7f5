package store

import (
	"context"

	"egretdock/core/fault"
	"egretdock/core/model"
	"egretdock/io/config"
)

// WriteSnapshot writes a snapshot, from which starting balancers load, unless
// the platform has one that is at least as recent.
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
		if _, err := l.objects.Put(ctx, snapshotKey, b, version); err != nil {
			// On a conflict another balancer has written one; if the outcome is
			// unknown, the next attempt reads what the platform holds.
			return err
		}
		rev = cfg.Revision
	}
	_, err = l.updateHorizon(ctx, func(h Horizon) Horizon {
		h.SnapshotRevision = max(h.SnapshotRevision, rev)
		return h
	})
	return err
}

// Prune keeps the last keep changes up to the last snapshot and deletes those
// before them.
func (l *Log) Prune(ctx context.Context, keep uint64) error {
	h, err := l.updateHorizon(ctx, func(h Horizon) Horizon {
		if h.SnapshotRevision > keep {
			h.Revision = max(h.Revision, h.SnapshotRevision-keep)
		}
		return h
	})
	if err != nil {
		return err
	}
	for rev := h.DeletedRevision + 1; rev <= h.Revision; rev++ {
		if err := l.objects.Delete(ctx, changeKey(rev)); err != nil && fault.KindOf(err) != fault.KindNotFound {
			return err
		}
	}
	_, err = l.updateHorizon(ctx, func(g Horizon) Horizon {
		g.DeletedRevision = max(g.DeletedRevision, h.Revision)
		return g
	})
	return err
}

// updateHorizon replaces the horizon. It fails with a conflict if another
// process changes it meanwhile.
func (l *Log) updateHorizon(ctx context.Context, update func(Horizon) Horizon) (Horizon, error) {
	h, err := l.horizon(ctx)
	if err != nil {
		return h, err
	}
	next := update(h)
	if next == h {
		return h, nil
	}
	_, err = l.putRecord(ctx, horizonKey, next, h.version)
	return next, err
}
