package config

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"maps"
	"net/netip"
	"slices"

	"egretdock/core/model"
)

// maxSnapshot bounds the decompressed size, so that a corrupt snapshot does
// not fill the memory. At target size a snapshot has 2 MB.
const maxSnapshot = 64 << 20

type releaseText struct {
	Address  netip.AddrPort `json:"address"`
	Holder   string         `json:"holder"`
	Revision uint64         `json:"revision"`
}

type editText struct {
	Object   *objectText   `json:"object"`
	Revision uint64        `json:"revision"`
	ID       string        `json:"edit_id"`
	Author   string        `json:"author"`
	Template *templateText `json:"template,omitempty"`
	Params   *paramsText   `json:"params,omitempty"`
}

type snapshotText struct {
	Revision  uint64         `json:"revision"`
	Templates []templateText `json:"templates"`
	Params    []paramsText   `json:"params"`
	Released  []releaseText  `json:"released"`
	Edits     []editText     `json:"edits"`
}

// EncodeSnapshot returns the compressed form of a configuration.
func EncodeSnapshot(cfg model.Config) ([]byte, error) {
	p := cfg.Parts()
	text := snapshotText{Revision: p.Revision}
	for _, t := range p.Templates {
		text.Templates = append(text.Templates, templateToText(t))
	}
	for _, v := range p.Params {
		text.Params = append(text.Params, paramsToText(v))
	}
	for _, a := range slices.SortedFunc(maps.Keys(p.Released), netip.AddrPort.Compare) {
		r := p.Released[a]
		text.Released = append(text.Released, releaseText{Address: a, Holder: r.Holder, Revision: r.Revision})
	}
	for _, e := range p.Edits {
		text.Edits = append(text.Edits, editToText(e))
	}
	var out bytes.Buffer
	z := gzip.NewWriter(&out)
	if err := json.NewEncoder(z).Encode(text); err != nil {
		return nil, err
	}
	err := z.Close()
	return out.Bytes(), err
}

func editToText(e model.Edit) editText {
	out := editText{Object: objectToText(e.Object), Revision: e.Revision, ID: e.ID, Author: e.Author}
	switch v := e.Before.(type) {
	case model.Template:
		t := templateToText(v)
		out.Template = &t
	case model.Params:
		p := paramsToText(v)
		out.Params = &p
	}
	return out
}

// DecodeSnapshot reads a configuration.
func DecodeSnapshot(src []byte) (model.Config, error) {
	z, err := gzip.NewReader(bytes.NewReader(src))
	if err != nil {
		return model.Config{}, badEncoding(err, "snapshot")
	}
	plain, err := io.ReadAll(io.LimitReader(z, maxSnapshot))
	if err != nil {
		return model.Config{}, badEncoding(err, "snapshot")
	}
	var text snapshotText
	if err := strict(plain, &text); err != nil {
		return model.Config{}, badEncoding(err, "snapshot")
	}
	p := model.Parts{Revision: text.Revision, Released: make(map[netip.AddrPort]model.Release, len(text.Released))}
	for _, t := range text.Templates {
		p.Templates = append(p.Templates, t.model())
	}
	for _, v := range text.Params {
		p.Params = append(p.Params, v.model())
	}
	for _, r := range text.Released {
		p.Released[r.Address] = model.Release{Holder: r.Holder, Revision: r.Revision}
	}
	for _, e := range text.Edits {
		o, ok := e.Object.model()
		if !ok {
			return model.Config{}, badEncoding(nil, "edit in a snapshot")
		}
		out := model.Edit{Object: o, Revision: e.Revision, ID: e.ID, Author: e.Author}
		switch {
		case e.Template != nil:
			out.Before = e.Template.model()
		case e.Params != nil:
			out.Before = e.Params.model()
		}
		p.Edits = append(p.Edits, out)
	}
	return model.NewConfig(p), nil
}
