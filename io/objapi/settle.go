package objapi

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"reflect"

	"radishwell/core"
)

// Fate is what is known of a conditional write after reading its object back.
type Fate uint8

// Fates.
const (
	// Applied: the write took effect and is in force.
	Applied Fate = iota
	// Pending: the object is still as before. The write may yet arrive late, so
	// only the very same conditional write may be sent again: at most one of
	// the two can take effect, and either has the same result.
	Pending
	// Superseded: the object has moved on and does not carry the write. It will
	// not take effect any more; another write may have replaced it, though.
	Superseded
)

// Mine tells whether an object as read carries the write in question, by a
// mark that its writer put there. The mark must tell this write from the
// writer's earlier ones too, such as a number drawn for each write.
type Mine func(got core.Object) bool

// SameSpec returns a Mine that compares specs as JSON values.
func SameSpec(want core.Object) Mine {
	return func(got core.Object) bool { return sameJSON(want.Spec, got.Spec) }
}

// SameStatus returns a Mine that compares statuses as JSON values.
func SameStatus(want core.Object) Mine {
	return func(got core.Object) bool { return sameJSON(want.Status, got.Status) }
}

// Settler does conditional writes and finds out what became of those whose
// answers were lost.
//
// The failure it guards against: the platform commits a write and its answer
// is lost. A writer that repeats it gets a conflict with itself and gives up a
// lease or claim it holds; one that assumes success may be wrong as well.
// Reading back decides: updates are conditional on a version, so at most one
// write can follow that version, and what follows it either carries the
// writer's mark or is another's.
type Settler struct{ Platform core.Platform }

// settleTries bounds how often a write is sent and read back before it is left
// Unknown; each try costs a read and perhaps a write in a bad time.
const settleTries = 3

// Create creates o and settles it. Beside the errors of core.Platform it
// returns Exists where another object has the name. mine nil means SameSpec(o).
func (s Settler) Create(ctx context.Context, o core.Object, mine Mine) (core.Object, error) {
	o.Version = 0
	return s.write(ctx, o, mine, s.Platform.Create, core.Exists)
}

// Update updates o and settles it. Conflict means that the object has moved on
// without the write. mine nil means SameSpec(o).
func (s Settler) Update(ctx context.Context, o core.Object, mine Mine) (core.Object, error) {
	return s.write(ctx, o, mine, s.Platform.Update, core.Conflict)
}

// UpdateStatus is Update of the status. mine nil means SameStatus(o).
func (s Settler) UpdateStatus(ctx context.Context, o core.Object, mine Mine) (core.Object, error) {
	if mine == nil {
		mine = SameStatus(o)
	}
	return s.write(ctx, o, mine, s.Platform.UpdateStatus, core.Conflict)
}

func (s Settler) write(
	ctx context.Context,
	o core.Object,
	mine Mine,
	send func(context.Context, core.Object) (core.Object, error),
	lost core.PlatformFault,
) (core.Object, error) {
	if mine == nil {
		mine = SameSpec(o)
	}
	var unknown error
	for range settleTries {
		got, err := send(ctx, o)
		if !retold(err, unknown != nil) {
			return got, err
		}
		unknown = err
		got, fate, err := s.Settle(ctx, o, mine)
		switch {
		case err != nil:
			return core.Object{}, unknown
		case fate == Applied:
			return got, nil
		case fate == Superseded:
			return got, &core.PlatformError{Fault: lost, Kind: o.Kind, Name: o.Name, Cause: unknown}
		}
	}
	return core.Object{}, unknown
}

// retold tells whether an answer leaves open what became of the write. Once an
// answer has been lost, a refusal of the repeated write proves nothing either:
// the first one may be what stands in its way.
func retold(err error, repeated bool) bool {
	var failed *core.PlatformError
	if !errors.As(err, &failed) {
		return false
	}
	return failed.Fault == core.Unknown || repeated
}

// Settle reads o's object back and tells what became of the write of o, which
// was conditional on o.Version (zero for a creation).
func (s Settler) Settle(ctx context.Context, o core.Object, mine Mine) (core.Object, Fate, error) {
	got, err := s.Platform.Get(ctx, o.Kind, o.Name)
	var failed *core.PlatformError
	switch {
	case errors.As(err, &failed) && failed.Fault == core.NotFound:
		return core.Object{}, absentFate(o), nil
	case err != nil:
		return core.Object{}, Pending, err
	case o.Version != 0 && got.Version <= o.Version:
		return got, Pending, nil
	case mine(got):
		return got, Applied, nil
	}
	return got, Superseded, nil
}

// absentFate is the fate of a write whose object is not there: a creation may
// still arrive, an update cannot.
func absentFate(o core.Object) Fate {
	if o.Version == 0 {
		return Pending
	}
	return Superseded
}

// Delete deletes an object that is still at o.Version and settles it. A name
// that is free or taken anew counts as deleted; Conflict means that the object
// has moved on.
func (s Settler) Delete(ctx context.Context, o core.Object) error {
	var unknown error
	for range settleTries {
		err := s.Platform.Delete(ctx, o.Kind, o.Name, o.Version)
		if !retold(err, unknown != nil) {
			return err
		}
		unknown = err
		got, err := s.Platform.Get(ctx, o.Kind, o.Name)
		var failed *core.PlatformError
		switch {
		case errors.As(err, &failed) && failed.Fault == core.NotFound:
			return nil
		case err != nil:
			return unknown
		case got.UID != o.UID:
			return nil
		case got.Version != o.Version:
			return &core.PlatformError{Fault: core.Conflict, Kind: o.Kind, Name: o.Name, Cause: unknown}
		}
	}
	return unknown
}

func sameJSON(a, b []byte) bool {
	if bytes.Equal(a, b) {
		return true
	}
	var left, right any
	if decode(a, &left) != nil || decode(b, &right) != nil {
		return false
	}
	return reflect.DeepEqual(left, right)
}

// decode keeps numbers as they are written, since versions and fencing numbers
// do not fit a float.
func decode(data []byte, into *any) error {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.UseNumber()
	return dec.Decode(into)
}
