package client

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"

	"egretdock/core/fault"
)

// Link carries datagrams between a client and the balancers. Any balancer may
// receive any datagram.
type Link interface {
	// Send sends one datagram; it may be lost.
	Send(b []byte) error
	// Receive waits for one datagram, copies it to b and returns its length.
	Receive(b []byte) (int, error)
	// Close closes the link and makes Receive return an error.
	Close() error
}

// UDPLink is a link that sends each datagram to a balancer chosen at random.
type UDPLink struct {
	conn *net.UDPConn

	mu sync.Mutex
	// balancers is never empty.
	balancers []netip.AddrPort
	rnd       *rand.Rand
}

// DialUDP opens a link from a free local port to the given balancers.
func DialUDP(balancers []netip.AddrPort, seed uint64) (*UDPLink, error) {
	if err := checkBalancers(balancers); err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4zero})
	if balancers[0].Addr().IsLoopback() && err == nil {
		_ = conn.Close()
		conn, err = net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	}
	if err != nil {
		return nil, fault.Wrap(err, fault.KindUnavailable, "cannot open a UDP port", "check the limits of this host")
	}
	// The buffer holds bursts of answers until the client reads them. The
	// operating system may grant less.
	_ = conn.SetReadBuffer(4 << 20)
	return &UDPLink{conn: conn, balancers: balancers, rnd: rand.New(rand.NewPCG(seed, 1))}, nil
}

func checkBalancers(bs []netip.AddrPort) error {
	if len(bs) == 0 {
		return fault.New(fault.KindInvalid, "no balancer addresses", "name at least one balancer address")
	}
	return nil
}

// SetBalancers replaces the balancers that datagrams are sent to. An empty list is
// an error and changes nothing.
func (u *UDPLink) SetBalancers(bs []netip.AddrPort) error {
	if err := checkBalancers(bs); err != nil {
		return err
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.balancers = bs
	return nil
}

// Send implements Link.
func (u *UDPLink) Send(b []byte) error {
	u.mu.Lock()
	to := u.balancers[u.rnd.IntN(len(u.balancers))]
	u.mu.Unlock()
	_, err := u.conn.WriteToUDPAddrPort(b, to)
	return err
}

// Receive implements Link.
func (u *UDPLink) Receive(b []byte) (int, error) {
	n, _, err := u.conn.ReadFromUDPAddrPort(b)
	return n, err
}

// Close implements Link.
func (u *UDPLink) Close() error { return u.conn.Close() }
