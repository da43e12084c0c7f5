package cmds

import (
	"math"
	"math/rand/v2"
	"time"

	"egretdock/core/admit"
	"egretdock/core/input"
	"egretdock/core/locks"
	"egretdock/core/model"
	"egretdock/core/packet"
	"egretdock/core/table"
)

const (
	// maxPending bounds the entries of one upstream: its connections, each
	// with one request in progress.
	maxPending = 8192
	// maxUploads bounds the uploads in progress at one upstream. 16 keep 2
	// slots busy while clients send their chunks, and their final requests fit
	// the queue, so that an upload that was let in is not refused at its end.
	maxUploads = model.DefaultQueueLimit
	// Unavailable is the queue length reported for an upstream that must not
	// get new flows, so that any other candidate is better.
	Unavailable = math.MaxUint32
	// Ejected is the queue length reported for an upstream that looks ill. It
	// gets new flows only when all other candidates are as bad, because its
	// health endpoint may mislead.
	Ejected = Unavailable - 1
)

// Room says whether a balancer takes further work.
type Room bool

// Rooms.
const (
	// RoomLeft takes new work.
	RoomLeft Room = true
	// RoomFull refuses new work; copies of work in progress pass.
	RoomFull Room = false
)

// Open asks for a new flow at an upstream that this balancer owns.
func Open(h *locks.Holder, now time.Time, st *table.Upstream, r input.Relay, it admit.Item, room Room, rnd *rand.Rand) Result {
	st.Lock(h)
	defer st.Unlock(h)
	if p, ok := st.Pending[it.Key]; ok {
		return repeat(p, r)
	}
	if st.Health.Draining() {
		return Pass{Queue: Unavailable}
	}
	if st.Health.Ejected(now) && !r.Forced {
		return Pass{Queue: Ejected}
	}
	if len(st.Pending) >= maxPending || room == RoomFull {
		return Reject{Reason: packet.ReasonOverload, RetryAfter: time.Second}
	}
	switch it.Class.Kind {
	case model.KindFeed:
		add(st, it, &table.Pending{Relay: clone(r), State: table.PendingForwarded, Sent: now, BypassesAdmission: true})
		return Forward{Relay: r}
	case model.KindUpload:
		return openUpload(now, st, r, it)
	case model.KindRequest:
	}
	if load := st.Admit.Load(); !r.Forced && load.InFlight+load.Queued >= idleBelow(st) {
		return Pass{Queue: busyness(load, st.Admit.Wait(it))}
	}
	return offer(now, st, r, it, rnd)
}

// idleBelow is the number of requests at which an upstream is busy, so that an
// opening looks for an idle one first. The concurrency limit is higher, to keep
// the slots in use between a grant and its request.
func idleBelow(st *table.Upstream) int { return max(st.Health.Slots(), 1) }

// busyness makes candidates comparable: by the time that the opening would
// wait, in microseconds, then by the requests in flight.
func busyness(l admit.Load, wait time.Duration) uint32 {
	return uint32(min(wait.Microseconds()+int64(l.InFlight), Ejected-1))
}

// openUpload lets an upload begin. Its entry stays until the final request is
// answered, the client closes the flow, or the deadline passes.
func openUpload(now time.Time, st *table.Upstream, r input.Relay, it admit.Item) Result {
	if st.Uploads >= maxUploads {
		if r.Forced {
			return Reject{Reason: packet.ReasonOverload, RetryAfter: time.Second}
		}
		return Pass{Queue: uint32(st.Uploads)}
	}
	st.Uploads++
	add(st, it, &table.Pending{Relay: clone(r), State: table.PendingForwarded, Sent: now, BypassesAdmission: true, Upload: true})
	return Forward{Relay: r}
}

// Request asks to run a request on an established flow of an upstream that
// this balancer owns. A Reject is not final until the upstream has confirmed
// that no copy of the request ran.
func Request(h *locks.Holder, now time.Time, st *table.Upstream, r input.Relay, it admit.Item, room Room, rnd *rand.Rand) Result {
	st.Lock(h)
	defer st.Unlock(h)
	if p, ok := st.Pending[it.Key]; ok {
		return repeat(p, r)
	}
	open := admit.Key{Flow: it.Key.Flow}
	if st.Admit.Transfer(open, it.Key) {
		st.RemovePending(open)
		add(st, it, &table.Pending{Relay: clone(r), State: table.PendingForwarded, Sent: now})
		return Forward{Relay: r}
	}
	if it.Class.Kind == model.KindRequest && st.Health.RefusesRequests(now) {
		return Reject{Reason: packet.ReasonDraining}
	}
	if len(st.Pending) >= maxPending || room == RoomFull {
		return Reject{Reason: packet.ReasonOverload, RetryAfter: time.Second}
	}
	return offer(now, st, r, it, rnd)
}

// Holds reports whether this balancer has work of a flow pending.
func Holds(h *locks.Holder, st *table.Upstream, flow uint64) bool {
	st.Lock(h)
	defer st.Unlock(h)
	if _, ok := st.Pending[admit.Key{Flow: flow}]; ok {
		return true
	}
	for k := range st.Pending {
		if k.Flow == flow {
			return true
		}
	}
	return false
}

// repeat handles another copy of work that is already pending. A forwarded
// packet is forwarded again, because the first copy or its answer may be lost;
// the upstream runs it once.
func repeat(p *table.Pending, r input.Relay) Result {
	p.Relay = clone(r)
	if p.State == table.PendingQueued {
		return Wait{}
	}
	return Forward{Relay: r}
}

func offer(now time.Time, st *table.Upstream, r input.Relay, it admit.Item, rnd *rand.Rand) Result {
	switch v := st.Admit.Offer(now, it, rnd).(type) {
	case admit.Granted:
		add(st, it, &table.Pending{Relay: clone(r), State: table.PendingForwarded, Sent: now})
		return Forward{Relay: r}
	case admit.Queued:
		add(st, it, &table.Pending{Relay: clone(r), State: table.PendingQueued})
		return Wait{}
	case admit.Rejected:
		return Reject{Reason: v.Reason, RetryAfter: v.RetryAfter}
	}
	return Reject{Reason: packet.ReasonOverload}
}

func add(st *table.Upstream, it admit.Item, p *table.Pending) {
	if st.Pending == nil {
		st.Pending = make(map[admit.Key]*table.Pending)
	}
	p.Expires = it.Deadline
	st.Pending[it.Key] = p
}

func clone(r input.Relay) input.Relay {
	r.Packet = r.Packet.Clone()
	return r
}
