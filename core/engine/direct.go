package engine

import (
	"time"

	"egretdock/core/cmds"
	"egretdock/core/effect"
	"egretdock/core/health"
	"egretdock/core/model"
	"egretdock/core/packet"
	"egretdock/core/query"
	"egretdock/core/roster"
	"egretdock/core/table"
)

const (
	// hedgeDelay is the time after which an opening is also sent to another
	// instance if the client has not continued the flow. A handshake takes one
	// round trip to the client and one to the instance, at most 15 ms between
	// data centres of one region; the client retransmits after 200 ms.
	hedgeDelay = 40 * time.Millisecond
	// openTimeout is the time after which a client gives up an opening. It has then
	// opened its flow by a copy, or uses another port.
	openTimeout = 1400 * time.Millisecond
	// duplicateOpeningWindow is how long after its first opening a flow treats
	// further openings as duplicates. A client gives up after 1.4 s and uses
	// another port for its next attempt.
	duplicateOpeningWindow = 2 * time.Second
	// defaultChangeDeadline applies when DirectConfig sets none.
	defaultChangeDeadline = 3 * time.Second
)

// DirectConfig configures the handling of opaque flows. The zero value serves
// one data centre.
type DirectConfig struct {
	// Locality is where the balancer runs.
	Locality table.Locality
	// FlowLifetime is the age at which the tracking of a flow may be removed.
	FlowLifetime time.Duration
	// ChangeDeadline is the time within which a change of routes must be in
	// force; 0 means defaultChangeDeadline.
	ChangeDeadline time.Duration
}

// maxRoutesAgeForReset is the maximum age of the store's confirmation of the
// routes at which an opening to an unknown address is reset. It is below
// ChangeDeadline, so that a route added since then is not refused for longer
// than the deadline.
func (d DirectConfig) maxRoutesAgeForReset() time.Duration {
	if d.ChangeDeadline <= 0 {
		return defaultChangeDeadline * 5 / 6
	}
	return d.ChangeDeadline * 5 / 6
}

func (e *Engine) tickOpaqueFlows(w *WorkerState, now time.Time) {
	e.updateRoster(w, func(r roster.Roster) (roster.Roster, bool) { return r.WithExpiry(now) })
	e.flowQueries.Store(0)
	e.heldPackets.Store(0)
	e.releaseUnclaimed(w, now)
	e.hedgeOpenings(w, now)
	e.reportOverdueAnswers(w, now)
	e.sendFindings(w, now)
	if last := e.tracksSweptAt.Load(); last == nil || now.Sub(*last) >= trackSweepInterval {
		e.tracksSweptAt.Store(&now)
		cmds.SweepTracks(&w.locks, now, &e.Tables, e.Direct.FlowLifetime)
	}
}

// trackSweepInterval is the interval at which expired tracked flows are removed.
const trackSweepInterval = time.Second

// hedgeOpenings sends each opening that was not answered within hedgeDelay to a
// second instance. Later than FirstResend, after the process did not run, the
// client has repeated the opening, and its instances are not to blame. A client
// whose packets are held has got an answer.
func (e *Engine) hedgeOpenings(w *WorkerState, now time.Time) {
	late := e.Tables.Tracks.Waiting(&w.locks, func(_ packet.FlowID, t table.Track) bool {
		age := now.Sub(t.Sent)
		return t.State == table.TrackOpening && age >= hedgeDelay && age < table.FirstResend && len(t.Tried()) == 1 && len(t.Held) == 0
	})
	for _, f := range late {
		t, ok := e.Tables.Tracks.Get(&w.locks, f)
		if !ok || t.State != table.TrackOpening {
			continue
		}
		d := e.Tables.Direct()
		route, ok := d.Routing.Route(f.Address)
		if !ok {
			continue
		}
		e.recordUnansweredOpening(w, now, d, t.Instance)
		s := packet.Segment{Flow: f, Kind: packet.SegmentOpen, Retransmit: t.Retransmit, Seq: t.Start, Raw: t.Syn}
		e.placeOpening(w, now, d, route, &s, t, "flow_hedged")
	}
}

// reportOverdueAnswers records and logs the requests whose answer is overdue. An
// instance that accepts flows and answers nothing can't be detected otherwise:
// it acknowledges the data, or it resets the client, which then sends no more.
func (e *Engine) reportOverdueAnswers(w *WorkerState, now time.Time) {
	d := e.Tables.Direct()
	late := e.Tables.Tracks.Waiting(&w.locks, func(_ packet.FlowID, t table.Track) bool { return query.IsOverdue(d, t, now) })
	for _, f := range late {
		if t, ok := cmds.TrackOverdue(&w.locks, now, &e.Tables, f); ok {
			s := packet.Segment{Flow: f}
			e.reportDecision(w, now, d, &s, "answer_overdue", "waited="+now.Sub(t.AwaitingSince).String(), instanceChoice(d, t.Instance))
		}
	}
}

// instanceChoice returns a choice that names an instance for reportDecision.
func instanceChoice(d *table.DirectView, id uint64) query.Choice {
	b, _ := d.Backend(id)
	return query.Choice{Backend: b}
}

// recordUnansweredOpening records in the health of an instance that it has not
// answered an opening.
func (e *Engine) recordUnansweredOpening(w *WorkerState, now time.Time, d *table.DirectView, id uint64) {
	if b, ok := d.Backend(id); ok {
		b.State.Observe(&w.locks, now, health.Failed{Incarnation: id, Opening: true})
	}
}

func (e *Engine) flowOpen(w *WorkerState, now time.Time, s *packet.Segment) {
	e.noteStall(now, s.Waited)
	d := e.Tables.Direct()
	if s.Waited >= openTimeout {
		e.reportDecision(w, now, d, s, "packet_dropped", "opening_expired", query.Choice{})
		return
	}
	if d.Routing.Position.IsZero() {
		e.reportDecision(w, now, d, s, "packet_dropped", "no_routes", query.Choice{})
		return
	}
	route, ok := d.Routing.Route(s.Flow.Address)
	if !ok {
		e.handleNoRoute(w, now, d, s)
		return
	}
	t, tracked := e.Tables.Tracks.Get(&w.locks, s.Flow)
	if tracked && (t.IsUnknown() || t.StartKnown && t.Start != s.Seq) {
		// Another flow uses the port again.
		cmds.ForgetTrack(&w.locks, &e.Tables, s.Flow)
		tracked = false
	}
	switch {
	case tracked && t.State == table.TrackOpening && s.Retransmit > t.Retransmit:
		if len(t.Tried()) == 1 {
			e.recordUnansweredOpening(w, now, d, t.Instance)
		}
		t.Retransmit = s.Retransmit
		t.Waited = t.Waited || s.Waited >= table.FirstResend
		e.placeOpening(w, now, d, route, s, t, "flow_retried")
	case tracked && (t.State == table.TrackOpening || s.Retransmit > 0 || now.Sub(t.Opened) < duplicateOpeningWindow):
		// A duplicate, or a retransmission that the flow's instance has already
		// answered.
		if b, ok := d.Backend(t.Instance); ok {
			e.deliverSegment(w, s, b, openingToken(b, t.State == table.TrackOpening))
		}
	default:
		if tracked {
			cmds.ForgetTrack(&w.locks, &e.Tables, s.Flow)
		}
		e.placeOpening(w, now, d, route, s, table.Track{Opened: now, Retransmit: s.Retransmit, Start: s.Seq, StartKnown: true, Waited: s.Waited >= table.FirstResend}, "flow_placed")
	}
}

// handleNoRoute handles an opening to an address without a route. It resets the
// flow only after a recent confirmation of the routes, since otherwise the
// address may have a route that this balancer has not received. A confirmation of
// before the process did not run is not recent, whatever its age by a clock that
// stands still while the host is suspended.
func (e *Engine) handleNoRoute(w *WorkerState, now time.Time, d *table.DirectView, s *packet.Segment) {
	resumed := e.resumedAt.Load()
	if now.Sub(d.RoutingConfirmed) > e.Direct.maxRoutesAgeForReset() || resumed != nil && d.RoutingConfirmed.Before(*resumed) {
		e.reportDecision(w, now, d, s, "packet_dropped", "no_route_unconfirmed", query.Choice{})
		return
	}
	e.resetFlow(w, now, d, s, "no_route")
}

// placeOpening sends an opening to the best instance that it has not been sent
// to yet.
func (e *Engine) placeOpening(w *WorkerState, now time.Time, d *table.DirectView, route model.Route, s *packet.Segment, t table.Track, event string) {
	size := query.FleetSizeOf(e.Tables.Members(), e.Direct.Locality)
	c := query.Place(d, route, s.Flow, &t, query.UnresponsiveInstances(&w.locks, &e.Tables, s.Flow), size, now)
	if c.Backend == nil {
		e.reportDecision(w, now, d, s, "packet_dropped", "no_instance", c)
		return
	}
	t = t.WithTry(now, c.Backend.Instance.ID)
	if len(t.Syn) == 0 {
		t.Syn = append([]byte(nil), s.Raw...)
	}
	tracked := cmds.TrackOpening(&w.locks, &e.Tables, s.Flow, t, c.Backend)
	e.deliverSegment(w, s, c.Backend, openingToken(c.Backend, tracked))
	if len(t.Tried()) == 1 {
		w.Out.Add(&effect.Wake{After: hedgeDelay})
	}
	e.reportDecision(w, now, d, s, event, c.Tier, c)
}

func (e *Engine) flowContinue(w *WorkerState, now time.Time, s *packet.Segment) {
	d := e.Tables.Direct()
	e.noteStall(now, s.Waited)
	t, tracked := e.Tables.Tracks.Get(&w.locks, s.Flow)
	if at := e.resumedAt.Load(); at != nil && t.Opened.Before(*at) {
		t.Waited = true
	}
	switch target := query.Resolve(now, d, s, t, tracked).(type) {
	case query.TargetBackend:
		e.forwardSegment(w, now, d, s, t, tracked, target.Backend)
	case query.TargetUnknown:
		e.reportDecision(w, now, d, s, "packet_dropped", target.Reason, query.Choice{})
	case query.TargetUnconfirmed:
		e.reportDecision(w, now, d, s, "packet_held", "opening_unconfirmed", query.Choice{})
		e.holdSegment(w, now, s, t)
	case query.TargetLost:
		e.resetFlow(w, now, d, s, target.Reason)
		cmds.ForgetTrack(&w.locks, &e.Tables, s.Flow)
	}
}

// noteStall records that the process runs again if it did not for a time.
func (e *Engine) noteStall(now time.Time, stalled time.Duration) {
	if stalled >= table.FirstResend {
		e.resumedAt.Store(&now)
	}
}

// forwardSegment sends a segment of an open flow to its instance.
func (e *Engine) forwardSegment(w *WorkerState, now time.Time, d *table.DirectView, s *packet.Segment, t table.Track, tracked bool, b *table.Backend) {
	route, _ := d.Routing.Route(s.Flow.Address)
	if tracked && t.State != table.TrackOpening && t.Instance != b.Instance.ID {
		// The token is of a later flow of the port.
		cmds.ForgetTrack(&w.locks, &e.Tables, s.Flow)
		tracked = false
	}
	if !tracked || t.Reported || t.State == table.TrackOpening {
		ev := &effect.Event{Name: "flow_opened", Client: s.Flow.Client, Address: s.Flow.Address, Upstream: b.Instance.Name, Detail: "moved"}
		answered := tracked && !t.Reported
		switch {
		case answered:
			ev.Detail, ev.Elapsed = "answered", now.Sub(t.Sent)
		case !tracked:
			t = table.Track{Opened: now, Seen: now}
		}
		w.Out.Add(ev)
		t = cmds.TrackOpened(&w.locks, now, &e.Tables, s.Flow, t, b, route.Idempotent)
		if answered && t.IsContested() {
			e.reportOpenFlow(w, s.Flow, t)
		}
	}
	e.deliverSegment(w, s, b, b.Token)
	switch o := cmds.TrackSegment(&w.locks, now, &e.Tables, s, t, b); {
	case o.Repeated:
		e.reportDecision(w, now, d, s, "packet_repeated", "unanswered", query.Choice{Backend: b})
	case s.Request != nil:
		e.reportDecision(w, now, d, s, "request_carried", b.Status.String(), query.Choice{Backend: b})
	}
	if len(t.Held) > 0 {
		e.releaseHeld(w, now, s.Flow)
	}
}

func (e *Engine) flowEnd(w *WorkerState, now time.Time, s *packet.Segment) {
	e.flowContinue(w, now, s)
	if s.Kind == packet.SegmentReset {
		cmds.ForgetTrack(&w.locks, &e.Tables, s.Flow)
	}
}

// openingToken returns the token for an opening. The token of an opening works
// only with a track, so a flow that is not tracked, or already open, gets the
// token of an open flow.
func openingToken(b *table.Backend, opening bool) uint32 {
	if opening {
		return b.OpeningToken()
	}
	return b.Token
}

func (e *Engine) deliverSegment(w *WorkerState, s *packet.Segment, b *table.Backend, token uint32) {
	w.Out.Deliver(effect.Deliver{To: b.Instance.Endpoint, Instance: b.Instance.ID, Token: token, Raw: s.Raw})
}

func (e *Engine) resetFlow(w *WorkerState, now time.Time, d *table.DirectView, s *packet.Segment, reason string) {
	if s.Kind == packet.SegmentReset {
		return
	}
	w.Out.Add(&effect.ResetFlow{Flow: s.Flow, Seq: s.Ack})
	e.reportDecision(w, now, d, s, "flow_reset", reason, query.Choice{})
}

// reportDecision emits the event of a decision with the state of the routes and
// the list of instances that it was based on.
func (e *Engine) reportDecision(w *WorkerState, now time.Time, d *table.DirectView, s *packet.Segment, name, reason string, c query.Choice) {
	ev := &effect.Event{
		Name: name, Detail: reason,
		Client: s.Flow.Client, Address: s.Flow.Address, Request: string(s.Request),
		Revision: d.Routing.Position.Revision, Era: d.Routing.Position.Era, Age: ageAt(now, d.RoutingConfirmed),
		ListRevision: d.Roster.Position.Revision, ListEra: d.Roster.Position.Era, ListAge: ageAt(now, d.RosterConfirmed),
		Load: c.Load, Candidates: c.Candidates,
	}
	if c.Backend != nil {
		ev.Upstream, ev.Service = c.Backend.Instance.Name, c.Backend.Instance.Service
	}
	w.Out.Add(ev)
}

// ageAt returns the time since t, or 0 if t is not set.
func ageAt(now, t time.Time) time.Duration {
	if t.IsZero() {
		return 0
	}
	return now.Sub(t)
}
