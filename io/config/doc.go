// Package config reads settings, template and parameter files (JSON with
// comments) and encodes changes and snapshots. Keys are in snake case, and
// unknown keys are refused, so that a misspelt key can't go unnoticed.
package config

import (
	"encoding"
	"encoding/json"
	"fmt"
	"reflect"
	"regexp"
	"slices"
	"strings"

	"github.com/go-faster/errors"
	"github.com/tailscale/hujson"

	"egretdock/core/fault"
)

// maxFile bounds a file, so that a wrong path does not fill the memory.
const maxFile = 16 << 20

// document is a parsed file that knows the place of each value.
type document struct {
	name string
	src  []byte
	root hujson.Value
}

func parse(name string, src []byte) (document, error) {
	if len(src) > maxFile {
		return document{}, fault.New(fault.KindInvalid, fmt.Sprintf("%s has %d bytes, above %d", name, len(src), maxFile), "split the file")
	}
	root, err := hujson.Parse(src)
	if err != nil {
		return document{}, syntax(name, err)
	}
	return document{name: name, src: src, root: root}, nil
}

var syntaxPlace = regexp.MustCompile(`^hujson: line (\d+), column (\d+): `)

func syntax(name string, err error) error {
	place, text := name, err.Error()
	if m := syntaxPlace.FindStringSubmatch(text); m != nil {
		place, text = fmt.Sprintf("%s:%s:%s", name, m[1], m[2]), text[len(m[0]):]
	}
	return fault.New(fault.KindInvalid, place+": "+text, "correct the JSON; comments and trailing commas are allowed")
}

// offset returns file:line:column of a byte offset.
func (d document) offset(n int) string {
	line := strings.Count(string(d.src[:n]), "\n")
	return fmt.Sprintf("%s:%d:%d", d.name, line+1, n-strings.LastIndexByte(string(d.src[:n]), '\n'))
}

// at returns file:line:column of the value at a JSON pointer, or of its
// closest parent in the file.
func (d document) at(path string) string {
	for {
		if v := d.root.Find(path); v != nil {
			return d.offset(v.StartOffset)
		}
		i := strings.LastIndexByte(path, '/')
		if i < 0 {
			return d.name
		}
		path = path[:i]
	}
}

func (d document) fail(v *hujson.Value, remedy, format string, args ...any) error {
	return fault.New(fault.KindInvalid, d.offset(v.StartOffset)+": "+fmt.Sprintf(format, args...), remedy)
}

// decode fills dst, a pointer, and refuses unknown and repeated keys.
func (d document) decode(dst any) error { return d.value(&d.root, reflect.ValueOf(dst).Elem()) }

func (d document) value(v *hujson.Value, dst reflect.Value) error {
	_, text := dst.Addr().Interface().(encoding.TextUnmarshaler)
	switch {
	case text:
		return d.leaf(v, dst)
	case dst.Kind() == reflect.Struct:
		return d.object(v, dst)
	case dst.Kind() == reflect.Map:
		return d.mapping(v, dst)
	case dst.Kind() == reflect.Slice:
		return d.array(v, dst)
	default:
		return d.leaf(v, dst)
	}
}

func (d document) object(v *hujson.Value, dst reflect.Value) error {
	fields := map[string]reflect.Value{}
	var known []string
	for i := range dst.NumField() {
		name, _, _ := strings.Cut(dst.Type().Field(i).Tag.Get("json"), ",")
		if name != "" && name != "-" {
			fields[name] = dst.Field(i)
			known = append(known, name)
		}
	}
	return d.members(v, func(key string, m *hujson.ObjectMember) error {
		f, ok := fields[key]
		if !ok {
			return d.fail(&m.Name, "use one of "+strings.Join(known, ", "), "unknown key %q", key)
		}
		return d.value(&m.Value, f)
	})
}

func (d document) mapping(v *hujson.Value, dst reflect.Value) error {
	dst.Set(reflect.MakeMap(dst.Type()))
	return d.members(v, func(key string, m *hujson.ObjectMember) error {
		e := reflect.New(dst.Type().Elem()).Elem()
		if err := d.value(&m.Value, e); err != nil {
			return err
		}
		dst.SetMapIndex(reflect.ValueOf(key), e)
		return nil
	})
}

func (d document) members(v *hujson.Value, visit func(string, *hujson.ObjectMember) error) error {
	obj, ok := v.Value.(*hujson.Object)
	if !ok {
		return d.fail(v, "write { ... }", "an object is expected here")
	}
	var seen []string
	for i := range obj.Members {
		m := &obj.Members[i]
		key := m.Name.Value.(hujson.Literal).String()
		if slices.Contains(seen, key) {
			return d.fail(&m.Name, "keep one of them", "key %q occurs twice", key)
		}
		seen = append(seen, key)
		if err := visit(key, m); err != nil {
			return err
		}
	}
	return nil
}

func (d document) array(v *hujson.Value, dst reflect.Value) error {
	arr, ok := v.Value.(*hujson.Array)
	if !ok {
		return d.fail(v, "write [ ... ]", "a list is expected here")
	}
	dst.Set(reflect.MakeSlice(dst.Type(), len(arr.Elements), len(arr.Elements)))
	for i := range arr.Elements {
		if err := d.value(&arr.Elements[i], dst.Index(i)); err != nil {
			return err
		}
	}
	return nil
}

func (d document) leaf(v *hujson.Value, dst reflect.Value) error {
	lit, ok := v.Value.(hujson.Literal)
	if !ok || lit.Kind() == 'n' {
		return d.fail(v, "write "+kindName(dst.Type()), "%s is expected here", kindName(dst.Type()))
	}
	err := json.Unmarshal(lit, dst.Addr().Interface())
	if err == nil {
		return nil
	}
	if dst.Type() == reflect.TypeFor[Key]() {
		// The text may be the secret.
		return d.fail(v, "write "+kindName(dst.Type()), "the key is not text")
	}
	if wrong := new(json.UnmarshalTypeError); errors.As(err, &wrong) {
		return d.fail(v, "write "+kindName(dst.Type()), "%s is not %s", string(lit), kindName(dst.Type()))
	}
	return d.fail(v, "write "+kindName(dst.Type()), "%s: %v", string(lit), err)
}

// kindName names a type as an operator knows it.
func kindName(t reflect.Type) string {
	if n, ok := reflect.Zero(t).Interface().(interface{ kindName() string }); ok {
		return n.kindName()
	}
	switch t.String() {
	case "netip.Addr":
		return "an IP address as text"
	case "netip.AddrPort":
		return "an IP address and a port as text"
	}
	switch t.Kind() {
	case reflect.String:
		return "text"
	case reflect.Bool:
		return "true or false"
	case reflect.Float64:
		return "a number"
	default:
		return fmt.Sprintf("a whole number that fits %s", t.Kind())
	}
}
