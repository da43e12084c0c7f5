// Package config reads settings, template and parameter files (JSON with
// comments) and encodes changes and snapshots. Keys are in snake case, and
// unknown keys are rejected, so that a misspelt key is reported.
package config

import (
	"encoding"
	"encoding/json"
	"fmt"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"sync"

	"github.com/go-faster/errors"
	"github.com/tailscale/hujson"

	"egretdock/core/fault"
)

// maxFileSize bounds the size of a file in bytes, so that a wrong path does not
// exhaust the memory.
const maxFileSize = 16 << 20

// document is a parsed file with the position of each value.
type document struct {
	name string
	src  []byte
	root hujson.Value
}

func parse(name string, src []byte) (document, error) {
	if len(src) > maxFileSize {
		return document{}, fault.New(fault.KindInvalid, fmt.Sprintf("%s has %d bytes, more than the limit of %d", name, len(src), maxFileSize), "split the file")
	}
	root, err := hujson.Parse(src)
	if err != nil {
		return document{}, syntaxError(name, err)
	}
	return document{name: name, src: src, root: root}, nil
}

var hujsonPosition = sync.OnceValue(func() *regexp.Regexp { return regexp.MustCompile(`^hujson: line (\d+), column (\d+): `) })

func syntaxError(name string, err error) error {
	position, text := name, err.Error()
	if m := hujsonPosition().FindStringSubmatch(text); m != nil {
		position, text = fmt.Sprintf("%s:%s:%s", name, m[1], m[2]), text[len(m[0]):]
	}
	return fault.New(fault.KindInvalid, position+": "+text, "correct the JSON; comments and trailing commas are allowed")
}

// offsetPosition returns file:line:column of a byte offset.
func (d document) offsetPosition(n int) string {
	line := strings.Count(string(d.src[:n]), "\n")
	return fmt.Sprintf("%s:%d:%d", d.name, line+1, n-strings.LastIndexByte(string(d.src[:n]), '\n'))
}

// position returns file:line:column of the value at a JSON pointer, or of its
// closest parent in the file.
func (d document) position(pointer string) string {
	for {
		if v := d.root.Find(pointer); v != nil {
			return d.offsetPosition(v.StartOffset)
		}
		i := strings.LastIndexByte(pointer, '/')
		if i < 0 {
			return d.name
		}
		pointer = pointer[:i]
	}
}

// errorAt returns an error with the position of a value.
func (d document) errorAt(v *hujson.Value, remedy, format string, args ...any) error {
	return fault.New(fault.KindInvalid, d.offsetPosition(v.StartOffset)+": "+fmt.Sprintf(format, args...), remedy)
}

// decode fills dst, a pointer, and rejects unknown and repeated keys.
func (d document) decode(dst any) error { return d.decodeValue(&d.root, reflect.ValueOf(dst).Elem()) }

func (d document) decodeValue(v *hujson.Value, dst reflect.Value) error {
	_, isText := dst.Addr().Interface().(encoding.TextUnmarshaler)
	switch {
	case isText:
		return d.decodeLiteral(v, dst)
	case dst.Kind() == reflect.Struct:
		return d.decodeObject(v, dst)
	case dst.Kind() == reflect.Map:
		return d.decodeMap(v, dst)
	case dst.Kind() == reflect.Slice:
		return d.decodeArray(v, dst)
	default:
		return d.decodeLiteral(v, dst)
	}
}

func (d document) decodeObject(v *hujson.Value, dst reflect.Value) error {
	fields := map[string]reflect.Value{}
	var known []string
	for i := range dst.NumField() {
		name, _, _ := strings.Cut(dst.Type().Field(i).Tag.Get("json"), ",")
		if name != "" && name != "-" {
			fields[name] = dst.Field(i)
			known = append(known, name)
		}
	}
	return d.visitMembers(v, func(key string, m *hujson.ObjectMember) error {
		f, ok := fields[key]
		if !ok {
			return d.errorAt(&m.Name, "use one of "+strings.Join(known, ", "), "unknown key %q", key)
		}
		return d.decodeValue(&m.Value, f)
	})
}

func (d document) decodeMap(v *hujson.Value, dst reflect.Value) error {
	dst.Set(reflect.MakeMap(dst.Type()))
	return d.visitMembers(v, func(key string, m *hujson.ObjectMember) error {
		e := reflect.New(dst.Type().Elem()).Elem()
		if err := d.decodeValue(&m.Value, e); err != nil {
			return err
		}
		dst.SetMapIndex(reflect.ValueOf(key), e)
		return nil
	})
}

// visitMembers calls visit for each member of an object until visit fails, and
// rejects repeated keys.
func (d document) visitMembers(v *hujson.Value, visit func(string, *hujson.ObjectMember) error) error {
	obj, ok := v.Value.(*hujson.Object)
	if !ok {
		return d.errorAt(v, "write { ... }", "an object is expected here")
	}
	var seen []string
	for i := range obj.Members {
		m := &obj.Members[i]
		key := m.Name.Value.(hujson.Literal).String()
		if slices.Contains(seen, key) {
			return d.errorAt(&m.Name, "keep one of them", "key %q occurs twice", key)
		}
		seen = append(seen, key)
		if err := visit(key, m); err != nil {
			return err
		}
	}
	return nil
}

func (d document) decodeArray(v *hujson.Value, dst reflect.Value) error {
	arr, ok := v.Value.(*hujson.Array)
	if !ok {
		return d.errorAt(v, "write [ ... ]", "a list is expected here")
	}
	dst.Set(reflect.MakeSlice(dst.Type(), len(arr.Elements), len(arr.Elements)))
	for i := range arr.Elements {
		if err := d.decodeValue(&arr.Elements[i], dst.Index(i)); err != nil {
			return err
		}
	}
	return nil
}

func (d document) decodeLiteral(v *hujson.Value, dst reflect.Value) error {
	lit, ok := v.Value.(hujson.Literal)
	if !ok || lit.Kind() == 'n' {
		return d.errorAt(v, "write "+typeDescription(dst.Type()), "%s is expected here", typeDescription(dst.Type()))
	}
	err := json.Unmarshal(lit, dst.Addr().Interface())
	if err == nil {
		return nil
	}
	if dst.Type() == reflect.TypeFor[Key]() {
		// The literal may be the secret, so the error does not quote it.
		return d.errorAt(v, "write "+typeDescription(dst.Type()), "the key is not text")
	}
	if typeErr := new(json.UnmarshalTypeError); errors.As(err, &typeErr) {
		return d.errorAt(v, "write "+typeDescription(dst.Type()), "%s is not %s", string(lit), typeDescription(dst.Type()))
	}
	return d.errorAt(v, "write "+typeDescription(dst.Type()), "%s: %v", string(lit), err)
}

// typeDescription describes a type in an error message for operators.
func typeDescription(t reflect.Type) string {
	if n, ok := reflect.Zero(t).Interface().(interface{ typeDescription() string }); ok {
		return n.typeDescription()
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
