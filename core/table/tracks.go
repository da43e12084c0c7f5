package table

import (
	"slices"
	"time"

	"egretdock/core/locks"
	"egretdock/core/member"
	"egretdock/core/packet"
)

// TrackState is the stage of an opaque flow as seen by one balancer.
type TrackState uint8

// Track states.
const (
	// TrackOpening means that only openings were seen.
	TrackOpening TrackState = iota
	// TrackOpen means that a packet was seen that answers the instance's
	// handshake.
	TrackOpen
	// TrackClosing means that the client's last data was seen.
	TrackClosing
)

// MaxTried is the maximum number of instances that an opening is sent to.
const MaxTried = member.MaxFlowInstances

// Track is what one balancer has seen of an opaque flow. It is immutable. A
// flow can be served by its token alone; the track holds what the token does
// not carry.
type Track struct {
	State TrackState
	// Instance gets the flow's packets; it is the last of those tried while the
	// flow is opening.
	Instance uint64
	// Opened and Seen are the times of the first and the last packet; Sent is
	// when the last opening was sent to Instance.
	Opened, Seen, Sent time.Time
	// Retransmit is the highest copy number among the openings.
	Retransmit uint32
	// Start is the client's initial sequence number. It is valid if StartKnown is
	// true, that is unless the flow was first seen when it was open.
	Start      uint32
	StartKnown bool
	// Seq and Ack are the highest sequence and acknowledgement numbers seen
	// from the client once the flow is open.
	Seq, Ack uint32
	// Advanced is when Seq last increased.
	Advanced time.Time
	// AwaitingSince is when the client last sent new data that has no answer
	// yet; zero when all data is answered.
	AwaitingSince time.Time
	// Overdue is true once the answer to that data has taken too long.
	Overdue bool
	// LongLived is true for a flow that is counted in the open flows of its
	// instance, as started at InstanceStartMillis. An instance that starts
	// again under the same ID has a new count.
	LongLived           bool
	InstanceStartMillis uint64
	// Syn is a copy of the opening while State is TrackOpening.
	Syn []byte
	// Reported is true while this balancer knows the flow only from another one. It
	// has then seen no packet that it could forward.
	Reported bool
	// KeepUntil is the time until which a reported flow is kept although this
	// balancer sees no packet of it.
	KeepUntil time.Time
	// Waited is true if the process did not run for some time between the client's
	// opening and now. Its client may have opened the flow through another balancer.
	Waited bool
	// Asked is when other balancers were last asked about the flow.
	Asked time.Time
	// Held are the client's packets, at most MaxHeld, that wait until the flow's
	// instance is known. They are never modified.
	Held []packet.Segment

	tried  [MaxTried]uint64
	nTried uint8
}

// Tried returns the instances that the opening was sent to, in order.
func (t *Track) Tried() []uint64 { return t.tried[:t.nTried] }

// HasTried reports whether the opening was sent to an instance.
func (t *Track) HasTried(id uint64) bool {
	for _, tried := range t.Tried() {
		if tried == id {
			return true
		}
	}
	return false
}

// FirstResend is the time after which a client repeats an opening. Until then no
// other balancer has got one.
const FirstResend = 200 * time.Millisecond

// ReportTime is the time in which other balancers answer what they know of a flow.
const ReportTime = 50 * time.Millisecond

// Confirms reports whether a packet with the token of an instance's opening shows
// that the client opens the flow there. The client's first data does, as it is
// sent on the answer that opens the flow. If the process did not run meanwhile,
// other balancers are asked first. Any later packet may carry the token of
// another instance's late answer, unless nothing else can have been offered the
// flow.
func (t *Track) Confirms(now time.Time, s *packet.Segment, id uint64) bool {
	switch {
	case t.State != TrackOpening || !t.HasTried(id):
		return false
	case t.Waited && (t.Asked.IsZero() || now.Sub(t.Asked) < ReportTime):
		return false
	case s.Seq == t.Start || s.Seq == t.Start+1:
		return true
	}
	return len(t.Tried()) == 1 && t.Retransmit == 0 && !t.Waited && now.Sub(t.Opened) < FirstResend
}

// maxFlowBytes bounds how far a client's sequence number moves while it uses one
// flow: the number of another flow of the same port is mostly farther away.
const maxFlowBytes = 1 << 28

// Covers reports whether a packet can belong to the tracked flow, rather than to
// another one that uses its port again.
func (t *Track) Covers(s *packet.Segment) bool {
	return !t.StartKnown || s.Seq-t.Start < maxFlowBytes
}

// IsContested reports whether an instance other than that of the flow may have got
// an opening of it, through this balancer or another one.
func (t *Track) IsContested() bool { return len(t.Tried()) > 1 || t.Retransmit > 0 || t.Waited }

// MaxHeld is the number of packets that a client has in flight at most.
const MaxHeld = 16

// WithHeld returns a copy that holds one more packet, if there is room.
func (t Track) WithHeld(s packet.Segment) Track {
	if len(t.Held) < MaxHeld {
		t.Held = append(slices.Clip(t.Held), s)
	}
	return t
}

// WithoutHeld returns a copy that holds no packets, and the packets.
func (t Track) WithoutHeld() (Track, []packet.Segment) {
	held := t.Held
	t.Held = nil
	return t, held
}

// IsUnknown reports whether nothing is known of the flow but that others were
// asked about it.
func (t *Track) IsUnknown() bool { return t.State == TrackOpening && len(t.Tried()) == 0 }

// WithOffer returns a copy in which another balancer has sent an opening to an
// instance.
func (t Track) WithOffer(id uint64) Track {
	if !t.HasTried(id) && int(t.nTried) < MaxTried {
		t.tried[t.nTried] = id
		t.nTried++
	}
	return t
}

// WithTry returns a copy that records an opening sent to an instance.
func (t Track) WithTry(now time.Time, id uint64) Track {
	t.Instance, t.Sent, t.Seen = id, now, now
	return t.WithOffer(id)
}

// WithOpen returns a copy that is open at an instance.
func (t Track) WithOpen(id uint64) Track {
	t.State, t.Instance, t.Syn, t.Reported = TrackOpen, id, nil, false
	return t
}

// WithReport returns a copy that is open at an instance, as another balancer has
// reported, and is kept until the given time.
func (t Track) WithReport(now time.Time, id uint64, keepUntil time.Time) Track {
	t = t.WithOpen(id)
	t.Reported, t.Seen, t.KeepUntil = true, now, keepUntil
	return t
}

// repeatAfter distinguishes a repeated packet from a reordered one: senders
// repeat after 200 ms, and the network reorders within milliseconds.
const repeatAfter = 150 * time.Millisecond

// Observation is what a packet reveals about its flow's instance.
type Observation struct {
	// Repeated is true when the packet repeats data seen before.
	Repeated bool
	// Progress is true when it acknowledges new data of the instance.
	Progress bool
	// Took is the time from the client's last data to the first acknowledgement
	// of the answer, or 0 in other packets.
	Took time.Duration
}

// WithSegment returns a copy that records a packet of the open flow, and what
// the packet reveals.
func (t Track) WithSegment(now time.Time, s *packet.Segment) (Track, Observation) {
	var o Observation
	end := s.Seq + uint32(s.PayloadLen)
	o.Progress = t.Ack != 0 && int32(s.Ack-t.Ack) > 0
	if o.Progress && !t.AwaitingSince.IsZero() {
		o.Took = now.Sub(t.AwaitingSince)
		t.AwaitingSince, t.Overdue = time.Time{}, false
	}
	if t.Seq == 0 || int32(end-t.Seq) > 0 {
		t.Seq, t.Advanced = end, now
		if s.PayloadLen > 0 {
			t.AwaitingSince, t.Overdue = now, false
		}
	} else {
		o.Repeated = s.PayloadLen > 0 && now.Sub(t.Advanced) >= repeatAfter
	}
	if t.Ack == 0 || int32(s.Ack-t.Ack) > 0 {
		t.Ack = s.Ack
	}
	t.Seen = now
	if s.Kind == packet.SegmentFin {
		t.State = TrackClosing
	}
	return t, o
}

// awaitsInstance reports whether the flow awaits an answer of its instance that
// is not overdue.
func (t *Track) awaitsInstance() bool {
	if t.Reported {
		return false
	}
	return t.State == TrackOpening || !t.AwaitingSince.IsZero() && !t.Overdue
}

const (
	trackShards = 16
	// DefaultTrackLimit is the number of flows that one balancer tracks: above
	// twice the 23,000 open flows of a balancer at the target size.
	DefaultTrackLimit = 1 << 16
)

// Tracks is the table of opaque flows that a balancer has seen. A full table
// accepts no new flow, which is then served by its token alone. When two
// workers handle packets of one flow at the same time, the later Put wins: one
// observation is lost, but never the flow. The zero value is empty.
type Tracks struct {
	shards [trackShards]trackShard
}

type trackShard struct {
	mu locks.Mutex
	m  map[packet.FlowID]Track
	// waiting holds the keys of m whose track awaits an answer of its instance.
	waiting map[packet.FlowID]struct{}
}

func (s *trackShard) updateWaiting(f packet.FlowID, t *Track) {
	if !t.awaitsInstance() {
		delete(s.waiting, f)
		return
	}
	if s.waiting == nil {
		s.waiting = make(map[packet.FlowID]struct{})
	}
	s.waiting[f] = struct{}{}
}

func (ts *Tracks) shard(f packet.FlowID) *trackShard {
	return &ts.shards[f.Hash()%trackShards]
}

// Get returns the track of a flow.
func (ts *Tracks) Get(h *locks.Holder, f packet.FlowID) (Track, bool) {
	s := ts.shard(f)
	s.mu.Lock(h, locks.RankTracks)
	defer s.mu.Unlock(h, locks.RankTracks)
	t, ok := s.m[f]
	return t, ok
}

// Put stores the track of a flow. It reports false when the table is full.
func (ts *Tracks) Put(h *locks.Holder, f packet.FlowID, t Track) bool {
	s := ts.shard(f)
	s.mu.Lock(h, locks.RankTracks)
	defer s.mu.Unlock(h, locks.RankTracks)
	if s.m == nil {
		s.m = make(map[packet.FlowID]Track)
	}
	if _, ok := s.m[f]; !ok && len(s.m) >= DefaultTrackLimit/trackShards {
		return false
	}
	s.m[f] = t
	s.updateWaiting(f, &t)
	return true
}

// Waiting returns the flows that await an answer of their instance and match
// fn.
func (ts *Tracks) Waiting(h *locks.Holder, fn func(packet.FlowID, Track) bool) []packet.FlowID {
	var out []packet.FlowID
	for i := range ts.shards {
		s := &ts.shards[i]
		s.mu.Lock(h, locks.RankTracks)
		for f := range s.waiting {
			if fn(f, s.m[f]) {
				out = append(out, f)
			}
		}
		s.mu.Unlock(h, locks.RankTracks)
	}
	return out
}

// Remove removes and returns the track of a flow.
func (ts *Tracks) Remove(h *locks.Holder, f packet.FlowID) (Track, bool) {
	s := ts.shard(f)
	s.mu.Lock(h, locks.RankTracks)
	defer s.mu.Unlock(h, locks.RankTracks)
	t, ok := s.m[f]
	delete(s.m, f)
	delete(s.waiting, f)
	return t, ok
}

// Len returns the number of flows.
func (ts *Tracks) Len(h *locks.Holder) int {
	n := 0
	for i := range ts.shards {
		s := &ts.shards[i]
		s.mu.Lock(h, locks.RankTracks)
		n += len(s.m)
		s.mu.Unlock(h, locks.RankTracks)
	}
	return n
}

// Select returns the flows that match fn and their tracks.
func (ts *Tracks) Select(h *locks.Holder, fn func(Track) bool) map[packet.FlowID]Track {
	out := make(map[packet.FlowID]Track)
	for i := range ts.shards {
		s := &ts.shards[i]
		s.mu.Lock(h, locks.RankTracks)
		for f, t := range s.m {
			if fn(t) {
				out[f] = t
			}
		}
		s.mu.Unlock(h, locks.RankTracks)
	}
	return out
}

// Sweep removes the tracks for which fn reports true and calls onRemove with
// each of them, outside the lock.
func (ts *Tracks) Sweep(h *locks.Holder, fn func(Track) bool, onRemove func(Track)) {
	var out []Track
	for i := range ts.shards {
		s := &ts.shards[i]
		s.mu.Lock(h, locks.RankTracks)
		for f, t := range s.m {
			if fn(t) {
				delete(s.m, f)
				delete(s.waiting, f)
				out = append(out, t)
			}
		}
		s.mu.Unlock(h, locks.RankTracks)
	}
	for _, t := range out {
		onRemove(t)
	}
}
