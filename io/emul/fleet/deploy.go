package fleet

import (
	"context"
	"fmt"
	"time"

	"egretdock/core/fault"
	"egretdock/core/model"
	"egretdock/io/emul/cases"
	"egretdock/io/emul/upstr"
)

// joinTimeout bounds the wait until the balancers see each other. 16 balancers
// need 2 to 3 s.
const joinTimeout = 20 * time.Second

// Deploy starts the balancers and upstreams of an example and waits until its
// configuration is in force everywhere and the balancers see each other.
func (f *Fleet) Deploy(ctx context.Context, c cases.Example, seed uint64) error {
	for i := range c.BalancerCount {
		name := fmt.Sprintf("b%02d", i+1)
		if err := f.AddBalancer(name, c.DataCentres[i%len(c.DataCentres)]); err != nil {
			return err
		}
	}
	cfg := model.Config{Revision: 1}
	for _, s := range c.Services {
		cfg = cfg.WithTemplate(s.Template)
		us, err := f.addUpstreams(c, s, seed)
		if err != nil {
			return err
		}
		for _, u := range c.CustomersOf(s.Template.Name) {
			p := model.Params{Customer: u.Name, Template: u.Service, Address: u.Address}
			for _, up := range us {
				p = p.WithUpstream(up)
			}
			cfg = cfg.WithParams(p)
		}
	}
	revision, err := f.Configure(ctx, cfg)
	if err != nil {
		return err
	}
	if err := f.AwaitRevision(ctx, revision); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	if err := f.AwaitMembers(ctx); err != nil {
		return fault.Wrap(err, fault.KindUnavailable, "balancers do not see each other after "+joinTimeout.String(), "check the member events in the timeline")
	}
	return nil
}

func (f *Fleet) addUpstreams(c cases.Example, s cases.Service, seed uint64) ([]model.Upstream, error) {
	var out []model.Upstream
	for i := range s.UpstreamCount {
		name := cases.UpstreamName(s.Template.Name, i+1)
		u, err := f.AddCaseUpstream(c, s, c.DataCentres[i%len(c.DataCentres)], name, seed+uint64(i))
		if err != nil {
			return nil, err
		}
		out = append(out, u)
	}
	return out, nil
}

// AddCaseUpstream starts one upstream of an example's service.
func (f *Fleet) AddCaseUpstream(c cases.Example, s cases.Service, dataCentre, name string, seed uint64) (model.Upstream, error) {
	return f.AddUpstream(dataCentre, upstr.Config{
		Name: name, Service: s.Template.Name, Addresses: c.Addresses(s.Template.Name),
		Slots: s.Slots, MaxConnections: s.Connections, Behaviours: s.Behaviours(), Seed: seed,
	})
}
