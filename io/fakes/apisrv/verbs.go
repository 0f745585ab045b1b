package apisrv

import (
	"bytes"
	"strconv"
	"time"

	"radishwell/core"
)

// list returns all objects of a kind in the order of their names.
func (s *store) list(kind core.Kind, now time.Time) core.Listing {
	s.mu.Lock()
	defer s.mu.Unlock()
	objects, version := s.view(kind, now)
	return core.Listing{Objects: sorted(objects), Version: version}
}

func (s *store) get(kind core.Kind, name string, now time.Time) (core.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	objects, _ := s.view(kind, now)
	o, ok := objects[name]
	if !ok {
		return o, &core.PlatformError{Fault: core.NotFound, Kind: kind, Name: name}
	}
	return o, nil
}

func (s *store) create(o core.Object, now time.Time) (core.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, taken := s.objects[o.Kind][o.Name]; taken {
		return o, &core.PlatformError{Fault: core.Exists, Kind: o.Kind, Name: o.Name}
	}
	s.nextUID++
	o.UID = "uid-" + strconv.FormatUint(s.nextUID, 10)
	o.Generation = 1
	o.Status = nil
	o.Deleted = false
	return s.commit(o, true, now), nil
}

// update replaces the spec or, if status is set, the status of an object. A zero version
// makes the update unconditional, as the tools of operators do.
func (s *store) update(o core.Object, status bool, now time.Time) (core.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	stored, err := s.current(o.Kind, o.Name, o.UID, o.Version)
	if err != nil {
		return o, err
	}
	next := stored
	if status {
		next.Status = o.Status
	} else {
		next.Spec = o.Spec
	}
	if bytes.Equal(next.Spec, stored.Spec) && bytes.Equal(next.Status, stored.Status) {
		return stored, nil
	}
	if !status {
		next.Generation++
	}
	return s.commit(next, false, now), nil
}

func (s *store) remove(kind core.Kind, name, uid string, version core.Version, now time.Time) (core.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	stored, err := s.current(kind, name, uid, version)
	if err != nil {
		return stored, err
	}
	stored.Deleted = true
	return s.commit(stored, false, now), nil
}

// current returns the stored object if it meets the preconditions. The caller must hold
// mu.
func (s *store) current(kind core.Kind, name, uid string, version core.Version) (core.Object, error) {
	stored, ok := s.objects[kind][name]
	if !ok {
		return stored, &core.PlatformError{Fault: core.NotFound, Kind: kind, Name: name}
	}
	if version != 0 && version != stored.Version || uid != "" && uid != stored.UID {
		return stored, &core.PlatformError{Fault: core.Conflict, Kind: kind, Name: name}
	}
	return stored, nil
}
