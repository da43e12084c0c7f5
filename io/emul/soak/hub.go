package soak

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"strings"

	"github.com/go-faster/errors"
)

// hub accepts the balancers' connections to the store. All balancers have the same
// store address, from which they derive the key of their fleet; with an address
// for each they would ignore each other's messages. The hub tells the balancers
// apart by the process that holds the other end of a connection.
type hub struct {
	lis net.Listener
	// owner returns the balancer whose process holds a socket, or nil.
	owner func(inode string) *balancer
}

func newHub(owner func(inode string) *balancer) (*hub, error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen for the balancers' connections to the store")
	}
	h := &hub{lis: lis, owner: owner}
	go h.run()
	return h, nil
}

func (h *hub) addr() string { return h.lis.Addr().String() }

func (h *hub) close() { _ = h.lis.Close() }

func (h *hub) run() {
	for {
		c, err := h.lis.Accept()
		if err != nil {
			return
		}
		go h.serve(c)
	}
}

func (h *hub) serve(c net.Conn) {
	b := h.owner(peerInode(c))
	if b == nil {
		// The process has exited.
		_ = c.Close()
		return
	}
	b.store.serve(c)
}

// peerInode returns the inode of the socket at the other end of a loopback
// connection, or "".
func peerInode(c net.Conn) string {
	f, err := os.Open("/proc/net/tcp")
	if err != nil {
		return ""
	}
	defer func() { _ = f.Close() }()
	local := fmt.Sprintf(":%04X", c.RemoteAddr().(*net.TCPAddr).Port)
	remote := fmt.Sprintf(":%04X", c.LocalAddr().(*net.TCPAddr).Port)
	const localField, remoteField, inodeField = 1, 2, 9
	for lines := bufio.NewScanner(f); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) > inodeField && strings.HasSuffix(fields[localField], local) && strings.HasSuffix(fields[remoteField], remote) {
			return fields[inodeField]
		}
	}
	return ""
}
