package config

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"reflect"
	"runtime"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"egretdock/core/fault"
	"egretdock/core/model"
	"egretdock/core/rules"
)

const goodFile = `// One service and one customer.
{
  "templates": [{"name": "desk", "classes": [
    {"name": "feeds", "port": 100, "kind": "feed", "priority": 5},
    {"name": "orders", "port": 101, "kind": "request", "priority": 7, "min_share": 0.5},
  ]}],
  "customers": [{
    "customer": "ann", "template": "desk", "address": "10.0.0.1",
    "upstreams": [{"name": "u1", "data_centre": "east", "endpoint": "10.1.0.1:9000", "health": "10.1.0.1:9001"}],
    "priority": {"orders": 9},
  }],
}`

const goodSettings = `{
  "name": "b1", "data_centre": "east",
  "client_listen": ["10.0.0.1:4000"], "upstream_listen": "10.0.0.1:4001", "peer_listen": "10.0.0.1:4002",
  "fetch_listen": "10.0.0.1:4003", "admin_listen": "10.0.0.1:4004",
  "platform": ["http://10.0.0.9:7070"],
  "fleet_key": "correct horse battery staple",
}`

// assertInvalid asserts that the error names the position, the problem and a
// remedy.
func assertInvalid(t *testing.T, err error, position, text string) {
	t.Helper()
	if fault.KindOf(err) != fault.KindInvalid {
		t.Fatalf("got %v, want an invalid input", err)
	}
	if !strings.HasPrefix(err.Error(), position+": ") || !strings.Contains(err.Error(), text) || !strings.Contains(err.Error(), "; ") {
		t.Errorf("got %q, want %q at %s and a remedy", err, text, position)
	}
}

// positionOfText returns file:line:column of the first occurrence of fragment.
func positionOfText(file, src, fragment string) string {
	lines := strings.Split(src[:strings.Index(src, fragment)], "\n")
	return fmt.Sprintf("%s:%d:%d", file, len(lines), len(lines[len(lines)-1])+1)
}

// Guards against a file with a mistake that is accepted, or whose error does not
// give the position of the mistake.
func TestBadFiles(t *testing.T) {
	for _, tc := range []struct{ name, old, new, fragment, text string }{
		{"syntax", `"kind": "feed"`, `"kind" "feed"`, `"feed"`, "invalid character"},
		{"unknown key", `"min_share"`, `"minshare"`, `"minshare"`, `unknown key "minshare"; use one of name, port`},
		{"key twice", `"kind": "feed"`, `"port": 1`, `"port": 1,`, `key "port" occurs twice`},
		{"wrong type", `"port": 100`, `"port": "x"`, `"x"`, `"x" is not a whole number that fits uint16`},
		{"out of range", `"port": 100`, `"port": 70000`, `70000`, "70000 is not a whole number"},
		{"null", `"port": 100`, `"port": null`, `null`, "a whole number that fits uint16 is expected"},
		{"unknown kind", `"feed"`, `"fed"`, `"fed"`, "request, feed or upload"},
		{"bad address", `"10.0.0.1"`, `"10.0.0"`, `"10.0.0"`, "IP address"},
		{"not a list", `"upstreams": [{"name": "u1", "data_centre": "east", "endpoint": "10.1.0.1:9000", "health": "10.1.0.1:9001"}]`, `"upstreams": {"a": 1}`, `{"a"`, "a list is expected"},
		{"same port", `101`, `100`, `100, "kind": "request"`, "port 100 occurs twice"},
		{"shares", `0.5`, `1.5`, `1.5`, "share from 0 to 1"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			src := strings.Replace(goodFile, tc.old, tc.new, 1)
			_, err := ParseFile("f", []byte(src))
			assertInvalid(t, err, positionOfText("f", src, tc.fragment), tc.text)
		})
	}
	t.Run("repeated object", func(t *testing.T) {
		f := filepath.Join(t.TempDir(), "f")
		if err := os.WriteFile(f, []byte(goodFile), 0o600); err != nil {
			t.Fatal(err)
		}
		_, err := ReadFiles([]string{f, f})
		assertInvalid(t, err, f+":3:17", "template desk is also at "+f+":3:17")
	})
}

// Guards against a balancer that starts with settings that can't work or that
// expose the admin or peer socket to clients.
func TestBadSettings(t *testing.T) {
	if s, err := ParseSettings("s", []byte(goodSettings)); err != nil || s.Tables != DefaultSettings().Tables {
		t.Fatalf("good settings: %+v, %v", s, err)
	}
	for _, tc := range []struct{ name, old, new, fragment, text string }{
		{"admin on client address", "4004", "4000", `"10.0.0.1:4000",`, "admin_listen: 10.0.0.1:4000 coincides"},
		{"peers on client address", "4002", "4000", `"10.0.0.1:4000",`, "peer_listen: 10.0.0.1:4000 coincides"},
		{"wildcard covers client address", "10.0.0.1:4004", "0.0.0.0:4000", `"0.0.0.0`, "coincides"},
		{"second client address", `"10.0.0.1:4000"`, `"10.0.0.1:4000", "10.0.0.1:4009"`, `["10.0.0.1:4000"`, "exactly one address"},
		{"unspecified peer address", "10.0.0.1:4002", "0.0.0.0:4002", `"0.0.0.0`, "peer_listen: one address of this host"},
		{"seed without fetch address", `"name"`, `"seeds": [{"peer": "10.0.0.2:4002"}], "name"`, `{"peer"`, "peer and fetch"},
		{"short key", "correct horse battery staple", "hunter2", `"hunter2"`, "at least 16 bytes"},
		{"no platform", `["http://10.0.0.9:7070"]`, "[]", "[],", "base URL"},
		{"no name", `"name": "b1", `, "", "{", "name"},
		{"key not text", `"correct horse battery staple"`, `77665544`, "77665544", "not text"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			src := strings.Replace(goodSettings, tc.old, tc.new, 1)
			_, err := ParseSettings("s", []byte(src))
			assertInvalid(t, err, positionOfText("s", src, tc.fragment), tc.text)
			if strings.Contains(err.Error(), "hunter2") || strings.Contains(err.Error(), "77665544") {
				t.Errorf("the error shows the key: %v", err)
			}
		})
	}
}

// Guards against a service address that reaches the admin or peer socket.
func TestCheckServiceAddresses(t *testing.T) {
	s, err := ParseSettings("s", []byte(strings.Replace(goodSettings, "10.0.0.1:4004", "0.0.0.0:101", 1)))
	if err != nil {
		t.Fatal(err)
	}
	objects, err := ParseFile("f", []byte(goodFile))
	if err != nil {
		t.Fatal(err)
	}
	cfg := model.Config{}.WithTemplate(objects[0].Content.(model.Template))
	if err := s.CheckServiceAddresses(cfg); err != nil {
		t.Errorf("no customer: %v", err)
	}
	err = s.CheckServiceAddresses(cfg.WithParams(objects[1].Content.(model.Params)))
	if fault.KindOf(err) != fault.KindInvalid || !strings.Contains(err.Error(), "orders of customer ann at 10.0.0.1:101 coincides with 0.0.0.0:101") {
		t.Errorf("got %v", err)
	}
}

// Guards against a fleet key that appears in logs or on status pages.
func TestKeyHidden(t *testing.T) {
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, "key"), []byte("a secret of the fleet\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	src := strings.Replace(goodSettings, `"fleet_key": "correct horse battery staple"`, `"fleet_key_file": "key"`, 1)
	s, err := ParseSettings(filepath.Join(dir, "s"), []byte(src))
	if err != nil || string(s.FleetKey.Bytes()) != "a secret of the fleet" {
		t.Fatalf("key from file: %q, %v", s.FleetKey.Bytes(), err)
	}
	text, err := json.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	for _, out := range []string{fmt.Sprint(s), fmt.Sprintf("%+v %#v %x %q", s, s, s.FleetKey, s.FleetKey), string(text)} {
		if strings.Contains(out, "a secret") || strings.Contains(out, "612073656372") {
			t.Errorf("the key appears in %s", out)
		}
	}
}

var compareOptions = cmp.Options{cmpopts.EquateComparable(netip.Addr{}, netip.AddrPort{}), cmpopts.EquateEmpty()}

// targetConfig returns a configuration of the size expected in two years, in
// which every customer has been edited once. Customers share pools of 15
// upstreams.
func targetConfig() model.Config {
	p := model.Parts{Revision: 9400, Released: map[netip.AddrPort]model.Release{}}
	desk := model.Template{Name: "order_desk"}.
		WithClass(model.Class{Name: "feeds", Port: 100, Kind: model.KindFeed, Priority: 5}).
		WithClass(model.Class{Name: "orders", Port: 101, Priority: 7, MinShare: 0.5})
	p.Templates = []model.Template{desk}
	for i := range 1200 {
		v := model.Params{
			Customer: fmt.Sprintf("customer_%d", i), Template: desk.Name,
			Address: netip.AddrFrom4([4]byte{10, 200, byte(i >> 8), byte(i)}), Limits: model.Limits{OpenFlows: 40000},
		}
		for j := range 15 {
			n := (i*15 + j) % 7100
			a := netip.AddrFrom4([4]byte{10, 1, byte(n >> 8), byte(n)})
			v = v.WithUpstream(model.Upstream{
				Name: fmt.Sprintf("order_desk_%d", n), DataCentre: fmt.Sprintf("dc%d", n%14),
				Endpoint: netip.AddrPortFrom(a, 9000), Health: netip.AddrPortFrom(a, 9001),
			})
		}
		p.Params = append(p.Params, v)
		p.Edits = append(p.Edits, model.Edit{
			Object: model.ObjectOf(v), Revision: uint64(8000 + i), ID: fmt.Sprintf("%032x", uint64(i)*0x9e3779b97f4a7c15),
			Author: "ada", Before: v.WithWeight(2),
		})
		p.Released[netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 9, byte(i >> 8), byte(i)}), 9000)] = model.Release{Holder: "order_desk/x", Revision: 9000}
	}
	return model.NewConfig(p)
}

// Guards against a snapshot that loses state or exceeds the platform's limit
// on values.
func TestSnapshot(t *testing.T) {
	cfg := targetConfig()
	b, err := EncodeSnapshot(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("snapshot of 1,200 customers and 7,100 upstreams: %d bytes", len(b))
	if len(b) > 1e6 {
		t.Errorf("snapshot has %d bytes", len(b))
	}
	decoded, err := DecodeSnapshot(b)
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(cfg.Parts(), decoded.Parts()) {
		t.Error("the configuration differs after decoding")
	}
}

func sampleChanges(t testing.TB) []rules.Change {
	objects, err := ParseFile("f", []byte(goodFile))
	if err != nil {
		t.Fatal(err)
	}
	o := objects[1].Object()
	out := []rules.Change{{Body: objects[0].Body()}, {Body: objects[1].Body()}, {Body: &rules.Delete{Object: o}}, {Body: &rules.BackOut{Object: o, Undo: 3}}}
	for i := range out {
		out[i].Revision, out[i].ID, out[i].Author, out[i].Base, out[i].Confirmed = uint64(i+1), "id", "ada", 1, 2
	}
	return out
}

// Guards against a change that differs after encoding and decoding, and against
// a decoder that ignores unknown fields.
func TestChange(t *testing.T) {
	for _, c := range sampleChanges(t) {
		t.Run(c.Kind(), func(t *testing.T) {
			b, err := EncodeChange(c)
			if err != nil {
				t.Fatal(err)
			}
			decoded, err := DecodeChange(b)
			if d := cmp.Diff(c, decoded, compareOptions); err != nil || d != "" {
				t.Errorf("%v\n%s", err, d)
			}
			later := strings.Replace(string(b), `"base"`, `"later_field":1,"base"`, 1)
			if _, err := DecodeChange([]byte(later)); fault.KindOf(err) != fault.KindInvalid {
				t.Errorf("unknown field: %v", err)
			}
		})
	}
}

// Guards against a parser that panics on arbitrary files, and against objects
// that differ after formatting and parsing.
func FuzzFile(f *testing.F) {
	f.Add([]byte(goodFile))
	f.Add([]byte(`{"templates":[{"name":null}],/*`))
	f.Fuzz(func(t *testing.T, src []byte) {
		objects, err := ParseFile("f", src)
		if err != nil {
			return
		}
		var contents []model.Content
		for _, o := range objects {
			contents = append(contents, o.Content)
		}
		out, err := FormatFile(contents...)
		if err != nil {
			t.Fatal(err)
		}
		again, err := ParseFile("f", out)
		if err != nil || len(again) != len(objects) {
			t.Fatalf("%v after formatting %s", err, out)
		}
		for i := range objects {
			if d := cmp.Diff(objects[i].Content, again[i].Content, compareOptions); d != "" {
				t.Error(d)
			}
		}
	})
}

// Guards against a decoder that panics on arbitrary bytes from a peer, and
// against changes that differ after encoding and decoding.
func FuzzChange(f *testing.F) {
	for _, c := range sampleChanges(f) {
		b, err := EncodeChange(c)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, src []byte) {
		c, err := DecodeChange(src)
		if err != nil {
			return
		}
		b, err := EncodeChange(c)
		if err != nil {
			t.Fatal(err)
		}
		if again, err := DecodeChange(b); err != nil || !cmp.Equal(c, again, compareOptions) {
			t.Fatalf("%v after encoding %s", err, b)
		}
	})
}

// BenchmarkSnapshot encodes and decodes at target size, and reports the memory
// that the decoded configuration holds.
func BenchmarkSnapshot(b *testing.B) {
	src, err := EncodeSnapshot(targetConfig())
	if err != nil {
		b.Fatal(err)
	}
	b.Run("encode", func(b *testing.B) {
		cfg := targetConfig()
		for b.Loop() {
			if _, err := EncodeSnapshot(cfg); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("decode", func(b *testing.B) {
		var cfg model.Config
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		for b.Loop() {
			if cfg, err = DecodeSnapshot(src); err != nil {
				b.Fatal(err)
			}
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc)-float64(before.HeapAlloc), "heap-B")
		runtime.KeepAlive(cfg)
	})
}
