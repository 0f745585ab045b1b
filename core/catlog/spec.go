package catlog

import (
	"encoding/json"
	"strconv"

	"radishwell/core"
	"radishwell/core/strict"
)

// spec is the decoded spec of an entry. Exactly one of the pointers is set.
type spec struct {
	kind    core.Kind
	name    string
	model   *core.ModelSpec
	adapter *core.AdapterSpec
	owner   *core.OwnerSpec
	service *core.ServiceSpec
}

// newSpec returns an empty spec for an entry of a kind. ok is false if the kind is
// not one of the catalogue.
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

// target returns the struct into which the spec is decoded.
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

// maxSpecBytes bounds a spec. The status holds a copy of the last valid spec, and
// both together must stay below the megabyte that the platform stores per object.
const maxSpecBytes = 384 << 10

// parseSpec decodes and checks the spec of an object from the platform. The spec is
// valid if there are no faults.
func parseSpec(kind core.Kind, name string, text []byte) (spec, []Fault) {
	s, ok := newSpec(kind, name)
	if !ok {
		return s, []Fault{fault(CheckForm, "", string(kind)+" is no kind of the catalogue")}
	}
	if len(text) > maxSpecBytes {
		return s, []Fault{fault(CheckTooLarge, "", "the spec is larger than "+strconv.Itoa(maxSpecBytes)+" bytes")}
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
