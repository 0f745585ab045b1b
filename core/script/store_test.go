package script

import (
	"radishwell/core"
	"radishwell/core/place"
)

// key identifies an object of the simulated platform.
type key struct {
	kind core.Kind
	name string
}

// object is an object of the simulated platform. Only the field for its kind is
// set.
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

// store is the simulated platform, with versions, conditional updates and
// outages.
type store struct {
	objects map[key]object
	// history has every version of every object, for delivering old ones.
	history []object
	version core.Version
	down    bool
	// unconditional is a deliberate fault: writes are unconditional.
	unconditional bool
	// onWrite is called after each write, with the states before and after it.
	onWrite func(by string, before, after object)
}

type result struct {
	object object
	failed bool
	fault  core.PlatformFault
}

func failure(f core.PlatformFault) result { return result{failed: true, fault: f} }

// put writes o if the object is still at o.version, or if it doesn't exist and
// o.version is zero.
func (s *store) put(by string, o object) result {
	if s.down {
		return failure(core.Unavailable)
	}
	before, ok := s.objects[o.key]
	switch {
	case s.unconditional:
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
	s.onWrite(by, before, o)
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

// force writes an object unconditionally, as an operator or the platform does.
func (s *store) force(o object) {
	down, unconditional := s.down, s.unconditional
	s.down, s.unconditional = false, true
	s.put("operator", o)
	s.down, s.unconditional = down, unconditional
}

// list returns all objects in random order. It reports false during an outage.
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
