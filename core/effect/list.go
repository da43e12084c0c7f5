package effect

import (
	"net/netip"

	"egretdock/core/packet"
)

// List collects effects. Packet effects are reused after Reset, so that
// forwarding on the established path allocates nothing. The zero value is an
// empty list. A List belongs to one worker.
type List struct {
	items []Effect
	// ups and calls are reused; the first nUps and nCalls of them are in items.
	ups    []*ToUpstream
	calls  []*ToClient
	nUps   int
	nCalls int
	// delivers is reused like ups.
	delivers  []*Deliver
	nDelivers int
}

// Items returns the effects in order. They are valid until Reset.
func (l *List) Items() []Effect { return l.items }

// Reset empties the list.
func (l *List) Reset() {
	clear(l.items)
	l.items = l.items[:0]
	l.nUps, l.nCalls, l.nDelivers = 0, 0, 0
}

// Add appends an effect.
func (l *List) Add(e Effect) { l.items = append(l.items, e) }

// ToUpstream appends a packet to an upstream.
func (l *List) ToUpstream(to netip.AddrPort, p packet.Packet) {
	if l.nUps == len(l.ups) {
		l.ups = append(l.ups, new(ToUpstream))
	}
	e := l.ups[l.nUps]
	l.nUps++
	e.To, e.Packet = to, p
	l.items = append(l.items, e)
}

// ToClient appends a packet to a client.
func (l *List) ToClient(p packet.Packet) {
	if l.nCalls == len(l.calls) {
		l.calls = append(l.calls, new(ToClient))
	}
	e := l.calls[l.nCalls]
	l.nCalls++
	e.Packet = p
	l.items = append(l.items, e)
}

// Deliver appends a packet of an opaque flow.
func (l *List) Deliver(d Deliver) {
	if l.nDelivers == len(l.delivers) {
		l.delivers = append(l.delivers, new(Deliver))
	}
	e := l.delivers[l.nDelivers]
	l.nDelivers++
	*e = d
	l.items = append(l.items, e)
}
