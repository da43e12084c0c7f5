//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"egretdock/io/emul/objs"
)

// Bounds of the rules, and times of the script.
const (
	configApply  = 3 * time.Second
	stableWindow = 4 * time.Second

	// probeTime is how long clients open flows on the dropped route after the return of
	// the store, restTime the longest time from then to the next outage.
	probeTime, restTime = 5600 * time.Millisecond, 4 * time.Second
)

// droppedAddr is the address of the route that the operator drops.
var droppedAddr = netip.MustParseAddrPort("127.88.9.1:9443")

// outages lets the store fall silent again and again. Just after each return the
// operator drops a route, and clients then open flows to it through each balancer.
// The rule CONFIG is broken if a server takes an opening that was sent after the
// bound while the balancer was in touch.
func (b *bed) outages(seed uint64, trouble bool) error {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(ip(2, 1), b.ports.packets)))
	if err != nil {
		return err
	}
	c := &client{bed: b, conn: conn, port: 1024, in: make(map[flowID]chan received)}
	go c.run()
	rnd := rand.New(rand.NewPCG(seed, 7))
	version := 8
	time.Sleep(leadTime)
	for time.Until(b.end) > maxOutage+probeTime+restTime {
		b.checkRoute(c)
		length := minOutage + time.Duration(rnd.Int64N(int64(maxOutage-minOutage)))
		if trouble {
			b.record("the store falls silent for %s", length.Round(time.Millisecond))
			b.store.SetFault(objs.FaultSilent)
		}
		time.Sleep(length)
		b.store.SetFault(objs.FaultNone)
		returned := time.Now()
		b.record("the store answers")
		time.Sleep(50 * time.Millisecond)
		version++
		b.putConfig(version, false)
		acked := time.Now()
		b.record("version %d without the route is acknowledged", version)
		late := b.probeDropped(c, returned, acked)
		b.record("the last opening that a server took was sent %s after the acknowledgement", late.Round(time.Millisecond))
		fmt.Printf("outage of %s: last flow on the dropped route opened %s after the acknowledgement\n", length.Round(time.Millisecond), late.Round(time.Millisecond))
		version++
		b.putConfig(version, true)
		time.Sleep(restTime - time.Duration(rnd.IntN(2000))*time.Millisecond)
	}
	return nil
}

// checkRoute opens a flow on the route through each balancer before it is dropped.
func (b *bed) checkRoute(c *client) {
	var wg sync.WaitGroup
	for _, x := range b.balancers {
		wg.Go(func() { b.probeOnce(c, x, time.Now(), time.Now()) })
	}
	wg.Wait()
}

// probeDropped opens flows to the dropped route through each balancer in turn until
// probeTime after the return of the store. It returns how long after the
// acknowledgement the last opening that a server took was sent.
func (b *bed) probeDropped(c *client, returned, acked time.Time) time.Duration {
	late := make(chan time.Duration, 4096)
	probes := 0
	for time.Since(returned) < probeTime {
		for _, x := range b.balancers {
			probes++
			go func() { late <- b.probeOnce(c, x, returned, acked) }()
		}
		time.Sleep(30 * time.Millisecond)
	}
	var last time.Duration
	for range probes {
		last = max(last, <-late)
	}
	return last
}

// probeOnce opens one flow through a balancer and sends a request on it. It returns
// how long after the acknowledgement it was sent, or 0 if no server took it.
func (b *bed) probeOnce(c *client, x *balancer, returned, acked time.Time) time.Duration {
	c.mu.Lock()
	c.port++
	f := &flow{c: c, direct: x, id: flowID{client: netip.AddrPortFrom(ip(2, 1), c.port), route: droppedAddr}, in: make(chan received, 16), seq: uint32(c.port) << 8}
	c.in[f.id] = f.in
	c.mu.Unlock()
	defer c.forget(f)
	sent := time.Now()
	f.send(&segment{seq: f.seq, flags: flagSyn})
	for deadline := time.After(180 * time.Millisecond); ; {
		p, ok := f.receive(deadline)
		if !ok || p.has(flagRst) {
			return 0
		}
		if p.has(flagSyn) && p.ack == f.seq+1 {
			f.seq, f.ack, f.server, f.opened = f.seq+1, p.seq+1, p.from, time.Now()
			break
		}
	}
	if f.request() && sent.Sub(acked) > configApply && sent.Sub(returned) > stableWindow {
		b.violate("client %s opened a flow on the dropped route through %s, sent %s after the acknowledgement and %s after the store's return; server %s ran its request",
			f.id.client, x.name, sent.Sub(acked).Round(time.Millisecond), sent.Sub(returned).Round(time.Millisecond), f.server)
	}
	f.send(&segment{seq: f.seq, ack: f.ack, flags: flagFin | flagAck})
	return sent.Sub(acked)
}
