package rules

import (
	"fmt"
	"maps"
	"math"
	"net/netip"
	"regexp"
	"slices"
	"strconv"
	"sync"

	"egretdock/core/model"
)

// namePattern keeps names usable in object keys, metrics and log lines.
var namePattern = sync.OnceValue(func() *regexp.Regexp { return regexp.MustCompile(`^[a-z0-9][a-z0-9_.-]{0,63}$`) })

const nameFormat = "1 to 64 of a-z, 0-9, '_', '.' and '-', starting with a letter or digit"

// maxQueueLimit bounds the memory of one queue.
const maxQueueLimit = 4096

// validate checks the configuration after an edit that replaced before with
// after. Objects that the edit does not touch were checked by earlier edits.
func validate(cfg model.Config, before, after model.Content) error {
	switch v := after.(type) {
	case model.Template:
		if err := CheckTemplate(v); err != nil {
			return err
		}
		for _, name := range cfg.CustomerNames() {
			p, _ := cfg.Params(name)
			if p.Template != v.Name {
				continue
			}
			if err := checkPriorityOverrides(p, v); err != nil {
				return err
			}
			if err := checkClaims(cfg, p); err != nil {
				return err
			}
		}
		return nil
	case model.Params:
		if old, ok := before.(model.Params); ok && old.Template != v.Template {
			return newError("/template", TemplateMoved{Customer: v.Customer, From: old.Template, To: v.Template})
		}
		if err := CheckParams(v); err != nil {
			return err
		}
		t, ok := cfg.Template(v.Template)
		if !ok {
			return newError("/template", UnknownTemplate{Customer: v.Customer, Template: v.Template})
		}
		if err := checkPriorityOverrides(v, t); err != nil {
			return err
		}
		return checkClaims(cfg, v)
	default:
		if t, ok := before.(model.Template); ok {
			return checkTemplateUnused(cfg, t.Name)
		}
		return nil
	}
}

// CheckTemplate checks a template by itself.
func CheckTemplate(t model.Template) error {
	if err := checkName("/name", "template name", t.Name); err != nil {
		return err
	}
	if len(t.Classes) == 0 {
		return newError("", InvalidValue{Field: "classes", Value: "[]", Want: "at least one class"})
	}
	names, ports, sum := map[string]bool{}, map[uint16]bool{}, 0.0
	for i, c := range t.Classes {
		path := fmt.Sprintf("/classes/%d", i)
		if err := checkClass(path, c); err != nil {
			return err
		}
		if names[c.Name] {
			return newError(path+"/name", Duplicate{Field: "class name", Value: c.Name})
		}
		if ports[c.Port] {
			return newError(path+"/port", Duplicate{Field: "port", Value: strconv.Itoa(int(c.Port))})
		}
		names[c.Name], ports[c.Port] = true, true
		sum += c.MinShare
	}
	if sum > 1+1e-9 {
		return newError("/classes", ShareSum{Template: t.Name, Sum: sum})
	}
	return nil
}

func checkClass(path string, c model.Class) error {
	if err := checkName(path+"/name", "class name", c.Name); err != nil {
		return err
	}
	switch {
	case c.Port == 0:
		return newError(path+"/port", InvalidValue{Field: "port", Value: "0", Want: "a port from 1 to 65535"})
	case c.Kind > model.KindUpload:
		return newError(path+"/kind", InvalidValue{Field: "kind", Value: c.Kind.String(), Want: "request, feed or upload"})
	case !(c.MinShare >= 0 && c.MinShare <= 1):
		return newError(path+"/min_share", InvalidValue{Field: "min_share", Value: fmt.Sprint(c.MinShare), Want: "a share from 0 to 1"})
	case c.QueueLimit < 0 || c.QueueLimit > maxQueueLimit:
		return newError(path+"/queue_limit", InvalidValue{Field: "queue_limit", Value: strconv.Itoa(c.QueueLimit), Want: fmt.Sprintf("0 for the default, or up to %d", maxQueueLimit)})
	default:
		return nil
	}
}

// CheckParams checks a customer's parameters by themselves.
func CheckParams(p model.Params) error {
	if err := checkName("/customer", "customer name", p.Customer); err != nil {
		return err
	}
	switch {
	case !p.Address.IsValid() || p.Address.IsUnspecified() || p.Address.IsMulticast():
		return newError("/address", InvalidValue{Field: "address", Value: p.Address.String(), Want: "one unicast IP address"})
	case len(p.Upstreams) == 0:
		return newError("/upstreams", NoUpstreams{Customer: p.Customer})
	}
	for _, n := range []struct {
		path  string
		value float64
	}{
		{"/weight", p.Weight},
		{"/limits/open_flows", float64(p.Limits.OpenFlows)},
		{"/limits/new_flows_per_second", p.Limits.NewFlowsPerSecond},
		{"/limits/bytes_per_second", p.Limits.BytesPerSecond},
	} {
		if !(n.value >= 0) || math.IsInf(n.value, 0) {
			return newError(n.path, InvalidValue{Field: n.path[1:], Value: fmt.Sprint(n.value), Want: "0 for none, or a positive number"})
		}
	}
	names, endpoints := map[string]bool{}, map[netip.AddrPort]bool{}
	for i, u := range p.Upstreams {
		path := fmt.Sprintf("/upstreams/%d", i)
		if err := checkUpstream(path, u); err != nil {
			return err
		}
		if names[u.Name] {
			return newError(path+"/name", Duplicate{Field: "upstream name", Value: u.Name})
		}
		if endpoints[u.Endpoint] {
			return newError(path+"/endpoint", Duplicate{Field: "endpoint", Value: u.Endpoint.String()})
		}
		names[u.Name], endpoints[u.Endpoint] = true, true
	}
	return nil
}

func checkUpstream(path string, u model.Upstream) error {
	if err := checkName(path+"/name", "upstream name", u.Name); err != nil {
		return err
	}
	if err := checkName(path+"/data_centre", "data centre", u.DataCentre); err != nil {
		return err
	}
	if !isUnicastEndpoint(u.Endpoint) {
		return newError(path+"/endpoint", InvalidValue{Field: "endpoint", Value: u.Endpoint.String(), Want: "a unicast IP address and a port"})
	}
	if !isUnicastEndpoint(u.Health) {
		return newError(path+"/health", InvalidValue{Field: "health", Value: u.Health.String(), Want: "a unicast IP address and a port"})
	}
	return nil
}

func isUnicastEndpoint(a netip.AddrPort) bool {
	return a.IsValid() && a.Port() != 0 && !a.Addr().IsUnspecified() && !a.Addr().IsMulticast()
}

func checkName(path, what, s string) error {
	if namePattern().MatchString(s) {
		return nil
	}
	return newError(path, InvalidValue{Field: what, Value: s, Want: nameFormat})
}

// checkPriorityOverrides refuses overrides of classes that do not exist, and
// overrides that reverse the order of the template: customers share upstreams,
// so one customer's bulk work must not overtake another's urgent work.
func checkPriorityOverrides(p model.Params, t model.Template) error {
	effective := make(map[string]uint8, len(t.Classes))
	for _, c := range t.Classes {
		effective[c.Name] = c.Priority
	}
	for _, name := range slices.Sorted(maps.Keys(p.Priority)) {
		if _, ok := effective[name]; !ok {
			return newError("/priority/"+name, InvalidValue{Field: "priority of customer " + p.Customer, Value: name, Want: "a class of template " + t.Name})
		}
		effective[name] = p.Priority[name]
	}
	for _, high := range t.Classes {
		for _, low := range t.Classes {
			if high.Priority > low.Priority && effective[high.Name] < effective[low.Name] {
				return newError("/priority", PriorityConflict{Customer: p.Customer, Class: low.Name, Above: high.Name})
			}
		}
	}
	return nil
}

// checkClaims compares a customer's address and upstreams with those of all
// customers.
func checkClaims(cfg model.Config, p model.Params) error {
	endpoints, names := map[netip.AddrPort]int{}, map[string]int{}
	for i, u := range p.Upstreams {
		endpoints[u.Endpoint], names[u.Name] = i, i
	}
	for _, name := range cfg.CustomerNames() {
		q, _ := cfg.Params(name)
		if err := checkForwardingLoops(cfg, p, q, endpoints); err != nil {
			return err
		}
		if name == p.Customer {
			continue
		}
		if q.Address == p.Address {
			return newError("/address", AddressUsed{Address: p.Address, By: name})
		}
		for _, u := range q.Upstreams {
			if i, ok := endpoints[u.Endpoint]; ok && (q.Template != p.Template || u.Name != p.Upstreams[i].Name) {
				return newError(fmt.Sprintf("/upstreams/%d/endpoint", i), EndpointUsed{Endpoint: u.Endpoint, By: "upstream " + u.Name + " of customer " + name + ", template " + q.Template})
			}
			if i, ok := names[u.Name]; ok && (q.Template != p.Template || u.Endpoint != p.Upstreams[i].Endpoint || u.DataCentre != p.Upstreams[i].DataCentre) {
				return newError(fmt.Sprintf("/upstreams/%d/name", i), NameUsed{Upstream: u.Name, By: "customer " + name + ", template " + q.Template})
			}
		}
	}
	return nil
}

// checkForwardingLoops refuses an upstream endpoint that is also a service
// address and port, since balancers would send packets to themselves.
func checkForwardingLoops(cfg model.Config, p, q model.Params, endpoints map[netip.AddrPort]int) error {
	if t, ok := cfg.Template(q.Template); ok {
		for _, c := range t.Classes {
			a := netip.AddrPortFrom(q.Address, c.Port)
			if i, ok := endpoints[a]; ok {
				return newError(fmt.Sprintf("/upstreams/%d/endpoint", i), EndpointUsed{Endpoint: a, By: "class " + c.Name + " of customer " + q.Customer})
			}
		}
	}
	t, _ := cfg.Template(p.Template)
	for _, u := range q.Upstreams {
		if c, ok := t.Class(u.Endpoint.Port()); ok && u.Endpoint.Addr() == p.Address {
			return newError("/address", EndpointUsed{Endpoint: u.Endpoint, By: "class " + c.Name + " of customer " + p.Customer})
		}
	}
	return nil
}

func checkTemplateUnused(cfg model.Config, template string) error {
	var users []string
	for _, name := range cfg.CustomerNames() {
		if p, _ := cfg.Params(name); p.Template == template {
			users = append(users, name)
		}
	}
	if len(users) > 0 {
		return newError("", TemplateInUse{Template: template, Customers: users})
	}
	return nil
}
