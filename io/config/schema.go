package config

import (
	"fmt"
	"net/netip"

	"egretdock/core/model"
)

// The types below are the text form of the model, for files and for the log.

type classText struct {
	Name       string    `json:"name"`
	Port       uint16    `json:"port"`
	Kind       classKind `json:"kind"`
	Priority   uint8     `json:"priority,omitempty"`
	MinShare   float64   `json:"min_share,omitempty"`
	Idempotent bool      `json:"idempotent,omitempty"`
	QueueLimit int       `json:"queue_limit,omitempty"`
}

type templateText struct {
	Name    string      `json:"name"`
	Classes []classText `json:"classes"`
}

type upstreamText struct {
	Name       string         `json:"name"`
	DataCentre string         `json:"data_centre"`
	Endpoint   netip.AddrPort `json:"endpoint"`
	Health     netip.AddrPort `json:"health"`
}

type limitsText struct {
	OpenFlows         int     `json:"open_flows,omitempty"`
	NewFlowsPerSecond float64 `json:"new_flows_per_second,omitempty"`
	BytesPerSecond    float64 `json:"bytes_per_second,omitempty"`
}

type paramsText struct {
	Customer  string           `json:"customer"`
	Template  string           `json:"template"`
	Address   netip.Addr       `json:"address"`
	Upstreams []upstreamText   `json:"upstreams"`
	Weight    float64          `json:"weight,omitempty"`
	Priority  map[string]uint8 `json:"priority,omitempty"`
	Limits    limitsText       `json:"limits,omitzero"`
}

type classKind model.ClassKind

func (classKind) kindName() string { return "request, feed or upload as text" }

// MarshalText writes the name of the kind.
func (k classKind) MarshalText() ([]byte, error) { return []byte(model.ClassKind(k).String()), nil }

// UnmarshalText reads the name of the kind.
func (k *classKind) UnmarshalText(b []byte) error {
	v, ok := model.ParseClassKind(string(b))
	if !ok {
		return fmt.Errorf("unknown kind of class")
	}
	*k = classKind(v)
	return nil
}

func templateToText(t model.Template) templateText {
	out := templateText{Name: t.Name, Classes: make([]classText, 0, len(t.Classes))}
	for _, c := range t.Classes {
		out.Classes = append(out.Classes, classText{
			Name: c.Name, Port: c.Port, Kind: classKind(c.Kind), Priority: c.Priority,
			MinShare: c.MinShare, Idempotent: c.Idempotent, QueueLimit: c.QueueLimit,
		})
	}
	return out
}

func (t templateText) model() model.Template {
	out := model.Template{Name: t.Name}
	for _, c := range t.Classes {
		out.Classes = append(out.Classes, model.Class{
			Name: c.Name, Port: c.Port, Kind: model.ClassKind(c.Kind), Priority: c.Priority,
			MinShare: c.MinShare, Idempotent: c.Idempotent, QueueLimit: c.QueueLimit,
		})
	}
	return out
}

func paramsToText(p model.Params) paramsText {
	out := paramsText{
		Customer: p.Customer, Template: p.Template, Address: p.Address, Weight: p.Weight,
		Priority: p.Priority, Limits: limitsText(p.Limits), Upstreams: make([]upstreamText, 0, len(p.Upstreams)),
	}
	for _, u := range p.Upstreams {
		out.Upstreams = append(out.Upstreams, upstreamText(u))
	}
	return out
}

func (p paramsText) model() model.Params {
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
