package admin

import (
	"fmt"
	"io"
	"maps"
	"math"
	"slices"
	"strings"
	"unicode"

	"github.com/rcrowley/go-metrics"

	"egretdock/io/logs"
)

// fieldNames maps field names of go-metrics to names in snake case.
var fieldNames = map[string]string{
	"1m.rate":   "rate_1m",
	"5m.rate":   "rate_5m",
	"15m.rate":  "rate_15m",
	"mean.rate": "rate_mean",
	"75%":       "p75",
	"95%":       "p95",
	"99%":       "p99",
	"99.9%":     "p99_9",
}

// collect returns the fields of all metrics with names in snake case. Names that
// become equal get a numeric suffix.
func collect(r metrics.Registry) map[string]map[string]any {
	all := r.GetAll()
	out := make(map[string]map[string]any, len(all))
	for _, name := range slices.Sorted(maps.Keys(all)) {
		fields := make(map[string]any, len(all[name]))
		for k, v := range all[name] {
			if n, ok := fieldNames[k]; ok {
				k = n
			}
			fields[k] = finiteOrNil(v)
		}
		key := snakeCase(name)
		for i := 2; out[key] != nil; i++ {
			key = fmt.Sprintf("%s_%d", snakeCase(name), i)
		}
		out[key] = fields
	}
	return out
}

// writeText writes one line of key=value pairs for each metric.
func writeText(w io.Writer, all map[string]map[string]any) error {
	for _, name := range slices.Sorted(maps.Keys(all)) {
		var b strings.Builder
		b.WriteString(logs.Field{Key: "metric", Value: name}.String())
		for _, k := range slices.Sorted(maps.Keys(all[name])) {
			v := ""
			if x := all[name][k]; x != nil {
				v = fmt.Sprint(x)
			}
			b.WriteString(" " + logs.Field{Key: k, Value: v}.String())
		}
		if _, err := fmt.Fprintln(w, b.String()); err != nil {
			return err
		}
	}
	return nil
}

// finiteOrNil replaces NaN and infinities by nil: JSON cannot represent them,
// and encoding the whole page would fail.
func finiteOrNil(v any) any {
	if f, ok := v.(float64); ok && (math.IsNaN(f) || math.IsInf(f, 0)) {
		return nil
	}
	return v
}

// snakeCase converts openFlows, OpenFlows, open-flows and open.flows to
// open_flows.
func snakeCase(name string) string {
	var b strings.Builder
	rs := []rune(name)
	for i, r := range rs {
		if !unicode.IsLetter(r) && !unicode.IsDigit(r) {
			b.WriteByte('_')
			continue
		}
		afterLower := i > 0 && (unicode.IsLower(rs[i-1]) || unicode.IsDigit(rs[i-1]))
		endsAcronym := i > 0 && unicode.IsUpper(rs[i-1]) && i+1 < len(rs) && unicode.IsLower(rs[i+1])
		if unicode.IsUpper(r) && (afterLower || endsAcronym) {
			b.WriteByte('_')
		}
		b.WriteRune(unicode.ToLower(r))
	}
	return b.String()
}
