package admit

import "time"

const (
	// minLimit keeps one item in flight, so that an upstream that shed can
	// show that it recovered.
	minLimit = 1
	// maxLimit bounds what a wrong report or a silent upstream can attract.
	maxLimit = 64
	// batch is the number of answers between two changes of the limit. With
	// exponential service times the mean of 16 has a relative deviation of
	// 25%, which tolerance absorbs.
	batch = 16
	// tolerance is the latency over its moving minimum at which the limit
	// falls. With 2 slots of 20 ms and a client round trip of 6 ms, 3 in
	// flight fill the slots at a ratio of 1.2 and 4 show a ratio of 1.7.
	tolerance = 1.6
	// cutLatency and cutShed are the factors of the multiplicative decrease. A
	// shed is certain, a high latency may be chance.
	cutLatency, cutShed = 0.9, 0.7
	// growPause is the time without growth after a shed. Without it, an
	// upstream that sheds at a fixed load is pushed over it every batch.
	growPause = 2 * time.Second
	// probeEvery is the interval at which the limit is halved for one batch.
	// Under lasting load the queue inside the upstream would otherwise raise
	// the moving minimum and the limit in turn.
	probeEvery = 10 * time.Second
	// rampTime is the duration of the slow start of a new incarnation.
	rampTime = 5 * time.Second
)

// concurrency is the adaptive concurrency limit: additive increase while it is used
// up and latency stays near its minimum, multiplicative decrease on shed or
// on latency. It is immutable; the zero value stands at defaultSlots.
type concurrency struct {
	// value is the limit outside slow start and probes; 0 before the first
	// answer or shed.
	value float64
	// slots is the number that the upstream reports, or 0.
	slots int
	// started is the start of the incarnation when it is in slow start.
	started time.Time
	// sum and n cover the latency ratios of the current batch; full is true
	// when the limit was used up at an answer in it.
	sum  float64
	n    int
	full bool
	// cut is the time of the last decrease after a shed.
	cut time.Time
	// probed is the start of the last probe; probing is true during one.
	probed  time.Time
	probing bool
}

// current returns the value of the adaptive limit without slow start and probe.
func (l concurrency) current() float64 {
	switch {
	case l.value > 0:
		return l.value
	case l.slots > 0:
		return min(float64(l.slots), maxLimit)
	default:
		return defaultSlots
	}
}

// At returns the number of items that may be in flight.
func (l concurrency) At(now time.Time) int {
	v := l.current()
	if l.probing {
		v = float64(int(v+1) / 2)
	}
	if l.ramping(now) {
		// Rounded, so that 2 slots are in use from half of the slow start on.
		v = min(v, 1.5+(v-1)*float64(now.Sub(l.started))/float64(rampTime))
	}
	return max(minLimit, int(v))
}

func (l concurrency) ramping(now time.Time) bool {
	return !l.started.IsZero() && now.Sub(l.started) < rampTime
}

// WithSlots returns a copy that starts at the reported number of slots. Once
// an answer or a shed was seen, passing traffic decides and a report, which
// may mislead, changes nothing.
func (l concurrency) WithSlots(n int) concurrency {
	l.slots = max(n, 0)
	return l
}

// WithAnswer returns a copy that has seen an answer. ratio is its latency over
// the moving minimum; full is true when the limit was used up.
func (l concurrency) WithAnswer(now time.Time, ratio float64, full bool) concurrency {
	l.value = l.current()
	l.sum += ratio
	l.n++
	l.full = l.full || full
	if l.n < max(batch, int(l.value)) {
		return l
	}
	mean, full, probing := l.sum/float64(l.n), l.full, l.probing
	l.sum, l.n, l.full, l.probing = 0, 0, false, false
	switch {
	case probing:
	case mean > tolerance:
		l.value = max(minLimit, l.value*cutLatency)
	case full && !l.ramping(now) && now.Sub(l.cut) >= growPause:
		l.value = min(maxLimit, l.value+1)
	}
	if l.probed.IsZero() {
		l.probed = now
	}
	if full && l.value >= 2 && now.Sub(l.probed) >= probeEvery {
		l.probed, l.probing = now, true
	}
	return l
}

// WithShed returns a copy that has seen the shed of an item granted at the
// given time. Items granted before the last decrease say nothing about the
// limit in force now.
func (l concurrency) WithShed(now, granted time.Time) concurrency {
	if granted.Before(l.cut) {
		return l
	}
	l.value = max(minLimit, l.current()*cutShed)
	l.sum, l.n, l.full, l.probing = 0, 0, false, false
	l.cut = now
	return l
}
