// Package dgram connects the engine to UDP sockets: sources that decode
// datagrams into inputs and a sink that encodes effects into datagrams.
package dgram

import (
	"net"
	"net/netip"

	"golang.org/x/net/ipv4"

	"egretdock/core/fault"
	"egretdock/io/gossip"
)

const (
	// MaxDatagramSize is the largest datagram of clients and upstreams in bytes; it
	// fits an Ethernet frame with IPv6 and UDP headers.
	MaxDatagramSize = 1452
	// maxPeer is the largest datagram between balancers in bytes. A relay of a
	// full packet and a page of long balancer names exceed an Ethernet frame;
	// IP fragments them.
	maxPeer = 1 + gossip.MaxFrameSize
	// batchSize is the number of datagrams of one system call. Larger batches
	// do not raise the rate on loopback and delay the first packet.
	batchSize = 32
	// bufferBytes is the socket buffer, enough for 10 ms of 100,000 packets a
	// second.
	bufferBytes = 4 << 20
)

// Socket is a bound UDP socket for batched reads and writes. Several workers
// may read and write it.
type Socket struct {
	conn  *net.UDPConn
	batch *ipv4.PacketConn
}

// Listen binds a socket. Port 0 selects a free port.
func Listen(a netip.AddrPort) (*Socket, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(a))
	if err != nil {
		return nil, fault.Wrap(err, fault.KindInvalid, "cannot listen on "+a.String(), "choose a free address of this host in the settings")
	}
	// The kernel caps the size; a smaller buffer only drops packets earlier.
	_ = conn.SetReadBuffer(bufferBytes)
	_ = conn.SetWriteBuffer(bufferBytes)
	return &Socket{conn: conn, batch: ipv4.NewPacketConn(conn)}, nil
}

// Addr returns the bound address.
func (s *Socket) Addr() netip.AddrPort {
	a := s.conn.LocalAddr().(*net.UDPAddr).AddrPort()
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}

// Close closes the socket and ends its readers.
func (s *Socket) Close() error { return s.conn.Close() }

// reader reads batches from a socket. Longer datagrams than limit are dropped
// and counted.
type reader struct {
	socket *Socket
	limit  int
	count  *Counters
	msgs   []ipv4.Message
}

func newReader(s *Socket, limit int, count *Counters) *reader {
	r := &reader{socket: s, limit: limit, count: count, msgs: make([]ipv4.Message, batchSize)}
	for i := range r.msgs {
		r.msgs[i].Buffers = [][]byte{make([]byte, limit+1)}
	}
	return r
}

// read blocks for at least one datagram and passes each to fn.
func (r *reader) read(fn func(source netip.AddrPort, b []byte)) error {
	n, err := r.socket.batch.ReadBatch(r.msgs, 0)
	if err != nil {
		return err
	}
	for i := range r.msgs[:n] {
		m := &r.msgs[i]
		a, ok := m.Addr.(*net.UDPAddr)
		if !ok || m.N > r.limit {
			r.count.Malformed.Add(1)
			continue
		}
		ap := a.AddrPort()
		fn(netip.AddrPortFrom(ap.Addr().Unmap(), ap.Port()), m.Buffers[0][:m.N])
	}
	return nil
}

// writer collects datagrams for one socket.
type writer struct {
	socket *Socket
	msgs   []ipv4.Message
	addrs  []net.UDPAddr
	n      int
	// failed counts datagrams that the kernel did not take; reported of them are
	// in the Counters.
	failed, reported int
}

func newWriter(s *Socket) *writer {
	w := &writer{socket: s, msgs: make([]ipv4.Message, batchSize), addrs: make([]net.UDPAddr, batchSize)}
	for i := range w.msgs {
		w.msgs[i].Buffers = [][]byte{make([]byte, 0, MaxDatagramSize)}
		w.addrs[i].IP = make(net.IP, 0, net.IPv6len)
		w.msgs[i].Addr = &w.addrs[i]
	}
	return w
}

// add appends a datagram that encode writes, and sends the batch when it is
// full.
func (w *writer) add(to netip.AddrPort, encode func([]byte) []byte) {
	m, a := &w.msgs[w.n], &w.addrs[w.n]
	m.Buffers[0] = encode(m.Buffers[0][:0])
	if ip := to.Addr().Unmap(); ip.Is4() {
		b := ip.As4()
		a.IP = append(a.IP[:0], b[:]...)
	} else {
		b := ip.As16()
		a.IP = append(a.IP[:0], b[:]...)
	}
	a.Port = int(to.Port())
	if w.n++; w.n == len(w.msgs) {
		w.flush()
	}
}

// flush sends what add has collected. A datagram that cannot be sent is
// dropped, as the network may drop any.
func (w *writer) flush() {
	for at := 0; at < w.n; {
		n, err := w.socket.batch.WriteBatch(w.msgs[at:w.n], 0)
		if err != nil || n <= 0 {
			n = 1
			w.failed++
		}
		at += n
	}
	w.n = 0
}
