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

// tenure is the state of contention for the lease. It belongs to one
// goroutine.
type tenure struct {
	// lease and version are what the platform last showed, first seen at since
	// by the own clock. No clocks are compared across hosts.
	lease   store.Lease
	version uint64
	since   time.Time
	// renewed is when the last successful renewal was begun.
	renewed time.Time
	// reported is the last status written.
	reported store.Status
	// snapshotAt is the revision at which this relay writes a snapshot.
	snapshotAt uint64
}

// contend tries to hold the lease and does the relay's work while it does.
func (r *Syncer) contend(ctx context.Context) {
	var t tenure
	for {
		if r.o.Membership.Rank() < contenders && r.acquire(ctx, &t) {
			r.hold(ctx, &t)
		}
		if r.resigned.Load() || !r.pause(ctx, renewEvery) {
			return
		}
	}
}

// Resign gives the lease up at the next renewal and contends for it no more, so
// that another balancer need not wait until it lapses.
func (r *Syncer) Resign() { r.resigned.Store(true) }

// release leaves the lease without a holder. A failure only means that it
// lapses later.
func (r *Syncer) release(ctx context.Context, t *tenure) {
	free := store.Lease{FencingToken: t.lease.FencingToken}
	if _, err := r.o.Log.PutLease(ctx, r.o.Self.DataCentre, free, t.version); err != nil {
		r.o.Event("platform_failed", "err", err)
	}
}

// holder names this process; a process that restarted is another holder.
func (r *Syncer) holder() string { return fmt.Sprintf("%s#%d", r.o.Self.Name, r.o.Self.Incarnation) }

// acquire takes, renews or waits for the lease. It reports whether this
// balancer holds it.
func (r *Syncer) acquire(ctx context.Context, t *tenure) bool {
	begin := r.o.Clock.Now()
	lease, version, err := r.o.Log.Lease(ctx, r.o.Self.DataCentre)
	if err != nil {
		r.o.Event("platform_failed", "err", err)
		return false
	}
	if version != t.version || version == 0 {
		t.lease, t.version, t.since = lease, version, begin
	}
	next := lease
	switch {
	case lease.Holder == r.holder():
		next.Renewals++
	case version == 0 || lease.Holder == "" || begin.Sub(t.since) >= leaseTTL:
		next = store.Lease{Holder: r.holder(), FencingToken: lease.FencingToken + 1}
	default:
		return false
	}
	version, err = r.o.Log.PutLease(ctx, r.o.Self.DataCentre, next, version)
	if err != nil {
		// After a lost answer the next attempt finds out who holds it.
		if fault.KindOf(err) != fault.KindConflict {
			r.o.Event("platform_failed", "err", err)
		}
		return false
	}
	t.lease, t.version, t.since, t.renewed = next, version, begin, begin
	return true
}

// hold watches the log, renews the lease and writes the status until the lease
// is lost.
func (r *Syncer) hold(ctx context.Context, t *tenure) {
	ctx, cancel := context.WithCancel(ctx)
	r.holding.Store(t.lease.FencingToken)
	r.o.Event("relay_started", "dc", r.o.Self.DataCentre, "fencing", t.lease.FencingToken)
	from := t.version
	var wg sync.WaitGroup
	wg.Go(func() { r.watch(ctx, from) })
	for {
		r.report(ctx, t)
		r.snapshot(ctx, t)
		if !r.pause(ctx, renewEvery) {
			break
		}
		if r.resigned.Load() {
			r.release(ctx, t)
			break
		}
		if !r.renew(ctx, t) {
			break
		}
	}
	r.holding.Store(0)
	r.o.Event("relay_stopped", "dc", r.o.Self.DataCentre, "fencing", t.lease.FencingToken)
	cancel()
	wg.Wait()
}

// renew reports whether this balancer still holds the lease that it held. A
// process that was paused past the lease contends for a new one.
func (r *Syncer) renew(ctx context.Context, t *tenure) bool {
	fencing := t.lease.FencingToken
	if !r.valid(t) {
		return false
	}
	if r.acquire(ctx, t) {
		return t.lease.FencingToken == fencing
	}
	// A failed call loses the lease only when its time is over.
	return r.valid(t) && t.lease.Holder == r.holder()
}

func (r *Syncer) valid(t *tenure) bool { return r.o.Clock.Now().Sub(t.renewed) < leaseTTL }

// watch follows the log from a version of the store.
func (r *Syncer) watch(ctx context.Context, from uint64) {
	for ctx.Err() == nil {
		err := r.catchUp(ctx)
		if err == nil {
			from, err = r.o.Log.WaitForChange(ctx, from)
		}
		if err != nil && ctx.Err() == nil {
			r.o.Event("platform_failed", "err", err)
			r.pause(ctx, retryEvery)
		}
	}
}

func (r *Syncer) catchUp(ctx context.Context) error {
	t, err := r.o.Log.LoadSince(ctx, r.o.Active.Config())
	if err != nil {
		return err
	}
	if t.Changes != nil {
		return r.o.Active.Apply(&peers.Changes{List: t.Changes})
	}
	return r.o.Active.Apply(&peers.Snapshot{Config: t.Config})
}

// report writes status/<dc> when it has changed.
func (r *Syncer) report(ctx context.Context, t *tenure) {
	s := store.Status{DataCentre: r.o.Self.DataCentre, Relay: r.holder(), FencingToken: t.lease.FencingToken}.
		WithAcks(r.o.Active.Config().Revision, r.o.Membership.Acked())
	if !r.valid(t) || s.Equal(t.reported) {
		return
	}
	if err := r.o.Log.PutStatus(ctx, s); err != nil {
		r.o.Event("status_failed", "err", err)
		return
	}
	t.reported = s
}

// snapshot writes a snapshot and prunes the log now and then. The revision is
// drawn, so that mostly one of the relays does it.
func (r *Syncer) snapshot(ctx context.Context, t *tenure) {
	cfg := r.o.Active.Config()
	if cfg.Revision < t.snapshotAt || !r.valid(t) {
		return
	}
	tail, err := r.o.Log.LoadSince(ctx, cfg)
	if err == nil && cfg.Revision >= tail.Horizon.SnapshotRevision+snapshotEvery {
		err = r.persist(ctx, tail.Config)
	}
	if err != nil {
		r.o.Event("snapshot_failed", "err", err)
		return
	}
	r.mu.Lock()
	t.snapshotAt = cfg.Revision + snapshotEvery/2 + r.rng.Uint64N(snapshotEvery)
	r.mu.Unlock()
}

func (r *Syncer) persist(ctx context.Context, cfg model.Config) error {
	if err := r.o.Log.WriteSnapshot(ctx, cfg); err != nil {
		return err
	}
	return r.o.Log.Prune(ctx, keepLog)
}
