package daemon

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"egretdock/core/input"
	"egretdock/core/model"
)

const (
	// maxConcurrentPolls bounds the polls in progress. A balancer owns about 7
	// upstreams at the target size.
	maxConcurrentPolls = 4
	// pollTimeout is the time after which an endpoint counts as failed.
	pollTimeout = time.Second
)

// poller reads the health and load endpoints of upstreams.
type poller struct {
	client   http.Client
	requests chan model.Upstream
}

func newPoller() *poller {
	return &poller{client: http.Client{Timeout: pollTimeout}, requests: make(chan model.Upstream, 64)}
}

// request queues a poll of an upstream. A request is dropped when the queue is
// full; the engine sends the next one after the poll interval.
func (p *poller) request(u model.Upstream) {
	select {
	case p.requests <- u:
	default:
	}
}

func (p *poller) run(ctx context.Context, push func(input.Input)) error {
	g, ctx := errgroup.WithContext(ctx)
	for range maxConcurrentPolls {
		g.Go(func() error {
			for {
				select {
				case <-ctx.Done():
					return nil
				case u := <-p.requests:
					push(p.poll(ctx, u))
				}
			}
		})
	}
	return g.Wait()
}

// loadReport is the body of an upstream's health and load endpoint.
type loadReport struct {
	Incarnation uint64 `json:"incarnation"`
	Draining    bool   `json:"draining"`
	Running     int    `json:"running"`
	Slots       int    `json:"slots"`
}

func (p *poller) poll(ctx context.Context, u model.Upstream) *input.LoadReport {
	failed := &input.LoadReport{Endpoint: u.Endpoint}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+u.Health.String()+"/load", nil)
	if err != nil {
		return failed
	}
	resp, err := p.client.Do(req)
	if err != nil {
		return failed
	}
	defer func() { _ = resp.Body.Close() }()
	var r loadReport
	if resp.StatusCode != http.StatusOK || json.NewDecoder(resp.Body).Decode(&r) != nil {
		return failed
	}
	return &input.LoadReport{
		Endpoint: u.Endpoint, Healthy: true, Incarnation: r.Incarnation,
		Draining: r.Draining, Running: r.Running, Slots: r.Slots,
	}
}
