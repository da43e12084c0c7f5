// Package cmds contains the commands that change the shared tables. Each command
// takes the locks that it needs in rank order and holds none when it returns.
package cmds

import (
	"time"

	"egretdock/core/input"
	"egretdock/core/packet"
)

// Result is the decision on an opening or a request.
//
//sumtype:decl
type Result interface{ result() }

// Forward means that the packet goes to the upstream now.
type Forward struct{ Relay input.Relay }

// Wait means that the packet is queued, or that an earlier copy is.
type Wait struct{}

// TryOther means that another candidate should be tried.
type TryOther struct {
	// Queue is the queue length of this candidate: the expected wait in
	// microseconds plus the requests in flight, the number of uploads for an
	// upload, QueueEjected or QueueUnavailable.
	Queue uint32
}

// Reject means that the work is refused here.
type Reject struct {
	Reason     packet.Reason
	RetryAfter time.Duration
}

func (Forward) result()  {}
func (Wait) result()     {}
func (TryOther) result() {}
func (Reject) result()   {}
