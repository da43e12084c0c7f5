package gossip

import "time"

// windowSize is the size of a sender's replay window in frames. A frame that is
// windowSize or more behind the sender's highest counter is rejected.
const windowSize = 64

// maxSenders limits the senders remembered for replay detection. A fleet has up
// to 1,000 balancers, and each restart is a new sender: reaching the limit takes
// 3,000 restarts within senderRetention. Senders are remembered only after their
// frame was authenticated, so that no other host can fill the table. When it is
// full, frames of the sender that was silent for longest could be replayed; they
// report older incarnations than the fleet knows.
const maxSenders = 4096

// senderRetention is how long a silent sender is remembered. Two balancers of a
// large fleet exchange a message every few minutes. A frame replayed later than
// that is accepted, but it reports older incarnations than the fleet knows.
const senderRetention = 15 * time.Minute

// window records which counters of a sender were seen. It is immutable.
type window struct {
	highest uint64
	// seen has bit i set if highest-i was seen.
	seen uint64
	// lastSeen is when the last new frame arrived.
	lastSeen time.Time
}

// withFrame returns the window after a frame, and whether the frame is new.
func (w window) withFrame(now time.Time, counter uint64) (window, bool) {
	switch {
	case counter > w.highest:
		// A shift of 64 or more clears all bits.
		return window{highest: counter, seen: w.seen<<(counter-w.highest) | 1, lastSeen: now}, true
	case w.highest-counter >= windowSize:
		return w, false
	}
	bit := uint64(1) << (w.highest - counter)
	if w.seen&bit != 0 {
		return w, false
	}
	return window{highest: w.highest, seen: w.seen | bit, lastSeen: now}, true
}

// replayFilter detects replayed frames of all senders. The zero value is empty
// and ready for use.
type replayFilter struct {
	windows map[uint64]window
}

// accept records a frame and reports whether it is new.
func (r *replayFilter) accept(now time.Time, sender, counter uint64) bool {
	w, known := r.windows[sender]
	next, fresh := w.withFrame(now, counter)
	if !fresh {
		return false
	}
	if r.windows == nil {
		r.windows = make(map[uint64]window)
	}
	if !known && len(r.windows) >= maxSenders {
		r.evict(now)
	}
	r.windows[sender] = next
	return true
}

// evict removes the senders that were silent for longer than senderRetention. If
// there are none, it removes the one that was silent for longest.
func (r *replayFilter) evict(now time.Time) {
	var oldest uint64
	first := true
	for id, w := range r.windows {
		if now.Sub(w.lastSeen) > senderRetention {
			delete(r.windows, id)
			continue
		}
		if first || w.lastSeen.Before(r.windows[oldest].lastSeen) {
			oldest, first = id, false
		}
	}
	if len(r.windows) >= maxSenders {
		delete(r.windows, oldest)
	}
}
