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
	// maxPending bounds the pending entries of one upstream: one request in
	// progress on each of its connections.
	maxPending = 8192
	// maxUploads bounds the uploads in progress at one upstream. 16 uploads keep
	// 2 slots busy while clients send their chunks, and their final requests fit
	// the queue, so that an admitted upload is not refused at its end.
	maxUploads = model.DefaultQueueLimit
	// QueueUnavailable is the queue length reported for an upstream that must
	// not get new flows, so that any other candidate is preferred.
	QueueUnavailable = math.MaxUint32
	// QueueEjected is the queue length reported for an ejected upstream. It gets
	// new flows only when all other candidates are ejected or unavailable too,
	// because its health endpoint may be wrong.
	QueueEjected = QueueUnavailable - 1
)

// Capacity says whether a balancer can take further work.
type Capacity bool

// Capacities.
const (
	// CapacityAvailable admits new work.
	CapacityAvailable Capacity = true
	// CapacityExhausted refuses new work but admits copies of work in progress.
	CapacityExhausted Capacity = false
)

// Open admits, queues or refuses a new flow at an upstream that this balancer
// owns, or leaves it to another candidate.
func Open(h *locks.Holder, now time.Time, st *table.Upstream, r input.Relay, it admit.Item, capacity Capacity, rnd *rand.Rand) Result {
	st.Lock(h)
	defer st.Unlock(h)
	if p, ok := st.Pending[it.Key]; ok {
		return handleCopy(p, r)
	}
	if st.Health.Draining() {
		return TryOther{Queue: QueueUnavailable}
	}
	if st.Health.Ejected(now) && !r.Forced {
		return TryOther{Queue: QueueEjected}
	}
	if len(st.Pending) >= maxPending || capacity == CapacityExhausted {
		return Reject{Reason: packet.ReasonOverload, RetryAfter: time.Second}
	}
	switch it.Class.Kind {
	case model.KindFeed:
		addPending(st, it, &table.Pending{Relay: cloneRelay(r), State: table.PendingForwarded, Sent: now, BypassesAdmission: true})
		return Forward{Relay: r}
	case model.KindUpload:
		return openUpload(now, st, r, it)
	case model.KindRequest:
	}
	if load := st.Admit.Load(); !r.Forced && load.InFlight+load.Queued >= busyThreshold(st) {
		return TryOther{Queue: queueLength(load, st.Admit.EstimateWait(it))}
	}
	return offer(now, st, r, it, rnd)
}

// busyThreshold is the number of requests from which an upstream counts as busy,
// so that an opening first tries other candidates. The concurrency limit is
// higher, to keep the slots in use between a grant and its request.
func busyThreshold(st *table.Upstream) int { return max(st.Health.Slots(), 1) }

// queueLength returns the value by which candidates are compared: the wait of
// the opening in microseconds plus the number of requests in flight.
func queueLength(l admit.Load, wait time.Duration) uint32 {
	return uint32(min(wait.Microseconds()+int64(l.InFlight), QueueEjected-1))
}

// openUpload admits an upload. Its entry remains until the final request is
// answered, the client closes the flow, or the deadline passes.
func openUpload(now time.Time, st *table.Upstream, r input.Relay, it admit.Item) Result {
	if st.Uploads >= maxUploads {
		if r.Forced {
			return Reject{Reason: packet.ReasonOverload, RetryAfter: time.Second}
		}
		return TryOther{Queue: uint32(st.Uploads)}
	}
	st.Uploads++
	addPending(st, it, &table.Pending{Relay: cloneRelay(r), State: table.PendingForwarded, Sent: now, BypassesAdmission: true, Upload: true})
	return Forward{Relay: r}
}

// Request admits, queues or refuses a request on an established flow of an
// upstream that this balancer owns. A Reject is not final until the upstream
// has confirmed that no copy of the request ran.
func Request(h *locks.Holder, now time.Time, st *table.Upstream, r input.Relay, it admit.Item, capacity Capacity, rnd *rand.Rand) Result {
	st.Lock(h)
	defer st.Unlock(h)
	if p, ok := st.Pending[it.Key]; ok {
		return handleCopy(p, r)
	}
	open := admit.Key{Flow: it.Key.Flow}
	if st.Admit.Transfer(open, it.Key) {
		st.RemovePending(open)
		addPending(st, it, &table.Pending{Relay: cloneRelay(r), State: table.PendingForwarded, Sent: now})
		return Forward{Relay: r}
	}
	if it.Class.Kind == model.KindRequest && st.Health.RefusesRequests(now) {
		return Reject{Reason: packet.ReasonDraining}
	}
	if len(st.Pending) >= maxPending || capacity == CapacityExhausted {
		return Reject{Reason: packet.ReasonOverload, RetryAfter: time.Second}
	}
	return offer(now, st, r, it, rnd)
}

// HasPending reports whether this balancer has pending work of a flow.
func HasPending(h *locks.Holder, st *table.Upstream, flow uint64) bool {
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

// handleCopy handles another copy of work that is already pending. A forwarded
// packet is forwarded again, because the first copy or its answer may be lost;
// the upstream runs it once.
func handleCopy(p *table.Pending, r input.Relay) Result {
	p.Relay = cloneRelay(r)
	if p.State == table.PendingQueued {
		return Wait{}
	}
	return Forward{Relay: r}
}

func offer(now time.Time, st *table.Upstream, r input.Relay, it admit.Item, rnd *rand.Rand) Result {
	switch v := st.Admit.Offer(now, it, rnd).(type) {
	case admit.Granted:
		addPending(st, it, &table.Pending{Relay: cloneRelay(r), State: table.PendingForwarded, Sent: now})
		return Forward{Relay: r}
	case admit.Queued:
		addPending(st, it, &table.Pending{Relay: cloneRelay(r), State: table.PendingQueued})
		return Wait{}
	case admit.Rejected:
		return Reject{Reason: v.Reason, RetryAfter: v.RetryAfter}
	}
	return Reject{Reason: packet.ReasonOverload}
}

func addPending(st *table.Upstream, it admit.Item, p *table.Pending) {
	if st.Pending == nil {
		st.Pending = make(map[admit.Key]*table.Pending)
	}
	p.Expires = it.Deadline
	st.Pending[it.Key] = p
}

func cloneRelay(r input.Relay) input.Relay {
	r.Packet = r.Packet.Clone()
	return r
}
