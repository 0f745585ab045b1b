package core

import (
	"context"
	"io"
	"time"
)

// ItemState is where a model or adapter stands in an engine.
type ItemState uint8

// States of an item in an engine. Loading and Unloading hold memory as Loaded
// does: what is promised counts until the engine confirms that it is free.
const (
	Absent ItemState = iota
	Loading
	Loaded
	Unloading
	itemStateCount
)

var itemStateNames = [itemStateCount]string{"absent", "loading", "loaded", "unloading"}

// String returns the state's name.
func (s ItemState) String() string {
	if s >= itemStateCount {
		return "unknown"
	}
	return itemStateNames[s]
}

// MarshalText implements encoding.TextMarshaler.
func (s ItemState) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler. Its error is a NameError.
func (s *ItemState) UnmarshalText(text []byte) error {
	return parseName(s, "item state", itemStateNames[:], text)
}

// Tier is where a host holds a copy of a checkpoint, the cheapest first.
type Tier uint8

// Tiers of checkpoints.
const (
	TierMemory Tier = iota
	TierDisk
	TierStore
	tierCount
)

var tierNames = [tierCount]string{"memory", "disk", "store"}

// String returns the tier's name.
func (t Tier) String() string {
	if t >= tierCount {
		return "unknown"
	}
	return tierNames[t]
}

// MarshalText implements encoding.TextMarshaler.
func (t Tier) MarshalText() ([]byte, error) { return []byte(t.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler. Its error is a NameError.
func (t *Tier) UnmarshalText(text []byte) error { return parseName(t, "tier", tierNames[:], text) }

// EngineItem is a model or adapter that an engine holds or is loading.
type EngineItem struct {
	Name  ModelName `json:"name"`
	Base  ModelName `json:"base,omitempty"`
	State ItemState `json:"state"`
	// Fence is the fencing number of the order that brought the item.
	Fence Fence `json:"fence"`
	// Accelerators are the indices of the accelerators the item lies on; Bytes
	// is what it holds on each.
	Accelerators []int `json:"accelerators"`
	Bytes        Bytes `json:"bytes"`
}

// EngineRun is a request in an engine.
type EngineRun struct {
	ID    RequestID `json:"id"`
	Model ModelName `json:"model"`
	// Emitted counts the bytes of the answer that the engine has produced.
	Emitted int64 `json:"emitted"`
}

// EngineCopy is a checkpoint held near an engine.
type EngineCopy struct {
	Name ModelName `json:"name"`
	Tier Tier      `json:"tier"`
}

// EngineState is an engine's own report.
type EngineState struct {
	// Epoch changes when the engine process restarts.
	Epoch uint64 `json:"epoch"`
	// Fence is the largest fencing number the engine has seen.
	Fence Fence `json:"fence"`
	// Capacity is the memory of each accelerator.
	Capacity []Bytes      `json:"capacity"`
	Items    []EngineItem `json:"items"`
	Runs     []EngineRun  `json:"runs"`
	Copies   []EngineCopy `json:"copies"`
	// Queued counts requests in the engine that are not in a batch yet.
	Queued int `json:"queued"`
}

// LoadOrder asks an engine to load a model or adapter. It is idempotent: the
// same item on the same accelerators is loaded once.
type LoadOrder struct {
	Name         ModelName `json:"name"`
	Base         ModelName `json:"base,omitempty"`
	Fence        Fence     `json:"fence"`
	Accelerators []int     `json:"accelerators"`
	Bytes        Bytes     `json:"bytes"`
	Source       Tier      `json:"source"`
	// GiveUp is when the engine may abandon the load; zero for never.
	GiveUp time.Time `json:"give-up"`
}

// UnloadOrder asks an engine to unload an item.
type UnloadOrder struct {
	Name  ModelName `json:"name"`
	Fence Fence     `json:"fence"`
}

// EngineWork is a request as handed to an engine or plain service.
type EngineWork struct {
	ID       RequestID
	Model    ModelName
	Method   string
	Path     string
	Header   map[string][]string
	Body     []byte
	Priority Class
	Deadline time.Time
	// Trace is the W3C traceparent of the hop above.
	Trace string
}

// Answer is an upstream's answer whose body is still being read. Closing it
// before the end cancels the request at the upstream.
type Answer struct {
	Status int
	Header map[string][]string
	Body   io.ReadCloser
}

// Engine is one upstream: a model engine or a plain service, which takes no
// orders. All errors are EngineErrors.
type Engine interface {
	// State returns the engine's report.
	State(ctx context.Context) (EngineState, error)
	// Load starts a load; State tells when it has ended.
	Load(ctx context.Context, o LoadOrder) error
	// Unload starts an unload; State tells when it has ended.
	Unload(ctx context.Context, o UnloadOrder) error
	// Run hands a request over and returns its answer.
	Run(ctx context.Context, w EngineWork) (Answer, error)
	// Resume continues the body of a running answer from an offset in bytes.
	Resume(ctx context.Context, id RequestID, offset int64) (Answer, error)
	// Cancel ends a running request.
	Cancel(ctx context.Context, id RequestID) error
}

// EngineFault classes what can go wrong with a call to an engine.
type EngineFault uint8

// Faults of engine calls.
const (
	// EngineUnreached: no connection was made; the engine saw nothing.
	EngineUnreached EngineFault = iota
	// EngineLost: the connection broke after the call was sent.
	EngineLost
	// EngineStale: the order's fencing number is older than one seen.
	EngineStale
	// EngineRejected: the engine refuses the call and did nothing.
	EngineRejected
	// EngineNoMemory: the order does not fit.
	EngineNoMemory
	engineFaultCount
)

var engineFaultNames = [engineFaultCount]string{"unreached", "lost", "stale", "rejected", "no-memory"}

// String returns the fault's name.
func (f EngineFault) String() string {
	if f >= engineFaultCount {
		return "unknown"
	}
	return engineFaultNames[f]
}

// EngineError is the error of every Engine call.
type EngineError struct {
	Fault  EngineFault
	Status int
	Cause  error
}

// Error implements error.
func (e *EngineError) Error() string {
	s := "engine " + e.Fault.String()
	if e.Cause != nil {
		s += ": " + e.Cause.Error()
	}
	return s
}

// Unwrap returns the cause.
func (e *EngineError) Unwrap() error { return e.Cause }
