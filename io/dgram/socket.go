// Package dgram connects the engine to UDP sockets: sources that decode
// datagrams into inputs and a sink that encodes effects into datagrams.
package dgram

import (
	"net"
	"net/netip"
	"time"

	"golang.org/x/net/ipv4"

	"egretdock/core/fault"
	"egretdock/io/gossip"
	"egretdock/io/stall"
)

const (
	// MaxDatagramSize is the largest datagram of clients and upstreams in bytes; it
	// fits an Ethernet frame with IPv6 and UDP headers.
	MaxDatagramSize = 1452
	// maxPeerDatagramSize is the largest datagram between balancers in bytes. A
	// relay of a packet of maximum size and a page of long balancer names exceed
	// an Ethernet frame; IP fragments them.
	maxPeerDatagramSize = 1 + gossip.MaxFrameSize
	// batchSize is the maximum number of datagrams per system call. Larger
	// batches delay the first packet and do not raise the throughput on loopback.
	batchSize = 32
	// socketBufferSize is the size of each socket buffer in bytes, enough for
	// 10 ms of traffic at 100,000 packets a second.
	socketBufferSize = 4 << 20
)

// Socket is a bound UDP socket for batched reads and writes. It is safe for
// concurrent use.
type Socket struct {
	conn  *net.UDPConn
	batch *ipv4.PacketConn
	// boundAt is when the socket began to receive.
	boundAt time.Time
}

// Listen binds a socket. Port 0 selects a free port.
func Listen(a netip.AddrPort) (*Socket, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(a))
	if err != nil {
		return nil, fault.Wrap(err, fault.KindInvalid, "cannot listen on "+a.String(), "choose a free address of this host in the settings")
	}
	// The kernel caps the size; a smaller buffer only drops packets earlier.
	_ = conn.SetReadBuffer(socketBufferSize)
	_ = conn.SetWriteBuffer(socketBufferSize)
	return &Socket{conn: conn, batch: ipv4.NewPacketConn(conn), boundAt: time.Now()}, nil
}

// Addr returns the bound address.
func (s *Socket) Addr() netip.AddrPort {
	a := s.conn.LocalAddr().(*net.UDPAddr).AddrPort()
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}

// Close closes the socket. Blocked reads return an error.
func (s *Socket) Close() error { return s.conn.Close() }

// reader reads batches from a socket. Datagrams longer than maxSize are dropped
// and counted as malformed.
type reader struct {
	socket   *Socket
	maxSize  int
	counters *Counters
	msgs     []ipv4.Message
	// firstRead is when the first read began, and emptyAt when the socket was last
	// seen empty. Datagrams read next have arrived after that.
	firstRead, emptyAt time.Time
}

func newReader(s *Socket, maxSize int, counters *Counters) *reader {
	r := &reader{socket: s, maxSize: maxSize, counters: counters, msgs: make([]ipv4.Message, batchSize)}
	for i := range r.msgs {
		r.msgs[i].Buffers = [][]byte{make([]byte, maxSize+1)}
	}
	return r
}

// read waits for at least one datagram and passes each that it reads to fn.
func (r *reader) read(fn func(source netip.AddrPort, b []byte)) error {
	if r.firstRead.IsZero() {
		r.firstRead = time.Now()
	}
	n, err := r.socket.batch.ReadBatch(r.msgs, 0)
	if err != nil {
		return err
	}
	readAt := time.Now()
	for i := range r.msgs[:n] {
		m := &r.msgs[i]
		a, ok := m.Addr.(*net.UDPAddr)
		if !ok || m.N > r.maxSize {
			r.counters.Malformed.Add(1)
			continue
		}
		ap := a.AddrPort()
		fn(netip.AddrPortFrom(ap.Addr().Unmap(), ap.Port()), m.Buffers[0][:m.N])
	}
	if n < len(r.msgs) {
		r.emptyAt = readAt
	}
	return nil
}

// maxBacklogTime is the time after a stall within which what has waited is read.
const maxBacklogTime = time.Second

// waited returns how long a datagram of the current read may have waited in the
// socket, or in the batch, while the process did not run or did not read yet.
func (r *reader) waited(m *stall.Meter) time.Duration {
	if m == nil {
		return 0
	}
	if r.emptyAt.IsZero() {
		return r.firstRead.Sub(r.socket.boundAt) + m.Since(r.firstRead)
	}
	from := time.Now().Add(-maxBacklogTime)
	if r.emptyAt.After(from) {
		from = r.emptyAt
	}
	return m.Since(from)
}

// writer collects datagrams for one socket.
type writer struct {
	socket *Socket
	msgs   []ipv4.Message
	addrs  []net.UDPAddr
	n      int
	// failed is the number of datagrams that could not be sent; reported is how
	// many of them are included in Counters.SendFailures.
	failed, reported int
}

func newWriter(s *Socket) *writer {
	w := &writer{socket: s, msgs: make([]ipv4.Message, batchSize), addrs: make([]net.UDPAddr, batchSize)}
	for i := range w.msgs {
		// Buffers are made when they are first used: few batches are full.
		w.msgs[i].Buffers = [][]byte{nil}
		w.msgs[i].Addr = &w.addrs[i]
	}
	return w
}

// add appends a datagram that encode writes, and sends the batch when it is
// full.
func (w *writer) add(to netip.AddrPort, encode func([]byte) []byte) {
	m, a := &w.msgs[w.n], &w.addrs[w.n]
	if m.Buffers[0] == nil {
		m.Buffers[0] = make([]byte, 0, MaxDatagramSize)
	}
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

// flush sends the collected datagrams. A datagram that cannot be sent is counted
// and dropped, as the network may drop any.
func (w *writer) flush() {
	for next := 0; next < w.n; {
		n, err := w.socket.batch.WriteBatch(w.msgs[next:w.n], 0)
		if err != nil || n <= 0 {
			n = 1
			w.failed++
		}
		next += n
	}
	w.n = 0
}
