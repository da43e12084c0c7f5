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

// Host is an entry of the platform's host list, hosts/<name>.
type Host struct {
	Name       string         `json:"name"`
	DataCentre string         `json:"data_centre"`
	PeerAddr   netip.AddrPort `json:"peer"`
	FetchAddr  netip.AddrPort `json:"fetch"`
	// Leaving is true once the host is leaving. It still serves.
	Leaving bool `json:"leaving,omitempty"`
}

// Status is the record status/<dc>, written by the relay of a data centre.
type Status struct {
	DataCentre string `json:"data_centre"`
	// Relay and FencingToken are those of the lease under which the record was
	// written.
	Relay        string `json:"relay"`
	FencingToken uint64 `json:"fencing"`
	// Revision is the revision that the relay has in force.
	Revision uint64 `json:"revision"`
	// LowestRevision is the lowest revision that a balancer acknowledged, and
	// Lagging names the balancers below Revision.
	LowestRevision uint64   `json:"lowest"`
	Lagging        []string `json:"lagging,omitempty"`
	// Acked holds the revision that each balancer acknowledged, by name.
	Acked map[string]uint64 `json:"acked"`
}

// WithAcks returns a copy with the revision of the relay and the revisions that
// its data centre's balancers acknowledged.
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

// Hosts returns the host list, sorted by name.
func (l *Log) Hosts(ctx context.Context) ([]Host, error) {
	objs, _, err := l.objects.List(ctx, HostPrefix)
	if err != nil {
		return nil, err
	}
	out := make([]Host, 0, len(objs))
	for _, o := range objs {
		var h Host
		// A host whose entry can't be decoded still counts: it has to confirm
		// releases.
		_ = json.Unmarshal(o.Value, &h)
		h.Name = strings.TrimPrefix(o.Key, HostPrefix)
		out = append(out, h)
	}
	slices.SortFunc(out, func(a, b Host) int { return strings.Compare(a.Name, b.Name) })
	return out, nil
}

// Statuses returns the status records by data centre.
func (l *Log) Statuses(ctx context.Context) (map[string]Status, error) {
	objs, _, err := l.objects.List(ctx, StatusPrefix)
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

// Acks returns the revision that each balancer on the host list has
// acknowledged according to the status of its data centre; 0 when the status
// does not name it.
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

// PutStatus replaces the status of a data centre, unless it was written under a
// higher fencing token.
func (l *Log) PutStatus(ctx context.Context, s Status) error {
	var old Status
	key := StatusPrefix + s.DataCentre
	version, err := l.getRecord(ctx, key, &old)
	if err != nil {
		return err
	}
	if old.FencingToken > s.FencingToken {
		return fault.New(fault.KindConflict, "the status of "+s.DataCentre+" was written by the newer relay "+old.Relay, "do not write it until the lease is held again")
	}
	_, err = l.putRecord(ctx, key, s, version)
	return err
}

// Lease is the record lease/<dc>. Its holder is the relay of the data centre.
type Lease struct {
	Holder string `json:"holder"`
	// FencingToken increases with each new holder.
	FencingToken uint64 `json:"fencing"`
	// Renewals counts the renewals by the holder; each changes the version.
	Renewals uint64 `json:"renewals"`
}

// Lease returns the lease of a data centre and its version, which is 0 when
// there is no lease.
func (l *Log) Lease(ctx context.Context, dc string) (Lease, uint64, error) {
	var out Lease
	version, err := l.getRecord(ctx, leasePrefix+dc, &out)
	return out, version, err
}

// PutLease replaces the lease if it has the given version; 0 means that there
// is no lease. It returns the new version.
func (l *Log) PutLease(ctx context.Context, dc string, lease Lease, version uint64) (uint64, error) {
	return l.putRecord(ctx, leasePrefix+dc, lease, version)
}

// Equal reports whether two statuses are equal. LowestRevision and Lagging
// follow from the compared fields.
func (s Status) Equal(o Status) bool {
	return s.DataCentre == o.DataCentre && s.Relay == o.Relay && s.FencingToken == o.FencingToken &&
		s.Revision == o.Revision && maps.Equal(s.Acked, o.Acked)
}

// PutHost creates or replaces an entry of the host list. It is for emulated
// platforms: a real platform maintains the list itself.
func PutHost(ctx context.Context, objects ObjectStore, h Host) error {
	value, err := json.Marshal(h)
	if err != nil {
		return err
	}
	key := HostPrefix + h.Name
	var version uint64
	if old, err := objects.Get(ctx, key); err == nil {
		version = old.Version
	}
	_, err = objects.Put(ctx, key, value, version)
	return err
}
