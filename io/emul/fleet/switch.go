package fleet

import (
	"net/netip"
	"sync"
)

// network gives every process an address that tells its data centre, and cuts
// data centres off from each other. All of 127.0.0.0/8 is loopback. The zero
// value is a whole network.
type network struct {
	mu sync.Mutex
	// numbers are given to data centres from 1 in order of first use.
	numbers map[string]byte
	// hosts is the last host number given in each data centre.
	hosts map[byte]uint16
	// away holds the numbers of the data centres on the far side of a cut.
	away map[byte]bool
}

func (n *network) number(dataCentre string) byte {
	if n.numbers == nil {
		n.numbers = make(map[string]byte)
		n.hosts = make(map[byte]uint16)
	}
	k, ok := n.numbers[dataCentre]
	if !ok {
		k = byte(len(n.numbers) + 1)
		n.numbers[dataCentre] = k
	}
	return k
}

// address returns an unused address in a data centre.
func (n *network) address(dataCentre string) netip.Addr {
	n.mu.Lock()
	defer n.mu.Unlock()
	k := n.number(dataCentre)
	n.hosts[k]++
	h := n.hosts[k]
	return netip.AddrFrom4([4]byte{127, k, byte(h / 250), byte(h%250 + 1)})
}

// cut puts data centres on the far side; none makes the network whole.
func (n *network) cut(dataCentres []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.away = make(map[byte]bool, len(dataCentres))
	for _, dc := range dataCentres {
		n.away[n.number(dc)] = true
	}
}

// isAway reports whether a data centre is on the far side of a cut.
func (n *network) isAway(dataCentre string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.away[n.number(dataCentre)]
}

// isCut reports whether the network drops what passes between two processes.
// An address of no data centre is not cut off from any.
func (n *network) isCut(a, b netip.Addr) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return side(a) != 0 && side(b) != 0 && n.away[side(a)] != n.away[side(b)]
}

func side(a netip.Addr) byte {
	if a = a.Unmap(); a.Is4() {
		return a.As4()[1]
	}
	return 0
}
