package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"

	"github.com/go-faster/errors"

	"egretdock/core/fault"
	"egretdock/core/model"
	"egretdock/core/rules"
)

type fileJSON struct {
	Templates []templateJSON `json:"templates,omitempty"`
	Customers []paramsJSON   `json:"customers,omitempty"`
}

// DesiredObject is a template or the parameters of a customer, in the state
// that an operator's file asks for.
type DesiredObject struct {
	Content model.Content

	doc     document
	pointer string
}

// Object returns the kind and the name of the object.
func (d DesiredObject) Object() model.Object { return model.ObjectOf(d.Content) }

// Body returns the body of a change that puts the content in force.
func (d DesiredObject) Body() rules.Body {
	switch v := d.Content.(type) {
	case model.Template:
		return &rules.PutTemplate{Template: v}
	case model.Params:
		return &rules.PutParams{Params: v}
	default:
		return nil
	}
}

// Position returns file:line:column of the object.
func (d DesiredObject) Position() string { return d.doc.position(d.pointer) }

// WrapError adds the position in the file to an error of package rules. It
// returns other errors unchanged.
func (d DesiredObject) WrapError(err error) error {
	var e *rules.Error
	if !errors.As(err, &e) {
		return err
	}
	f := e.Fault()
	return fault.Wrap(err, f.Kind, d.doc.position(d.pointer+e.Path), "")
}

// ReadFiles reads template and parameter files. Templates come first, so that
// customers in any file can refer to them.
func ReadFiles(paths []string) ([]DesiredObject, error) {
	var templates, customers []DesiredObject
	seen := map[model.Object]DesiredObject{}
	for _, path := range paths {
		src, err := os.ReadFile(path)
		if err != nil {
			return nil, fault.Wrap(err, fault.KindInvalid, "file can't be read", "check the path and its permissions")
		}
		objects, err := ParseFile(path, src)
		if err != nil {
			return nil, err
		}
		for _, d := range objects {
			if old, ok := seen[d.Object()]; ok {
				return nil, fault.New(fault.KindInvalid, fmt.Sprintf("%s: %s is also at %s", d.Position(), d.Object(), old.Position()), "keep one of them")
			}
			seen[d.Object()] = d
			if d.Object().Kind == model.ObjectTemplate {
				templates = append(templates, d)
			} else {
				customers = append(customers, d)
			}
		}
	}
	return append(templates, customers...), nil
}

// ParseFile parses a file of templates and customers and checks each on its own.
func ParseFile(name string, src []byte) ([]DesiredObject, error) {
	doc, err := parse(name, src)
	if err != nil {
		return nil, err
	}
	var file fileJSON
	if err := doc.decode(&file); err != nil {
		return nil, err
	}
	out := make([]DesiredObject, 0, len(file.Templates)+len(file.Customers))
	for i, t := range file.Templates {
		d := DesiredObject{Content: t.toModel(), doc: doc, pointer: fmt.Sprintf("/templates/%d", i)}
		if err := rules.CheckTemplate(t.toModel()); err != nil {
			return nil, d.WrapError(err)
		}
		out = append(out, d)
	}
	for i, p := range file.Customers {
		d := DesiredObject{Content: p.toModel(), doc: doc, pointer: fmt.Sprintf("/customers/%d", i)}
		if err := rules.CheckParams(p.toModel()); err != nil {
			return nil, d.WrapError(err)
		}
		out = append(out, d)
	}
	return out, nil
}

// FormatFile writes contents as a file that ParseFile reads.
func FormatFile(contents ...model.Content) ([]byte, error) {
	var file fileJSON
	for _, c := range contents {
		switch c := c.(type) {
		case model.Template:
			file.Templates = append(file.Templates, newTemplateJSON(c))
		case model.Params:
			file.Customers = append(file.Customers, newParamsJSON(c))
		}
	}
	var out bytes.Buffer
	enc := json.NewEncoder(&out)
	enc.SetIndent("", "  ")
	err := enc.Encode(file)
	return out.Bytes(), err
}
