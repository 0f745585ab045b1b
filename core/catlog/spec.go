package catlog

import (
	"encoding/json"
	"strconv"

	"radishwell/core"
	"radishwell/core/strict"
)

// spec is one decoded and checked entry; one of the pointers is set.
type spec struct {
	kind    core.Kind
	name    string
	model   *core.ModelSpec
	adapter *core.AdapterSpec
	owner   *core.OwnerSpec
	service *core.ServiceSpec
}

// newSpec returns an empty entry of a kind; ok is false for kinds that are not
// of the catalogue.
func newSpec(kind core.Kind, name string) (s spec, ok bool) {
	s = spec{kind: kind, name: name}
	switch kind {
	case core.KindModel:
		s.model = &core.ModelSpec{}
	case core.KindAdapter:
		s.adapter = &core.AdapterSpec{}
	case core.KindOwner:
		s.owner = &core.OwnerSpec{}
	case core.KindService:
		s.service = &core.ServiceSpec{}
	default:
		return spec{}, false
	}
	return s, true
}

// target returns the struct that the entry is decoded into.
func (s spec) target() any {
	switch s.kind {
	case core.KindModel:
		return s.model
	case core.KindAdapter:
		return s.adapter
	case core.KindOwner:
		return s.owner
	default:
		return s.service
	}
}

// maxSpec bounds a spec. The status holds a copy of the last good one, and both
// together have to stay under the megabyte that the platform holds.
const maxSpec = 384 << 10

// parseSpec decodes and checks the spec of an object of the platform.
func parseSpec(kind core.Kind, name string, text []byte) (spec, []Fault) {
	s, ok := newSpec(kind, name)
	if !ok {
		return s, []Fault{fault(CheckForm, "", string(kind)+" is no kind of the catalogue")}
	}
	if len(text) > maxSpec {
		return s, []Fault{fault(CheckTooLarge, "", "the spec is larger than "+strconv.Itoa(maxSpec)+" bytes")}
	}
	if !json.Valid(text) {
		return s, []Fault{fault(CheckForm, "", "the spec is no JSON document")}
	}
	doc, problems := strict.DecodeObject("", text, s.target())
	if len(problems) > 0 {
		return s, formFaults(problems)
	}
	return s, checkSpec(s, doc)
}
