package config

import (
	"bytes"
	"encoding/json"
	"io"

	"egretdock/core/fault"
	"egretdock/core/model"
	"egretdock/core/rules"
)

type objectText struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
}

func objectToText(o model.Object) *objectText {
	return &objectText{Kind: o.Kind.String(), Name: o.Name}
}

func (o *objectText) model() (model.Object, bool) {
	if o == nil {
		return model.Object{}, false
	}
	k, ok := model.ParseObjectKind(o.Kind)
	return model.Object{Kind: k, Name: o.Name}, ok
}

type changeText struct {
	Revision  uint64        `json:"revision"`
	ID        string        `json:"edit_id"`
	Author    string        `json:"author"`
	Base      uint64        `json:"base"`
	Confirmed uint64        `json:"confirmed"`
	Kind      string        `json:"kind"`
	Template  *templateText `json:"template,omitempty"`
	Params    *paramsText   `json:"params,omitempty"`
	Object    *objectText   `json:"object,omitempty"`
	Undo      uint64        `json:"undo,omitempty"`
}

// EncodeChange returns the form of a change in the log and between peers.
func EncodeChange(c rules.Change) ([]byte, error) {
	text := changeText{Revision: c.Revision, ID: c.ID, Author: c.Author, Base: c.Base, Confirmed: c.Confirmed, Kind: c.Kind()}
	switch b := c.Body.(type) {
	case *rules.PutTemplate:
		t := templateToText(b.Template)
		text.Template = &t
	case *rules.PutParams:
		p := paramsToText(b.Params)
		text.Params = &p
	case *rules.Delete:
		text.Object = objectToText(b.Object)
	case *rules.BackOut:
		text.Object, text.Undo = objectToText(b.Object), b.Undo
	}
	return json.Marshal(text)
}

// DecodeChange reads a change. It refuses unknown fields, because a balancer
// that ignores what a newer version means would diverge from the others.
func DecodeChange(src []byte) (rules.Change, error) {
	var text changeText
	if err := strict(src, &text); err != nil {
		return rules.Change{}, badEncoding(err, "change")
	}
	c := rules.Change{Revision: text.Revision, ID: text.ID, Author: text.Author, Base: text.Base, Confirmed: text.Confirmed}
	o, named := text.Object.model()
	switch {
	case text.Kind == "put_template" && text.Template != nil:
		c.Body = &rules.PutTemplate{Template: text.Template.model()}
	case text.Kind == "put_params" && text.Params != nil:
		c.Body = &rules.PutParams{Params: text.Params.model()}
	case text.Kind == "delete" && named:
		c.Body = &rules.Delete{Object: o}
	case text.Kind == "back_out" && named:
		c.Body = &rules.BackOut{Object: o, Undo: text.Undo}
	default:
		return rules.Change{}, badEncoding(nil, "change of kind "+text.Kind)
	}
	return c, nil
}

func strict(src []byte, dst any) error {
	dec := json.NewDecoder(bytes.NewReader(src))
	dec.DisallowUnknownFields()
	if err := dec.Decode(dst); err != nil {
		return err
	}
	if _, err := dec.Token(); err != io.EOF {
		return fault.New(fault.KindInvalid, "data after the value", "write one value")
	}
	return nil
}

func badEncoding(cause error, what string) error {
	return fault.Wrap(cause, fault.KindInvalid, what+" can't be decoded", "check that all processes run the same version")
}
