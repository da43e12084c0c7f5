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

type editsText struct {
	Templates []templateText `json:"templates,omitempty"`
	Customers []paramsText   `json:"customers,omitempty"`
}

// DesiredObject is one object as an operator's file describes it.
type DesiredObject struct {
	Content model.Content

	doc  document
	path string
}

// Object returns the object that the content belongs to.
func (w DesiredObject) Object() model.Object { return model.ObjectOf(w.Content) }

// Body returns the change that brings the content about.
func (w DesiredObject) Body() rules.Body {
	switch v := w.Content.(type) {
	case model.Template:
		return &rules.PutTemplate{Template: v}
	case model.Params:
		return &rules.PutParams{Params: v}
	default:
		return nil
	}
}

// Position returns file:line:column of the object.
func (w DesiredObject) Position() string { return w.doc.at(w.path) }

// WrapError adds the place in the file to the refusal of the object.
func (w DesiredObject) WrapError(err error) error {
	var e *rules.Error
	if !errors.As(err, &e) {
		return err
	}
	f := e.Fault()
	return fault.Wrap(err, f.Kind, w.doc.at(w.path+e.Path), "")
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
		ws, err := ParseFile(path, src)
		if err != nil {
			return nil, err
		}
		for _, w := range ws {
			if old, ok := seen[w.Object()]; ok {
				return nil, fault.New(fault.KindInvalid, fmt.Sprintf("%s: %s is also at %s", w.Position(), w.Object(), old.Position()), "keep one of them")
			}
			seen[w.Object()] = w
			if w.Object().Kind == model.ObjectTemplate {
				templates = append(templates, w)
			} else {
				customers = append(customers, w)
			}
		}
	}
	return append(templates, customers...), nil
}

// ParseFile parses a file of templates and customers and checks each by
// itself.
func ParseFile(name string, src []byte) ([]DesiredObject, error) {
	doc, err := parse(name, src)
	if err != nil {
		return nil, err
	}
	var text editsText
	if err := doc.decode(&text); err != nil {
		return nil, err
	}
	out := make([]DesiredObject, 0, len(text.Templates)+len(text.Customers))
	for i, t := range text.Templates {
		w := DesiredObject{Content: t.model(), doc: doc, path: fmt.Sprintf("/templates/%d", i)}
		if err := rules.CheckTemplate(t.model()); err != nil {
			return nil, w.WrapError(err)
		}
		out = append(out, w)
	}
	for i, p := range text.Customers {
		w := DesiredObject{Content: p.model(), doc: doc, path: fmt.Sprintf("/customers/%d", i)}
		if err := rules.CheckParams(p.model()); err != nil {
			return nil, w.WrapError(err)
		}
		out = append(out, w)
	}
	return out, nil
}

// FormatFile writes contents as a file that ParseFile reads.
func FormatFile(contents ...model.Content) ([]byte, error) {
	var text editsText
	for _, c := range contents {
		switch c := c.(type) {
		case model.Template:
			text.Templates = append(text.Templates, templateToText(c))
		case model.Params:
			text.Customers = append(text.Customers, paramsToText(c))
		}
	}
	var out bytes.Buffer
	enc := json.NewEncoder(&out)
	enc.SetIndent("", "  ")
	err := enc.Encode(text)
	return out.Bytes(), err
}
