package meter

// Hop is a stage in the processing of a request.
type Hop int

// Hops, in the order in which a request passes through them.
const (
	EntryQueue Hop = iota
	AgentQueue
	Load
	FirstToken
	Stream
	hopCount
)

var hopNames = [hopCount]string{"entry-queue", "agent-queue", "load", "first-token", "stream"}

// String returns the hop's name in metrics and traces.
func (h Hop) String() string { return nameOf(hopNames[:], int(h)) }

// Verb is the type of a call of the platform.
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

// UnloadCause is the reason why a model or adapter was unloaded.
type UnloadCause int

// Causes of unloads.
const (
	// UnloadIdle: there were no more requests for it.
	UnloadIdle UnloadCause = iota
	// UnloadEvicted: its memory was needed for another one.
	UnloadEvicted
	// UnloadRevoked: the host lost its grant.
	UnloadRevoked
	unloadCauseCount
)

var unloadCauseNames = [unloadCauseCount]string{"idle", "evicted", "revoked"}

// String returns the cause's name.
func (c UnloadCause) String() string { return nameOf(unloadCauseNames[:], int(c)) }

// TurnOutcome is how a request at an entry on a managed platform came to its turn.
type TurnOutcome int

// Outcomes of waiting for a turn.
const (
	// TurnAtOnce: it was sent on arrival, or refused for another reason than a lack of room.
	TurnAtOnce TurnOutcome = iota
	// TurnAfterLoad: it waited for a copy of its model.
	TurnAfterLoad
	// TurnHeld: it waited for room at a host.
	TurnHeld
	// TurnRefused: there would not have been room in time.
	TurnRefused
	turnOutcomeCount
)

var turnOutcomeNames = [turnOutcomeCount]string{"at-once", "after-load", "held", "refused"}

// String returns the outcome's name.
func (o TurnOutcome) String() string { return nameOf(turnOutcomeNames[:], int(o)) }

// UpstreamSignal is a state that an upstream announces in its answers.
type UpstreamSignal int

// Signals of upstreams.
const (
	// SignalLimited: the upstream accepts a limited number of requests a second.
	SignalLimited UpstreamSignal = iota
	// SignalLeaving: the upstream is leaving.
	SignalLeaving
	// SignalBackoff: the upstream accepts no requests of this process for some time.
	SignalBackoff
	upstreamSignalCount
)

var upstreamSignalNames = [upstreamSignalCount]string{"limited", "leaving", "backoff"}

// String returns the signal's name.
func (s UpstreamSignal) String() string { return nameOf(upstreamSignalNames[:], int(s)) }

// ClaimResult is the result of claiming an idempotency key.
type ClaimResult int

// Results of claims.
const (
	// ClaimWon: the request may run.
	ClaimWon ClaimResult = iota
	// ClaimHeld: the key has already been claimed.
	ClaimHeld
	// ClaimUnavailable: the platform could not record the claim.
	ClaimUnavailable
	claimResultCount
)

var claimResultNames = [claimResultCount]string{"won", "held", "unavailable"}

// String returns the result's name.
func (r ClaimResult) String() string { return nameOf(claimResultNames[:], int(r)) }

// nameOf returns the name with an index, or "unknown" if it is out of range. It does not
// panic, since a metric must not make a request fail.
func nameOf(names []string, n int) string {
	if n < 0 || n >= len(names) {
		return "unknown"
	}
	return names[n]
}
