// Package cmds changes the shared tables. Each command takes the locks that it
// needs in rank order and holds none when it returns.
package cmds

import (
	"time"

	"egretdock/core/input"
	"egretdock/core/packet"
)

// Result is what must be done with a unit of work.
//
//sumtype:decl
type Result interface{ result() }

// Forward means that the packet goes to the upstream now.
type Forward struct{ Relay input.Relay }

// Wait means that the packet is queued, or that an earlier copy is.
type Wait struct{}

// TryOther means that another candidate should be tried.
type TryOther struct {
	// Queue is how busy this candidate is: the wait in microseconds and the
	// requests in flight, or Ejected or Unavailable.
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
