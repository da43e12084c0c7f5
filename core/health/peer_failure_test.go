package health

import (
	"testing"
	"time"
)

func assertSharedBackoff(t *testing.T, s State, now time.Time, want bool) {
	t.Helper()
	if got := s.InSharedBackoff(now); got != want {
		t.Errorf("InSharedBackoff = %v, want %v", got, want)
	}
}

func assertBackoff(t *testing.T, s State, now time.Time, want bool) {
	t.Helper()
	if got := s.InBackoff(now); got != want {
		t.Errorf("InBackoff = %v, want %v", got, want)
	}
}

// Guards against a single balancer that makes all others avoid an upstream, and
// against balancers that avoid a failing upstream only after a failure of their
// own.
func TestFailureAtPeer(t *testing.T) {
	one, two := FailedAtPeer{Peer: 1}, FailedAtPeer{Peer: 2}
	for _, tc := range []struct {
		name    string
		signals []Signal
		want    bool
	}{
		{"no balancer", nil, false},
		{"one balancer", times(20, one), false},
		{"two balancers", []Signal{one, two}, true},
		{"one balancer and own traffic", []Signal{fail, one}, true},
		{"own traffic alone", times(4, fail), false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s, now := after(State{}, start, tc.signals...)
			assertSharedBackoff(t, s, now, tc.want)
		})
	}
	t.Run("too far apart", func(t *testing.T) {
		s, now := after(State{}, start, one)
		s = s.With(now.Add(confirmTime), two)
		assertSharedBackoff(t, s, now.Add(confirmTime), false)
	})
	t.Run("ends without a signal", func(t *testing.T) {
		s, now := after(State{}, start, one, two)
		assertSharedBackoff(t, s, now.Add(minBackoff), false)
	})
	t.Run("lasts longer with each failure", func(t *testing.T) {
		s, now := after(State{}, start, times(10, one, two)...)
		assertSharedBackoff(t, s, now.Add(maxBackoff-time.Millisecond), true)
		assertSharedBackoff(t, s, now.Add(maxBackoff), false)
	})
}

// Guards against an upstream that goes down and up every few seconds and counts
// as healthy after each answer.
func TestRelapse(t *testing.T) {
	t.Run("an answer after one failure", func(t *testing.T) {
		s, now := after(State{}, start, fail, answer)
		assertBackoff(t, s, now, false)
	})
	t.Run("an answer after a second failure", func(t *testing.T) {
		s, now := after(State{}, start, fail, answer, fail, answer)
		assertBackoff(t, s, now, true)
		assertBackoff(t, s, now.Add(2*minBackoff), false)
	})
	t.Run("a second failure much later", func(t *testing.T) {
		s, now := after(State{}, start, fail, answer)
		s, now = after(s, now.Add(3*failureHalfLife), fail, answer)
		assertBackoff(t, s, now, false)
	})
	t.Run("counts as recovering", func(t *testing.T) {
		s, now := after(State{}, start, fail, answer)
		for wait, want := range map[time.Duration]bool{0: true, failureHalfLife - time.Second: true, failureHalfLife + time.Second: false} {
			if got := s.Recovering(now.Add(wait)); got != want {
				t.Errorf("Recovering %v after the failure = %v, want %v", wait, got, want)
			}
		}
	})
}
