// Package script describes what a load run does: scenarios, the steps that they
// carry out, and the planned arrivals.
package script

import (
	"time"

	"egretdock/core/fault"
	"egretdock/io/emul/cases"
)

// Step is one thing that a script does to the deployment.
//
//sumtype:decl
type Step interface{ step() }

// Edit changes a class of a template.
type Edit struct{ Service string }

// Drain makes an upstream refuse new flows; Undrain ends it. Index counts the
// service's upstreams from 1.
type Drain struct {
	Service string
	Index   int
}

// Undrain lets a drained upstream take work again.
type Undrain struct {
	Service string
	Index   int
}

// Replace adds a new upstream in place of another, which drains.
type Replace struct {
	Service string
	Index   int
}

// Restart makes an upstream forget its flows.
type Restart struct {
	Service string
	Index   int
}

// Shed makes an upstream refuse one of so many requests that find no slot; 0
// ends it.
type Shed struct {
	Service string
	Index   int
	OneOf   int
}

// Lie makes an upstream report that it is idle.
type Lie struct {
	Service string
	Index   int
	On      bool
}

// Kill stops a balancer without notice.
type Kill struct{ Balancer string }

// Retire asks a balancer to leave.
type Retire struct{ Balancer string }

// Add starts a balancer in a data centre.
type Add struct{ Balancer, DataCentre string }

// Notice brings the host list and the fabric up to date after Kill.
type Notice struct{}

// Outage makes the platform answer nothing, or ends that.
type Outage struct{ On bool }

// Race lets operators edit the template of a service at the same time.
type Race struct {
	Service   string
	Operators int
}

// Cut cuts data centres off from the others.
type Cut struct{ DataCentres []string }

// Heal ends Cut.
type Heal struct{}

func (Edit) step()    {}
func (Drain) step()   {}
func (Undrain) step() {}
func (Replace) step() {}
func (Restart) step() {}
func (Shed) step()    {}
func (Lie) step()     {}
func (Kill) step()    {}
func (Retire) step()  {}
func (Add) step()     {}
func (Notice) step()  {}
func (Outage) step()  {}
func (Race) step()    {}
func (Cut) step()     {}
func (Heal) step()    {}

// Timed is a step with its time from the start of the load.
type Timed struct {
	At   time.Duration
	Step Step
}

// Flood raises the rate of one class for a time.
type Flood struct {
	Class string
	// Factor is the flood's rate over the capacity of the class's upstreams.
	Factor   float64
	From, To time.Duration
}

// Script is a workload with steps. It is immutable.
type Script struct {
	Name   string
	Length time.Duration
	// Steps are in order of time.
	Steps []Timed
	// Floods hold at most one entry for each class.
	Floods []Flood
}

// WithFloodFactor returns a copy in which all floods have another rate.
func (s Script) WithFloodFactor(times float64) Script {
	old := s.Floods
	s.Floods = nil
	for _, f := range old {
		f.Factor = times
		s = s.WithFlood(f)
	}
	return s
}

// With returns a copy with a step added at the end.
func (s Script) With(at time.Duration, step Step) Script {
	s.Steps = append(s.Steps[:len(s.Steps):len(s.Steps)], Timed{At: at, Step: step})
	return s
}

// WithFlood returns a copy with a flood.
func (s Script) WithFlood(f Flood) Script {
	s.Floods = append(s.Floods[:len(s.Floods):len(s.Floods)], f)
	return s
}

// Flood returns the flood of a class.
func (s Script) Flood(class string) (Flood, bool) {
	for _, f := range s.Floods {
		if f.Class == class {
			return f, true
		}
	}
	return Flood{}, false
}

// Scenarios returns the names of the scenarios.
func Scenarios() []string {
	return []string{
		"steady", "drain", "rolling_change", "joint_change", "balancer_loss", "flood_low", "flood_high",
		"partition", "platform_outage", "operators_race", "upstream_restart", "shedding", "lying_load", "everything", "demo",
	}
}

// LossDetectionDelay is the time after which the fabric and the host list know that a
// balancer is gone.
const LossDetectionDelay = 3 * time.Second

// FloodFactor is the usual rate of a flood over the capacity of its upstreams.
// It is bounded by the processor time that one machine has for a whole fleet.
const FloodFactor = 3

// Scenario returns the script of a named scenario over a time of at least 10 s.
// Times inside it are shares of the length, so that a longer run does the same
// more slowly.
func Scenario(name string, c cases.Example, length time.Duration) (Script, error) {
	if length < 10*time.Second {
		return Script{}, fault.New(fault.KindInvalid, "a run of "+length.String()+" is too short", "run for at least 10s")
	}
	m := builder{example: c, desk: c.Services[0].Template.Name, intake: c.Services[1].Template.Name, script: Script{Name: name, Length: length}}
	switch name {
	case "steady":
	case "drain":
		m.at(0.2, Drain{m.desk, 1}).at(0.25, Drain{m.intake, 1})
	case "rolling_change":
		m.replaceAll()
	case "joint_change":
		m.changeJointly()
	case "balancer_loss":
		m.loseBalancer(0.2, "b01").loseBalancer(0.6, "b06").at(0.4, Retire{"b11"})
	case "flood_low":
		m.flood(c.Services[1].Workloads[0].Class)
	case "flood_high":
		m.flood(c.Services[0].Workloads[0].Class)
	case "partition":
		m.at(0.3, Cut{c.DataCentres[:1]}).at(0.4, Edit{m.desk}).at(0.6, Heal{})
	case "platform_outage":
		m.at(0.1, Edit{m.desk}).at(0.3, Outage{true}).loseBalancer(0.35, "b01").at(0.4, Drain{m.desk, 1})
		m.at(0.75, Outage{false}).at(0.8, Edit{m.desk})
	case "operators_race":
		m.at(0.3, Race{m.desk, 5}).at(0.5, Race{m.intake, 5}).at(0.7, Edit{m.desk})
	case "upstream_restart":
		m.at(0.3, Restart{m.desk, 2}).at(0.5, Restart{m.intake, 2})
	case "shedding":
		m.at(0.3, Shed{m.desk, 3, 2}).at(0.7, Shed{m.desk, 3, 0})
	case "lying_load":
		m.at(0.3, Lie{m.desk, 4, true}).at(0.7, Lie{m.desk, 4, false})
	case "everything":
		m.everything()
	case "demo":
		m.demo()
	default:
		return Script{}, fault.New(fault.KindNotFound, "no scenario "+name, "see the names with: egretdock help load")
	}
	return m.script, nil
}

// builder builds a script.
type builder struct {
	example      cases.Example
	desk, intake string
	script       Script
}

func (m *builder) timeAt(x float64) time.Duration { return time.Duration(x * float64(m.script.Length)) }

func (m *builder) at(x float64, step Step) *builder {
	m.script = m.script.With(m.timeAt(x), step)
	return m
}

// loseBalancer kills a balancer, and replaces it once its loss is known.
func (m *builder) loseBalancer(x float64, name string) *builder {
	at := m.timeAt(x)
	m.script = m.script.With(at, Kill{name}).With(at+LossDetectionDelay, Notice{}).With(at+LossDetectionDelay, Add{name + "r", m.example.DataCentres[0]})
	return m
}

func (m *builder) flood(class string) *builder {
	m.script = m.script.WithFlood(Flood{Class: class, Factor: FloodFactor, From: m.timeAt(0.4), To: m.timeAt(0.8)})
	return m
}

// replaceAll replaces all upstreams of the first service one after another.
func (m *builder) replaceAll() {
	n := m.example.Services[0].UpstreamCount
	for i := range n {
		m.at(0.1+0.6*float64(i)/float64(n), Replace{m.desk, i + 1})
	}
	m.at(0.8, Edit{m.intake})
}

// changeJointly changes balancers and upstreams at the same time: flows of upstreams
// that were replaced must survive at balancers that started later.
func (m *builder) changeJointly() {
	m.at(0.2, Replace{m.desk, 1}).at(0.25, Replace{m.desk, 2}).at(0.3, Replace{m.intake, 1})
	m.at(0.4, Add{"b17", m.example.DataCentres[0]}).at(0.5, Retire{"b01"}).at(0.6, Add{"b18", m.example.DataCentres[1]})
}

// everything does all of it at once, as far as one deployment allows.
func (m *builder) everything() {
	m.at(0.1, Drain{m.desk, 1}).at(0.12, Edit{m.desk}).loseBalancer(0.15, "b01")
	m.at(0.3, Shed{m.desk, 3, 2}).at(0.3, Lie{m.desk, 4, true}).at(0.35, Replace{m.desk, 5})
	m.at(0.4, Restart{m.desk, 2}).flood(m.example.Services[1].Workloads[0].Class).flood(m.example.Services[0].Workloads[0].Class)
	m.at(0.5, Cut{m.example.DataCentres[:1]}).at(0.55, Edit{m.intake}).at(0.6, Replace{m.intake, 1})
	m.at(0.65, Heal{}).loseBalancer(0.7, "b06").at(0.9, Edit{m.desk})
	sortSteps(m.script.Steps)
}

// demo is short: an edit, a drain, a lost balancer and a flood.
func (m *builder) demo() {
	m.at(0.1, Edit{m.desk}).at(0.15, Drain{m.desk, 1}).loseBalancer(0.2, "b01").at(0.5, Retire{"b02"})
	m.script = m.script.WithFlood(Flood{Class: m.example.Services[0].Workloads[0].Class, Factor: FloodFactor, From: m.timeAt(0.65), To: m.timeAt(0.95)})
}
