package limit

import (
	"math/rand/v2"
	"testing"
	"time"

	"egretdock/core/model"
)

var start = time.Unix(1e9, 0)

// flood offers flows and bytes to each balancer every 10 ms and returns how many
// were admitted.
func flood(fleet []CustomerShare, d time.Duration) (flows, bytes int) {
	const chunk = 100
	for at := time.Duration(0); at < d; at += 10 * time.Millisecond {
		now := start.Add(at)
		for i := range fleet {
			if fleet[i].AllowsOpen(now) {
				fleet[i] = fleet[i].WithOpen(now)
				flows++
			}
			if fleet[i].AllowsBytes(now, chunk) {
				fleet[i] = fleet[i].WithBytes(now, chunk)
				bytes += chunk
			}
		}
	}
	return flows, bytes
}

func fleet(n int, l model.Limits) []CustomerShare {
	out := make([]CustomerShare, n)
	for i := range out {
		out[i] = CustomerShare{}.WithLimits(start, l, n)
	}
	return out
}

func assertBetween(t *testing.T, what string, got, least, most int) {
	t.Helper()
	if got < least || got > most {
		t.Errorf("%s = %d, want %d to %d", what, got, least, most)
	}
}

// Guards against a fleet that lets a customer exceed its limits by more than the
// bounds in the comment of CustomerShare, or that keeps it far below them.
func TestCustomerBounds(t *testing.T) {
	const b, seconds = 16, 10
	t.Run("open flows", func(t *testing.T) {
		flows, _ := flood(fleet(b, model.Limits{OpenFlows: 100}), seconds*time.Second)
		assertBetween(t, "flows", flows, 100, 100+b-1)
	})
	t.Run("new flows", func(t *testing.T) {
		flows, _ := flood(fleet(b, model.Limits{NewFlowsPerSecond: 40}), seconds*time.Second)
		assertBetween(t, "flows", flows, 40*seconds, 40*(seconds+1)+b)
	})
	t.Run("bytes", func(t *testing.T) {
		_, bytes := flood(fleet(b, model.Limits{BytesPerSecond: 8000}), seconds*time.Second)
		assertBetween(t, "bytes", bytes, 8000*seconds, 8000*(seconds+1)+b*101)
	})
	t.Run("no limits", func(t *testing.T) {
		flows, _ := flood(fleet(1, model.Limits{}), time.Second)
		assertBetween(t, "flows", flows, 100, 100)
	})
}

// Guards against a change of the fleet that closes flows or leaves the former
// shares in force.
func TestCustomerSharesChange(t *testing.T) {
	l := model.Limits{OpenFlows: 100}
	for _, tc := range []struct {
		name        string
		to          int
		least, most int
	}{
		{"balancers leave", 5, 100, 104},
		{"balancers join", 20, 100, 100 + 100*10/20 + 20},
	} {
		t.Run(tc.name, func(t *testing.T) {
			members := fleet(10, l)
			flood(members, time.Second)
			members = append(members, make([]CustomerShare, 10)...)[:tc.to]
			for i := range members {
				members[i] = members[i].WithLimits(start, l, tc.to)
			}
			flood(members, time.Second)
			open := 0
			for _, c := range members {
				open += c.Open()
			}
			assertBetween(t, "open flows", open, tc.least, tc.most)
		})
	}
	t.Run("closed flows free their share", func(t *testing.T) {
		c := fleet(1, model.Limits{OpenFlows: 1})[0].WithOpen(start)
		if c.AllowsOpen(start) || !c.WithClosed().AllowsOpen(start) {
			t.Error("a flow is allowed beyond the limit, or none is allowed after a close")
		}
	})
}

// Guards against retries that add more than a tenth to the load, and against a
// service without successes that can never retry.
func TestRetryBudget(t *testing.T) {
	for _, tc := range []struct {
		name                   string
		successes, least, most int
	}{
		{"busy", 10000, 1000, 1000 + 1 + 10},
		{"without successes", 0, 1 + 9, 1 + 10},
	} {
		t.Run(tc.name, func(t *testing.T) {
			const ticks = 100_000
			var b RetryBudget
			retries := 0
			for i := range ticks {
				now := start.Add(time.Duration(i) * 100 * time.Second / ticks)
				if tc.successes > 0 && i%(ticks/tc.successes) == 0 {
					b = b.WithSuccess(now)
				}
				if b.Allows(now) {
					b = b.WithRetry(now)
					retries++
				}
			}
			assertBetween(t, "retries", retries, tc.least, tc.most)
		})
	}
	t.Run("saved retries are bounded", func(t *testing.T) {
		var b RetryBudget
		for range 10000 {
			b = b.WithSuccess(start)
		}
		retries := 0
		for ; b.Allows(start); retries++ {
			b = b.WithRetry(start)
		}
		assertBetween(t, "retries", retries, maxSavedRetries, maxSavedRetries)
	})
}

// Guards against clients that retry at the same time, and against delays that
// grow without bound or overflow.
func TestBackoff(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 1))
	for _, retry := range []int{1, 2, 10, 1000} {
		most := min(10<<min(retry-1, 10), 80)
		distinct := make(map[time.Duration]bool)
		for range 100 {
			d := Backoff(retry, 10*time.Millisecond, 80*time.Millisecond, rnd)
			assertBetween(t, "backoff in us", int(d/time.Microsecond), 0, most*1000)
			distinct[d] = true
			j := Jitter(time.Second, rnd)
			assertBetween(t, "jitter in ms", int(j/time.Millisecond), 500, 1500)
			distinct[j] = true
		}
		assertBetween(t, "distinct delays", len(distinct), 190, 200)
	}
	if Jitter(0, rnd) != 0 || Backoff(1, 0, 0, rnd) != 0 {
		t.Error("the delay for a duration of zero is not zero")
	}
}
