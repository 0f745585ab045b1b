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

// update replaces spec or, with status set, status. A zero version makes the
// update unconditional, as operators' tools do.
func (s *store) update(o core.Object, status bool, now time.Time) (core.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	held, err := s.held(o.Kind, o.Name, o.UID, o.Version)
	if err != nil {
		return o, err
	}
	next := held
	if status {
		next.Status = o.Status
	} else {
		next.Spec = o.Spec
	}
	if bytes.Equal(next.Spec, held.Spec) && bytes.Equal(next.Status, held.Status) {
		return held, nil
	}
	if !status {
		next.Generation++
	}
	return s.commit(next, false, now), nil
}

func (s *store) remove(kind core.Kind, name, uid string, version core.Version, now time.Time) (core.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	held, err := s.held(kind, name, uid, version)
	if err != nil {
		return held, err
	}
	held.Deleted = true
	return s.commit(held, false, now), nil
}

// held returns the object if it meets the preconditions. The caller holds mu.
func (s *store) held(kind core.Kind, name, uid string, version core.Version) (core.Object, error) {
	held, ok := s.objects[kind][name]
	if !ok {
		return held, &core.PlatformError{Fault: core.NotFound, Kind: kind, Name: name}
	}
	if version != 0 && version != held.Version || uid != "" && uid != held.UID {
		return held, &core.PlatformError{Fault: core.Conflict, Kind: kind, Name: name}
	}
	return held, nil
}
