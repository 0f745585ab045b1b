package meter

import "slices"

// Kind is the type of a metric in the Prometheus text format.
type Kind string

// Kinds of metrics.
const (
	Counter   Kind = "counter"
	Gauge     Kind = "gauge"
	Histogram Kind = "histogram"
)

// Row describes a metric.
type Row struct {
	Name string
	Kind Kind
	// Labels are the names of the labels.
	Labels []string
	// Unit is the unit of the value; empty for a plain count.
	Unit string
	// Text describes the metric in a sentence.
	Text string
}

// Names of the metrics.
const (
	nameRequests         = "radishwell_requests_total"
	nameDuration         = "radishwell_request_seconds"
	nameFirstByte        = "radishwell_first_byte_seconds"
	nameHop              = "radishwell_hop_seconds"
	nameColdStart        = "radishwell_cold_start_seconds"
	nameLoads            = "radishwell_loads_total"
	nameLoadTime         = "radishwell_load_seconds"
	nameUnloads          = "radishwell_unloads_total"
	nameIdle             = "radishwell_accelerator_idle_seconds_total"
	nameBusy             = "radishwell_accelerator_busy_seconds_total"
	nameRetries          = "radishwell_retries_total"
	nameSends            = "radishwell_upstream_sends_total"
	nameBorrowed         = "radishwell_retries_borrowed_total"
	nameSpareRetries     = "radishwell_spare_retries"
	nameAnswers          = "radishwell_upstream_answers_total"
	nameContinued        = "radishwell_streams_continued_total"
	nameAnswerBytes      = "radishwell_answer_bytes_total"
	nameQueue            = "radishwell_queue_length"
	nameRunning          = "radishwell_requests_in_progress"
	nameMemory           = "radishwell_accelerator_memory_bytes"
	nameEntries          = "radishwell_catalogue_entries"
	nameRevision         = "radishwell_catalogue_revision"
	nameDecider          = "radishwell_decider"
	namePlatform         = "radishwell_platform_calls_total"
	namePlatformTime     = "radishwell_platform_call_seconds"
	namePeers            = "radishwell_peer_calls_total"
	namePeerBytes        = "radishwell_peer_bytes_total"
	nameSilent           = "radishwell_silent_connections_total"
	nameStrikes          = "radishwell_strikes_total"
	nameTrials           = "radishwell_trials_total"
	nameClaims           = "radishwell_claims_total"
	nameSignalSends      = "radishwell_upstream_signal_sends_total"
	nameLimitedUpstreams = "radishwell_limited_upstreams"
	nameRefusedConns     = "radishwell_refused_connections_total"
	nameRefusedParts     = "radishwell_refused_parts"
	nameTurns            = "radishwell_turns_total"
	nameHeld             = "radishwell_held_seconds"
	nameRoomAsks         = "radishwell_room_asks_total"
	nameHeldBytes        = "radishwell_held_bytes"
	nameSlowEnded        = "radishwell_slow_callers_ended_total"
	nameWaiting          = "radishwell_waiting_requests"
	nameForesight        = "radishwell_foresight_error_seconds"
	nameAnswerTokens     = "radishwell_answer_tokens_total"
	nameCachedParts      = "radishwell_cached_parts"
	nameReadTokens       = "radishwell_prompt_tokens_total"
	nameEnginePace       = "radishwell_engine_event_seconds"
	nameReplicaLag       = "radishwell_replica_lag_seconds"
	nameReplicaAge       = "radishwell_replica_age_seconds"
	nameReplicaArrival   = "radishwell_replica_arrival_seconds"
)

var table = []Row{
	{nameRequests, Counter, []string{"class", "outcome", "code"}, "", "Requests that got their final answer. The code is \"none\" if the outcome is done."},
	{nameDuration, Histogram, []string{"class"}, "seconds", "Time from a request's arrival to the end of its answer."},
	{nameFirstByte, Histogram, []string{"class"}, "seconds", "Time from a request's arrival to the first byte of its answer's body."},
	{nameHop, Histogram, []string{"hop"}, "seconds", "Time that requests spent in each stage of processing."},
	{nameColdStart, Histogram, []string{"class"}, "seconds", "Time from arrival to the first byte of the answer's body for requests that waited for a load."},
	{nameLoads, Counter, []string{"source", "result"}, "", "Loads of models and adapters, by the source of the checkpoint."},
	{nameLoadTime, Histogram, []string{"source"}, "seconds", "Duration of successful loads."},
	{nameUnloads, Counter, []string{"cause"}, "", "Unloads of models and adapters."},
	{nameIdle, Counter, nil, "seconds", "Accelerator time with a model loaded and no request running."},
	{nameBusy, Counter, nil, "seconds", "Accelerator time with requests running."},
	{nameRetries, Counter, []string{"result"}, "", "Retries that were made or that the retry budget refused."},
	{nameSends, Counter, []string{"kind"}, "", "Requests that upstreams may have received: the first send of each, and repeats."},
	{nameBorrowed, Counter, nil, "", "Retries that other entries lent this one from their parts of the retry budget."},
	{nameSpareRetries, Gauge, nil, "", "Retries for each service that this process may make beside those that its requests earn."},
	{nameAnswers, Counter, []string{"framing", "end"}, "", "Answers of upstreams, by how they show their end (length, chunks, or none but that of the connection) and by whether they arrived whole."},
	{nameContinued, Counter, []string{"by", "software"}, "", "Streams that went on at an upstream host, by who asked for it (the entry or the caller) and by whether the host has the software version that began the stream: same, other or unknown."},
	{nameAnswerBytes, Counter, nil, "bytes", "Bytes of answers' bodies that were passed on."},
	{nameQueue, Gauge, []string{"class"}, "", "Requests waiting in this process."},
	{nameRunning, Gauge, []string{"class"}, "", "Requests forwarded and not answered yet."},
	{nameMemory, Gauge, []string{"state"}, "bytes", "Memory of all accelerators of the host: held, promised or free."},
	{nameEntries, Gauge, []string{"state"}, "", "Catalogue entries by state, as this process sees them."},
	{nameRevision, Gauge, nil, "", "Revision of the catalogue in force. It grows with every change."},
	{nameDecider, Gauge, nil, "", "One in the entry that decides for the fleet, zero in all others."},
	{namePlatform, Counter, []string{"verb", "result"}, "", "Calls of the platform's object API. A watch is counted when it is opened."},
	{namePlatformTime, Histogram, []string{"verb"}, "seconds", "Duration of calls of the platform."},
	{namePeers, Counter, []string{"method", "result"}, "", "Calls between own processes."},
	{namePeerBytes, Counter, []string{"direction"}, "bytes", "Bytes of calls between own processes."},
	{nameSilent, Counter, nil, "", "Connections closed because they went silent."},
	{nameStrikes, Counter, []string{"began"}, "", "Strikes against requests that were in progress when an engine failed, by whether their answer had begun, as far as the process sees answers."},
	{nameTrials, Counter, []string{"granted"}, "", "Requests for a trial of a request that may crash engines, by whether it was granted."},
	{nameClaims, Counter, []string{"result"}, "", "Claims of idempotency keys."},
	{nameSignalSends, Counter, []string{"signal"}, "", "Requests sent to upstreams that had announced in an answer that they are leaving, accept no requests for some time, or have a rate limit."},
	{nameLimitedUpstreams, Gauge, nil, "", "Upstreams that have announced a rate limit, as far as this process knows."},
	{nameRefusedConns, Counter, []string{"reason"}, "", "Callers' connections that were closed before their request was read."},
	{nameRefusedParts, Gauge, nil, "", "Parts of prompts with which requests are refused, since they have crashed upstreams."},
	{nameTurns, Counter, []string{"outcome"}, "", "Requests at an entry on a managed platform, by how they came to their turn: at-once, after-load (a model was loaded first), held (for room at a host) or refused (for lack of room)."},
	{nameHeld, Histogram, nil, "seconds", "Time for which requests were held at an entry until a host had room beside more urgent ones."},
	{nameRoomAsks, Counter, []string{"result"}, "", "Asks of entries for room at a host, by whether the host's agent granted it in time."},
	{nameHeldBytes, Gauge, nil, "bytes", "Bytes that an entry on a managed platform holds for callers and upstreams: bodies, answers and events."},
	{nameSlowEnded, Counter, nil, "", "Callers that were ended since they had taken nothing for seconds while the entry held more than its bound."},
	{nameWaiting, Gauge, nil, "", "Requests that wait for a host at an entry on a managed platform."},
	{nameForesight, Histogram, []string{"direction"}, "seconds", "Difference between the foreseen and the actual time from sending a request to the first event of its stream, by whether that came sooner or later."},
	{nameAnswerTokens, Counter, []string{"kind"}, "", "Foreseen and actual tokens of the streams that were served whole."},
	{nameCachedParts, Gauge, nil, "", "Parts of prompts that the engine beside the agent is known to keep."},
	{nameReadTokens, Counter, []string{"kind"}, "", "Prompt tokens of the requests sent to engines: those that the chosen engine should keep, and those that it should read."},
	{nameEnginePace, Gauge, []string{"while"}, "seconds", "Time between two events of a stream, as the agent measures it while the engine reads prompts or is quiet; zero while unknown."},
	{nameReplicaLag, Gauge, []string{"kind"}, "seconds", "Time for which the replica of a kind has lacked the oldest missing change that another process reported; zero if it lacks none."},
	{nameReplicaAge, Gauge, []string{"kind"}, "seconds", "Time since the platform last confirmed that the replica of a kind is complete; negative if there was no confirmation."},
	{nameReplicaArrival, Histogram, []string{"kind", "way"}, "seconds", "Time from when another process first named a change that the replica of a kind lacked until it arrived; zero if no process had."},
}

// Rows returns the table of all metrics.
func Rows() []Row { return slices.Clone(table) }

// Bucket bounds of the histograms in seconds. Hops within a data centre take fractions of
// a millisecond, cold starts take minutes.
var (
	shortBounds = []float64{.0001, .00025, .0005, .001, .0025, .005, .01, .025, .05, .1, .25, .5, 1, 2.5, 5, 10, 30}
	longBounds  = []float64{.001, .005, .01, .025, .05, .1, .25, .5, 1, 2.5, 5, 10, 20, 30, 60, 120, 300, 1800, 28800}
)
