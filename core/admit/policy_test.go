package admit

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"
)

// simSeed is the seed of every run below.
const simSeed = 7

const simWarmup = 5 * time.Second

func fixedService(time.Duration, *rand.Rand) time.Duration { return simService }

func exponentialService(_ time.Duration, rnd *rand.Rand) time.Duration {
	return time.Duration(rnd.ExpFloat64() * float64(simService))
}

// coldStart is 5 times slower at the start and at full speed after 5 s.
func coldStart(age time.Duration, _ *rand.Rand) time.Duration {
	return time.Duration(float64(simService) * max(1, 5-4*age.Seconds()/5))
}

// policies are the baselines and, last, Upstream.
var policies = []struct {
	name      string
	admission func() admission
}{
	{"no_admission", func() admission { return &fixedLimit{limit: 1 << 30} }},
	{"fifo", func() admission { return &fixedLimit{limit: 3} }},
	{"strict", func() admission { return &fixedLimit{limit: 3, strict: true} }},
	{"admit", func() admission { return &Upstream{} }},
}

// compare simulates a demand under every policy, logs a line for each and
// returns the result of Upstream. change prepares one server.
func compare(t *testing.T, warm time.Duration, d demand, change func(i int, sv *server)) result {
	t.Helper()
	t.Parallel()
	var r result
	for _, p := range policies {
		r = run(simSeed, warm, d, func(i int) *server {
			sv := &server{admission: p.admission(), service: fixedService}
			change(i, sv)
			return sv
		})
		t.Logf("%-12s goodput %.3f kept: orders %.3f quotes %.3f plans %.3f jain %.3f sheds %.0f late %.0f server queue %.2f", p.name,
			r.total(), r.kept(0), r.kept(1), r.kept(2), jain(r.customers()), r.sheds, r.late, r.queued/r.requests)
	}
	return r
}

func unchanged(int, *server) {}

// upstreamOnly applies f to the servers that use Upstream, not to the
// baselines.
func upstreamOnly(f func(i int, u *Upstream)) func(int, *server) {
	return func(i int, sv *server) {
		if u, ok := sv.admission.(*Upstream); ok {
			f(i, u)
		}
	}
}

// The goals of section 1.4 of the design.
const (
	goalKept    = 0.95
	goalJain    = 0.98
	goalGoodput = 0.95
)

func assertAtLeast(t *testing.T, what string, got, want float64) {
	t.Helper()
	if !(got >= want) {
		t.Errorf("%s = %.3f, want at least %.3f", what, got, want)
	}
}

// assertKept checks that classes keep their goodput of the steady state, where
// all demand is met.
func assertKept(t *testing.T, r result, classes ...int) {
	t.Helper()
	for _, c := range classes {
		assertAtLeast(t, "goodput kept by "+simClasses[c].Name, r.kept(c), goalKept)
	}
}

// assertShortQueue checks that the wait inside an upstream stays below one
// service time.
func assertShortQueue(t *testing.T, r result) {
	t.Helper()
	if got := r.queued / r.requests; got > simSlots {
		t.Errorf("mean queue inside the upstreams = %.2f, want at most %d", got, simSlots)
	}
}

// Guards against admission that costs goodput when there is no overload.
func TestPolicySteady(t *testing.T) {
	r := compare(t, simWarmup, steadyDemand(), unchanged)
	assertKept(t, r, 0, 1, 2)
	assertAtLeast(t, "jain", jain(r.customers()), goalJain)
	assertShortQueue(t, r)
}

// Guards against a flood of one class that starves the others, whether it is
// more urgent or less, that favours a customer or that wastes capacity.
func TestPolicyClassFlood(t *testing.T) {
	for flood, others := range [][]int{0: {1, 2}, 2: {0, 1}} {
		if others == nil {
			continue
		}
		t.Run(simClasses[flood].Name, func(t *testing.T) {
			r := compare(t, simWarmup, steadyDemand().withClass(flood, 10), unchanged)
			assertKept(t, r, others...)
			assertAtLeast(t, "jain", jain(r.customers()), goalJain)
			assertAtLeast(t, "goodput", r.total(), goalGoodput)
			assertShortQueue(t, r)
		})
	}
}

// Guards against a customer that starves others by sending more.
func TestPolicyCustomerFlood(t *testing.T) {
	r := compare(t, simWarmup, steadyDemand().withCustomer(0, 0, 10), unchanged)
	assertKept(t, r, 1, 2)
	for cu := 1; cu < simCustomers; cu++ {
		assertAtLeast(t, "goodput kept by another customer", r.good[0][cu]/r.arrived[0][cu], goalKept)
	}
	assertAtLeast(t, "jain of the others", jain(r.customers()[1:]), goalJain)
	assertAtLeast(t, "goodput", r.total(), goalGoodput)
}

// Guards against a new incarnation that is given more work than it can finish
// in time while it is slow.
func TestPolicyColdStart(t *testing.T) {
	r := compare(t, 0, steadyDemand(), func(i int, sv *server) {
		if i == 0 {
			sv.service = coldStart
			upstreamOnly(func(_ int, u *Upstream) { *u = NewUpstream(simStart) })(i, sv)
		}
	})
	assertKept(t, r, 0, 1, 2)
}

// Guards against a limit that ignores sheds and so wastes the remaining
// capacity of an upstream that sheds below its nominal load.
func TestPolicySheddingUpstream(t *testing.T) {
	r := compare(t, simWarmup, steadyDemand().withClass(2, 10), func(i int, sv *server) {
		if i == 0 {
			sv.shedAt = 1
		}
	})
	assertKept(t, r, 0, 1)
	const capacity = (simServers - 0.5) / simServers
	assertAtLeast(t, "goodput", r.total(), goalGoodput*capacity)
}

// Guards against a limit that follows the reported slots: with too many, the
// queue inside the upstream grows; with too few, capacity is lost.
func TestPolicyWrongSlotReport(t *testing.T) {
	for _, slots := range []int{1, 16} {
		t.Run(strconv.Itoa(slots), func(t *testing.T) {
			r := compare(t, simWarmup, steadyDemand().withClass(2, 10), upstreamOnly(func(_ int, u *Upstream) { u.SetSlots(slots) }))
			assertKept(t, r, 0, 1)
			assertAtLeast(t, "goodput", r.total(), goalGoodput)
			assertShortQueue(t, r)
		})
	}
}

// Guards against a limit that mistakes the variance of service times for a
// queue.
func TestPolicyRandomService(t *testing.T) {
	r := compare(t, simWarmup, steadyDemand().withClass(0, 10), func(_ int, sv *server) { sv.service = exponentialService })
	assertKept(t, r, 1, 2)
	assertAtLeast(t, "goodput", r.total(), goalGoodput)
	assertShortQueue(t, r)
}
