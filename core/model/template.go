package model

import "slices"

// Template describes a service once for all customers. It is immutable.
type Template struct {
	// Name is the service name and is unique in a configuration.
	Name string
	// Classes are sorted by port and never modified in place.
	Classes []Class
}

// Class returns the class that serves the given port.
func (t Template) Class(port uint16) (Class, bool) {
	for _, c := range t.Classes {
		if c.Port == port {
			return c, true
		}
	}
	return Class{}, false
}

// WithClass returns a copy of the template in which c is added or replaces
// the class of the same name.
func (t Template) WithClass(c Class) Template {
	kept := make([]Class, 0, len(t.Classes)+1)
	for _, old := range t.Classes {
		if old.Name != c.Name {
			kept = append(kept, old)
		}
	}
	kept = append(kept, c)
	slices.SortFunc(kept, func(a, b Class) int { return int(a.Port) - int(b.Port) })
	t.Classes = kept
	return t
}
