package load

import (
	"bytes"
	"context"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"

	"egretdock/client"
	"egretdock/core/model"
	"egretdock/io/emul/audit"
	"egretdock/io/emul/cases"
	"egretdock/io/emul/script"
	"egretdock/io/emul/upstr"
)

// maxWorkers limits the calls in progress. An arrival that finds all workers
// busy is skipped and counted, so that the load stays open-loop.
const maxWorkers = 8192

// runArrivals starts the arrivals at their planned times and waits until all
// have ended.
func (tb *testbed) runArrivals(ctx context.Context, start time.Time, arrivals []script.Arrival) {
	var pool errgroup.Group
	pool.SetLimit(maxWorkers)
	for i := range arrivals {
		a := &arrivals[i]
		due := start.Add(a.At)
		if !sleepUntil(ctx, due) {
			break
		}
		if !pool.TryGo(func() error { tb.runArrival(ctx, due, a); return nil }) {
			tb.record.update(func(h *audit.History) { h.Skipped++ })
		}
	}
	_ = pool.Wait()
}

// runArrival sends the request or upload of one arrival and records its outcome.
func (tb *testbed) runArrival(ctx context.Context, due time.Time, a *script.Arrival) {
	ctx, cancel := context.WithTimeout(ctx, a.Workload.Timeout)
	defer cancel()
	out := tb.sendArrival(ctx, a)
	tb.record.addCall(audit.Call{
		Customer: a.Customer.Name, Firm: a.Customer.Firm, Class: a.Class.Name, Kind: a.Class.Kind,
		Idempotent: a.Class.Idempotent, Address: a.Address(), Payload: a.Payload,
		Due: due, Ended: time.Now(), Outcome: out,
	})
	if _, ok := out.(audit.Answered); !ok {
		tb.timeline.outcome(a.Customer.Name, 0, fmt.Sprintf("%s: %s %+v", a.Payload, outcomeName(out), out))
	}
}

func (tb *testbed) sendArrival(ctx context.Context, a *script.Arrival) audit.Outcome {
	c := tb.clients[a.Customer.Name]
	switch a.Class.Kind {
	case model.KindUpload:
		return tb.upload(ctx, c, a)
	case model.KindRequest, model.KindFeed:
		got, err := c.Call(ctx, a.Address(), []byte(a.Payload))
		return outcome(got, err, upstr.Answer([]byte(a.Payload), upstr.EmptyDigest(), a.Workload.AnswerBytes))
	}
	return audit.Unknown{Cause: "unknown class kind"}
}

// outcome classifies the result of a request. got is the answer, want the
// expected one.
func outcome(got []byte, err error, want []byte) audit.Outcome {
	var notRun *client.NotRunError
	switch {
	case err == nil:
		return audit.Answered{Whole: bytes.Equal(got, want)}
	case errors.As(err, &notRun):
		return audit.NotRun{Reason: notRun.Reason}
	default:
		return audit.Unknown{Cause: err.Error()}
	}
}

// upload opens a flow, sends an upload on it and records the flow.
func (tb *testbed) upload(ctx context.Context, c *client.Client, a *script.Arrival) audit.Outcome {
	f, err := c.Open(ctx, a.Address())
	if err != nil {
		return outcome(nil, err, nil)
	}
	defer f.Close()
	rec := audit.Flow{ID: f.ID(), Customer: a.Customer.Name, Class: a.Class.Name, Address: a.Address(), Opened: time.Now()}
	out := tb.sendUpload(ctx, f, a, &rec)
	tb.record.addFlow(rec)
	return out
}

// stallTimeout is the time without an acknowledgement after which an upload
// counts as broken. It covers two of the client's longest retransmission
// intervals. An upload whose deadline passes earlier was only slow and counts as
// given up.
const stallTimeout = 1250 * time.Millisecond

// sendUpload sends the chunks and the final request on an open flow. It sets the
// time and the reason in rec if the flow breaks.
func (tb *testbed) sendUpload(ctx context.Context, f *client.Flow, a *script.Arrival, rec *audit.Flow) audit.Outcome {
	digest := xxhash.New()
	for i := range a.Workload.Chunks {
		b := chunk(a, i)
		_, _ = digest.Write(b)
		started := time.Now()
		if err := f.Send(ctx, b); err != nil {
			if ctx.Err() != nil && time.Since(started) < stallTimeout {
				return audit.GaveUp{}
			}
			rec.Broken, rec.Reason = time.Now(), err.Error()
			return audit.Broken{Reason: err.Error()}
		}
		if !sleepUntil(ctx, time.Now().Add(a.Workload.ChunkPause)) {
			return audit.GaveUp{}
		}
	}
	got, err := f.Do(ctx, []byte(a.Payload))
	var broken *client.BrokenError
	if errors.As(err, &broken) {
		rec.Broken, rec.Reason = time.Now(), broken.Error()
	}
	return outcome(got, err, upstr.Answer([]byte(a.Payload), digest.Sum64(), a.Workload.AnswerBytes))
}

// chunk returns the content of an upload's chunk i.
func chunk(a *script.Arrival, i int) []byte {
	b := fmt.Appendf(make([]byte, 0, a.Workload.ChunkBytes), "%s#%d ", a.Payload, i)
	for len(b) < a.Workload.ChunkBytes {
		b = append(b, byte('a'+len(b)%26))
	}
	return b
}

// runFeeds holds the feeds of all classes open until ctx ends.
func (tb *testbed) runFeeds(ctx context.Context) {
	var g errgroup.Group
	for _, sv := range tb.example.Services {
		for _, w := range sv.Workloads {
			customers := tb.example.CustomersOf(sv.Template.Name)
			for i := range w.OpenFeeds {
				u := customers[i%len(customers)]
				cl := script.FindClass(sv.Template, w.Class)
				g.Go(func() error { tb.runFeed(ctx, u, cl, w); return nil })
			}
		}
	}
	_ = g.Wait()
}

// reopenPause keeps a client whose feed was refused from retrying at once.
const reopenPause = 200 * time.Millisecond

// runFeed keeps one feed open and reopens it when it breaks.
func (tb *testbed) runFeed(ctx context.Context, u cases.Customer, cl model.Class, w cases.Workload) {
	c := tb.clients[u.Name]
	a := script.Arrival{Customer: u, Class: cl}
	for ctx.Err() == nil {
		openCtx, cancel := context.WithTimeout(ctx, w.Timeout)
		f, err := c.Open(openCtx, a.Address())
		cancel()
		if err != nil {
			if ctx.Err() == nil {
				tb.timeline.outcome(u.Name, 0, cl.Name+": "+err.Error())
			}
			sleepUntil(ctx, time.Now().Add(reopenPause))
			continue
		}
		rec := audit.Flow{ID: f.ID(), Customer: u.Name, Class: cl.Name, Address: a.Address(), Opened: time.Now()}
		if err := tb.receive(ctx, f, u.Name, cl.Name); err != nil {
			rec.Broken, rec.Reason = time.Now(), err.Error()
			tb.timeline.outcome(u.Name, f.ID(), cl.Name+": "+rec.Reason)
		}
		tb.record.addFlow(rec)
		f.Close()
	}
}

// receive counts pushed messages until the feed breaks or ctx ends. It returns
// nil if ctx ends.
func (tb *testbed) receive(ctx context.Context, f *client.Flow, customer, class string) error {
	for {
		if _, err := f.Receive(ctx); err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return err
		}
		tb.record.countPush(customer, class)
	}
}
