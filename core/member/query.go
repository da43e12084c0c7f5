package member

import (
	"slices"
	"strings"
	"time"

	"egretdock/core/model"
)

// View returns the balancers that are live or leaving, self included.
func (s *State) View() View { return s.view }

// Self returns this balancer with its current incarnation.
func (s *State) Self() model.Balancer { return s.self }

// Settled reports whether this balancer may act as an owner: it is not leaving,
// its ticks are on time, and since its start or last long pause it has caught
// up with a peer or Config.CatchUpTimeout has passed.
func (s *State) Settled(now time.Time) bool {
	if s.lastTick.IsZero() || s.leaving || s.paused(now) {
		return false
	}
	return s.caughtUp || now.Sub(s.catchUpStart) >= s.cfg.CatchUpTimeout
}

// paused reports whether the process has not ticked for so long that its peers
// may have removed it.
func (s *State) paused(now time.Time) bool {
	return !s.lastTick.IsZero() && now.Sub(s.lastTick) > s.cfg.SuspicionTimeout
}

// RevisionReport is the highest configuration revision that a balancer has
// reported.
type RevisionReport struct {
	Balancer model.Balancer
	// Live is false for a leaving balancer and for a listed host that is not
	// reachable.
	Live bool
	// Revision is 0 when this incarnation has not reported any.
	Revision uint64
}

// Revisions returns the revisions reported by self and by the live, leaving and
// listed balancers of a data centre, sorted by name. An empty dataCentre
// selects all data centres.
func (s *State) Revisions(dataCentre string) []RevisionReport {
	out := make([]RevisionReport, 0, len(s.records)+1)
	if dataCentre == "" || dataCentre == s.self.DataCentre {
		out = append(out, RevisionReport{Balancer: s.self, Live: !s.leaving, Revision: s.revision})
	}
	for _, r := range s.records {
		if !r.listed && !r.live() && !r.leaving() {
			continue
		}
		if dataCentre == "" || dataCentre == r.balancer.DataCentre {
			out = append(out, RevisionReport{Balancer: r.balancer, Live: r.live(), Revision: r.revision})
		}
	}
	slices.SortFunc(out, func(a, b RevisionReport) int { return strings.Compare(a.Balancer.Name, b.Balancer.Name) })
	return out
}

// Sender returns Header.From of a message and its configuration revision.
func Sender(m Message) (model.Balancer, uint64) {
	var h Header
	switch m := m.(type) {
	case *Ping:
		h = m.Header
	case *Ack:
		h = m.Header
	case *PingRequest:
		h = m.Header
	case *Pull:
		h = m.Header
	case *Page:
		h = m.Header
	case *Findings:
		h = m.Header
	case *FlowQuery:
		h = m.Header
	case *FlowReport:
		h = m.Header
	}
	return h.From, h.Revision
}
