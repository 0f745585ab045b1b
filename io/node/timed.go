package node

import (
	"context"
	"errors"

	"radishwell/core"
	"radishwell/io/meter"
)

// measured counts and times the calls of the platform.
type measured struct {
	core.Platform
	meter *meter.Meter
	clock core.Clock
	reach reach
}

func timed[T any](m *measured, v meter.Verb, do func() (T, error)) (T, error) {
	began := m.clock.Now()
	out, err := do()
	var fault *core.PlatformError
	errors.As(err, &fault)
	now := m.clock.Now()
	m.meter.Platform(v, fault, began, now)
	m.reach.note(now, fault)
	return out, err
}

// List implements core.Platform.
func (m *measured) List(ctx context.Context, kind core.Kind) (core.Listing, error) {
	return timed(m, meter.List, func() (core.Listing, error) { return m.Platform.List(ctx, kind) })
}

// Get implements core.Platform.
func (m *measured) Get(ctx context.Context, kind core.Kind, name string) (core.Object, error) {
	return timed(m, meter.Get, func() (core.Object, error) { return m.Platform.Get(ctx, kind, name) })
}

// Create implements core.Platform.
func (m *measured) Create(ctx context.Context, o core.Object) (core.Object, error) {
	return timed(m, meter.Create, func() (core.Object, error) { return m.Platform.Create(ctx, o) })
}

// Update implements core.Platform.
func (m *measured) Update(ctx context.Context, o core.Object) (core.Object, error) {
	return timed(m, meter.Update, func() (core.Object, error) { return m.Platform.Update(ctx, o) })
}

// UpdateStatus implements core.Platform.
func (m *measured) UpdateStatus(ctx context.Context, o core.Object) (core.Object, error) {
	return timed(m, meter.UpdateStatus, func() (core.Object, error) { return m.Platform.UpdateStatus(ctx, o) })
}

// Watch implements core.Platform.
func (m *measured) Watch(ctx context.Context, kind core.Kind, from core.Version) (core.Watch, error) {
	return timed(m, meter.Watch, func() (core.Watch, error) { return m.Platform.Watch(ctx, kind, from) })
}
