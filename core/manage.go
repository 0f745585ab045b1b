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
	// Adapters are the loaded adapters, by their names within the model.
	Adapters []string
}

// EqualModels reports whether two lists of models are equal.
func EqualModels(a, b []HeldModel) bool {
	return slices.EqualFunc(a, b, func(x, y HeldModel) bool {
		return x.Model == y.Model && x.Version == y.Version && slices.Equal(x.Adapters, y.Adapters)
	})
}

// NearestTier returns the cheapest tier from which a host can load a model's
// weights. inMemory and onDisk are the models whose weights the host has there.
func NearestTier(model ModelName, inMemory, onDisk []ModelName) Tier {
	switch {
	case slices.Contains(inMemory, model):
		return TierMemory
	case slices.Contains(onDisk, model):
		return TierDisk
	}
	return TierStore
}

// UpstreamState is the state that a managed upstream reports.
type UpstreamState struct {
	// ID identifies the upstream's incarnation, which is one run from its start to
	// its end; empty if the upstream does not report it. Born is the start time in
	// milliseconds since the Unix epoch, zero if not reported; it distinguishes
	// incarnations that share an ID.
	ID   HostName
	Born int64
	// Orders is the number of orders that this incarnation has accepted.
	Orders int64
	// Busy is set if an order is in progress, during which no other is accepted.
	Busy bool
	// Leaving is set if the upstream reports that it is leaving. It finishes its requests
	// and gets no new ones.
	Leaving bool
	// Limit is the request rate that the upstream accepts.
	Limit RateLimit
	// Remaining is how long the upstream will keep running; zero if not reported.
	Remaining time.Duration
	Models    []HeldModel
	// IncomingAdapters lists the adapters being transferred to the upstream, as
	// MODEL/NAME.
	IncomingAdapters []string
	InMemory, OnDisk []ModelName
	// Waiting and Running are numbers of requests. MemoryUsed is the prompt memory
	// that cannot be freed, in tokens, and MemorySize all of it, zero if not reported.
	Waiting, Running       int
	MemoryUsed, MemorySize int64
	// PrefillTokens is the number of prompt tokens of the requests in the prefill
	// phase, which have no first token yet.
	PrefillTokens int64
	// Streams are the requests in the batch that have their first token; nil if the upstream
	// does not list them.
	Streams []UpstreamStream
}

// UpstreamStream is a request in an engine's batch that has its first token.
type UpstreamStream struct {
	ID RequestID
	// Tokens is the number of tokens that it holds in the engine's memory, and Events the
	// number of events made.
	Tokens, Events int64
}

// FreeMemory returns the prompt memory that requests can have.
func (s *UpstreamState) FreeMemory() FreeMemory {
	if s.MemorySize <= 0 {
		return FreeMemory{}
	}
	return FreeMemory{Known: true, Tokens: max(0, s.MemorySize-max(0, s.MemoryUsed))}
}

// FreeMemory is the free prompt memory of an engine in tokens. The zero FreeMemory is unknown.
type FreeMemory struct {
	Known  bool
	Tokens int64
}

// Pace is the speed at which an engine advances each of its streams, as measured beside it.
// The zero Pace is unknown.
type Pace struct {
	// Event is the time between two events of a stream while the engine reads no prompts, and
	// ReadingEvent the time while it reads prompts without a break; zero if not measured.
	Event, ReadingEvent time.Duration
	// EventTokens is the number of tokens in an event, zero if not measured.
	EventTokens int
}

// Restarted reports whether later is a report of another incarnation than s. An
// upstream that reports neither ID nor start time reveals a restart by its order
// count, which starts again from zero.
func (s UpstreamState) Restarted(later UpstreamState) bool {
	return s.ID != later.ID || s.Born != later.Born || later.Orders < s.Orders
}

// UpstreamOrder loads or unloads a model or an adapter.
type UpstreamOrder struct {
	Unload bool
	Model  ModelName
	// Adapter is empty if the order is for the model itself.
	Adapter string
	// AfterOrders is the order count that the upstream must have for the order to
	// apply.
	AfterOrders int64
	// Incarnation is the ID of the incarnation that the order is for.
	Incarnation HostName
	Holder      HostName
	Fence       Fence
}

// OrderResult is an upstream's response to an order.
type OrderResult uint8

// Results of orders.
const (
	// OrderAccepted: the order is being carried out.
	OrderAccepted OrderResult = iota
	// OrderDone: the upstream is already in the state that the order asks for.
	OrderDone
	// OrderConflict: another order is in progress or was accepted in between.
	OrderConflict
	// OrderStale: the fencing number is out of date.
	OrderStale
	// OrderOtherIncarnation: another incarnation of the upstream responded.
	OrderOtherIncarnation
	// OrderRejected: the upstream cannot carry out the order.
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

// AdapterLoader loads adapters on managed upstreams.
type AdapterLoader interface {
	// Fetch makes a host's agent load an adapter of a model that the host holds. It
	// returns once the adapter is loaded.
	Fetch(ctx context.Context, host HostName, model ModelName, adapter string) error
	// RecordUse records a request for an adapter that a host has, so that the
	// host's agent knows which adapters are idle.
	RecordUse(host HostName, model ModelName, adapter string)
}

// RoomAsk is a request for the time of an engine.
type RoomAsk struct {
	// Rank is the request's urgency, zero first.
	Rank     int
	Customer OwnerName
	// Tokens is the number of prompt tokens that the engine has to read, and Reading the time
	// that this should take.
	Tokens  int
	Reading time.Duration
	// Ahead is how much work the engine may have before this request.
	Ahead time.Duration
}

// Rooms hands out the time that engines have for prompts to all entries.
type Rooms interface {
	// Ask waits until a host has room for a request, and reports whether it was granted before
	// the context ended.
	Ask(ctx context.Context, host HostName, ask RoomAsk) bool
}

// Trials lets requests that may crash upstreams run apart from each other, over all entries.
type Trials interface {
	// Begin reports whether a request may run in a trial at an upstream, given by a name of the run
	// of its process. keys name what may crash upstreams: the whole request or parts of it. until is
	// when the request ends at the latest.
	Begin(ctx context.Context, keys []string, upstream HostName, until time.Time) bool
	// End reports that a trial that was granted has ended, and whether the request ran. It does not
	// wait.
	End(keys []string, upstream HostName, ran bool)
}

// RetryLenders are other entries that lend retries of their parts of the retry budget.
type RetryLenders interface {
	// Borrow asks for n retries of a service, and returns how many are lent. They end
	// retry.LoanTime after the call began.
	Borrow(ctx context.Context, service ServiceName, n int) int
}

// CachedMark is a place in an engine's account of what it keeps. The zero CachedMark is the beginning.
type CachedMark struct {
	// Epoch identifies the account, which begins anew with each of the engine's incarnations.
	Epoch string
	Next  int64
}

// CachedPart is a part of prompts of a model or adapter that an engine begins to keep or, if Dropped
// is set, has let go.
type CachedPart struct {
	Model   ModelName
	Adapter string
	ID      string
	// Tokens is the number of its tokens that are kept.
	Tokens  int
	Dropped bool
}

// CachedNews are parts that an engine has begun to keep or let go, up to the mark.
type CachedNews struct {
	Mark CachedMark
	// Gap is set if some changes before these are missing.
	Gap   bool
	Parts []CachedPart
}

// CachedReporter is a Managed that tells which parts of prompts it keeps. Not each upstream does.
type CachedReporter interface {
	// CachedSince returns what has changed since a mark. It waits for a short time until there is
	// something.
	CachedSince(ctx context.Context, since CachedMark) (CachedNews, error)
	// CachedAll returns all parts that are kept, which delays the engine's work.
	CachedAll(ctx context.Context) (CachedNews, error)
}

// Managed is an upstream on a managed platform, as its agent controls it. An
// error of Order is an EngineError. Unless the error is EngineUnreached, the
// order may still be carried out, even seconds later, if its condition holds
// then.
type Managed interface {
	State(ctx context.Context) (UpstreamState, error)
	Order(ctx context.Context, o UpstreamOrder) (OrderResult, error)
	// Identity returns the ID that the upstream states on the path of its health checks, empty if it
	// states none.
	Identity(ctx context.Context, healthPath string) (HostName, error)
}
