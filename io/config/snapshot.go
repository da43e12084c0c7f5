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

// maxSnapshotSize bounds the decompressed size in bytes, so that a corrupt
// snapshot does not exhaust the memory. At target size a snapshot has 2 MB.
const maxSnapshotSize = 64 << 20

type releaseJSON struct {
	Address  netip.AddrPort `json:"address"`
	Holder   string         `json:"holder"`
	Revision uint64         `json:"revision"`
}

type editJSON struct {
	Object   *objectJSON   `json:"object"`
	Revision uint64        `json:"revision"`
	ID       string        `json:"edit_id"`
	Author   string        `json:"author"`
	Template *templateJSON `json:"template,omitempty"`
	Params   *paramsJSON   `json:"params,omitempty"`
}

type snapshotJSON struct {
	Revision  uint64         `json:"revision"`
	Templates []templateJSON `json:"templates"`
	Params    []paramsJSON   `json:"params"`
	Released  []releaseJSON  `json:"released"`
	Edits     []editJSON     `json:"edits"`
}

// EncodeSnapshot encodes a configuration as compressed JSON.
func EncodeSnapshot(cfg model.Config) ([]byte, error) {
	p := cfg.Parts()
	snapshot := snapshotJSON{Revision: p.Revision}
	for _, t := range p.Templates {
		snapshot.Templates = append(snapshot.Templates, newTemplateJSON(t))
	}
	for _, v := range p.Params {
		snapshot.Params = append(snapshot.Params, newParamsJSON(v))
	}
	for _, a := range slices.SortedFunc(maps.Keys(p.Released), netip.AddrPort.Compare) {
		r := p.Released[a]
		snapshot.Released = append(snapshot.Released, releaseJSON{Address: a, Holder: r.Holder, Revision: r.Revision})
	}
	for _, e := range p.Edits {
		snapshot.Edits = append(snapshot.Edits, newEditJSON(e))
	}
	var out bytes.Buffer
	z := gzip.NewWriter(&out)
	if err := json.NewEncoder(z).Encode(snapshot); err != nil {
		return nil, err
	}
	err := z.Close()
	return out.Bytes(), err
}

func newEditJSON(e model.Edit) editJSON {
	out := editJSON{Object: newObjectJSON(e.Object), Revision: e.Revision, ID: e.ID, Author: e.Author}
	switch v := e.Before.(type) {
	case model.Template:
		t := newTemplateJSON(v)
		out.Template = &t
	case model.Params:
		p := newParamsJSON(v)
		out.Params = &p
	}
	return out
}

// DecodeSnapshot decodes the output of EncodeSnapshot.
func DecodeSnapshot(src []byte) (model.Config, error) {
	z, err := gzip.NewReader(bytes.NewReader(src))
	if err != nil {
		return model.Config{}, decodeError(err, "snapshot")
	}
	plain, err := io.ReadAll(io.LimitReader(z, maxSnapshotSize))
	if err != nil {
		return model.Config{}, decodeError(err, "snapshot")
	}
	var snapshot snapshotJSON
	if err := decodeStrict(plain, &snapshot); err != nil {
		return model.Config{}, decodeError(err, "snapshot")
	}
	p := model.Parts{Revision: snapshot.Revision, Released: make(map[netip.AddrPort]model.Release, len(snapshot.Released))}
	for _, t := range snapshot.Templates {
		p.Templates = append(p.Templates, t.toModel())
	}
	for _, v := range snapshot.Params {
		p.Params = append(p.Params, v.toModel())
	}
	for _, r := range snapshot.Released {
		p.Released[r.Address] = model.Release{Holder: r.Holder, Revision: r.Revision}
	}
	for _, e := range snapshot.Edits {
		o, ok := e.Object.toModel()
		if !ok {
			return model.Config{}, decodeError(nil, "edit in a snapshot")
		}
		out := model.Edit{Object: o, Revision: e.Revision, ID: e.ID, Author: e.Author}
		switch {
		case e.Template != nil:
			out.Before = e.Template.toModel()
		case e.Params != nil:
			out.Before = e.Params.toModel()
		}
		p.Edits = append(p.Edits, out)
	}
	return model.NewConfig(p), nil
}
