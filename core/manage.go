package core

import (
	"context"
	"slices"
	"time"
)

// HeldModel is a model that an upstream of a managed platform holds.
type HeldModel struct {
	Model   ModelName
	Version int64
	// Adapters are those loaded, by their names within the model.
	Adapters []string
}

// SameModels tells whether two lists of models are equal.
func SameModels(a, b []HeldModel) bool {
	return slices.EqualFunc(a, b, func(x, y HeldModel) bool {
		return x.Model == y.Model && x.Version == y.Version && slices.Equal(x.Adapters, y.Adapters)
	})
}

// NearestTier returns where the nearest copy of a model's weights is for a host that
// has those of some models in memory and of some on disk.
func NearestTier(model ModelName, inMemory, onDisk []ModelName) Tier {
	switch {
	case slices.Contains(inMemory, model):
		return TierMemory
	case slices.Contains(onDisk, model):
		return TierDisk
	}
	return TierStore
}

// UpstreamState is a managed upstream's own word on its state.
type UpstreamState struct {
	// ID names one life of the upstream where it tells it; Born tells lives under
	// one ID apart, in milliseconds since the Unix epoch.
	ID   HostName
	Born int64
	// Orders counts the orders accepted in this life.
	Orders int64
	// Busy tells that an order is in progress, so that no other is taken.
	Busy    bool
	Leaving bool
	// Limit is the rate that the upstream names.
	Limit RateLimit
	// Left is how long the upstream will still run, where it tells.
	Left   time.Duration
	Models []HeldModel
	// Coming are adapters on their way to the upstream, as MODEL/NAME.
	Coming           []string
	InMemory, OnDisk []ModelName
	// Waiting and Running count requests; MemoryUsed is the prompt memory that
	// cannot be freed, in tokens.
	Waiting, Running int
	MemoryUsed       int64
	// Reading is the prompt tokens of the requests that are being read, which have
	// no first token yet.
	Reading int64
}

// Restarted tells whether a later report is of another life than this one. An
// upstream that neither names its life nor says when it was born shows it by its
// count of orders, which begins anew.
func (s UpstreamState) Restarted(later UpstreamState) bool {
	return s.ID != later.ID || s.Born != later.Born || later.Orders < s.Orders
}

// UpstreamOrder loads or unloads a model or an adapter.
type UpstreamOrder struct {
	Unload bool
	Model  ModelName
	// Adapter is empty where the order is for the model itself.
	Adapter string
	// After is the count of orders on which the order is conditional.
	After int64
	// Instance is the life of the upstream that the order is for.
	Instance HostName
	Holder   HostName
	Fence    Fence
}

// OrderResult is what an upstream said to an order.
type OrderResult uint8

// Results of orders.
const (
	// OrderAccepted: the order is being carried out.
	OrderAccepted OrderResult = iota
	// OrderDone: it holds already.
	OrderDone
	// OrderConflict: another order is in progress, or has come in between.
	OrderConflict
	// OrderStale: the fencing number is an old one.
	OrderStale
	// OrderElsewhere: another life of the upstream answered.
	OrderElsewhere
	// OrderRejected: the upstream cannot carry it out.
	OrderRejected
	orderResultCount
)

var orderResultNames = [orderResultCount]string{"accepted", "done", "conflict", "stale", "elsewhere", "rejected"}

// String returns the result's name.
func (r OrderResult) String() string {
	if r >= orderResultCount {
		return "unknown"
	}
	return orderResultNames[r]
}

// AdapterLoader has adapters loaded on managed upstreams.
type AdapterLoader interface {
	// Fetch has the agent of a host load an adapter of a model that the host holds,
	// and returns once it is loaded.
	Fetch(ctx context.Context, host HostName, model ModelName, adapter string) error
	// Used notes a request for an adapter that a host has, so that its agent knows
	// which ones are idle.
	Used(host HostName, model ModelName, adapter string)
}

// Managed is an upstream on a managed platform as its agent drives it. An error
// of Order is an EngineError; unless it is EngineUnreached, the order may be
// carried out now or seconds later, if its condition still holds then.
type Managed interface {
	State(ctx context.Context) (UpstreamState, error)
	Order(ctx context.Context, o UpstreamOrder) (OrderResult, error)
}
