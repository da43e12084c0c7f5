package rules

import (
	"fmt"
	"maps"
	"slices"

	"egretdock/core/model"
)

// Describe lists the differences between two contents of one object, one
// phrase each; nil stands for absent.
func Describe(before, after model.Content) []string {
	if before == nil && after == nil {
		return []string{"absent"}
	}
	if after == nil {
		return []string{"deleted"}
	}
	if before == nil {
		return []string{"created"}
	}
	a, b := fields(before), fields(after)
	var out []string
	for _, k := range slices.Sorted(maps.Keys(a)) {
		switch v, ok := b[k]; {
		case !ok:
			out = append(out, fmt.Sprintf("%s removed (%s)", k, a[k]))
		case v != a[k]:
			out = append(out, fmt.Sprintf("%s %s -> %s", k, a[k], v))
		}
	}
	for _, k := range slices.Sorted(maps.Keys(b)) {
		if _, ok := a[k]; !ok {
			out = append(out, fmt.Sprintf("%s added (%s)", k, b[k]))
		}
	}
	return out
}

// fields returns the values of a content as text, by field name.
func fields(c model.Content) map[string]string {
	out := map[string]string{}
	switch v := c.(type) {
	case model.Template:
		for _, c := range v.Classes {
			out["class "+c.Name] = fmt.Sprintf("port %d, %s, priority %d, min_share %g, idempotent %t, queue_limit %d",
				c.Port, c.Kind, c.Priority, c.MinShare, c.Idempotent, c.EffectiveQueueLimit())
		}
	case model.Params:
		out["template"], out["address"], out["weight"] = v.Template, v.Address.String(), fmt.Sprint(v.EffectiveWeight())
		out["limits"] = fmt.Sprintf("open_flows %d, new_flows_per_second %g, bytes_per_second %g",
			v.Limits.OpenFlows, v.Limits.NewFlowsPerSecond, v.Limits.BytesPerSecond)
		for class, n := range v.Priority {
			out["priority of "+class] = fmt.Sprint(n)
		}
		for _, u := range v.Upstreams {
			out["upstream "+u.Name] = fmt.Sprintf("%s in %s, health %s", u.Endpoint, u.DataCentre, u.Health)
		}
	}
	return out
}
