package admit

import "time"

const (
	// minLimit keeps one item in flight, so that an upstream that shed can
	// show that it recovered.
	minLimit = 1
	// maxLimit bounds what a wrong report or a silent upstream can attract.
	maxLimit = 64
	// batch is the number of answers between two changes of the limit.
	batch = 16
	// tolerance is the latency over its moving minimum at which the limit
	// falls. With 2 slots of 20 ms and a client round trip of 6 ms, 3 in
	// flight fill the slots at a ratio of 1.2, 4 show 1.7 and 5 show 2.2. With
	// exponential service times, lower values take the spread for a queue.
	tolerance = 1.8
	// cutLatency and cutShed are the factors of the multiplicative decrease. A
	// shed is certain, a high latency may be chance.
	cutLatency, cutShed = 0.9, 0.7
	// growPause is the time without growth after a shed. Without it, an
	// upstream that sheds at a fixed load is pushed over it every batch.
	growPause = 2 * time.Second
	// probeEvery is the interval at which the limit is halved for two batches,
	// of which the first settles. Under lasting load the queue inside the
	// upstream would otherwise raise the moving minimum and the limit in turn.
	probeEvery = 10 * time.Second
	// probeFirst is the time from the first batch to the first probe. Earlier,
	// the upstream's queue has not reached the length that the limit allows.
	probeFirst = 500 * time.Millisecond
	// probeFrom is the lowest limit that is probed: half of 2 leaves a slot
	// idle and can't lower the latency.
	probeFrom = 3
	// probeGain is the fall of the time from grant to end at which the halved
	// limit stays, since throughput is then nearly the same. With 2 slots of
	// 20 ms and a round trip of 6 ms, going from 4 to 2 gains 1.54 and costs
	// throughput, going from 6 to 3 gains 2 and costs none.
	probeGain = 1.6
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
	// sum, held and n cover the latency ratios and the seconds from grant to
	// end of the current batch; full is true when the limit was used up at an
	// answer in it.
	sum, held float64
	n         int
	full      bool
	// cut is the time of the last decrease after a shed.
	cut time.Time
	// probed is the start of the last probe and before the mean of held then.
	probed time.Time
	before float64
	probe  probe
}

// probe is the progress of a probe.
type probe uint8

const (
	probeNone probe = iota
	// probeSettles lets the items end that were granted before.
	probeSettles
	probeMeasures
)

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
	if l.probe != probeNone {
		v = half(v)
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
// the moving minimum and held the seconds from grant to end; full is true when
// the limit was used up.
func (l concurrency) WithAnswer(now time.Time, ratio, held float64, full bool) concurrency {
	l.value = l.current()
	l.sum += ratio
	l.held += held
	l.n++
	l.full = l.full || full
	if l.n < max(batch, int(l.value)) {
		return l
	}
	mean, held, full := l.sum/float64(l.n), l.held/float64(l.n), l.full
	l = l.withoutBatch()
	switch {
	case l.probe == probeSettles:
		l.probe = probeMeasures
		return l
	case l.probe == probeMeasures:
		l.probe = probeNone
		if held*probeGain > l.before {
			return l
		}
		l.value, l.probed = half(l.value), now.Add(-probeEvery)
	case mean > tolerance:
		l.value = max(minLimit, l.value*cutLatency)
	case full && !l.ramping(now) && now.Sub(l.cut) >= growPause:
		l.value = min(maxLimit, l.value+1)
	}
	if l.probed.IsZero() {
		l.probed = now.Add(probeFirst - probeEvery)
	}
	if full && l.value >= probeFrom && now.Sub(l.probed) >= probeEvery {
		l.probed, l.before, l.probe = now, held, probeSettles
	}
	return l
}

func (l concurrency) withoutBatch() concurrency {
	l.sum, l.held, l.n, l.full = 0, 0, 0, false
	return l
}

// half returns half of a limit, rounded up to a whole number.
func half(v float64) float64 { return float64((int(v) + 1) / 2) }

// WithShed returns a copy that has seen the shed of an item granted at the
// given time. Items granted before the last decrease say nothing about the
// limit in force now.
func (l concurrency) WithShed(now, granted time.Time) concurrency {
	if granted.Before(l.cut) {
		return l
	}
	l.value = max(minLimit, l.current()*cutShed)
	l.cut, l.probe = now, probeNone
	return l.withoutBatch()
}
