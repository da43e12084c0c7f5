package cases

import (
	"fmt"
	"net/netip"
	"slices"

	"egretdock/core/model"
)

// Ports of the upstreams in Example.Config.
const (
	EndpointPort = 9000
	HealthPort   = 9001
)

// Config returns the configuration of the example for plain processes on
// loopback: upstream n of service s in data centre d, all counted from 1, has
// the address 127.d.s.n.
func (c Example) Config() model.Config {
	var cfg model.Config
	for i, s := range c.Services {
		cfg = cfg.WithTemplate(s.Template)
		for _, u := range c.CustomersOf(s.Template.Name) {
			p := model.Params{Customer: u.Name, Template: u.Service, Address: u.Address}
			for n := range s.UpstreamCount {
				p = p.WithUpstream(c.upstream(i, s, n))
			}
			cfg = cfg.WithParams(p)
		}
	}
	return cfg
}

func (c Example) upstream(i int, s Service, n int) model.Upstream {
	dc := n % len(c.DataCentres)
	ip := netip.AddrFrom4([4]byte{127, byte(dc + 1), byte(i + 1), byte(n + 1)})
	return model.Upstream{
		Name: UpstreamName(s.Template.Name, n+1), DataCentre: c.DataCentres[dc],
		Endpoint: netip.AddrPortFrom(ip, EndpointPort), Health: netip.AddrPortFrom(ip, HealthPort),
	}
}

// UpstreamName returns the name of an upstream, counted from 1.
func UpstreamName(service string, n int) string { return fmt.Sprintf("%s_%02d", service, n) }

// Contents returns the objects of the configuration, templates first.
func (c Example) Contents() []model.Content {
	cfg := c.Config()
	var out []model.Content
	for _, name := range cfg.TemplateNames() {
		t, _ := cfg.Template(name)
		out = append(out, t)
	}
	for _, name := range cfg.CustomerNames() {
		p, _ := cfg.Params(name)
		out = append(out, p)
	}
	return slices.Clip(out)
}
