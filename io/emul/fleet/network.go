package fleet

import (
	"net/netip"
	"sync"
)

// network assigns every process an address that contains the number of its data
// centre, and cuts data centres off from each other. All of 127.0.0.0/8 is
// loopback. The zero value has no partition.
type network struct {
	mu sync.Mutex
	// numbers maps data centres to numbers, from 1 in order of first use.
	numbers map[string]byte
	// hosts holds the last host number assigned in each data centre.
	hosts map[byte]uint16
	// cutOff holds the numbers of the data centres on the far side of a
	// partition.
	cutOff map[byte]bool
}

// number returns the number of a data centre, which it assigns on first use. The
// caller holds the lock.
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

// cut replaces the set of data centres that are cut off; none ends a partition.
func (n *network) cut(dataCentres []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cutOff = make(map[byte]bool, len(dataCentres))
	for _, dc := range dataCentres {
		n.cutOff[n.number(dc)] = true
	}
}

// isCutOff reports whether a data centre is on the far side of a partition.
func (n *network) isCutOff(dataCentre string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cutOff[n.number(dataCentre)]
}

// drops reports whether the network drops packets between two addresses. An
// address outside the data centres is never cut off.
func (n *network) drops(a, b netip.Addr) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return numberOf(a) != 0 && numberOf(b) != 0 && n.cutOff[numberOf(a)] != n.cutOff[numberOf(b)]
}

// numberOf returns the number of the data centre of an address, or 0.
func numberOf(a netip.Addr) byte {
	if a = a.Unmap(); a.Is4() {
		return a.As4()[1]
	}
	return 0
}
