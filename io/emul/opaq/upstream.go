// Package opaq has stand-ins for the two ends of opaque flows: upstreams that
// answer clients directly, and clients that send through balancers. Upstreams
// count what they receive and clients check the echoes, so that checks of a run
// do not depend on the balancers' own state.
package opaq

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"egretdock/core/packet"
	"egretdock/platform"
)

// maxDatagram is a buffer size above the largest datagram of a flow, in bytes.
const maxDatagram = 2048

// Upstream is one upstream instance. It echoes each payload at once.
type Upstream struct {
	// ID and Service are those of its entry in the store.
	ID      uint64
	Service string
	// Port is the port on which clients receive.
	Port uint16
	// LossShare is the share of the packets to clients that is lost.
	LossShare float64

	conn *net.UDPConn
	mu   sync.Mutex
	// flows holds the next sequence number expected in each flow.
	flows map[packet.FlowID]uint32
	// offers holds the answers to openings that no client has acknowledged.
	offers map[packet.FlowID]*offer
	stats  UpstreamStats
	// unresponsive makes the instance ignore all packets.
	unresponsive bool
}

// UpstreamStats counts what an instance has received.
type UpstreamStats struct {
	// Opened counts flows; LastOpening is when the latest opening arrived.
	Opened      int
	LastOpening time.Time
	// Answered counts payloads.
	Answered int
	// Resets counts packets of flows that the instance does not hold.
	Resets int
}

// offer is an answer to an opening, which is repeated until it is acknowledged.
type offer struct{ reply platform.PacketHeader }

// An unacknowledged answer is repeated after firstRepeat; the interval doubles up
// to lastRepeat. It is given up after maxRepeats.
const (
	firstRepeat, lastRepeat = 200 * time.Millisecond, 1600 * time.Millisecond
	maxRepeats              = 8
)

// Start binds the instance to an address; port 0 selects a free port.
func (u *Upstream) Start(at netip.AddrPort) error {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return errors.Wrap(err, "bind the socket of a stand-in upstream")
	}
	u.conn, u.flows, u.offers = conn, make(map[packet.FlowID]uint32), make(map[packet.FlowID]*offer)
	go u.run()
	return nil
}

// Addr returns the bound address.
func (u *Upstream) Addr() netip.AddrPort { return u.conn.LocalAddr().(*net.UDPAddr).AddrPort() }

// Stop ends the instance and its flows.
func (u *Upstream) Stop() error { return u.conn.Close() }

// SetUnresponsive makes the instance ignore all packets, or serve them again.
func (u *Upstream) SetUnresponsive(unresponsive bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.unresponsive = unresponsive
}

// Stats returns the counts so far.
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
			u.handle(p, data)
		}
	}
}

// handle processes a packet as the platform's upstreams do: it answers its own
// flows and resets those that it does not hold.
func (u *Upstream) handle(p platform.PacketHeader, data []byte) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.unresponsive {
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
		// The sequence number is the ID, so that a client knows who answered.
		reply.Open, reply.Seq, reply.Ack = true, uint32(u.ID), p.Seq+1
		if !held {
			u.offer(f, reply)
		}
	case !held && p.Ack == uint32(u.ID)+1:
		u.stats.Opened++
		delete(u.offers, f)
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
	u.send(reply, data)
}

// send sends a packet to a client. If an answer is lost, the client retransmits and
// gets another.
func (u *Upstream) send(p platform.PacketHeader, data []byte) {
	if rand.Float64() < u.LossShare {
		return
	}
	to := netip.AddrPortFrom(p.To.Addr(), u.Port)
	_, _ = u.conn.WriteToUDPAddrPort(platform.AppendPacket(nil, p, data), to)
}

// offer repeats the answer to an opening until a client acknowledges it. A copy of
// the opening only changes the token. The caller holds mu.
func (u *Upstream) offer(f packet.FlowID, reply platform.PacketHeader) {
	if o, ok := u.offers[f]; ok {
		o.reply = reply
		return
	}
	o := &offer{reply: reply}
	u.offers[f] = o
	u.repeat(f, o, 1, firstRepeat)
}

// repeat sends an answer once more after wait, and so on.
func (u *Upstream) repeat(f packet.FlowID, o *offer, n int, wait time.Duration) {
	time.AfterFunc(wait, func() {
		u.mu.Lock()
		defer u.mu.Unlock()
		if u.offers[f] != o || u.unresponsive {
			return
		}
		if n > maxRepeats {
			delete(u.offers, f)
			return
		}
		u.send(o.reply, nil)
		u.repeat(f, o, n+1, min(2*wait, lastRepeat))
	})
}
