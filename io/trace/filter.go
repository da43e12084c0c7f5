package trace

import "egretdock/io/logs"

// Condition selects records of a timeline.
//
//sumtype:decl
type Condition interface{ condition() }

// Each of these conditions checks one field of a record.
type (
	// ByFlow selects the events of a flow.
	ByFlow uint64
	// ByCustomer selects the events of a customer.
	ByCustomer string
	// ByUpstream selects the events of an upstream.
	ByUpstream string
	// ByRequest selects the events of a request.
	ByRequest string
	// ByClient selects the events of the flow from a client's address and port, or
	// of all flows of the client when it is an address without a port.
	ByClient string
	// ByRevision selects the events of a configuration revision, which
	// identifies an edit.
	ByRevision uint64
	// ByEvent selects the events with this name.
	ByEvent string
	// ByProcess selects the events of a process.
	ByProcess string
)

func (ByFlow) condition()     {}
func (ByCustomer) condition() {}
func (ByUpstream) condition() {}
func (ByRequest) condition()  {}
func (ByClient) condition()   {}
func (ByRevision) condition() {}
func (ByEvent) condition()    {}
func (ByProcess) condition()  {}

// matchesAll reports whether r matches all conditions.
func matchesAll(r logs.Record, cs []Condition) bool {
	for _, c := range cs {
		if !matches(r, c) {
			return false
		}
	}
	return true
}

// matches reports whether r matches c. A gap in the records of a process
// matches every condition except ByProcess, because events that match may be
// missing there.
func matches(r logs.Record, c Condition) bool {
	gap := r.Event.Name == logs.EventOverwritten
	switch c := c.(type) {
	case ByFlow:
		return gap || r.Event.Flow == uint64(c)
	case ByCustomer:
		return gap || r.Event.Customer == string(c)
	case ByUpstream:
		return gap || r.Event.Upstream == string(c)
	case ByRequest:
		return gap || r.Event.Request == string(c)
	case ByClient:
		return gap || r.Event.Client.String() == string(c) || r.Event.Client.Addr().String() == string(c)
	case ByRevision:
		return gap || r.Event.Revision == uint64(c)
	case ByEvent:
		return gap || r.Event.Name == string(c)
	case ByProcess:
		return r.Process == string(c)
	}
	return false
}
