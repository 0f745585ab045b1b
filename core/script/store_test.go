package script

import (
	"radishwell/core"
	"radishwell/core/place"
)

// key names an object of the fake platform.
type key struct {
	kind core.Kind
	name string
}

// object is an object of the fake platform; the field of its kind is set.
type object struct {
	key
	version core.Version
	deleted bool
	lease   core.Object
	grant   core.GrantSpec
	entry   place.Entry
	host    place.Host
	owner   core.Bytes
}

// store is the fake platform: versions, conditional updates, outages.
type store struct {
	objects map[key]object
	// history has every version of every object, for late and old copies.
	history []object
	version core.Version
	down    bool
	// careless is a fault of the test: conditions aren't checked.
	careless bool
	// wrote is called for every change, before and after it.
	wrote func(by string, before, after object)
}

type result struct {
	object object
	failed bool
	fault  core.PlatformFault
}

func failure(f core.PlatformFault) result { return result{failed: true, fault: f} }

// put writes o if the object is still at o.version; zero means absent.
func (s *store) put(by string, o object) result {
	if s.down {
		return failure(core.Unavailable)
	}
	before, ok := s.objects[o.key]
	switch {
	case s.careless:
	case o.version == 0 && ok:
		return failure(core.Exists)
	case o.version != 0 && !ok:
		return failure(core.NotFound)
	case o.version != 0 && before.version != o.version:
		return failure(core.Conflict)
	}
	s.version++
	o.version = s.version
	if o.deleted {
		delete(s.objects, o.key)
	} else {
		s.objects[o.key] = o
	}
	s.history = append(s.history, o)
	s.wrote(by, before, o)
	return result{object: o}
}

func (s *store) get(k key) result {
	if s.down {
		return failure(core.Unavailable)
	}
	o, ok := s.objects[k]
	if !ok {
		return failure(core.NotFound)
	}
	return result{object: o}
}

// force changes an object as an operator or the platform itself does.
func (s *store) force(o object) {
	down, careless := s.down, s.careless
	s.down, s.careless = false, true
	s.put("operator", o)
	s.down, s.careless = down, careless
}

// list returns all objects, in no order.
func (s *store) list() ([]object, bool) {
	if s.down {
		return nil, false
	}
	list := make([]object, 0, len(s.objects))
	for _, o := range s.objects {
		list = append(list, o)
	}
	return list, true
}
