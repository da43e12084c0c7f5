package rules

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"

	"github.com/go-faster/errors"
	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"egretdock/core/fault"
	"egretdock/core/model"
)

func template(name string, port uint16) model.Template {
	return model.Template{Name: name}.
		WithClass(model.Class{Name: "feeds", Port: port, Kind: model.KindFeed, Priority: 5}).
		WithClass(model.Class{Name: "orders", Port: port + 1, Priority: 7, MinShare: 0.5})
}

func params(customer, template string, host byte, upstreams ...byte) model.Params {
	p := model.Params{Customer: customer, Template: template, Address: netip.AddrFrom4([4]byte{10, 0, 0, host})}
	for _, n := range upstreams {
		a := netip.AddrFrom4([4]byte{10, 1, 0, n})
		p = p.WithUpstream(model.Upstream{
			Name: fmt.Sprintf("u%d", n), DataCentre: "east",
			Endpoint: netip.AddrPortFrom(a, 9000), Health: netip.AddrPortFrom(a, 9001),
		})
	}
	return p
}

// changeLog accepts edits one after another.
type changeLog struct {
	t    *testing.T
	cfg  model.Config
	acks Acks
}

func (l *changeLog) tryEdit(base uint64, b Body) error {
	l.t.Helper()
	c, next, err := Accept(l.cfg, Change{ID: fmt.Sprintf("e%d", l.cfg.Revision+1), Author: "ada", Base: base, Body: b}, l.acks)
	if err != nil {
		return err
	}
	replayed, err := Replay(l.cfg, c)
	if err != nil || !cmp.Equal(replayed.Parts(), next.Parts(), opts) {
		l.t.Fatalf("replay of %s differs: %v", c.Kind(), err)
	}
	l.cfg = next
	return nil
}

func (l *changeLog) mustAccept(bodies ...Body) {
	l.t.Helper()
	for _, b := range bodies {
		if err := l.tryEdit(l.cfg.Revision, b); err != nil {
			l.t.Fatalf("edit refused: %v", err)
		}
	}
}

// assertRefused checks that the edit is refused with a violation of want's type
// and that the error names a remedy.
func (l *changeLog) assertRefused(want Violation, base uint64, b Body) *Error {
	l.t.Helper()
	err := l.tryEdit(base, b)
	var e *Error
	if !errors.As(err, &e) {
		l.t.Fatalf("got %v, want %T", err, want)
	}
	if got := fmt.Sprintf("%T", e.Violation); got != fmt.Sprintf("%T", want) {
		l.t.Fatalf("got %s (%v), want %T", got, err, want)
	}
	if e.Fault().Remedy == "" {
		l.t.Errorf("%T names no remedy", want)
	}
	return e
}

var opts = cmpopts.EquateComparable(netip.Addr{}, netip.AddrPort{})

func newChangeLog(t *testing.T) *changeLog {
	l := &changeLog{t: t}
	l.mustAccept(&PutTemplate{template("desk", 100)}, &PutTemplate{template("intake", 200)},
		&PutParams{params("ann", "desk", 1, 1, 2)}, &PutParams{params("bob", "desk", 2, 1, 2)},
		&PutParams{params("cid", "intake", 3, 7)})
	return l
}

// Guards against a configuration that misroutes, over-commits or cannot be
// served: each bad edit is refused by the rule that it breaks.
func TestRefusedEdits(t *testing.T) {
	share := template("desk", 100).WithClass(model.Class{Name: "bulk", Port: 102, MinShare: 0.6})
	negative := params("ann", "desk", 1, 1)
	negative.Limits.NewFlowsPerSecond = -1
	other := params("bob", "desk", 2, 1, 2)
	other.Upstreams[0].Endpoint = netip.MustParseAddrPort("10.1.0.9:9000")
	twice := template("desk", 100)
	twice.Classes = append(twice.Classes, model.Class{Name: "more", Port: 100})
	loop := params("dan", "desk", 4)
	loop.Upstreams = params("", "", 0, 5).Upstreams
	loop.Upstreams[0].Endpoint = netip.MustParseAddrPort("10.0.0.3:201")
	for _, tc := range []struct {
		name string
		want Violation
		path string
		body Body
	}{
		{"unknown template", UnknownTemplate{}, "/template", &PutParams{params("dan", "nope", 4, 5)}},
		{"address in use", AddressUsed{}, "/address", &PutParams{params("dan", "desk", 1, 5)}},
		{"endpoint of another service", EndpointUsed{}, "/upstreams/1/endpoint", &PutParams{params("dan", "desk", 4, 5, 7)}},
		{"endpoint is a service address", EndpointUsed{}, "/upstreams/0/endpoint", &PutParams{loop}},
		{"one name, two endpoints", NameUsed{}, "/upstreams/0/name", &PutParams{other}},
		{"no upstreams", NoUpstreams{}, "/upstreams", &PutParams{params("dan", "desk", 4)}},
		{"port twice", Duplicate{}, "/classes/2/port", &PutTemplate{twice}},
		{"shares above 1", ShareSum{}, "/classes", &PutTemplate{share}},
		{"override of unknown class", InvalidValue{}, "/priority/x", &PutParams{params("ann", "desk", 1, 1).WithPriority("x", 1)}},
		{"override reverses order", PriorityConflict{}, "/priority", &PutParams{params("ann", "desk", 1, 1).WithPriority("feeds", 9)}},
		{"negative limit", InvalidValue{}, "/limits/new_flows_per_second", &PutParams{negative}},
		{"template moved", TemplateMoved{}, "/template", &PutParams{params("ann", "intake", 1, 8)}},
		{"template in use", TemplateInUse{}, "", &Delete{model.Object{Kind: model.ObjectTemplate, Name: "desk"}}},
		{"deletion of an unknown object", UnknownObject{}, "", &Delete{model.Object{Kind: model.ObjectCustomer, Name: "zoe"}}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			l := newChangeLog(t)
			if e := l.assertRefused(tc.want, l.cfg.Revision, tc.body); e.Path != tc.path {
				t.Errorf("path %q, want %q", e.Path, tc.path)
			}
		})
	}
}

// Guards against lost updates: an operator who has not seen the last edit of
// an object is shown both edits and the revision to merge with.
func TestBaseConflict(t *testing.T) {
	l := newChangeLog(t)
	seen := l.cfg.Revision
	l.mustAccept(&PutParams{params("ann", "desk", 1, 1, 2).WithWeight(2)})
	e := l.assertRefused(BaseConflict{}, seen, &PutParams{params("ann", "desk", 1, 1, 2).WithWeight(3)})
	for _, want := range []string{"weight 1 -> 2", "weight 2 -> 3", "e6", "e7", "-base 6"} {
		if !strings.Contains(e.Error(), want) {
			t.Errorf("%q lacks %q", e, want)
		}
	}
	if err := l.tryEdit(seen, &PutParams{params("bob", "desk", 2, 1)}); err != nil {
		t.Errorf("edit of another object: %v", err)
	}
}

// Guards against a back-out that does not restore the earlier state or that
// undoes a later edit.
func TestBackOut(t *testing.T) {
	ann := model.Object{Kind: model.ObjectCustomer, Name: "ann"}
	content := func(c model.Config) model.Parts {
		p := c.Parts()
		return model.Parts{Templates: p.Templates, Params: p.Params, Released: p.Released}
	}
	for _, tc := range []struct {
		name string
		edit Body
	}{
		{"replaced", &PutParams{params("ann", "desk", 1, 1, 3).WithPriority("feeds", 1)}},
		{"deleted", &Delete{ann}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			l := newChangeLog(t)
			l.acks = Acks{{Balancer: "b1", Revision: 99}}
			before := content(l.cfg)
			l.mustAccept(tc.edit, &BackOut{Undo: 6, Object: ann})
			after := content(l.cfg)
			for a := range after.Released {
				if a.Addr() != netip.MustParseAddr("10.1.0.3") {
					t.Errorf("release of %v remains", a)
				}
			}
			before.Released, after.Released = nil, nil
			if d := cmp.Diff(before, after, opts); d != "" {
				t.Errorf("state after back-out:\n%s", d)
			}
		})
	}
	t.Run("later edit", func(t *testing.T) {
		l := newChangeLog(t)
		l.mustAccept(&PutParams{params("ann", "desk", 1, 1).WithWeight(2)}, &PutParams{params("ann", "desk", 1, 1).WithWeight(3)})
		l.assertRefused(Superseded{}, l.cfg.Revision, &BackOut{Undo: 6, Object: ann})
	})
}

// Guards against misrouting by a balancer that still uses an older revision.
func TestQuarantine(t *testing.T) {
	moved := func(t *testing.T) *changeLog {
		l := newChangeLog(t)
		l.acks = Acks{{"b1", "east", 9}, {"b2", "west", 5}}
		l.mustAccept(&Delete{model.Object{Kind: model.ObjectCustomer, Name: "cid"}})
		return l
	}
	for _, tc := range []struct {
		name string
		body Body
	}{
		{"endpoint", &PutParams{params("dan", "desk", 4, 7)}},
		{"address", &PutParams{params("dan", "desk", 3, 8)}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			l := moved(t)
			e := l.assertRefused(InQuarantine{}, 6, tc.body)
			if fault.KindOf(e) != fault.KindQuarantined || !strings.Contains(e.Error(), "b2 (west, revision 5)") || strings.Contains(e.Error(), "b1") {
				t.Errorf("error %v of kind %v", e, fault.KindOf(e))
			}
			l.acks[1].Revision = 6
			l.mustAccept(tc.body)
			if n := len(l.cfg.Releases()); n != 0 {
				t.Errorf("%d release records left after all balancers confirmed", n)
			}
		})
	}
	t.Run("back to its holder", func(t *testing.T) {
		l := moved(t)
		l.mustAccept(&PutParams{params("cid", "intake", 3, 7)})
		if n := len(l.cfg.Releases()); n != 0 {
			t.Errorf("%d release records left", n)
		}
	})
	t.Run("several holders", func(t *testing.T) {
		l := newChangeLog(t)
		l.acks = Acks{{"b1", "east", 5}}
		l.mustAccept(&PutParams{params("ann", "desk", 1, 2)}, &PutParams{params("bob", "desk", 2, 2)})
		l.assertRefused(InQuarantine{}, 7, &PutParams{params("bob", "desk", 2, 1, 2)})
	})
}

// Guards against a balancer that stops following the log because its version
// has stricter rules than the one that accepted an edit.
func TestReplayOfLooserRules(t *testing.T) {
	l := newChangeLog(t)
	c := Change{Revision: 6, Body: &PutParams{params("ann", "desk", 1).WithWeight(-1)}}
	if _, err := Apply(l.cfg, c); err == nil {
		t.Error("Apply accepts a customer without upstreams")
	}
	next, err := Replay(l.cfg, c)
	if p, _ := next.Params("ann"); err != nil || p.Weight != -1 {
		t.Errorf("weight %v, %v", p.Weight, err)
	}
}

// BenchmarkApply edits one customer among 1,200 with 7,100 upstreams.
func BenchmarkApply(b *testing.B) {
	p := model.Parts{Templates: []model.Template{template("desk", 100)}}
	for i := range 1200 {
		v := params(fmt.Sprintf("c%d", i), "desk", 0)
		v.Address = netip.AddrFrom4([4]byte{10, 2, byte(i >> 8), byte(i)})
		for j := range 6 {
			n := i*6 + j
			a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(n >> 8), byte(n)}), 9000)
			v = v.WithUpstream(model.Upstream{Name: fmt.Sprintf("u%d", n), DataCentre: "east", Endpoint: a, Health: a})
		}
		p.Params = append(p.Params, v)
	}
	cfg := model.NewConfig(p)
	v, _ := cfg.Params("c7")
	c := Change{Revision: 1, Body: &PutParams{v.WithWeight(2)}}
	for name, run := range map[string]func(model.Config, Change) (model.Config, error){"apply": Apply, "replay": Replay} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				if _, err := run(cfg, c); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
