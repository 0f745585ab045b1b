package events

import (
	"slices"
	"strconv"
)

// Event is one of the numbered log events.
type Event int

// Events of a process.
const (
	Start Event = iota
	Ready
	StopBegun
	StopFinished
	StopCut
	SettingsInvalid
	GoroutineFailed

	CatalogueInForce
	CatalogueRejected
	CataloguePending
	CatalogueDeleted
	StatusNotWritten

	LeaseTaken
	LeaseLost
	GrantAdded
	GrantRevoked
	GrantReleased
	DecisionFailed

	LoadStarted
	LoadFinished
	LoadFailed
	Unloaded
	Evicted
	EngineRestarted
	EngineUnreachable
	EngineBack
	LedgerCorrected
	OrderStale

	HostSuspected
	HostBack
	HostLeaving
	HostGone
	HostSlow
	HostLapsed

	RequestRefused
	RequestMayHaveRun
	RequestStruck
	RequestQuarantined
	StreamResumed
	ClaimSettled
	ClaimsUnavailable

	PlatformUnreachable
	PlatformBack
	WatchRestarted
	PlatformBudget
	PeerUnreachable
	PeerRefused
	ConnectionSilent
	SlotFallback
	ConnectionFailed
	TransferCut
	ReplicaBehind
	ReplicaCaughtUp

	CertificateLoaded
	CertificateInvalid
	CertificateExpiring
	TraceExportFailed

	TableInForce
	TableRejected
	RegistryEntryUnusable
	RequestServed
	OrderSent
	GoalTaken
	PlannerChanged
	SettingsRead
	LinesLeftOut
	FenceTaken
	GoalDropped
	RelayChanged
	RelayAsked
	EngineTaken
	EngineGivenUp
	KeeperChanged
	UpstreamLimited
	UpstreamLeaving
	UpstreamBackoff
	UpstreamFieldUnknown
	TableDecoded
	eventCount
)

// Severity tells how much an event matters.
type Severity string

// Severities. An error needs an operator, a warning may need one.
const (
	Info    Severity = "info"
	Warning Severity = "warning"
	Error   Severity = "error"
)

// Row describes an event.
type Row struct {
	Event Event
	// Name is the event's name in kebab case.
	Name     string
	Severity Severity
	// Verbosity is the level from which the event is written; zero is always.
	Verbosity int
	// Sampled tells that only a few a second are written.
	Sampled bool
	// Failure tells that a sampled event is about a request that was not served:
	// more of these are written.
	Failure bool
	// Text is the line's sentence.
	Text string
	// Advice tells an operator what to do.
	Advice string
	// ID is the number, such as RW1001.
	ID string
}

const noAction = "Nothing."

var table = numbered([]Row{
	{Event: Start, Name: "start", Severity: Info, Text: "Process starts", Advice: noAction},
	{Event: Ready, Name: "ready", Severity: Info, Text: "Process is ready for work", Advice: noAction},
	{Event: StopBegun, Name: "stop-begun", Severity: Info, Text: "Planned stop begins; no new work is taken", Advice: noAction},
	{Event: StopFinished, Name: "stop-finished", Severity: Info, Text: "Planned stop is complete", Advice: noAction},
	{Event: StopCut, Name: "stop-cut", Severity: Warning, Text: "Planned stop reached limits.stop-grace with requests in progress", Advice: "Raise limits.stop-grace above the longest deadline in use."},
	{Event: SettingsInvalid, Name: "settings-invalid", Severity: Error, Text: "Settings cannot be used", Advice: "Run radishwell check on the file and mend what it lists."},
	{Event: GoroutineFailed, Name: "goroutine-failed", Severity: Error, Text: "Part of the process ended with an error", Advice: "Read the error. The process stops or starts the part again; report it if it recurs."},

	{Event: CatalogueInForce, Name: "catalogue-in-force", Severity: Info, Text: "Catalogue change is in force", Advice: noAction},
	{Event: CatalogueRejected, Name: "catalogue-rejected", Severity: Warning, Text: "Catalogue edit is rejected; the last good version stays in force", Advice: "Read the entry's status and mend the entry."},
	{Event: CataloguePending, Name: "catalogue-pending", Severity: Warning, Text: "Catalogue entry refers to one that is not in force, and is not served", Advice: "Add what the entry's status names, or mend the reference."},
	{Event: CatalogueDeleted, Name: "catalogue-deleted", Severity: Info, Text: "Catalogue entry is deleted", Advice: noAction},
	{Event: StatusNotWritten, Name: "status-not-written", Severity: Warning, Text: "Status of a catalogue entry could not be written", Advice: "Nothing while the platform is down: it is tried again. Otherwise check the token's rights to write status."},

	{Event: LeaseTaken, Name: "lease-taken", Severity: Info, Text: "This entry now decides for the fleet", Advice: noAction},
	{Event: LeaseLost, Name: "lease-lost", Severity: Warning, Text: "This entry no longer decides for the fleet", Advice: "Nothing if another entry took the lease. If it recurs, look at the platform's answer times."},
	{Event: GrantAdded, Name: "grant-added", Severity: Info, Verbosity: 1, Text: "Host may hold a model", Advice: noAction},
	{Event: GrantRevoked, Name: "grant-revoked", Severity: Info, Verbosity: 1, Text: "Host has to give up a model", Advice: noAction},
	{Event: GrantReleased, Name: "grant-released", Severity: Info, Verbosity: 1, Text: "Host has given up a model", Advice: noAction},
	{Event: DecisionFailed, Name: "decision-failed", Severity: Warning, Text: "Decision could not be written to the platform", Advice: "Nothing while the platform is down: it is decided anew. Requests with a grant go on."},

	{Event: LoadStarted, Name: "load-started", Severity: Info, Text: "Load of a model or adapter starts", Advice: noAction},
	{Event: LoadFinished, Name: "load-finished", Severity: Info, Text: "Model or adapter is loaded", Advice: noAction},
	{Event: LoadFailed, Name: "load-failed", Severity: Warning, Text: "Load of a model or adapter failed", Advice: "Look at the engine's log and at the weight store. Another granted host is tried."},
	{Event: Unloaded, Name: "unloaded", Severity: Info, Text: "Model or adapter is unloaded", Advice: noAction},
	{Event: Evicted, Name: "evicted", Severity: Info, Text: "Idle model or adapter is unloaded to make room", Advice: "If the same models are evicted again and again, the service needs more memory."},
	{Event: EngineRestarted, Name: "engine-restarted", Severity: Warning, Text: "Engine has restarted; what it held is lost", Advice: "Look at the engine's log. Requests that crash engines are quarantined by themselves."},
	{Event: EngineUnreachable, Name: "engine-unreachable", Severity: Error, Text: "Engine cannot be reached", Advice: "Check that the upstream runs and that engine.address is right."},
	{Event: EngineBack, Name: "engine-back", Severity: Info, Text: "Engine can be reached again", Advice: noAction},
	{Event: LedgerCorrected, Name: "ledger-corrected", Severity: Warning, Text: "Engine holds something else than the ledger says; the ledger follows the engine", Advice: "Find out who else gives the engine orders."},
	{Event: OrderStale, Name: "order-stale", Severity: Warning, Text: "Engine refused an order for its old fencing number", Advice: "Nothing if an agent was replaced. If it recurs, two agents stand beside one engine."},

	{Event: HostSuspected, Name: "host-suspected", Severity: Warning, Text: "Upstream host does not answer; requests go elsewhere", Advice: "Check the host if it does not come back."},
	{Event: HostBack, Name: "host-back", Severity: Info, Text: "Upstream host answers again", Advice: noAction},
	{Event: HostLeaving, Name: "host-leaving", Severity: Info, Text: "Host is leaving and gets no new work", Advice: noAction},
	{Event: HostGone, Name: "host-gone", Severity: Info, Text: "Host is no longer listed by the platform", Advice: noAction},
	{Event: HostSlow, Name: "host-slow", Severity: Warning, Sampled: true, Text: "Upstream host is much slower than its like and gets less work", Advice: "Check the host's accelerators and network if it stays so."},
	{Event: HostLapsed, Name: "host-lapsed", Severity: Info, Text: "Host's registry entry is gone; it counts as there for a moment, since the platform could not be reached just before", Advice: noAction},

	{Event: RequestRefused, Name: "request-refused", Severity: Info, Sampled: true, Failure: true, Text: "Request is refused", Advice: "See the code in docs/ERRORS.md."},
	{Event: RequestMayHaveRun, Name: "request-may-have-run", Severity: Warning, Sampled: true, Failure: true, Text: "Request ended without a whole answer and may have run", Advice: "The caller was told so. Look for a lost host or engine at that time."},
	{Event: RequestStruck, Name: "request-struck", Severity: Warning, Sampled: true, Text: "Engine failed with a request in it", Advice: "Nothing: after a few failures the request is quarantined."},
	{Event: RequestQuarantined, Name: "request-quarantined", Severity: Warning, Sampled: true, Text: "Request has crashed engines and is refused everywhere", Advice: "Find the caller by the fingerprint; report the request to the engine's makers."},
	{Event: StreamResumed, Name: "stream-resumed", Severity: Info, Sampled: true, Text: "Answer goes on over a new connection", Advice: "If it recurs, something between the hosts loses connections."},
	{Event: ClaimSettled, Name: "claim-settled", Severity: Info, Sampled: true, Text: "Lost answer to a claim was settled by reading it back", Advice: noAction},
	{Event: ClaimsUnavailable, Name: "claims-unavailable", Severity: Warning, Sampled: true, Text: "Idempotency key cannot be recorded; the request is refused", Advice: "The platform is down or slow. Callers may try again."},

	{Event: PlatformUnreachable, Name: "platform-unreachable", Severity: Error, Text: "Platform cannot be reached", Advice: "Check the platform. Requests with a grant go on; catalogue edits and moves wait."},
	{Event: PlatformBack, Name: "platform-back", Severity: Info, Text: "Platform can be reached again", Advice: noAction},
	{Event: WatchRestarted, Name: "watch-restarted", Severity: Info, Text: "Watch of the platform starts again", Advice: "Nothing, unless it happens every few seconds."},
	{Event: PlatformBudget, Name: "platform-budget", Severity: Warning, Sampled: true, Text: "Call of the platform waits for the process's budget of calls", Advice: "If it lasts, look which calls grow in the metrics."},
	{Event: PeerUnreachable, Name: "peer-unreachable", Severity: Info, Verbosity: 1, Sampled: true, Text: "Other process cannot be reached", Advice: noAction},
	{Event: PeerRefused, Name: "peer-refused", Severity: Warning, Sampled: true, Text: "Connection without a valid certificate for its role is refused", Advice: "Check the other side's certificate: authority, role, host name, dates. If it is none of yours, find out who knocks."},
	{Event: ConnectionSilent, Name: "connection-silent", Severity: Warning, Sampled: true, Text: "Connection went silent and is closed", Advice: "If it recurs between the same hosts, look at what is between them."},
	{Event: SlotFallback, Name: "slot-fallback", Severity: Info, Sampled: true, Text: "Decider does not answer; loads go on under the host's own share of the weight store", Advice: noAction},
	{Event: ConnectionFailed, Name: "connection-failed", Severity: Info, Verbosity: 1, Sampled: true, Text: "Connection failed before a request was read", Advice: "Nothing, unless it is another process of the system: then see peer-refused on both sides."},
	{Event: TransferCut, Name: "transfer-cut", Severity: Warning, Sampled: true, Text: "Exchange with another process ended by its deadline while its answer arrived", Advice: "If it recurs, the link of one of the two hosts is full: look which, and with what."},
	{Event: ReplicaBehind, Name: "replica-behind", Severity: Warning, Text: "Replica lacks a change that another process has named", Advice: "If replica-caught-up does not follow within seconds, look for transfer-cut and platform-unreachable of this host."},
	{Event: ReplicaCaughtUp, Name: "replica-caught-up", Severity: Info, Text: "Replica has the change that it lacked", Advice: noAction},

	{Event: CertificateLoaded, Name: "certificate-loaded", Severity: Info, Text: "TLS files are in use", Advice: noAction},
	{Event: CertificateInvalid, Name: "certificate-invalid", Severity: Error, Text: "Changed TLS files cannot be used; the former ones stay in use", Advice: "Mend the files. Replace all of them before the old certificate ends."},
	{Event: CertificateExpiring, Name: "certificate-expiring", Severity: Warning, Text: "Certificate ends soon", Advice: "Put a new certificate in its place; it is read without a restart."},
	{Event: TraceExportFailed, Name: "trace-export-failed", Severity: Warning, Sampled: true, Text: "Traces could not be sent", Advice: "Check telemetry.otlp and the collector. Requests are not held up."},

	{Event: TableInForce, Name: "table-in-force", Severity: Info, Text: "Routing table is in force", Advice: noAction},
	{Event: TableRejected, Name: "table-rejected", Severity: Error, Sampled: true, Text: "Routing table cannot be used; the last good one stays in force", Advice: "Mend the table; the error names the route."},
	{Event: RegistryEntryUnusable, Name: "registry-entry-unusable", Severity: Warning, Sampled: true, Text: "Entry of the platform's registry cannot be read and names no host", Advice: "Find out who wrote the entry."},
	{Event: RequestServed, Name: "request-served", Severity: Info, Sampled: true, Text: "Request has its answer", Advice: noAction},
	{Event: OrderSent, Name: "order-sent", Severity: Info, Text: "Upstream got an order", Advice: noAction},
	{Event: GoalTaken, Name: "goal-taken", Severity: Info, Text: "Agent follows a new goal for its upstream", Advice: noAction},
	{Event: PlannerChanged, Name: "planner-changed", Severity: Info, Text: "Another entry plans which hosts hold which models", Advice: "Nothing, unless it changes every few seconds: then look whether entries reach the agents."},
	{Event: SettingsRead, Name: "settings-read", Severity: Info, Text: "Settings were read again", Advice: noAction},
	{Event: LinesLeftOut, Name: "lines-left-out", Severity: Warning, Text: "Lines of the log were left out, since nobody read them", Advice: "Find out why the process's output is not read."},
	{Event: FenceTaken, Name: "fence-taken", Severity: Info, Text: "Agent has its fencing number and may order its upstream", Advice: noAction},
	{Event: GoalDropped, Name: "goal-dropped", Severity: Info, Text: "Agent drops its goal, since requests for a model to give up are in progress", Advice: noAction},
	{Event: RelayChanged, Name: "relay-changed", Severity: Info, Text: "Entry follows other agents than before, as a relay or no longer as one", Advice: "Nothing, unless it changes every few seconds: then look whether entries of that data centre reach each other."},
	{Event: RelayAsked, Name: "relay-asked", Severity: Info, Text: "Entry asks another relay for the upstream hosts' reports", Advice: noAction},
	{Event: EngineTaken, Name: "engine-taken", Severity: Info, Text: "Entry orders an engine that has no agent", Advice: noAction},
	{Event: EngineGivenUp, Name: "engine-given-up", Severity: Info, Text: "Entry no longer orders an engine that has no agent", Advice: "Nothing, unless no other entry takes it on within half a minute: then look whether entries reach the platform's store."},
	{Event: KeeperChanged, Name: "keeper-changed", Severity: Info, Text: "Another entry counts what customers use of their allowances", Advice: "Nothing, unless it changes every few seconds: then look whether entries reach each other."},
	{Event: UpstreamLimited, Name: "upstream-limited", Severity: Warning, Text: "Upstream names another rate limit than before", Advice: "If it lasts, the service needs more hosts, or its models more copies."},
	{Event: UpstreamLeaving, Name: "upstream-leaving", Severity: Info, Text: "Upstream says in an answer that it leaves", Advice: noAction},
	{Event: UpstreamBackoff, Name: "upstream-backoff", Severity: Info, Text: "Upstream turns requests of this entry away and says when to retry", Advice: "If it recurs, the service needs more hosts."},
	{Event: UpstreamFieldUnknown, Name: "upstream-field-unknown", Severity: Warning, Text: "Upstream's answer has a field of the platform's that is not known here", Advice: "The platform's protocol has grown: find out what the field asks for. Each name is told once."},
	{Event: TableDecoded, Name: "table-decoded", Severity: Info, Text: "Routing table was read from its document", Advice: noAction},
})

// First numbers of the groups: a group starts at the next hundred, so that
// events can be added to it without renumbering.
var groups = map[Event]int{
	Start:               1001,
	CatalogueInForce:    1101,
	LeaseTaken:          1201,
	LoadStarted:         1301,
	HostSuspected:       1401,
	RequestRefused:      1501,
	PlatformUnreachable: 1601,
	CertificateLoaded:   1701,
	TableInForce:        1801,
}

// numbered gives each row its ID and puts it at the index of its event.
func numbered(rows []Row) []Row {
	out := make([]Row, eventCount)
	next := 0
	for _, row := range rows {
		if first, ok := groups[row.Event]; ok {
			next = first
		}
		row.ID = "RW" + strconv.Itoa(next)
		out[row.Event] = row
		next++
	}
	return out
}

// Info returns the event's row.
func (e Event) Info() Row {
	if e < 0 || e >= eventCount {
		return Row{Event: e, Name: "unknown", ID: "RW0000", Severity: Error, Text: "Unknown event"}
	}
	return table[e]
}

// Rows returns the table of all events.
func Rows() []Row { return slices.Clone(table) }
