package objapi

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"reflect"

	"radishwell/core"
)

// WriteState is the state of a conditional write, as determined by reading its object
// back.
type WriteState uint8

// States of conditional writes.
const (
	// Applied: the write took effect, and the object still contains it.
	Applied WriteState = iota
	// Pending: the object is unchanged. The write may still arrive, so only the
	// identical conditional write may be sent again: at most one of the two can take
	// effect, and both have the same result.
	Pending
	// Superseded: the object has a newer version that does not contain the write. The
	// write cannot take effect any more, but it may have taken effect and been replaced
	// by another one.
	Superseded
)

// Matcher reports whether an object that was read contains the write in question, by a
// mark that the writer put there. The mark must also distinguish the write from earlier
// writes of the same writer, as a random number for each write does.
type Matcher func(got core.Object) bool

// SameSpec returns a Matcher that compares specs as JSON values.
func SameSpec(want core.Object) Matcher {
	return func(got core.Object) bool { return sameJSON(want.Spec, got.Spec) }
}

// SameStatus returns a Matcher that compares statuses as JSON values.
func SameStatus(want core.Object) Matcher {
	return func(got core.Object) bool { return sameJSON(want.Status, got.Status) }
}

// ConditionalWriter makes conditional writes and determines the state of those whose
// answers were lost.
//
// It guards against this failure: the platform commits a write, and the answer is lost.
// A writer that repeats the write gets a conflict with its own write and gives up a
// lease or claim that it holds; a writer that assumes success may be wrong too. Reading
// the object back resolves this: updates are conditional on a version, so at most one
// write can follow that version, and the object then contains either the writer's mark
// or another writer's.
type ConditionalWriter struct{ Platform core.Platform }

// maxWriteAttempts bounds how often a write is sent and read back before its state is
// left Unknown. Each attempt costs a read and possibly a write while the platform has
// problems.
const maxWriteAttempts = 3

// Create creates o and resolves lost answers. In addition to the errors of core.Platform,
// it returns Exists if another object has the name. matches nil means SameSpec(o).
func (w ConditionalWriter) Create(ctx context.Context, o core.Object, matches Matcher) (core.Object, error) {
	o.Version = 0
	return w.write(ctx, o, matches, w.Platform.Create, core.Exists)
}

// Update updates o and resolves lost answers. Its error is a Conflict if the object has a
// newer version without the write. matches nil means SameSpec(o).
func (w ConditionalWriter) Update(ctx context.Context, o core.Object, matches Matcher) (core.Object, error) {
	return w.write(ctx, o, matches, w.Platform.Update, core.Conflict)
}

// UpdateStatus is like Update for the status. matches nil means SameStatus(o).
func (w ConditionalWriter) UpdateStatus(ctx context.Context, o core.Object, matches Matcher) (core.Object, error) {
	if matches == nil {
		matches = SameStatus(o)
	}
	return w.write(ctx, o, matches, w.Platform.UpdateStatus, core.Conflict)
}

func (w ConditionalWriter) write(
	ctx context.Context,
	o core.Object,
	matches Matcher,
	send func(context.Context, core.Object) (core.Object, error),
	lost core.PlatformFault,
) (core.Object, error) {
	if matches == nil {
		matches = SameSpec(o)
	}
	var unknown error
	for range maxWriteAttempts {
		got, err := send(ctx, o)
		if !ambiguous(err, unknown != nil) {
			return got, err
		}
		unknown = err
		got, state, err := w.Resolve(ctx, o, matches)
		switch {
		case err != nil:
			return core.Object{}, unknown
		case state == Applied:
			return got, nil
		case state == Superseded:
			return got, &core.PlatformError{Fault: lost, Kind: o.Kind, Name: o.Name, Cause: unknown}
		}
	}
	return core.Object{}, unknown
}

// ambiguous reports whether an answer leaves the state of the write open. Once an answer
// was lost, the refusal of a repeated write is ambiguous too, since the conflict may be
// with the first write.
func ambiguous(err error, repeated bool) bool {
	var failed *core.PlatformError
	if !errors.As(err, &failed) {
		return false
	}
	return failed.Fault == core.Unknown || repeated
}

// Resolve reads o's object back and returns it with the state of the write of o, which
// was conditional on o.Version (zero for a creation).
func (w ConditionalWriter) Resolve(ctx context.Context, o core.Object, matches Matcher) (core.Object, WriteState, error) {
	got, err := w.Platform.Get(ctx, o.Kind, o.Name)
	var failed *core.PlatformError
	switch {
	case errors.As(err, &failed) && failed.Fault == core.NotFound:
		return core.Object{}, absentState(o), nil
	case err != nil:
		return core.Object{}, Pending, err
	case o.Version != 0 && got.Version <= o.Version:
		return got, Pending, nil
	case matches(got):
		return got, Applied, nil
	}
	return got, Superseded, nil
}

// absentState is the state of a write whose object does not exist: a creation may still
// arrive, whereas an update cannot take effect.
func absentState(o core.Object) WriteState {
	if o.Version == 0 {
		return Pending
	}
	return Superseded
}

// Delete deletes an object that is still at o.Version, and resolves lost answers. The
// object counts as deleted if none or a new one has its name. The error is a Conflict if
// the object has a newer version.
func (w ConditionalWriter) Delete(ctx context.Context, o core.Object) error {
	var unknown error
	for range maxWriteAttempts {
		err := w.Platform.Delete(ctx, o.Kind, o.Name, o.Version)
		if !ambiguous(err, unknown != nil) {
			return err
		}
		unknown = err
		got, err := w.Platform.Get(ctx, o.Kind, o.Name)
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

// decode keeps numbers as text, since a float cannot represent all versions and fencing
// numbers exactly.
func decode(data []byte, into *any) error {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.UseNumber()
	return dec.Decode(into)
}
