// Package follow decides from which balancer of its data centre a balancer takes
// the news of routes and instances, and when it reads the store itself.
//
// It answers two load patterns. While the store is away or slow, a call by each
// balancer would multiply the calls by the size of the fleet, and each is paid
// for. While the store refuses only some hosts, or a reader has lost it, those
// that reach it must take over within the time for a change.
package follow

import (
	"maps"
	"slices"
	"time"

	"egretdock/core/model"
)

// firstReaders is the number of balancers of a data centre that read the store
// while it answers none of them. Several are needed because the store may refuse
// single hosts.
const firstReaders = 3

// maxDoublings lets all balancers of any data centre read the store in the end.
const maxDoublings = 16

// Step is what a balancer does next.
//
//sumtype:decl
type Step interface{ step() }

// Ask asks a balancer for its news.
type Ask struct {
	Source model.Balancer
	// ReadStore is true when the store is read meanwhile.
	ReadStore bool
}

// Pause asks no balancer for a time.
type Pause struct {
	For time.Duration
	// ReadStore is true when the store is read meanwhile.
	ReadStore bool
}

func (Ask) step()   {}
func (Pause) step() {}

// Timing holds the times of the decisions. All must be set.
type Timing struct {
	// Retry is how long a source that answered without current news is not asked
	// again, and the longest pause.
	Retry time.Duration
	// SlowRetry is the same for a source that did not answer, and for any source
	// while a later one has current news. Each such call delays those news.
	SlowRetry time.Duration
	// Widen is the time without current news after which twice as many balancers
	// read the store.
	Widen time.Duration
}

// State is what a balancer knows of its sources. It is immutable; use New to
// create one.
type State struct {
	timing Timing
	// currentAt is when the balancer last had current news of a source or of the
	// store, or its start.
	currentAt time.Time
	// provider is the balancer that read those news in the store or passed them
	// on; "" before the first.
	provider string
	// probedAt is when the balancer last read the store in vain.
	probedAt time.Time
	// failures holds the sources whose last call brought no current news; it is
	// never modified.
	failures map[string]failure
}

// failure is a call to a source that brought no current news.
type failure struct {
	at time.Time
	// answered is true when the source answered: its news were old, or the store
	// does not answer it either.
	answered bool
}

// New returns the state of a balancer that starts now.
func New(t Timing, now time.Time) State { return State{timing: t, currentAt: now} }

// WithCurrentNews returns a copy after a source answered with current news.
func (s State) WithCurrentNews(now time.Time, source string) State {
	s.currentAt, s.provider = now, source
	if _, failed := s.failures[source]; failed {
		s.failures = maps.Clone(s.failures)
		delete(s.failures, source)
	}
	return s
}

// WithOldNews returns a copy after a source answered with news that are not
// current.
func (s State) WithOldNews(now time.Time, source string) State {
	return s.withFailure(source, failure{at: now, answered: true})
}

// WithoutAnswer returns a copy after a source did not answer.
func (s State) WithoutAnswer(now time.Time, source string) State {
	return s.withFailure(source, failure{at: now})
}

func (s State) withFailure(source string, f failure) State {
	next := make(map[string]failure, len(s.failures)+1)
	maps.Copy(next, s.failures)
	next[source] = f
	s.failures = next
	return s
}

// WithStoreAnswer returns a copy for a balancer that the store last answered at a
// time.
func (s State) WithStoreAnswer(at time.Time, self string) State {
	if at.After(s.currentAt) {
		s.currentAt, s.provider = at, self
	}
	return s
}

// WithStoreFailure returns a copy after the balancer read the store in vain.
func (s State) WithStoreFailure(now time.Time) State {
	s.probedAt = now
	return s
}

// Next returns what the named balancer does now. readers are the live balancers of
// its data centre in the order in which they read the store, itself included
// unless it is leaving. storeLost is true while it reads the store in vain.
//
// A balancer takes the news of the first reader that has current ones. When its
// source has none any more, it reads the store at once, since the store may refuse
// the source alone. Once it has read in vain it goes on only if fewer readers
// before it have answered without current news than may read in vain. Whoever last
// had current news goes on, even if more than that number come before it. A source
// that doesn't answer says nothing about the store: the balancer reads it until it
// has current news again.
func (s State) Next(now time.Time, self string, storeLost bool, readers []model.Balancer) Step {
	v := s.survey(now, self, storeLost, readers)
	switch {
	case v.next != nil && v.oldest != nil && now.Sub(s.failures[v.oldest.Name].at) >= s.timing.SlowRetry && now.Sub(s.currentAt) < s.timing.Retry:
		// Only right after current news is there time to look for earlier readers
		// that have recovered.
		return Ask{Source: *v.oldest, ReadStore: v.readStore}
	case v.next != nil:
		return Ask{Source: *v.next, ReadStore: v.readStore}
	case v.due != nil:
		return Ask{Source: *v.due, ReadStore: v.readStore}
	}
	return Pause{For: v.pause, ReadStore: v.readStore}
}

// survey is what a balancer finds when it goes through the readers in order.
type survey struct {
	// next is the first source that has not failed.
	next *model.Balancer
	// oldest is the source before next whose failure is the oldest, due the oldest
	// of those that may be asked again.
	oldest, due *model.Balancer
	// readStore is true when the balancer itself has to read the store.
	readStore bool
	// pause is the time until another source is due.
	pause time.Duration
}

func (s State) survey(now time.Time, self string, storeLost bool, readers []model.Balancer) survey {
	v := survey{pause: s.timing.Retry}
	provider := slices.IndexFunc(readers, func(b model.Balancer) bool { return b.Name == s.provider })
	_, providerFailed := s.failures[s.provider]
	sourceLost := provider < 0 || providerFailed || s.provider == self
	inVain, limit, reached := 0, s.readerLimit(now), false
	for i := 0; i < len(readers) && (inVain < limit || i <= provider); i++ {
		b := &readers[i]
		if b.Name == self {
			v.readStore, reached = true, true
			if !storeLost {
				break
			}
			inVain++
			continue
		}
		f, failed := s.failures[b.Name]
		if !failed {
			v.next = b
			return v
		}
		if f.answered {
			inVain++
		}
		if sourceLost && (!f.answered || !s.probedAt.After(s.currentAt)) {
			v.readStore = true
		}
		v.addFailed(s, now, b, f)
	}
	if !reached && inVain < limit {
		// It is not among the readers, and none of them has current news.
		v.readStore = true
	}
	return v
}

// addFailed takes a source into account that has failed.
func (v *survey) addFailed(s State, now time.Time, b *model.Balancer, f failure) {
	v.oldest = s.older(v.oldest, b)
	retry := s.timing.Retry
	if !f.answered {
		retry = s.timing.SlowRetry
	}
	if left := f.at.Add(retry).Sub(now); left > 0 {
		v.pause = min(v.pause, left)
	} else {
		v.due = s.older(v.due, b)
	}
}

// older returns the source whose failure is older; a may be nil.
func (s State) older(a, b *model.Balancer) *model.Balancer {
	if a != nil && !s.failures[b.Name].at.Before(s.failures[a.Name].at) {
		return a
	}
	return b
}

// readerLimit returns how many balancers may read the store in vain.
func (s State) readerLimit(now time.Time) int {
	return firstReaders << min(now.Sub(s.currentAt)/s.timing.Widen, maxDoublings)
}
