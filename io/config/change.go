package config

import (
	"bytes"
	"encoding/json"
	"io"

	"egretdock/core/fault"
	"egretdock/core/model"
	"egretdock/core/rules"
)

type objectJSON struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
}

func newObjectJSON(o model.Object) *objectJSON {
	return &objectJSON{Kind: o.Kind.String(), Name: o.Name}
}

func (o *objectJSON) toModel() (model.Object, bool) {
	if o == nil {
		return model.Object{}, false
	}
	k, ok := model.ParseObjectKind(o.Kind)
	return model.Object{Kind: k, Name: o.Name}, ok
}

type changeJSON struct {
	Revision  uint64        `json:"revision"`
	ID        string        `json:"edit_id"`
	Author    string        `json:"author"`
	Base      uint64        `json:"base"`
	Confirmed uint64        `json:"confirmed"`
	Kind      string        `json:"kind"`
	Template  *templateJSON `json:"template,omitempty"`
	Params    *paramsJSON   `json:"params,omitempty"`
	Object    *objectJSON   `json:"object,omitempty"`
	Undo      uint64        `json:"undo,omitempty"`
}

// EncodeChange encodes a change as JSON, for the log and for peers.
func EncodeChange(c rules.Change) ([]byte, error) {
	encoded := changeJSON{Revision: c.Revision, ID: c.ID, Author: c.Author, Base: c.Base, Confirmed: c.Confirmed, Kind: c.Kind()}
	switch b := c.Body.(type) {
	case *rules.PutTemplate:
		t := newTemplateJSON(b.Template)
		encoded.Template = &t
	case *rules.PutParams:
		p := newParamsJSON(b.Params)
		encoded.Params = &p
	case *rules.Delete:
		encoded.Object = newObjectJSON(b.Object)
	case *rules.BackOut:
		encoded.Object, encoded.Undo = newObjectJSON(b.Object), b.Undo
	}
	return json.Marshal(encoded)
}

// DecodeChange decodes the output of EncodeChange. It rejects unknown fields,
// because a balancer that ignored a field of a newer version would diverge from
// the others.
func DecodeChange(src []byte) (rules.Change, error) {
	var encoded changeJSON
	if err := decodeStrict(src, &encoded); err != nil {
		return rules.Change{}, decodeError(err, "change")
	}
	c := rules.Change{Revision: encoded.Revision, ID: encoded.ID, Author: encoded.Author, Base: encoded.Base, Confirmed: encoded.Confirmed}
	o, named := encoded.Object.toModel()
	switch {
	case encoded.Kind == "put_template" && encoded.Template != nil:
		c.Body = &rules.PutTemplate{Template: encoded.Template.toModel()}
	case encoded.Kind == "put_params" && encoded.Params != nil:
		c.Body = &rules.PutParams{Params: encoded.Params.toModel()}
	case encoded.Kind == "delete" && named:
		c.Body = &rules.Delete{Object: o}
	case encoded.Kind == "back_out" && named:
		c.Body = &rules.BackOut{Object: o, Undo: encoded.Undo}
	default:
		return rules.Change{}, decodeError(nil, "change of kind "+encoded.Kind)
	}
	return c, nil
}

// decodeStrict decodes one JSON value and rejects unknown fields.
func decodeStrict(src []byte, dst any) error {
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

func decodeError(cause error, what string) error {
	return fault.Wrap(cause, fault.KindInvalid, what+" can't be decoded", "check that all processes run the same version")
}
