// Package opaq simulates both ends of opaque flows: upstreams that answer
// clients directly, and clients that send through balancers. Both record what
// they observe, so that a run can be evaluated without the balancers' own state.
package opaq

import (
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"egretdock/core/packet"
	"egretdock/platform"
)

// maxDatagram is above the largest datagram of a flow.
const maxDatagram = 2048

// Upstream is one instance. Requests take no time; each payload is answered
// with the same payload.
type Upstream struct {
	// ID and Service are those of its entry in the store.
	ID      uint64
	Service string
	// Port is the port at which clients receive.
	Port uint16

	conn *net.UDPConn
	mu   sync.Mutex
	// flows holds the next position expected from the client of each flow.
	flows map[packet.FlowID]uint32
	stats UpstreamStats
	// deaf instances read nothing; they have gone silent.
	deaf bool
}

// UpstreamStats are what an instance has seen.
type UpstreamStats struct {
	// Opened counts flows; LastOpening is when the latest opening arrived.
	Opened      int
	LastOpening time.Time
	// Answered counts payloads.
	Answered int
	// Resets counts packets of flows that the instance does not hold.
	Resets int
}

// Start binds the instance to an address; port 0 selects a free port.
func (u *Upstream) Start(at netip.AddrPort) error {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return errors.Wrap(err, "stand-in upstream")
	}
	u.conn, u.flows = conn, make(map[packet.FlowID]uint32)
	go u.run()
	return nil
}

// Addr returns the bound address.
func (u *Upstream) Addr() netip.AddrPort { return u.conn.LocalAddr().(*net.UDPAddr).AddrPort() }

// Stop ends the instance; its flows are gone.
func (u *Upstream) Stop() error { return u.conn.Close() }

// SetDeaf lets the instance go silent or hear again.
func (u *Upstream) SetDeaf(deaf bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.deaf = deaf
}

// Stats returns what the instance has seen so far.
func (u *Upstream) Stats() UpstreamStats {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.stats
}

func (u *Upstream) run() {
	b := make([]byte, maxDatagram)
	for {
		n, _, err := u.conn.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		id, raw, err := platform.ParseDelivery(b[:n])
		if err != nil || id != 0 && id != u.ID {
			continue
		}
		p, data, err := platform.ParsePacket(raw)
		if err == nil {
			u.take(p, data)
		}
	}
}

// take handles a packet as the platform's upstreams do: it answers its own
// flows and resets those that it does not hold.
func (u *Upstream) take(p platform.PacketHeader, data []byte) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.deaf {
		return
	}
	f := packet.FlowID{Client: p.From, Address: p.To}
	next, held := u.flows[f]
	reply := platform.PacketHeader{From: p.To, To: p.From, Token: p.Token, HasAck: true}
	switch {
	case p.Reset:
		delete(u.flows, f)
		return
	case p.Open:
		u.stats.LastOpening = time.Now()
		// The position names the instance, so that a client sees who answers.
		reply.Open, reply.Seq, reply.Ack = true, uint32(u.ID), p.Seq+1
	case !held && p.Ack == uint32(u.ID)+1:
		u.stats.Opened++
		u.flows[f] = p.Seq
		next = p.Seq
		fallthrough
	case held:
		if p.Seq == next && len(data) > 0 {
			u.flows[f] = p.Seq + uint32(len(data))
			u.stats.Answered++
		}
		reply.Seq, reply.Ack, reply.Fin = p.Ack, p.Seq+uint32(len(data)), p.Fin
		if p.Fin {
			delete(u.flows, f)
		}
	default:
		u.stats.Resets++
		reply.Reset, reply.Seq, reply.HasAck, data = true, p.Ack, false, nil
	}
	to := netip.AddrPortFrom(p.From.Addr(), u.Port)
	// A lost answer is repeated when the client repeats its packet.
	_, _ = u.conn.WriteToUDPAddrPort(platform.AppendPacket(nil, reply, data), to)
}
