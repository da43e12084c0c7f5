package store

import (
	"context"
	"encoding/json"
	"maps"
	"net/netip"
	"slices"
	"strings"

	"egretdock/core/fault"
	"egretdock/core/rules"
)

// Host is one entry of the platform's host list, hosts/<name>. A leaving host
// still serves.
type Host struct {
	Name       string         `json:"name"`
	DataCentre string         `json:"data_centre"`
	PeerAddr       netip.AddrPort `json:"peer"`
	FetchAddr      netip.AddrPort `json:"fetch"`
	Leaving    bool           `json:"leaving,omitempty"`
}

// Status is the record status/<dc>, written by the relay of a data centre.
type Status struct {
	DataCentre string `json:"data_centre"`
	// Relay and Fencing name the holder of the lease that wrote the record.
	Relay   string `json:"relay"`
	FencingToken uint64 `json:"fencing"`
	// Revision is the revision of the relay itself.
	Revision uint64 `json:"revision"`
	// LowestRevision is the lowest revision that a balancer acknowledged, and Lagging
	// are the balancers below Revision.
	LowestRevision  uint64   `json:"lowest"`
	Lagging []string `json:"lagging,omitempty"`
	// Acked are the revisions by balancer.
	Acked map[string]uint64 `json:"acked"`
}

// WithAcks returns a copy that reports the given revisions.
func (s Status) WithAcks(revision uint64, acked map[string]uint64) Status {
	s.Revision, s.LowestRevision, s.Lagging, s.Acked = revision, revision, nil, maps.Clone(acked)
	for _, name := range slices.Sorted(maps.Keys(acked)) {
		if acked[name] < revision {
			s.Lagging = append(s.Lagging, name)
			s.LowestRevision = min(s.LowestRevision, acked[name])
		}
	}
	return s
}

// Hosts returns the host list in order of name.
func (l *Log) Hosts(ctx context.Context) ([]Host, error) {
	objs, _, err := l.objs.List(ctx, HostPrefix)
	if err != nil {
		return nil, err
	}
	out := make([]Host, 0, len(objs))
	for _, o := range objs {
		var h Host
		// A host whose entry can't be read still counts as a host.
		_ = json.Unmarshal(o.Value, &h)
		h.Name = strings.TrimPrefix(o.Key, HostPrefix)
		out = append(out, h)
	}
	slices.SortFunc(out, func(a, b Host) int { return strings.Compare(a.Name, b.Name) })
	return out, nil
}

// Statuses returns the status records by data centre.
func (l *Log) Statuses(ctx context.Context) (map[string]Status, error) {
	objs, _, err := l.objs.List(ctx, StatusPrefix)
	if err != nil {
		return nil, err
	}
	out := make(map[string]Status, len(objs))
	for _, o := range objs {
		var s Status
		if json.Unmarshal(o.Value, &s) == nil {
			out[strings.TrimPrefix(o.Key, StatusPrefix)] = s
		}
	}
	return out, nil
}

// Acks returns what each balancer on the host list has acknowledged, by the
// status of its own data centre.
func (l *Log) Acks(ctx context.Context) (rules.Acks, error) {
	hosts, err := l.Hosts(ctx)
	if err != nil {
		return nil, err
	}
	statuses, err := l.Statuses(ctx)
	if err != nil {
		return nil, err
	}
	out := make(rules.Acks, 0, len(hosts))
	for _, h := range hosts {
		out = append(out, rules.Ack{Balancer: h.Name, DataCentre: h.DataCentre, Revision: statuses[h.DataCentre].Acked[h.Name]})
	}
	return out, nil
}

// PutStatus replaces the record of a data centre, unless a relay with a higher
// fencing number wrote it.
func (l *Log) PutStatus(ctx context.Context, s Status) error {
	var old Status
	key := StatusPrefix + s.DataCentre
	version, err := l.record(ctx, key, &old)
	if err != nil {
		return err
	}
	if old.FencingToken > s.FencingToken {
		return fault.New(fault.KindConflict, "status of "+s.DataCentre+" is written by relay "+old.Relay, "stop writing it")
	}
	_, err = l.putRecord(ctx, key, s, version)
	return err
}

// Lease is the record lease/<dc>.
type Lease struct {
	Holder string `json:"holder"`
	// FencingToken grows with each new holder.
	FencingToken uint64 `json:"fencing"`
	// Renewals counts the renewals by the holder.
	Renewals uint64 `json:"renewals"`
}

// Lease returns the lease of a data centre and its version; 0 when there is
// none.
func (l *Log) Lease(ctx context.Context, dc string) (Lease, uint64, error) {
	var out Lease
	version, err := l.record(ctx, leasePrefix+dc, &out)
	return out, version, err
}

// PutLease replaces the lease if it has the version; 0 means absent.
func (l *Log) PutLease(ctx context.Context, dc string, v Lease, version uint64) (uint64, error) {
	return l.putRecord(ctx, leasePrefix+dc, v, version)
}

// Equal reports whether two records say the same.
func (s Status) Equal(o Status) bool {
	return s.DataCentre == o.DataCentre && s.Relay == o.Relay && s.FencingToken == o.FencingToken &&
		s.Revision == o.Revision && maps.Equal(s.Acked, o.Acked)
}

// PutHost writes an entry of the host list, whatever it was before. A real
// platform maintains the list by itself; stand-ins use this.
func PutHost(ctx context.Context, objs ObjectStore, h Host) error {
	value, err := json.Marshal(h)
	if err != nil {
		return err
	}
	key := HostPrefix + h.Name
	var version uint64
	if old, err := objs.Get(ctx, key); err == nil {
		version = old.Version
	}
	_, err = objs.Put(ctx, key, value, version)
	return err
}
