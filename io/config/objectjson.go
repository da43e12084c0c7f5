package config

import (
	"fmt"
	"net/netip"

	"egretdock/core/model"
)

// The types below are the JSON form of the model, in files and in the log.

type classJSON struct {
	Name       string    `json:"name"`
	Port       uint16    `json:"port"`
	Kind       classKind `json:"kind"`
	Priority   uint8     `json:"priority,omitempty"`
	MinShare   float64   `json:"min_share,omitempty"`
	Idempotent bool      `json:"idempotent,omitempty"`
	QueueLimit int       `json:"queue_limit,omitempty"`
}

type templateJSON struct {
	Name    string      `json:"name"`
	Classes []classJSON `json:"classes"`
}

type upstreamJSON struct {
	Name       string         `json:"name"`
	DataCentre string         `json:"data_centre"`
	Endpoint   netip.AddrPort `json:"endpoint"`
	Health     netip.AddrPort `json:"health"`
}

type limitsJSON struct {
	OpenFlows         int     `json:"open_flows,omitempty"`
	NewFlowsPerSecond float64 `json:"new_flows_per_second,omitempty"`
	BytesPerSecond    float64 `json:"bytes_per_second,omitempty"`
}

type paramsJSON struct {
	Customer  string           `json:"customer"`
	Template  string           `json:"template"`
	Address   netip.Addr       `json:"address"`
	Upstreams []upstreamJSON   `json:"upstreams"`
	Weight    float64          `json:"weight,omitempty"`
	Priority  map[string]uint8 `json:"priority,omitempty"`
	Limits    limitsJSON       `json:"limits,omitzero"`
}

type classKind model.ClassKind

func (classKind) typeDescription() string { return "request, feed or upload as text" }

// MarshalText writes the name of the kind.
func (k classKind) MarshalText() ([]byte, error) { return []byte(model.ClassKind(k).String()), nil }

// UnmarshalText reads the name of the kind.
func (k *classKind) UnmarshalText(b []byte) error {
	v, ok := model.ParseClassKind(string(b))
	if !ok {
		return fmt.Errorf("unknown class kind")
	}
	*k = classKind(v)
	return nil
}

func newTemplateJSON(t model.Template) templateJSON {
	out := templateJSON{Name: t.Name, Classes: make([]classJSON, 0, len(t.Classes))}
	for _, c := range t.Classes {
		out.Classes = append(out.Classes, classJSON{
			Name: c.Name, Port: c.Port, Kind: classKind(c.Kind), Priority: c.Priority,
			MinShare: c.MinShare, Idempotent: c.Idempotent, QueueLimit: c.QueueLimit,
		})
	}
	return out
}

func (t templateJSON) toModel() model.Template {
	out := model.Template{Name: t.Name}
	for _, c := range t.Classes {
		out.Classes = append(out.Classes, model.Class{
			Name: c.Name, Port: c.Port, Kind: model.ClassKind(c.Kind), Priority: c.Priority,
			MinShare: c.MinShare, Idempotent: c.Idempotent, QueueLimit: c.QueueLimit,
		})
	}
	return out
}

func newParamsJSON(p model.Params) paramsJSON {
	out := paramsJSON{
		Customer: p.Customer, Template: p.Template, Address: p.Address, Weight: p.Weight,
		Priority: p.Priority, Limits: limitsJSON(p.Limits), Upstreams: make([]upstreamJSON, 0, len(p.Upstreams)),
	}
	for _, u := range p.Upstreams {
		out.Upstreams = append(out.Upstreams, upstreamJSON(u))
	}
	return out
}

func (p paramsJSON) toModel() model.Params {
	out := model.Params{
		Customer: p.Customer, Template: p.Template, Address: p.Address, Weight: p.Weight,
		Limits: model.Limits(p.Limits),
	}
	if len(p.Priority) > 0 {
		out.Priority = p.Priority
	}
	for _, u := range p.Upstreams {
		out.Upstreams = append(out.Upstreams, model.Upstream(u))
	}
	return out
}
