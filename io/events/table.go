package events

import (
	"slices"
	"strconv"
)

// Event is the index of an event in the table. Log lines contain its ID instead, such as
// RW1001.
type Event int

// The events of a process, in the order of their numbers. A new event is added at the end
// of its group, so that the numbers of the others stay.
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
	RequestUnsent

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
	PartsStruck
	PartRefused
	PartTried
	ConnectionRefused
	SlowCallerEnded
	RequestTried
	RequestRepeated
	RepeatRefused
	SendUnread
	RetriesReleased
	RequestWithdrawn
	PartTrialEnded

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
	ListOlder
	StoreRestored
	ChangeArrived

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
	StreamOriginUnknown
	CachedListed
	SoftwareRecorded
	SoftwareUnrecorded
	OriginsSaved
	StreamOriginRead
	UpstreamProbed
	IncarnationDenied
	eventCount
)

// Severity is the severity of an event.
type Severity string

// Severities. An error requires an operator's action, a warning may require it.
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
	// Verbosity is the lowest log verbosity at which the event is written; an event of
	// zero is always written.
	Verbosity int
	// Sampled is set if the event is written at a bounded rate.
	Sampled bool
	// Failure is set if a sampled event is about a request that was not served. Such
	// events have a higher bound.
	Failure bool
	// Text is the sentence of the log line.
	Text string
	// Advice describes to operators what to do.
	Advice string
	// ID is the number, such as RW1001. It never changes.
	ID string
}

const noAction = "Nothing."

var table = numbered([]Row{
	{Event: Start, Name: "start", Severity: Info, Text: "Process starts", Advice: noAction},
	{Event: Ready, Name: "ready", Severity: Info, Text: "Process is ready for work", Advice: noAction},
	{Event: StopBegun, Name: "stop-begun", Severity: Info, Text: "Planned stop begins; no new work is accepted", Advice: noAction},
	{Event: StopFinished, Name: "stop-finished", Severity: Info, Text: "Planned stop is complete", Advice: noAction},
	{Event: StopCut, Name: "stop-cut", Severity: Warning, Text: "Planned stop reached limits.stop-grace while requests were in progress", Advice: "Raise limits.stop-grace above the longest deadline in use."},
	{Event: SettingsInvalid, Name: "settings-invalid", Severity: Error, Text: "Settings cannot be used", Advice: "Run radishwell check on the file and fix the problems that it lists."},
	{Event: GoroutineFailed, Name: "goroutine-failed", Severity: Error, Text: "Part of the process ended with an error", Advice: "Read the error. The process stops or restarts the part; report the error if it recurs."},

	{Event: CatalogueInForce, Name: "catalogue-in-force", Severity: Info, Text: "Catalogue change is in force", Advice: noAction},
	{Event: CatalogueRejected, Name: "catalogue-rejected", Severity: Warning, Text: "Catalogue edit is rejected; the last valid version stays in force", Advice: "Read the entry's status and fix the entry."},
	{Event: CataloguePending, Name: "catalogue-pending", Severity: Warning, Text: "Catalogue entry is not served, since it refers to an entry that is not in force", Advice: "Add the entry that the status names, or fix the reference."},
	{Event: CatalogueDeleted, Name: "catalogue-deleted", Severity: Info, Text: "Catalogue entry is deleted", Advice: noAction},
	{Event: StatusNotWritten, Name: "status-not-written", Severity: Warning, Text: "Status of a catalogue entry could not be written", Advice: "Nothing while the platform is down: the write is retried. Otherwise, check that the token has the permission to write statuses."},

	{Event: LeaseTaken, Name: "lease-taken", Severity: Info, Text: "This entry now decides for the fleet", Advice: noAction},
	{Event: LeaseLost, Name: "lease-lost", Severity: Warning, Text: "This entry no longer decides for the fleet", Advice: "Nothing if another entry took the lease. If it recurs, check the platform's latency."},
	{Event: GrantAdded, Name: "grant-added", Severity: Info, Verbosity: 1, Text: "Host is granted a model", Advice: noAction},
	{Event: GrantRevoked, Name: "grant-revoked", Severity: Info, Verbosity: 1, Text: "Host's grant of a model is revoked", Advice: noAction},
	{Event: GrantReleased, Name: "grant-released", Severity: Info, Verbosity: 1, Text: "Host has released its grant of a model", Advice: noAction},
	{Event: DecisionFailed, Name: "decision-failed", Severity: Warning, Text: "Decision could not be written to the platform", Advice: "Nothing while the platform is down: the decision is made again later. Requests for models with a grant are still served."},

	{Event: LoadStarted, Name: "load-started", Severity: Info, Text: "Load of a model or adapter starts", Advice: noAction},
	{Event: LoadFinished, Name: "load-finished", Severity: Info, Text: "Model or adapter is loaded", Advice: noAction},
	{Event: LoadFailed, Name: "load-failed", Severity: Warning, Text: "Load of a model or adapter failed", Advice: "Check the engine's log and the weight store. Another host with a grant is tried."},
	{Event: Unloaded, Name: "unloaded", Severity: Info, Text: "Model or adapter is unloaded", Advice: noAction},
	{Event: Evicted, Name: "evicted", Severity: Info, Text: "Idle model or adapter is unloaded to make room", Advice: "If the same models are evicted repeatedly, the service needs more memory."},
	{Event: EngineRestarted, Name: "engine-restarted", Severity: Warning, Text: "Engine has restarted; its loaded models and adapters are lost", Advice: "Check the engine's log. Requests that crash engines are quarantined automatically."},
	{Event: EngineUnreachable, Name: "engine-unreachable", Severity: Error, Text: "Engine cannot be reached", Advice: "Check that the upstream runs and that engine.address is right."},
	{Event: EngineBack, Name: "engine-back", Severity: Info, Text: "Engine can be reached again", Advice: noAction},
	{Event: LedgerCorrected, Name: "ledger-corrected", Severity: Warning, Text: "Engine's loaded models differ from the ledger; the ledger is corrected", Advice: "Find out what else sends orders to the engine."},
	{Event: OrderStale, Name: "order-stale", Severity: Warning, Text: "Engine refused an order because of its old fencing number", Advice: "Nothing if an agent was replaced. If it recurs, two agents are running for one engine."},
	{Event: RequestUnsent, Name: "request-unsent", Severity: Warning, Sampled: true, Failure: true, Text: "Request could not be sent to the engine", Advice: "Nothing if it is rare: the request has not run and may go to another host. The cause tells whether the engine refuses connections or takes too long."},

	{Event: HostSuspected, Name: "host-suspected", Severity: Warning, Text: "Upstream host does not respond; requests are routed to other hosts", Advice: "Check the host if it does not recover."},
	{Event: HostBack, Name: "host-back", Severity: Info, Text: "Upstream host responds again", Advice: noAction},
	{Event: HostLeaving, Name: "host-leaving", Severity: Info, Text: "Host is leaving and receives no new work", Advice: noAction},
	{Event: HostGone, Name: "host-gone", Severity: Info, Text: "Host is no longer listed by the platform", Advice: noAction},
	{Event: HostSlow, Name: "host-slow", Severity: Warning, Sampled: true, Text: "Upstream host is much slower than comparable hosts and receives less work", Advice: "Check the host's accelerators and network if the host remains slow."},
	{Event: HostLapsed, Name: "host-lapsed", Severity: Info, Text: "Host's registry entry is missing; the host is still used for a short time, since the platform was unreachable just before", Advice: noAction},

	{Event: RequestRefused, Name: "request-refused", Severity: Info, Sampled: true, Failure: true, Text: "Request is refused", Advice: "See the code in docs/ERRORS.md."},
	{Event: RequestMayHaveRun, Name: "request-may-have-run", Severity: Warning, Sampled: true, Failure: true, Text: "Request ended without a whole answer and may have run", Advice: "The caller was informed. Look for a lost host or engine at that time."},
	{Event: RequestStruck, Name: "request-struck", Severity: Warning, Sampled: true, Text: "Engine failed while it ran a request", Advice: "Nothing: the request is quarantined after a few failures."},
	{Event: RequestQuarantined, Name: "request-quarantined", Severity: Warning, Sampled: true, Text: "Request has crashed engines and is refused by all hosts", Advice: "Find the caller by the fingerprint, and report the request to the engine's developers."},
	{Event: StreamResumed, Name: "stream-resumed", Severity: Info, Sampled: true, Text: "Answer continues on a new connection", Advice: "If it recurs, check the network between the hosts for lost connections."},
	{Event: ClaimSettled, Name: "claim-settled", Severity: Info, Sampled: true, Text: "Claim whose answer was lost was resolved by reading it back", Advice: noAction},
	{Event: ClaimsUnavailable, Name: "claims-unavailable", Severity: Warning, Sampled: true, Text: "Idempotency key cannot be recorded; the request is refused", Advice: "The platform is down or slow. Callers may retry."},
	{Event: PartsStruck, Name: "parts-struck", Severity: Warning, Sampled: true, Text: "Engine failed while requests with this part in their prompts were there", Advice: "Nothing: a part is refused after a few failures that it explains."},
	{Event: PartRefused, Name: "part-refused", Severity: Warning, Sampled: true, Text: "Request has a part in its prompt that crashes engines; it is refused by all entries", Advice: "Find the callers by the part, and report it to the engine's developers. The refusal is final unless requests with the part were answered before."},
	{Event: PartTried, Name: "part-tried", Severity: Warning, Text: "Request with a refused part in its prompt is sent to one engine, to learn whether it still crashes", Advice: noAction},
	{Event: ConnectionRefused, Name: "connection-refused", Severity: Warning, Sampled: true, Text: "Caller's connection is closed before its request is read", Advice: "With the reason busy more connections come than the processor can serve: look at how the load balancer spreads them. With full, raise the limit of descriptors."},
	{Event: SlowCallerEnded, Name: "slow-caller-ended", Severity: Warning, Sampled: true, Text: "Caller that took nothing for seconds is ended, since the entry holds more than its bound", Advice: "If it recurs, find out why callers read slowly, or raise managed.buffer-share or the host's memory."},
	{Event: RequestTried, Name: "request-tried", Severity: Warning, Sampled: true, Text: "Request that may crash engines, or has such a part in its prompt, runs apart from others like it", Advice: "Nothing: whether it crashes the engine decides."},
	{Event: RequestRepeated, Name: "request-repeated", Severity: Info, Text: "Request is sent to one more upstream", Advice: "Nothing. Its figures are those of this process's retry budget for the service."},
	{Event: RepeatRefused, Name: "repeat-refused", Severity: Warning, Sampled: true, Text: "Retry budget allows no further upstream for a request", Advice: "Find out why the service's upstreams fail; the budget protects them."},
	{Event: SendUnread, Name: "send-unread", Severity: Info, Text: "Upstream has not answered a request that was given up, and may read it later", Advice: "Nothing. The send counts in the retry budget until the upstream is known to run, if the request was or is sent elsewhere."},
	{Event: RetriesReleased, Name: "retries-released", Severity: Info, Text: "Upstreams are known to have run since they were sent requests that they may not have read", Advice: "Nothing. The retries of these requests count as arrived by now."},
	{Event: RequestWithdrawn, Name: "request-withdrawn", Severity: Warning, Sampled: true, Text: "Request is withdrawn from its upstream before an answer began, since a part of its prompt crashes engines", Advice: "Find the callers by the part, and report it to the engine's developers."},
	{Event: PartTrialEnded, Name: "part-trial-ended", Severity: Info, Sampled: true, Text: "Request that ran apart from others, since a part of its prompt may crash engines, has ended", Advice: "Nothing: a trial that shows nothing is used up all the same."},

	{Event: PlatformUnreachable, Name: "platform-unreachable", Severity: Error, Text: "Platform cannot be reached", Advice: "Check the platform. Requests for models with a grant are still served; catalogue edits and moves of models wait."},
	{Event: PlatformBack, Name: "platform-back", Severity: Info, Text: "Platform can be reached again", Advice: noAction},
	{Event: WatchRestarted, Name: "watch-restarted", Severity: Info, Text: "Watch of the platform is restarted", Advice: "Nothing, unless it recurs every few seconds."},
	{Event: PlatformBudget, Name: "platform-budget", Severity: Warning, Sampled: true, Text: "Call of the platform waits for the process's call budget", Advice: "If it continues, check in the metrics which calls increase."},
	{Event: PeerUnreachable, Name: "peer-unreachable", Severity: Info, Verbosity: 1, Sampled: true, Text: "Other process cannot be reached", Advice: noAction},
	{Event: PeerRefused, Name: "peer-refused", Severity: Warning, Sampled: true, Text: "Connection without a valid certificate for its role is refused", Advice: "Check the peer's certificate: authority, role, host name, dates. If the peer is not part of the system, find out who connects."},
	{Event: ConnectionSilent, Name: "connection-silent", Severity: Warning, Sampled: true, Text: "Connection is closed, since its peer went silent", Advice: "If it recurs between the same hosts, check the network between them."},
	{Event: SlotFallback, Name: "slot-fallback", Severity: Info, Sampled: true, Text: "Decider does not respond; loads continue within the host's own share of the weight store", Advice: noAction},
	{Event: ConnectionFailed, Name: "connection-failed", Severity: Info, Verbosity: 1, Sampled: true, Text: "Connection failed before a request was read", Advice: "Nothing, unless the peer is a process of the system: then check both sides for peer-refused."},
	{Event: TransferCut, Name: "transfer-cut", Severity: Warning, Sampled: true, Text: "Exchange with another process reached its deadline while the answer was arriving", Advice: "If it recurs, the network link of one of the two hosts is saturated: find out which one, and by what traffic."},
	{Event: ReplicaBehind, Name: "replica-behind", Severity: Warning, Text: "Replica lacks a change that another process has reported", Advice: "If replica-caught-up does not follow within seconds, look for transfer-cut and platform-unreachable on this host."},
	{Event: ReplicaCaughtUp, Name: "replica-caught-up", Severity: Info, Text: "Replica has received the change that it lacked", Advice: noAction},
	{Event: ListOlder, Name: "list-older", Severity: Warning, Sampled: true, Text: "Platform listed an older state than the replica holds", Advice: "Nothing if it happens once. If it recurs, the platform has lost changes that it had acknowledged: look for store-restored."},
	{Event: StoreRestored, Name: "store-restored", Severity: Warning, Text: "Platform's store has been restored from a copy; what was written since the copy is lost", Advice: "Check that operators' latest changes are in the store."},
	{Event: ChangeArrived, Name: "change-arrived", Severity: Info, Text: "Change has reached the replica", Advice: "If its ages are over a second, they tell which step took long: until a peer named it, until it was offered for download, its turn, its transfer."},

	{Event: CertificateLoaded, Name: "certificate-loaded", Severity: Info, Text: "TLS files are in use", Advice: noAction},
	{Event: CertificateInvalid, Name: "certificate-invalid", Severity: Error, Text: "Changed TLS files cannot be used; the previous ones stay in use", Advice: "Fix the files. Replace all of them before the old certificate expires."},
	{Event: CertificateExpiring, Name: "certificate-expiring", Severity: Warning, Text: "Certificate expires soon", Advice: "Replace the certificate; the new one is read without a restart."},
	{Event: TraceExportFailed, Name: "trace-export-failed", Severity: Warning, Sampled: true, Text: "Traces could not be exported", Advice: "Check telemetry.otlp and the collector. Requests are not delayed."},

	{Event: TableInForce, Name: "table-in-force", Severity: Info, Text: "Routing table is in force", Advice: noAction},
	{Event: TableRejected, Name: "table-rejected", Severity: Error, Sampled: true, Text: "Routing table cannot be used; the last valid one stays in force", Advice: "Fix the table; the error names the route."},
	{Event: RegistryEntryUnusable, Name: "registry-entry-unusable", Severity: Warning, Sampled: true, Text: "Entry of the platform's registry cannot be decoded and lists no host", Advice: "Find out who wrote the entry."},
	{Event: RequestServed, Name: "request-served", Severity: Info, Sampled: true, Text: "Request has its answer", Advice: noAction},
	{Event: OrderSent, Name: "order-sent", Severity: Info, Text: "Order was sent to an upstream", Advice: noAction},
	{Event: GoalTaken, Name: "goal-taken", Severity: Info, Text: "Agent follows a new goal for its upstream", Advice: noAction},
	{Event: PlannerChanged, Name: "planner-changed", Severity: Info, Text: "Another entry plans which hosts hold which models", Advice: "Nothing, unless it recurs every few seconds: then check that entries can reach the agents."},
	{Event: SettingsRead, Name: "settings-read", Severity: Info, Text: "Settings were read again", Advice: noAction},
	{Event: LinesLeftOut, Name: "lines-left-out", Severity: Warning, Text: "Log lines were dropped, since the process's output was not read", Advice: "Find out why the process's output is not read."},
	{Event: FenceTaken, Name: "fence-taken", Severity: Info, Text: "Agent has its fencing number and may send orders to its upstream", Advice: noAction},
	{Event: GoalDropped, Name: "goal-dropped", Severity: Info, Text: "Agent drops its goal, since requests for a model to be unloaded are in progress", Advice: noAction},
	{Event: RelayChanged, Name: "relay-changed", Severity: Info, Text: "Scope of the agents that this entry follows has changed; it may have become a relay or ceased to be one", Advice: "Nothing, unless it recurs every few seconds: then check that the entries of that data centre can reach each other."},
	{Event: RelayAsked, Name: "relay-asked", Severity: Info, Text: "Entry asks another relay for the upstream hosts' reports", Advice: noAction},
	{Event: EngineTaken, Name: "engine-taken", Severity: Info, Text: "Entry now sends orders to an engine without an agent", Advice: noAction},
	{Event: EngineGivenUp, Name: "engine-given-up", Severity: Info, Text: "Entry no longer sends orders to an engine without an agent", Advice: "Nothing, unless no other entry takes over within half a minute: then check that entries can reach the platform's store."},
	{Event: KeeperChanged, Name: "keeper-changed", Severity: Info, Text: "Another entry counts customers' use of their allowances", Advice: "Nothing, unless it recurs every few seconds: then check that entries can reach each other."},
	{Event: UpstreamLimited, Name: "upstream-limited", Severity: Warning, Text: "Upstream's rate limit has changed", Advice: "If a low limit persists, the service needs more hosts, or its models need more copies."},
	{Event: UpstreamLeaving, Name: "upstream-leaving", Severity: Info, Text: "Upstream announced in an answer that it is leaving", Advice: noAction},
	{Event: UpstreamBackoff, Name: "upstream-backoff", Severity: Info, Text: "Upstream refuses requests of this entry until a given time", Advice: "If it recurs, the service needs more hosts."},
	{Event: UpstreamFieldUnknown, Name: "upstream-field-unknown", Severity: Warning, Text: "Upstream's answer contains an unknown header field of the platform", Advice: "The platform's protocol was extended: find out what the field means. Each name is logged once."},
	{Event: TableDecoded, Name: "table-decoded", Severity: Info, Text: "Routing table was decoded from its document", Advice: noAction},
	{Event: StreamOriginUnknown, Name: "stream-origin-unknown", Severity: Warning, Sampled: true, Text: "Caller resumes a stream of which no entry knows the software version that began it", Advice: "Nothing just after entries were lost. If it recurs, check that entries can reach each other, and that callers name the attempt that brought the first event."},
	{Event: CachedListed, Name: "cached-listed", Severity: Info, Text: "Agent listed all parts of prompts that its upstream keeps, since it had missed changes", Advice: "If it recurs every few seconds, the agent is too slow to follow: each list delays the upstream's work."},
	{Event: SoftwareRecorded, Name: "software-recorded", Severity: Info, Text: "Platform's record of software versions was written", Advice: noAction},
	{Event: SoftwareUnrecorded, Name: "software-unrecorded", Severity: Warning, Sampled: true, Text: "Stream began at a software version that could not be recorded in the platform", Advice: "Nothing during an outage of the platform's store. If all entries are lost before the record is written and the version has gone by then, such streams may be continued at another version."},
	{Event: OriginsSaved, Name: "origins-saved", Severity: Info, Sampled: true, Text: "Records of where streams began were written to the platform", Advice: noAction},
	{Event: StreamOriginRead, Name: "stream-origin-read", Severity: Info, Sampled: true, Text: "Caller resumes a stream whose software version is known from the platform's records only", Advice: "Nothing just after entries and agents were lost. If it recurs, check that entries can reach each other and the agents."},
	{Event: UpstreamProbed, Name: "upstream-probed", Severity: Info, Sampled: true, Text: "Entry asked an upstream whether it runs: its streams have paused, it may not have read requests, or the entry has started", Advice: "Nothing if it recurs for a few seconds. If an upstream responds for longer while its agent is silent, find out why the agent does not run; if it is silent while its agent reports, check the network between the entry and the upstream."},
	{Event: IncarnationDenied, Name: "incarnation-denied", Severity: Warning, Sampled: true, Text: "Upstream is not the incarnation that the newest registry entry at its address names; another entry there is used", Advice: "Nothing just after a restart. If it recurs, find out who writes the registry entry with this name."},
})

// groups maps the first event of each group to its number. Each group starts at the next
// hundred, so that events can be added to a group without renumbering.
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

// numbered sets the ID of each row and places the row at the index of its event.
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

// Info returns the event's row. For a number out of range it returns that of an unknown
// event.
func (e Event) Info() Row {
	if e < 0 || e >= eventCount {
		return Row{Event: e, Name: "unknown", ID: "RW0000", Severity: Error, Text: "Unknown event"}
	}
	return table[e]
}

// Rows returns the table of all events.
func Rows() []Row { return slices.Clone(table) }
