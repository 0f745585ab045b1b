package core

import (
	"context"
	"io"
	"time"
)

// ItemState is the state of a model or adapter in an engine.
type ItemState uint8

// States of an item in an engine. Loading and Unloading count as holding memory
// just as Loaded does: reserved memory counts until the engine confirms that it
// is free.
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

// Tier is the storage tier that holds a copy of a checkpoint.
type Tier uint8

// Tiers of checkpoints, the cheapest to load from first.
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
	// Fence is the fencing number of the order that loaded the item.
	Fence Fence `json:"fence"`
	// Accelerators are the indices of the accelerators that hold the item; Bytes
	// is the memory it takes on each.
	Accelerators []int `json:"accelerators"`
	Bytes        Bytes `json:"bytes"`
}

// EngineRun is a request that is in an engine.
type EngineRun struct {
	ID    RequestID `json:"id"`
	Model ModelName `json:"model"`
	// Emitted is the number of bytes of the answer produced so far.
	Emitted int64 `json:"emitted"`
}

// EngineCopy is a copy of a checkpoint that an engine can load from.
type EngineCopy struct {
	Name ModelName `json:"name"`
	Tier Tier      `json:"tier"`
}

// EngineState is the state that an engine reports.
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
	// Queued is the number of requests in the engine that are not in a batch yet.
	Queued int `json:"queued"`
}

// LoadOrder orders an engine to load a model or adapter. It is idempotent: the
// same item on the same accelerators is loaded once.
type LoadOrder struct {
	Name         ModelName `json:"name"`
	Base         ModelName `json:"base,omitempty"`
	Fence        Fence     `json:"fence"`
	Accelerators []int     `json:"accelerators"`
	Bytes        Bytes     `json:"bytes"`
	Source       Tier      `json:"source"`
	// GiveUp is when the engine may abandon the load; zero means never.
	GiveUp time.Time `json:"give-up"`
}

// UnloadOrder orders an engine to unload a model or adapter.
type UnloadOrder struct {
	Name  ModelName `json:"name"`
	Fence Fence     `json:"fence"`
}

// EngineWork is a request as it is sent to an engine or plain service.
type EngineWork struct {
	ID     RequestID
	Model  ModelName
	Method string
	// Path is the path and the query as the caller sent them.
	Path     string
	Header   map[string][]string
	Body     []byte
	Priority Class
	Deadline time.Time
	// Trace is the W3C traceparent of the previous hop.
	Trace string
}

// Answer is an upstream's answer whose body is still being read. Closing Body
// before its end cancels the request at the upstream.
type Answer struct {
	Status  int
	Header  map[string][]string
	Framing Framing
	Body    io.ReadCloser
}

// Engine is one upstream: a model engine, or a plain service, which takes no
// orders. All errors are EngineErrors.
type Engine interface {
	// State returns the state that the engine reports.
	State(ctx context.Context) (EngineState, error)
	// Load starts a load. State shows when it has completed.
	Load(ctx context.Context, o LoadOrder) error
	// Unload starts an unload. State shows when it has completed.
	Unload(ctx context.Context, o UnloadOrder) error
	// Run sends a request and returns its answer.
	Run(ctx context.Context, w EngineWork) (Answer, error)
	// Resume reads the body of a running answer from an offset in bytes.
	Resume(ctx context.Context, id RequestID, offset int64) (Answer, error)
	// Cancel aborts a running request.
	Cancel(ctx context.Context, id RequestID) error
}

// EngineFault classifies the failure of a call to an engine.
type EngineFault uint8

// Faults of engine calls.
const (
	// EngineUnreached: no connection was made, so the engine did not receive the
	// call.
	EngineUnreached EngineFault = iota
	// EngineLost: the connection broke after the call was sent.
	EngineLost
	// EngineStale: the engine has seen a larger fencing number than the order's.
	EngineStale
	// EngineRejected: the engine refused the call and did nothing.
	EngineRejected
	// EngineNoMemory: the item does not fit into the engine's memory.
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
