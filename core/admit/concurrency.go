package admit

import "time"

const (
	// minLimit keeps one item in flight, whose answer shows that an upstream
	// that shed work has recovered.
	minLimit = 1
	// maxLimit bounds the load on an upstream that reports too many slots or
	// does not answer.
	maxLimit = 64
	// batchSize is the number of answers between two changes of the limit.
	batchSize = 16
	// latencyTolerance is the ratio of latency to its moving minimum above
	// which the limit falls. With 2 slots of 20 ms and a client round trip of
	// 6 ms, 3 in flight fill the slots at a ratio of 1.2, 4 show 1.7 and 5 show
	// 2.2. With exponential service times, lower values mistake the variance
	// for a queue.
	latencyTolerance = 1.8
	// latencyDecrease and shedDecrease are the factors of the multiplicative
	// decrease. A shed proves overload, a high latency may be chance.
	latencyDecrease, shedDecrease = 0.9, 0.7
	// growthPause is the time without growth after a shed. Without it, an
	// upstream that sheds at a fixed load exceeds that load after every batch.
	growthPause = 2 * time.Second
	// probeInterval is the interval at which the limit is halved for two
	// batches, of which only the second is measured. Without probes, lasting
	// load would build a queue inside the upstream that raises the moving
	// minimum, which in turn raises the limit.
	probeInterval = 10 * time.Second
	// firstProbeDelay is the time from the first batch to the first probe.
	// Earlier, the upstream's queue has not reached the length that the limit
	// allows.
	firstProbeDelay = 500 * time.Millisecond
	// minProbedLimit is the lowest limit that is probed: half of 2 leaves a
	// slot idle and can't lower the latency.
	minProbedLimit = 3
	// minProbeGain is the factor by which the time from grant to end must fall
	// for the halved limit to be kept; throughput is then nearly the same. With
	// 2 slots of 20 ms and a round trip of 6 ms, going from 4 to 2 gains 1.54
	// and costs throughput, going from 6 to 3 gains 2 and costs none.
	minProbeGain = 1.6
	// slowStartTime is the duration of the slow start of a new incarnation.
	slowStartTime = 5 * time.Second
)

// concurrencyLimit is the adaptive concurrency limit: additive increase while
// it is fully used and latency stays near its minimum, multiplicative decrease
// on a shed or on high latency. It is immutable; the zero value stands at
// defaultSlots.
type concurrencyLimit struct {
	// value is the limit outside slow start and probes; 0 before the first
	// answer or shed.
	value float64
	// slots is the number that the upstream reports, or 0.
	slots int
	// started is the start of the slow start; zero for none.
	started time.Time
	// ratioSum, heldSum and samples cover the latency ratios and the seconds
	// from grant to end in the current batch; saturated is true when the limit
	// was fully used at one of its answers.
	ratioSum, heldSum float64
	samples           int
	saturated         bool
	// decreasedAt is the time of the last decrease after a shed.
	decreasedAt time.Time
	// probedAt is the start of the last probe, heldBefore the mean time from
	// grant to end in the batch before it, in seconds.
	probedAt   time.Time
	heldBefore float64
	probe      probePhase
}

// probePhase is the progress of a probe.
type probePhase uint8

const (
	probeNone probePhase = iota
	// probeSettling waits for items that were granted before the probe.
	probeSettling
	probeMeasuring
)

// current returns the limit without slow start and probe.
func (l concurrencyLimit) current() float64 {
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
func (l concurrencyLimit) At(now time.Time) int {
	v := l.current()
	if l.probe != probeNone {
		v = half(v)
	}
	if l.inSlowStart(now) {
		// The 0.5 rounds to nearest, so that a limit of 2 is reached halfway
		// through the slow start.
		v = min(v, 1.5+(v-1)*float64(now.Sub(l.started))/float64(slowStartTime))
	}
	return max(minLimit, int(v))
}

func (l concurrencyLimit) inSlowStart(now time.Time) bool {
	return !l.started.IsZero() && now.Sub(l.started) < slowStartTime
}

// WithSlots returns a copy that starts at the reported number of slots. After
// the first answer or shed, only traffic sets the limit, since the report may
// be wrong.
func (l concurrencyLimit) WithSlots(n int) concurrencyLimit {
	l.slots = max(n, 0)
	return l
}

// WithAnswer returns a copy that includes an answer. ratio is its latency over
// the moving minimum and held the seconds from grant to end; saturated is true
// when the limit was fully used.
func (l concurrencyLimit) WithAnswer(now time.Time, ratio, held float64, saturated bool) concurrencyLimit {
	l.value = l.current()
	l.ratioSum += ratio
	l.heldSum += held
	l.samples++
	l.saturated = l.saturated || saturated
	if l.samples < max(batchSize, int(l.value)) {
		return l
	}
	mean, held, saturated := l.ratioSum/float64(l.samples), l.heldSum/float64(l.samples), l.saturated
	l = l.withEmptyBatch()
	switch {
	case l.probe == probeSettling:
		l.probe = probeMeasuring
		return l
	case l.probe == probeMeasuring:
		l.probe = probeNone
		if held*minProbeGain > l.heldBefore {
			return l
		}
		l.value, l.probedAt = half(l.value), now.Add(-probeInterval)
	case mean > latencyTolerance:
		l.value = max(minLimit, l.value*latencyDecrease)
	case saturated && !l.inSlowStart(now) && now.Sub(l.decreasedAt) >= growthPause:
		l.value = min(maxLimit, l.value+1)
	}
	if l.probedAt.IsZero() {
		l.probedAt = now.Add(firstProbeDelay - probeInterval)
	}
	if saturated && l.value >= minProbedLimit && now.Sub(l.probedAt) >= probeInterval {
		l.probedAt, l.heldBefore, l.probe = now, held, probeSettling
	}
	return l
}

func (l concurrencyLimit) withEmptyBatch() concurrencyLimit {
	l.ratioSum, l.heldSum, l.samples, l.saturated = 0, 0, 0, false
	return l
}

// half returns half of a limit, rounded up to a whole number.
func half(v float64) float64 { return float64((int(v) + 1) / 2) }

// WithShed returns a copy that includes the shed of an item granted at the
// given time. Items granted before the last decrease say nothing about the
// current limit.
func (l concurrencyLimit) WithShed(now, granted time.Time) concurrencyLimit {
	if granted.Before(l.decreasedAt) {
		return l
	}
	l.value = max(minLimit, l.current()*shedDecrease)
	l.decreasedAt, l.probe = now, probeNone
	return l.withEmptyBatch()
}
