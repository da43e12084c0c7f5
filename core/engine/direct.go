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
	// hedgeAfter is the time without a continuation after which an opening is
	// also sent to another instance. A handshake takes one round trip to the
	// client and one to the instance, at most 15 ms between data centres of one
	// region; the client's own next copy follows after 200 ms.
	hedgeAfter = 40 * time.Millisecond
	// openingTime is how long an opening belongs to the flow that it opened: a
	// client gives up after 1.4 s and uses another port for its next try.
	openingTime = 2 * time.Second
	// defaultBound is the time in which a change must be in force when Direct does
	// not say.
	defaultBound = 3 * time.Second
)

// Direct is what the engine needs to know for opaque flows. The zero value
// serves one data centre.
type Direct struct {
	// Locality is where the balancer runs.
	Locality table.Locality
	// FlowLifetime is the age at which a flow may be forgotten.
	FlowLifetime time.Duration
	// ChangeBound is the time in which a change of routes must be in force; 0 means
	// 3 s.
	ChangeBound time.Duration
}

// resetConfirmed is the age up to which the store's confirmation of the routes
// allows to reset the opening of an unknown address: a route that was added
// since may not be refused for longer than the bound.
func (d Direct) resetConfirmed() time.Duration {
	if d.ChangeBound <= 0 {
		return defaultBound * 5 / 6
	}
	return d.ChangeBound * 5 / 6
}

func (e *Engine) tickDirect(w *Work, now time.Time) {
	e.updateRoster(w, func(r roster.Roster) (roster.Roster, bool) { return r.WithTime(now) })
	e.hedge(w, now)
	e.overdue(w, now)
	e.tell(w, now)
	if last := e.swept.Load(); last == nil || now.Sub(*last) >= sweepEvery {
		e.swept.Store(&now)
		cmds.SweepTracks(&w.locks, now, &e.Tables, e.Direct.FlowLifetime)
	}
}

// sweepEvery is the interval between two sweeps of the tracked flows.
const sweepEvery = time.Second

// hedge sends the openings that were not answered in time to another instance.
func (e *Engine) hedge(w *Work, now time.Time) {
	late := e.Tables.Tracks.Waiting(&w.locks, func(_ packet.FlowID, t table.Track) bool {
		return t.State == table.TrackOpening && now.Sub(t.Sent) >= hedgeAfter && len(t.Tried()) == 1
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
		e.doubt(w, now, d, t.Instance)
		s := packet.Segment{Flow: f, Kind: packet.SegmentOpen, Copy: t.Copy, Raw: t.Syn}
		e.place(w, now, d, route, &s, t, "flow_hedged")
	}
}

// overdue notes the requests whose answer has taken too long. An instance that
// accepts flows and answers nothing shows in no other way: it acknowledges the
// data, or it resets the client, which then sends nothing more.
func (e *Engine) overdue(w *Work, now time.Time) {
	d := e.Tables.Direct()
	late := e.Tables.Tracks.Waiting(&w.locks, func(_ packet.FlowID, t table.Track) bool { return query.IsOverdue(d, t, now) })
	for _, f := range late {
		if t, ok := cmds.TrackOverdue(&w.locks, now, &e.Tables, f); ok {
			s := packet.Segment{Flow: f}
			e.decide(w, now, d, &s, "answer_overdue", "waited="+now.Sub(t.AwaitingSince).String(), choiceOf(d, t.Instance))
		}
	}
}

// choiceOf names an instance in a report.
func choiceOf(d *table.DirectView, id uint64) query.Choice {
	b, _ := d.Backend(id)
	return query.Choice{Backend: b}
}

// doubt notes that an instance has left an opening unanswered.
func (e *Engine) doubt(w *Work, now time.Time, d *table.DirectView, id uint64) {
	if b, ok := d.Backend(id); ok {
		b.State.Observe(&w.locks, now, health.Failed{Incarnation: id, Opening: true})
	}
}

func (e *Engine) flowOpen(w *Work, now time.Time, s *packet.Segment) {
	d := e.Tables.Direct()
	if d.Routing.Revision == 0 {
		e.decide(w, now, d, s, "packet_dropped", "no_routes", query.Choice{})
		return
	}
	route, ok := d.Routing.Route(s.Flow.Address)
	if !ok {
		e.noRoute(w, now, d, s)
		return
	}
	t, tracked := e.Tables.Tracks.Get(&w.locks, s.Flow)
	switch {
	case tracked && t.State == table.TrackOpening && s.Copy > t.Copy:
		if len(t.Tried()) == 1 {
			e.doubt(w, now, d, t.Instance)
		}
		t.Copy = s.Copy
		e.place(w, now, d, route, s, t, "flow_retried")
	case tracked && (t.State == table.TrackOpening || s.Copy > 0 || now.Sub(t.Opened) < openingTime):
		// A duplicate, or a copy that the flow's instance has already answered.
		if b, ok := d.Backend(t.Instance); ok {
			e.send(w, s, b)
		}
	default:
		if tracked {
			cmds.Forget(&w.locks, &e.Tables, s.Flow)
		}
		e.place(w, now, d, route, s, table.Track{Opened: now, Copy: s.Copy}, "flow_placed")
	}
}

// noRoute answers the opening of an address without a route. Without a recent
// confirmation the address may have a route that this balancer has not seen.
func (e *Engine) noRoute(w *Work, now time.Time, d *table.DirectView, s *packet.Segment) {
	if now.Sub(d.RoutingConfirmed) > e.Direct.resetConfirmed() {
		e.decide(w, now, d, s, "packet_dropped", "no_route_unconfirmed", query.Choice{})
		return
	}
	e.resetFlow(w, now, d, s, "no_route")
}

// place sends an opening to the best instance that it was not sent to before.
func (e *Engine) place(w *Work, now time.Time, d *table.DirectView, route model.Route, s *packet.Segment, t table.Track, event string) {
	site := query.FleetSizeOf(e.Tables.Members(), e.Direct.Locality)
	c := query.Place(d, route, s.Flow, &t, query.UnresponsiveInstances(&w.locks, &e.Tables, s.Flow), site, now)
	if c.Backend == nil {
		e.decide(w, now, d, s, "packet_dropped", "no_instance", c)
		return
	}
	t = t.WithTry(now, c.Backend.Instance.ID)
	if len(t.Syn) == 0 {
		t.Syn = append([]byte(nil), s.Raw...)
	}
	cmds.TrackOpening(&w.locks, &e.Tables, s.Flow, t, c.Backend)
	e.send(w, s, c.Backend)
	if len(t.Tried()) == 1 {
		w.Out.Add(&effect.Wake{After: hedgeAfter})
	}
	e.decide(w, now, d, s, event, c.Tier, c)
}

func (e *Engine) flowContinue(w *Work, now time.Time, s *packet.Segment) {
	d := e.Tables.Direct()
	t, tracked := e.Tables.Tracks.Get(&w.locks, s.Flow)
	switch target := query.Resolve(d, s, t, tracked).(type) {
	case query.TargetBackend:
		e.carry(w, now, d, s, t, tracked, target.Backend)
	case query.TargetUnknown:
		e.decide(w, now, d, s, "packet_dropped", target.Reason, query.Choice{})
	case query.TargetLost:
		e.resetFlow(w, now, d, s, target.Reason)
		cmds.Forget(&w.locks, &e.Tables, s.Flow)
	}
}

// carry sends a packet of an open flow to its instance.
func (e *Engine) carry(w *Work, now time.Time, d *table.DirectView, s *packet.Segment, t table.Track, tracked bool, b *table.Backend) {
	route, _ := d.Routing.Route(s.Flow.Address)
	if !tracked || t.State == table.TrackOpening {
		ev := &effect.Event{Name: "flow_opened", Client: s.Flow.Client, Address: s.Flow.Address, Upstream: b.Instance.Name, Detail: "moved"}
		if tracked {
			ev.Detail, ev.Took = "answered", now.Sub(t.Sent)
		} else {
			t = table.Track{Opened: now, Seen: now}
		}
		w.Out.Add(ev)
		t = cmds.TrackOpened(&w.locks, now, &e.Tables, s.Flow, t, b, route.Idempotent)
	}
	e.send(w, s, b)
	switch seen := cmds.TrackSegment(&w.locks, now, &e.Tables, s, t, b); {
	case seen.Repeated:
		e.decide(w, now, d, s, "packet_repeated", "unanswered", query.Choice{Backend: b})
	case s.Request != nil:
		e.decide(w, now, d, s, "request_carried", b.Status.String(), query.Choice{Backend: b})
	}
}

func (e *Engine) flowEnd(w *Work, now time.Time, s *packet.Segment) {
	e.flowContinue(w, now, s)
	if s.Kind == packet.SegmentAbort {
		cmds.Forget(&w.locks, &e.Tables, s.Flow)
	}
}

func (e *Engine) send(w *Work, s *packet.Segment, b *table.Backend) {
	w.Out.Deliver(effect.Deliver{To: b.Instance.Endpoint, Instance: b.Instance.ID, Token: b.Token, Raw: s.Raw})
}

func (e *Engine) resetFlow(w *Work, now time.Time, d *table.DirectView, s *packet.Segment, reason string) {
	if s.Kind == packet.SegmentAbort {
		return
	}
	w.Out.Add(&effect.ResetFlow{Flow: s.Flow, Seq: s.Ack})
	e.decide(w, now, d, s, "flow_reset", reason, query.Choice{})
}

// decide reports a decision with what it was based on.
func (e *Engine) decide(w *Work, now time.Time, d *table.DirectView, s *packet.Segment, name, reason string, c query.Choice) {
	ev := &effect.Event{
		Name: name, Detail: reason,
		Client: s.Flow.Client, Address: s.Flow.Address, Request: string(s.Request),
		Revision: d.Routing.Revision, Age: since(now, d.RoutingConfirmed),
		List: d.Roster.Revision, ListAge: since(now, d.RosterConfirmed),
		Load: c.Load, Candidates: c.Candidates,
	}
	if c.Backend != nil {
		ev.Upstream, ev.Service = c.Backend.Instance.Name, c.Backend.Instance.Service
	}
	w.Out.Add(ev)
}

func since(now, t time.Time) time.Duration {
	if t.IsZero() {
		return 0
	}
	return now.Sub(t)
}
