package effect

import (
	"net/netip"

	"egretdock/core/packet"
)

// List collects effects. It reuses packet effects after Reset, so that forwarding
// packets of established flows allocates nothing. The zero value is an empty
// list. A List must not be shared between workers.
type List struct {
	items []Effect
	// toUpstream and toClient hold effects for reuse. The first nToUpstream and
	// nToClient of them are in items.
	toUpstream  []*ToUpstream
	toClient    []*ToClient
	nToUpstream int
	nToClient   int
	// delivers holds effects for reuse. The first nDelivers of them are in items.
	delivers  []*Deliver
	nDelivers int
}

// Items returns the effects in order. They are valid until Reset.
func (l *List) Items() []Effect { return l.items }

// Reset empties the list.
func (l *List) Reset() {
	clear(l.items)
	l.items = l.items[:0]
	l.nToUpstream, l.nToClient, l.nDelivers = 0, 0, 0
}

// Add appends an effect.
func (l *List) Add(e Effect) { l.items = append(l.items, e) }

// ToUpstream appends a packet that is sent to an upstream.
func (l *List) ToUpstream(to netip.AddrPort, p packet.Packet) {
	if l.nToUpstream == len(l.toUpstream) {
		l.toUpstream = append(l.toUpstream, new(ToUpstream))
	}
	e := l.toUpstream[l.nToUpstream]
	l.nToUpstream++
	e.To, e.Packet = to, p
	l.items = append(l.items, e)
}

// ToClient appends a packet that is sent to a client.
func (l *List) ToClient(p packet.Packet) {
	if l.nToClient == len(l.toClient) {
		l.toClient = append(l.toClient, new(ToClient))
	}
	e := l.toClient[l.nToClient]
	l.nToClient++
	e.Packet = p
	l.items = append(l.items, e)
}

// Deliver appends the delivery of a packet of an opaque flow.
func (l *List) Deliver(d Deliver) {
	if l.nDelivers == len(l.delivers) {
		l.delivers = append(l.delivers, new(Deliver))
	}
	e := l.delivers[l.nDelivers]
	l.nDelivers++
	*e = d
	l.items = append(l.items, e)
}
