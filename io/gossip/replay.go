package gossip

import "time"

// windowSize is the number of frames by which one sender's frames may arrive
// out of order.
const windowSize = 64

// maxSenders bounds the memory for replay detection; the fleet has up to 1,000
// balancers and each restart is a new sender.
const maxSenders = 4096

// memory is how long a silent sender is remembered. Two balancers of a large
// fleet exchange a message every few minutes. A frame replayed later than that
// passes, but its news is then of an older incarnation than the fleet's.
const memory = 15 * time.Minute

// window records which counters of a sender were seen. It is immutable.
type window struct {
	highest uint64
	// seen has bit i set if highest-i was seen.
	seen uint64
	// at is when the sender was heard last.
	at time.Time
}

// with returns the window after a frame, and whether the frame is new.
func (w window) with(now time.Time, counter uint64) (window, bool) {
	switch {
	case counter > w.highest:
		// A shift of 64 or more clears all bits.
		return window{highest: counter, seen: w.seen<<(counter-w.highest) | 1, at: now}, true
	case w.highest-counter >= windowSize:
		return w, false
	}
	bit := uint64(1) << (w.highest - counter)
	if w.seen&bit != 0 {
		return w, false
	}
	return window{highest: w.highest, seen: w.seen | bit, at: now}, true
}

// replays records the frames seen from all senders. The zero value has seen
// none.
type replays struct {
	windows map[uint64]window
}

// accept records a frame and reports whether it is new.
func (r *replays) accept(now time.Time, sender, counter uint64) bool {
	w, known := r.windows[sender]
	next, fresh := w.with(now, counter)
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

// evict drops the silent senders, or the one silent for longest.
func (r *replays) evict(now time.Time) {
	var oldest uint64
	first := true
	for id, w := range r.windows {
		if now.Sub(w.at) > memory {
			delete(r.windows, id)
			continue
		}
		if first || w.at.Before(r.windows[oldest].at) {
			oldest, first = id, false
		}
	}
	if len(r.windows) >= maxSenders {
		delete(r.windows, oldest)
	}
}
