package meter

// Hop is a stretch of a request's way.
type Hop int

// Hops in the order in which a request meets them.
const (
	EntryQueue Hop = iota
	AgentQueue
	Load
	FirstToken
	Stream
	hopCount
)

var hopNames = [hopCount]string{"entry-queue", "agent-queue", "load", "first-token", "stream"}

// String returns the hop's name as it stands in metrics and traces.
func (h Hop) String() string { return nameOf(hopNames[:], int(h)) }

// Verb is a call of the platform.
type Verb int

// Verbs of the platform.
const (
	List Verb = iota
	Get
	Create
	Update
	UpdateStatus
	Delete
	Watch
	verbCount
)

var verbNames = [verbCount]string{"list", "get", "create", "update", "update-status", "delete", "watch"}

// String returns the verb's name.
func (v Verb) String() string { return nameOf(verbNames[:], int(v)) }

// UnloadCause is why a model or adapter was unloaded.
type UnloadCause int

// Causes of unloads.
const (
	// UnloadIdle: nobody asked for it any longer.
	UnloadIdle UnloadCause = iota
	// UnloadEvicted: its memory was needed.
	UnloadEvicted
	// UnloadRevoked: the host lost its grant.
	UnloadRevoked
	unloadCauseCount
)

var unloadCauseNames = [unloadCauseCount]string{"idle", "evicted", "revoked"}

// String returns the cause's name.
func (c UnloadCause) String() string { return nameOf(unloadCauseNames[:], int(c)) }

// UpstreamSignal is what an upstream says of itself in its answers.
type UpstreamSignal int

// Signals of upstreams.
const (
	// SignalLimited: it takes so many requests a second.
	SignalLimited UpstreamSignal = iota
	// SignalLeaving: it leaves.
	SignalLeaving
	// SignalBackoff: it wants no requests of this process for a time.
	SignalBackoff
	upstreamSignalCount
)

var upstreamSignalNames = [upstreamSignalCount]string{"limited", "leaving", "backoff"}

// String returns the signal's name.
func (s UpstreamSignal) String() string { return nameOf(upstreamSignalNames[:], int(s)) }

// ClaimResult is how a claim of an idempotency key ended.
type ClaimResult int

// Results of claims.
const (
	// ClaimWon: the request may run.
	ClaimWon ClaimResult = iota
	// ClaimHeld: the key is claimed already.
	ClaimHeld
	// ClaimUnavailable: the platform could not record it.
	ClaimUnavailable
	claimResultCount
)

var claimResultNames = [claimResultCount]string{"won", "held", "unavailable"}

// String returns the result's name.
func (r ClaimResult) String() string { return nameOf(claimResultNames[:], int(r)) }

// nameOf returns a name by its number. A number out of range is shown as such
// rather than ending the process: metrics are no reason to fail a request.
func nameOf(names []string, n int) string {
	if n < 0 || n >= len(names) {
		return "unknown"
	}
	return names[n]
}
