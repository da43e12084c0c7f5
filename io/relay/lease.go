package relay

import (
	"context"
	"fmt"
	"sync"
	"time"

	"egretdock/core/fault"
	"egretdock/core/model"
	"egretdock/io/peers"
	"egretdock/io/store"
)

// leaseState is what this balancer knows of the lease of its data centre. Only
// one goroutine uses it.
type leaseState struct {
	// lease and version are the record as last read or written. firstSeen is
	// when this version was first seen. It is read from this host's clock, so
	// that the clocks of different hosts need not agree.
	lease     store.Lease
	version   uint64
	firstSeen time.Time
	// renewedAt is the time before the call of the last successful renewal.
	renewedAt time.Time
	// writtenStatus is the status written last.
	writtenStatus store.Status
	// nextSnapshot is the revision at which the next snapshot is due.
	nextSnapshot uint64
}

// contend acquires the lease when it can and acts as the relay while it holds
// it, until Resign is called or ctx is done.
func (s *Syncer) contend(ctx context.Context) {
	var ls leaseState
	for {
		if s.o.Membership.Rank() < maxContenders && s.acquire(ctx, &ls) {
			s.runAsRelay(ctx, &ls)
		}
		if s.resigned.Load() || !s.sleep(ctx, renewInterval) {
			return
		}
	}
}

// Resign gives up the lease at the next renewal and stops contending for it, so
// that another balancer need not wait until it expires.
func (s *Syncer) Resign() { s.resigned.Store(true) }

// release writes the lease without a holder. If that fails, the lease expires
// by itself.
func (s *Syncer) release(ctx context.Context, ls *leaseState) {
	free := store.Lease{FencingToken: ls.lease.FencingToken}
	if _, err := s.o.Log.PutLease(ctx, s.o.Self.DataCentre, free, ls.version); err != nil {
		s.o.Event("platform_failed", "err", err)
	}
}

// holder identifies this process in the lease. A restarted process is another
// holder.
func (s *Syncer) holder() string { return fmt.Sprintf("%s#%d", s.o.Self.Name, s.o.Self.Incarnation) }

// acquire reads the lease, renews it if this process holds it, and takes it if
// it has no holder or has expired. It reports whether the write succeeded.
func (s *Syncer) acquire(ctx context.Context, ls *leaseState) bool {
	begin := s.o.Clock.Now()
	lease, version, err := s.o.Log.Lease(ctx, s.o.Self.DataCentre)
	if err != nil {
		s.o.Event("platform_failed", "err", err)
		return false
	}
	if version != ls.version || version == 0 {
		ls.lease, ls.version, ls.firstSeen = lease, version, begin
		// If the platform was restored from a copy, it has lost the status too.
		ls.writtenStatus = store.Status{}
	}
	next := lease
	switch {
	case lease.Holder == s.holder():
		next.Renewals++
	case version == 0 || lease.Holder == "" || begin.Sub(ls.firstSeen) >= leaseTTL:
		next = store.Lease{Holder: s.holder(), FencingToken: lease.FencingToken + 1}
	default:
		return false
	}
	version, err = s.o.Log.PutLease(ctx, s.o.Self.DataCentre, next, version)
	if err != nil {
		// If the outcome is unknown, the next attempt reads who holds the
		// lease.
		if fault.KindOf(err) != fault.KindConflict {
			s.o.Event("platform_failed", "err", err)
		}
		return false
	}
	ls.lease, ls.version, ls.firstSeen, ls.renewedAt = next, version, begin, begin
	return true
}

// runAsRelay watches the log, renews the lease, and writes the status and
// snapshots until the lease is lost or released.
func (s *Syncer) runAsRelay(ctx context.Context, ls *leaseState) {
	ctx, cancel := context.WithCancel(ctx)
	s.fencingToken.Store(ls.lease.FencingToken)
	s.o.Event("relay_started", "dc", s.o.Self.DataCentre, "fencing", ls.lease.FencingToken)
	from := ls.version
	var wg sync.WaitGroup
	wg.Go(func() { s.watch(ctx, from) })
	for {
		s.repair(ctx, ls)
		s.writeStatus(ctx, ls)
		s.snapshotIfDue(ctx, ls)
		if !s.sleep(ctx, renewInterval) {
			break
		}
		if s.resigned.Load() {
			s.release(ctx, ls)
			break
		}
		if !s.renew(ctx, ls) {
			break
		}
	}
	s.fencingToken.Store(0)
	s.o.Event("relay_stopped", "dc", s.o.Self.DataCentre, "fencing", ls.lease.FencingToken)
	cancel()
	wg.Wait()
}

// renew renews the lease and reports whether this process still holds it under
// the same fencing token. A process that was paused for longer than leaseTTL
// has lost the lease and must acquire it again.
func (s *Syncer) renew(ctx context.Context, ls *leaseState) bool {
	token := ls.lease.FencingToken
	if !s.leaseValid(ls) {
		return false
	}
	if s.acquire(ctx, ls) {
		return ls.lease.FencingToken == token
	}
	// After a failed call the lease is still held until leaseTTL is over.
	return s.leaseValid(ls) && ls.lease.Holder == s.holder()
}

func (s *Syncer) leaseValid(ls *leaseState) bool { return s.o.Clock.Now().Sub(ls.renewedAt) < leaseTTL }

// watch applies the changes of the log until ctx is done. It waits for changes
// after the store's version from.
func (s *Syncer) watch(ctx context.Context, from uint64) {
	for ctx.Err() == nil {
		err := s.catchUp(ctx)
		if err == nil {
			from, err = s.o.Log.WaitForChange(ctx, from)
		}
		if err != nil && ctx.Err() == nil {
			s.o.Event("platform_failed", "err", err)
			s.sleep(ctx, retryInterval)
		}
	}
}

func (s *Syncer) catchUp(ctx context.Context) error {
	tail, err := s.o.Log.LoadSince(ctx, s.o.Active.Config())
	if err != nil {
		return err
	}
	if tail.Changes != nil {
		return s.o.Active.Apply(&peers.Changes{List: tail.Changes})
	}
	return s.o.Active.Apply(&peers.Snapshot{Config: tail.Config})
}

// repair makes up for a platform that was restored from a copy. It writes the latest
// changes in force again if they are lost: an accepted edit stays in force, and its
// revision must not go to another one. And it reads the log, since versions are
// issued again, and the watch misses the changes below that of before.
func (s *Syncer) repair(ctx context.Context, ls *leaseState) {
	if !s.leaseValid(ls) {
		return
	}
	n, err := s.o.Log.Rewrite(ctx, s.o.Active.Recent())
	if err != nil {
		s.o.Event("rewrite_failed", "err", err)
	}
	if n > 0 {
		s.o.Event("changes_rewritten", "count", n, "revision", s.o.Active.Config().Revision)
	}
	if err := s.catchUp(ctx); err != nil {
		s.o.Event("platform_failed", "err", err)
	}
}

// writeStatus writes status/<dc> when it has changed.
func (s *Syncer) writeStatus(ctx context.Context, ls *leaseState) {
	status := store.Status{DataCentre: s.o.Self.DataCentre, Relay: s.holder(), FencingToken: ls.lease.FencingToken}.
		WithAcks(s.o.Active.Config().Revision, s.o.Membership.Acked())
	if !s.leaseValid(ls) || status.Equal(ls.writtenStatus) {
		return
	}
	if err := s.o.Log.PutStatus(ctx, status); err != nil {
		s.o.Event("status_failed", "err", err)
		return
	}
	ls.writtenStatus = status
}

// snapshotIfDue writes a snapshot and prunes the log if the last snapshot is at
// least snapshotInterval revisions old. Each relay draws the revision of its
// next attempt at random, so that usually only one of the relays writes.
func (s *Syncer) snapshotIfDue(ctx context.Context, ls *leaseState) {
	cfg := s.o.Active.Config()
	if cfg.Revision < ls.nextSnapshot || !s.leaseValid(ls) {
		return
	}
	tail, err := s.o.Log.LoadSince(ctx, cfg)
	if err == nil && cfg.Revision >= tail.Horizon.SnapshotRevision+snapshotInterval {
		err = s.snapshotAndPrune(ctx, tail.Config)
	}
	if err != nil {
		s.o.Event("snapshot_failed", "err", err)
		return
	}
	s.mu.Lock()
	ls.nextSnapshot = cfg.Revision + snapshotInterval/2 + s.rng.Uint64N(snapshotInterval)
	s.mu.Unlock()
}

func (s *Syncer) snapshotAndPrune(ctx context.Context, cfg model.Config) error {
	if err := s.o.Log.WriteSnapshot(ctx, cfg); err != nil {
		return err
	}
	return s.o.Log.Prune(ctx, logRetention)
}
