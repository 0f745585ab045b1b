package node

import (
	"context"
	"errors"

	"radishwell/core"
	"radishwell/io/meter"
)

// meteredPlatform counts and times the calls to the platform. Delete is not metered.
type meteredPlatform struct {
	core.Platform
	meter  *meter.Meter
	clock  core.Clock
	outage outageDetector
}

func metered[T any](m *meteredPlatform, v meter.Verb, do func() (T, error)) (T, error) {
	began := m.clock.Now()
	out, err := do()
	var fault *core.PlatformError
	errors.As(err, &fault)
	now := m.clock.Now()
	m.meter.Platform(v, fault, began, now)
	m.outage.record(now, fault)
	return out, err
}

// List implements core.Platform.
func (m *meteredPlatform) List(ctx context.Context, kind core.Kind) (core.Listing, error) {
	return metered(m, meter.List, func() (core.Listing, error) { return m.Platform.List(ctx, kind) })
}

// Get implements core.Platform.
func (m *meteredPlatform) Get(ctx context.Context, kind core.Kind, name string) (core.Object, error) {
	return metered(m, meter.Get, func() (core.Object, error) { return m.Platform.Get(ctx, kind, name) })
}

// Create implements core.Platform.
func (m *meteredPlatform) Create(ctx context.Context, o core.Object) (core.Object, error) {
	return metered(m, meter.Create, func() (core.Object, error) { return m.Platform.Create(ctx, o) })
}

// Update implements core.Platform.
func (m *meteredPlatform) Update(ctx context.Context, o core.Object) (core.Object, error) {
	return metered(m, meter.Update, func() (core.Object, error) { return m.Platform.Update(ctx, o) })
}

// UpdateStatus implements core.Platform.
func (m *meteredPlatform) UpdateStatus(ctx context.Context, o core.Object) (core.Object, error) {
	return metered(m, meter.UpdateStatus, func() (core.Object, error) { return m.Platform.UpdateStatus(ctx, o) })
}

// Watch implements core.Platform.
func (m *meteredPlatform) Watch(ctx context.Context, kind core.Kind, from core.Version) (core.Watch, error) {
	return metered(m, meter.Watch, func() (core.Watch, error) { return m.Platform.Watch(ctx, kind, from) })
}
