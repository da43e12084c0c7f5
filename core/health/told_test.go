package health

import (
	"testing"
	"time"
)

func assertShunned(t *testing.T, s State, now time.Time, want bool) {
	t.Helper()
	if got := s.InSharedBackoff(now); got != want {
		t.Errorf("Shunned = %v, want %v", got, want)
	}
}

func assertDoubtful(t *testing.T, s State, now time.Time, want bool) {
	t.Helper()
	if got := s.InBackoff(now); got != want {
		t.Errorf("Doubtful = %v, want %v", got, want)
	}
}

// Guards against one balancer that sets an upstream aside for all others, and
// against many that each need a failure of their own.
func TestTold(t *testing.T) {
	one, two := FailedAtPeer{Peer: 1}, FailedAtPeer{Peer: 2}
	for _, tc := range []struct {
		name    string
		signals []Signal
		want    bool
	}{
		{"nobody", nil, false},
		{"one balancer", times(20, one), false},
		{"two balancers", []Signal{one, two}, true},
		{"one balancer and the own traffic", []Signal{fail, one}, true},
		{"the own traffic alone", times(4, fail), false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s, now := after(State{}, start, tc.signals...)
			assertShunned(t, s, now, tc.want)
		})
	}
	t.Run("long apart", func(t *testing.T) {
		s, now := after(State{}, start, one)
		s = s.With(now.Add(tellTime), two)
		assertShunned(t, s, now.Add(tellTime), false)
	})
	t.Run("ends by itself", func(t *testing.T) {
		s, now := after(State{}, start, one, two)
		assertShunned(t, s, now.Add(doubtFirst), false)
	})
	t.Run("lasts longer with each failure", func(t *testing.T) {
		s, now := after(State{}, start, times(10, one, two)...)
		assertShunned(t, s, now.Add(doubtMost-time.Millisecond), true)
		assertShunned(t, s, now.Add(doubtMost), false)
	})
}

// Guards against an upstream that goes down and up every few seconds and counts
// as well after each answer.
func TestRelapse(t *testing.T) {
	t.Run("an answer after one failure", func(t *testing.T) {
		s, now := after(State{}, start, fail, answer)
		assertDoubtful(t, s, now, false)
	})
	t.Run("an answer after a second failure", func(t *testing.T) {
		s, now := after(State{}, start, fail, answer, fail, answer)
		assertDoubtful(t, s, now, true)
		assertDoubtful(t, s, now.Add(2*doubtFirst), false)
	})
	t.Run("a second failure much later", func(t *testing.T) {
		s, now := after(State{}, start, fail, answer)
		s, now = after(s, now.Add(3*failureHalf), fail, answer)
		assertDoubtful(t, s, now, false)
	})
	t.Run("comes back slowly", func(t *testing.T) {
		s, now := after(State{}, start, fail, answer)
		for wait, want := range map[time.Duration]bool{0: true, failureHalf - time.Second: true, failureHalf + time.Second: false} {
			if got := s.Recovering(now.Add(wait)); got != want {
				t.Errorf("Recovering %v after the failure = %v, want %v", wait, got, want)
			}
		}
	})
}
