package config

import (
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"runtime"
	"slices"
	"strings"
	"testing"

	"github.com/tailscale/hujson"
)

// readSettingsPage returns the defaults in the table of docs/settings.md and the
// example below it.
func readSettingsPage(t *testing.T) (defaults map[string]string, example string) {
	t.Helper()
	b, err := os.ReadFile("../../docs/settings.md")
	if err != nil {
		t.Fatal(err)
	}
	page, _, _ := strings.Cut(string(b), "## Templates and parameters")
	table, rest, _ := strings.Cut(page, "```json\n")
	example, _, _ = strings.Cut(rest, "```")
	defaults = map[string]string{}
	for _, m := range regexp.MustCompile("(?m)^\\| `([a-z_.]+)` \\| [^|]+ \\| ([^|]+) \\|").FindAllStringSubmatch(table, -1) {
		defaults[m[1]] = m[2]
	}
	return defaults, example
}

// defaultsOfCode returns what the page must state for each setting.
func defaultsOfCode(prefix string, v reflect.Value) map[string]string {
	out := map[string]string{}
	for i := range v.NumField() {
		key, f := prefix+v.Type().Field(i).Tag.Get("json"), v.Field(i)
		switch def, ok := documentedText[key]; {
		case f.Type() == reflect.TypeFor[TableLimits]():
			maps.Copy(out, defaultsOfCode(key+".", f))
		case f.Type() == reflect.TypeFor[[]Seed]():
			out[key] = "none"
			maps.Copy(out, defaultsOfCode(key+".", reflect.ValueOf(Seed{})))
		case ok:
			out[key] = def
		case f.IsZero():
			out[key] = "required"
		default:
			out[key] = fmt.Sprint(f.Interface())
		}
	}
	return out
}

// documentedText holds what the page says of the settings whose default in the
// code is zero or depends on the host.
var documentedText = map[string]string{
	"fleet_key": "one of these two", "fleet_key_file": "one of these two",
	"workers": "number of processors, at most 8",
}

// Guards against a setting that is missing from the settings page, or whose
// default or requirement there differs from the code.
func TestSettingsPage(t *testing.T) {
	rows, example := readSettingsPage(t)
	t.Run("defaults", func(t *testing.T) {
		if want := defaultsOfCode("", reflect.ValueOf(DefaultSettings())); !maps.Equal(rows, want) {
			t.Errorf("the page states\n%v\nthe code has\n%v", rows, want)
		}
	})
	t.Run("workers", func(t *testing.T) {
		defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(0))
		for procs, want := range map[int]int{1: 1, 8: 8, 64: 8} {
			runtime.GOMAXPROCS(procs)
			if got := DefaultSettings().Workers; got != want {
				t.Errorf("%d workers with %d processors, want %d", got, procs, want)
			}
		}
	})
	file := filepath.Join(t.TempDir(), "settings.json")
	if err := os.WriteFile(filepath.Join(filepath.Dir(file), "fleet.key"), []byte("a key of 16 bytes or more"), 0o600); err != nil {
		t.Fatal(err)
	}
	s, err := ParseSettings(file, []byte(example))
	if err != nil {
		t.Fatalf("the example of the page: %v", err)
	}
	if v := reflect.ValueOf(s.Tables); s.Seeds == nil || v.Field(0).IsZero() || v.Field(1).IsZero() {
		t.Error("the example lacks a setting")
	}
	for _, key := range slices.Sorted(maps.Keys(rows)) {
		t.Run(key, func(t *testing.T) { assertParsesWithout(t, file, example, key, rows[key]) })
	}
}

// assertParsesWithout asserts that the example parses without a key exactly when
// the page states a default for it.
func assertParsesWithout(t *testing.T, file, example, key, def string) {
	t.Helper()
	std, err := hujson.Standardize([]byte(example))
	if err != nil {
		t.Fatal(err)
	}
	var doc map[string]any
	if err := json.Unmarshal(std, &doc); err != nil {
		t.Fatal(err)
	}
	at, last := doc, key
	if outer, inner, ok := strings.Cut(key, "."); ok {
		last = inner
		switch v := doc[outer].(type) {
		case map[string]any:
			at = v
		case []any:
			at = v[0].(map[string]any)
		}
	}
	if _, ok := at[last]; !ok {
		if key != "fleet_key" {
			t.Fatal("the example lacks the key")
		}
		return
	}
	delete(at, last)
	src, err := json.Marshal(doc)
	if err != nil {
		t.Fatal(err)
	}
	needed := def == "required" || key == "fleet_key_file"
	if _, err := ParseSettings(file, src); (err != nil) != needed {
		t.Errorf("without it: %v, though the page states default %q", err, def)
	}
}
