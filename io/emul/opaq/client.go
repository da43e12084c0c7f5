package opaq

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"egretdock/core/packet"
	"egretdock/platform"
)

// Errors of Open and Echo.
var (
	// ErrReset means that the flow was reset.
	ErrReset = errors.New("flow was reset")
	// ErrTimeout means that no answer came within the limit.
	ErrTimeout = errors.New("no answer")
)

// openSchedule holds the times at which the copies of an opening are sent; the
// last one is the end of the attempt.
var openSchedule = []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond}

// firstRetransmit is the wait before a payload is first retransmitted; it
// doubles each time.
const firstRetransmit = 200 * time.Millisecond

// Client is one client address with any number of flows. It must be created by
// NewClient.
type Client struct {
	conn *net.UDPConn
	// route returns the balancer that the network picks for a packet, or an
	// invalid address when there is none.
	route func(packet.FlowID) netip.AddrPort

	mu    sync.Mutex
	port  uint16
	flows map[packet.FlowID]*Flow
}

// NewClient binds a client to the address and port that receive its packets.
func NewClient(at netip.AddrPort, route func(packet.FlowID) netip.AddrPort) (*Client, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, errors.Wrap(err, "bind the socket of a stand-in client")
	}
	c := &Client{conn: conn, route: route, port: 1024, flows: make(map[packet.FlowID]*Flow)}
	go c.run()
	return c, nil
}

// Close ends the client.
func (c *Client) Close() error { return c.conn.Close() }

func (c *Client) run() {
	b := make([]byte, maxDatagram)
	for {
		n, _, err := c.conn.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		p, data, err := platform.ParsePacket(b[:n])
		if err != nil {
			continue
		}
		c.mu.Lock()
		f := c.flows[packet.FlowID{Client: p.To, Address: p.From}]
		c.mu.Unlock()
		if f == nil {
			continue
		}
		f.noteToken(&p)
		select {
		case f.in <- receivedPacket{p, append([]byte(nil), data...)}:
		default:
			// The queue is full; the packet is lost, as in a full socket buffer.
		}
	}
}

type receivedPacket struct {
	packet platform.PacketHeader
	data   []byte
}

// Flow is an open flow. It is used by one goroutine.
type Flow struct {
	client *Client
	id     packet.FlowID
	in     chan receivedPacket
	// token is the one received last.
	token atomic.Uint32
	// ignoresLate makes the client not take the token of an answer to its opening
	// that it doesn't acknowledge. The protocol allows both.
	ignoresLate bool
	// opened is true once the client has acknowledged an answer to its opening.
	opened atomic.Bool
	// seq and ack are the next sequence numbers of the client and the instance.
	seq, ack uint32
	// Instance is the ID of the instance that answered the opening.
	Instance uint64
}

// Open opens a flow to a service address from a new port.
func (c *Client) Open(ctx context.Context, address netip.AddrPort) (*Flow, error) {
	c.mu.Lock()
	c.port++
	id := packet.FlowID{Client: netip.AddrPortFrom(c.conn.LocalAddr().(*net.UDPAddr).AddrPort().Addr(), c.port), Address: address}
	f := &Flow{client: c, id: id, in: make(chan receivedPacket, 64), seq: 1000, ignoresLate: c.port%4 == 0}
	c.flows[id] = f
	c.mu.Unlock()
	for i, at := range openSchedule[:len(openSchedule)-1] {
		f.send(platform.PacketHeader{Open: true, Seq: f.seq, Ack: uint32(i)}, nil)
		a, err := f.receive(ctx, openSchedule[i+1]-at, func(a receivedPacket) bool { return a.packet.Open && a.packet.Ack == f.seq+1 })
		if errors.Is(err, ErrTimeout) {
			continue
		}
		if err != nil {
			f.Forget()
			return nil, err
		}
		f.opened.Store(true)
		f.seq, f.ack = f.seq+1, a.packet.Seq+1
		f.Instance = uint64(a.packet.Seq)
		return f, nil
	}
	f.Forget()
	return nil, ErrTimeout
}

// Echo sends a payload and waits up to limit until the instance returns it.
func (f *Flow) Echo(ctx context.Context, payload []byte, limit time.Duration) error {
	end := time.Now().Add(limit)
	for wait := firstRetransmit; time.Now().Before(end); wait *= 2 {
		f.send(platform.PacketHeader{Seq: f.seq, Ack: f.ack, HasAck: true}, payload)
		want := f.seq + uint32(len(payload))
		a, err := f.receive(ctx, min(wait, time.Until(end)), func(a receivedPacket) bool { return a.packet.Ack == want && !a.packet.Open })
		if errors.Is(err, ErrTimeout) {
			continue
		}
		if err != nil {
			return err
		}
		if string(a.data) != string(payload) {
			return errors.Errorf("answer %q to payload %q", a.data, payload)
		}
		f.seq, f.ack = want, a.packet.Seq+uint32(len(a.data))
		return nil
	}
	return ErrTimeout
}

// noteToken takes over the token of a packet when it arrives, also while the flow
// is idle.
func (f *Flow) noteToken(p *platform.PacketHeader) {
	if p.Reset || p.Open && f.ignoresLate && f.opened.Load() {
		return
	}
	f.token.Store(p.Token)
}

// Forget removes the flow from the client without notifying the instance.
func (f *Flow) Forget() {
	f.client.mu.Lock()
	defer f.client.mu.Unlock()
	delete(f.client.flows, f.id)
}

func (f *Flow) send(p platform.PacketHeader, data []byte) {
	p.From, p.To, p.Token = f.id.Client, f.id.Address, f.token.Load()
	if to := f.client.route(f.id); to.IsValid() {
		// A send error counts as a lost packet.
		_, _ = f.client.conn.WriteToUDPAddrPort(platform.AppendPacket(nil, p, data), to)
	}
}

// receive waits for a packet that matches.
func (f *Flow) receive(ctx context.Context, limit time.Duration, matches func(receivedPacket) bool) (receivedPacket, error) {
	t := time.NewTimer(limit)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return receivedPacket{}, ctx.Err()
		case <-t.C:
			return receivedPacket{}, ErrTimeout
		case a := <-f.in:
			if a.packet.Reset {
				return receivedPacket{}, ErrReset
			}
			if matches(a) {
				return a, nil
			}
		}
	}
}
