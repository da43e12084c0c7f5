// Package script describes load runs: the named scenarios, their steps and the
// planned arrivals of work.
package script

import (
	"time"

	"egretdock/core/fault"
	"egretdock/io/emul/cases"
)

// Step is one operation on the deployment, such as an edit or a fault.
//
//sumtype:decl
type Step interface{ step() }

// Edit changes the first class of a service's template.
type Edit struct{ Service string }

// Drain makes an upstream refuse new flows until Undrain. Index counts the
// service's upstreams from 1, here and in the other steps.
type Drain struct {
	Service string
	Index   int
}

// Undrain lets a drained upstream accept new flows again.
type Undrain struct {
	Service string
	Index   int
}

// Replace adds an upstream in place of another one, which is removed from the
// configuration and drained.
type Replace struct {
	Service string
	Index   int
}

// Restart makes an upstream forget its flows.
type Restart struct {
	Service string
	Index   int
}

// Shed makes an upstream refuse one in OneOf of the requests that find no free
// slot. An OneOf of 0 ends the shedding.
type Shed struct {
	Service string
	Index   int
	OneOf   int
}

// Lie makes an upstream report that it is idle whatever its load, or ends that.
type Lie struct {
	Service string
	Index   int
	On      bool
}

// Kill stops a balancer abruptly, as a crash does.
type Kill struct{ Balancer string }

// Retire starts the graceful shutdown of a balancer.
type Retire struct{ Balancer string }

// Add starts a balancer in a data centre.
type Add struct{ Balancer, DataCentre string }

// Notice removes killed balancers from the host list and from the clients'
// lists of balancers.
type Notice struct{}

// Outage makes the platform stop answering, or ends that.
type Outage struct{ On bool }

// Race makes a number of operators edit the template of a service at the same
// time.
type Race struct {
	Service   string
	Operators int
}

// Cut partitions data centres from the others.
type Cut struct{ DataCentres []string }

// Heal ends the partition.
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

// Flood raises the arrival rate of one class for a time.
type Flood struct {
	Class string
	// Factor is the arrival rate as a multiple of the upstreams' capacity.
	Factor   float64
	From, To time.Duration
}

// Script is a sequence of steps and floods. It is immutable.
type Script struct {
	Name   string
	Length time.Duration
	// Steps are sorted by time.
	Steps []Timed
	// Floods hold at most one entry for each class.
	Floods []Flood
}

// WithFloodFactor returns a copy with the given factor for all floods.
func (s Script) WithFloodFactor(factor float64) Script {
	old := s.Floods
	s.Floods = nil
	for _, f := range old {
		f.Factor = factor
		s = s.WithFlood(f)
	}
	return s
}

// With returns a copy with a step appended.
func (s Script) With(at time.Duration, step Step) Script {
	s.Steps = append(s.Steps[:len(s.Steps):len(s.Steps)], Timed{At: at, Step: step})
	return s
}

// WithFlood returns a copy with a flood added.
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

// LossDetectionDelay is the time from the crash of a balancer to its removal
// from the host list and from the clients' lists of balancers.
const LossDetectionDelay = 3 * time.Second

// FloodFactor is the default arrival rate of a flood as a multiple of the
// upstreams' capacity. The processor time of the one machine that runs the whole
// fleet limits it.
const FloodFactor = 3

// Scenario returns the script of a named scenario. The length is at least 10 s.
// The times of the steps are fractions of it, so that a longer run does the same
// at a slower pace.
func Scenario(name string, c cases.Example, length time.Duration) (Script, error) {
	if length < 10*time.Second {
		return Script{}, fault.New(fault.KindInvalid, "run length "+length.String()+" is below the minimum", "run for at least 10s")
	}
	b := builder{example: c, requestService: c.Services[0].Template.Name, uploadService: c.Services[1].Template.Name, script: Script{Name: name, Length: length}}
	switch name {
	case "steady":
	case "drain":
		b.at(0.2, Drain{b.requestService, 1}).at(0.25, Drain{b.uploadService, 1})
	case "rolling_change":
		b.replaceAll()
	case "joint_change":
		b.changeJointly()
	case "balancer_loss":
		b.loseBalancer(0.2, "b01").loseBalancer(0.6, "b06").at(0.4, Retire{"b11"})
	case "flood_low":
		b.flood(c.Services[1].Workloads[0].Class)
	case "flood_high":
		b.flood(c.Services[0].Workloads[0].Class)
	case "partition":
		b.at(0.3, Cut{c.DataCentres[:1]}).at(0.4, Edit{b.requestService}).at(0.6, Heal{})
	case "platform_outage":
		b.at(0.1, Edit{b.requestService}).at(0.3, Outage{true}).loseBalancer(0.35, "b01").at(0.4, Drain{b.requestService, 1})
		b.at(0.75, Outage{false}).at(0.8, Edit{b.requestService})
	case "operators_race":
		b.at(0.3, Race{b.requestService, 5}).at(0.5, Race{b.uploadService, 5}).at(0.7, Edit{b.requestService})
	case "upstream_restart":
		b.at(0.3, Restart{b.requestService, 2}).at(0.5, Restart{b.uploadService, 2})
	case "shedding":
		b.at(0.3, Shed{b.requestService, 3, 2}).at(0.7, Shed{b.requestService, 3, 0})
	case "lying_load":
		b.at(0.3, Lie{b.requestService, 4, true}).at(0.7, Lie{b.requestService, 4, false})
	case "everything":
		b.everything()
	case "demo":
		b.demo()
	default:
		return Script{}, fault.New(fault.KindNotFound, "unknown scenario "+name, "list the names with: egretdock help load")
	}
	return b.script, nil
}

// builder builds the script of a scenario.
type builder struct {
	example cases.Example
	// The names of the example's first and second service.
	requestService, uploadService string

	script Script
}

// timeAt converts a fraction of the run length to a time.
func (b *builder) timeAt(fraction float64) time.Duration {
	return time.Duration(fraction * float64(b.script.Length))
}

func (b *builder) at(fraction float64, step Step) *builder {
	b.script = b.script.With(b.timeAt(fraction), step)
	return b
}

// loseBalancer kills a balancer and replaces it once its loss is detected.
func (b *builder) loseBalancer(fraction float64, name string) *builder {
	at := b.timeAt(fraction)
	b.script = b.script.With(at, Kill{name}).With(at+LossDetectionDelay, Notice{}).With(at+LossDetectionDelay, Add{name + "r", b.example.DataCentres[0]})
	return b
}

func (b *builder) flood(class string) *builder {
	b.script = b.script.WithFlood(Flood{Class: class, Factor: FloodFactor, From: b.timeAt(0.4), To: b.timeAt(0.8)})
	return b
}

// replaceAll replaces the upstreams of the first service one by one.
func (b *builder) replaceAll() {
	n := b.example.Services[0].UpstreamCount
	for i := range n {
		b.at(0.1+0.6*float64(i)/float64(n), Replace{b.requestService, i + 1})
	}
	b.at(0.8, Edit{b.uploadService})
}

// changeJointly changes balancers and upstreams in the same run: flows of
// replaced upstreams must survive on balancers that start later.
func (b *builder) changeJointly() {
	b.at(0.2, Replace{b.requestService, 1}).at(0.25, Replace{b.requestService, 2}).at(0.3, Replace{b.uploadService, 1})
	b.at(0.4, Add{"b17", b.example.DataCentres[0]}).at(0.5, Retire{"b01"}).at(0.6, Add{"b18", b.example.DataCentres[1]})
}

// everything combines the steps and floods of the other scenarios in one run,
// as far as one deployment allows.
func (b *builder) everything() {
	b.at(0.1, Drain{b.requestService, 1}).at(0.12, Edit{b.requestService}).loseBalancer(0.15, "b01")
	b.at(0.3, Shed{b.requestService, 3, 2}).at(0.3, Lie{b.requestService, 4, true}).at(0.35, Replace{b.requestService, 5})
	b.at(0.4, Restart{b.requestService, 2}).flood(b.example.Services[1].Workloads[0].Class).flood(b.example.Services[0].Workloads[0].Class)
	b.at(0.5, Cut{b.example.DataCentres[:1]}).at(0.55, Edit{b.uploadService}).at(0.6, Replace{b.uploadService, 1})
	b.at(0.65, Heal{}).loseBalancer(0.7, "b06").at(0.9, Edit{b.requestService})
	sortSteps(b.script.Steps)
}

// demo is a short run with an edit, a drain, a lost balancer, a graceful
// shutdown and a flood.
func (b *builder) demo() {
	b.at(0.1, Edit{b.requestService}).at(0.15, Drain{b.requestService, 1}).loseBalancer(0.2, "b01").at(0.5, Retire{"b02"})
	b.script = b.script.WithFlood(Flood{Class: b.example.Services[0].Workloads[0].Class, Factor: FloodFactor, From: b.timeAt(0.65), To: b.timeAt(0.95)})
}
