package meter

import "slices"

// Kind is a metric's kind in the Prometheus text format.
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
	// Labels are the names of its labels.
	Labels []string
	// Unit is the unit of its value; empty for a plain count.
	Unit string
	// Text says in a sentence what it tells.
	Text string
}

// Names of the metrics.
const (
	nameRequests    = "radishwell_requests_total"
	nameDuration    = "radishwell_request_seconds"
	nameFirstByte   = "radishwell_first_byte_seconds"
	nameHop         = "radishwell_hop_seconds"
	nameColdStart   = "radishwell_cold_start_seconds"
	nameLoads       = "radishwell_loads_total"
	nameLoadTime    = "radishwell_load_seconds"
	nameUnloads     = "radishwell_unloads_total"
	nameIdle        = "radishwell_accelerator_idle_seconds_total"
	nameBusy        = "radishwell_accelerator_busy_seconds_total"
	nameRetries     = "radishwell_retries_total"
	nameTokens      = "radishwell_answer_bytes_total"
	nameQueue       = "radishwell_queue_length"
	nameRunning     = "radishwell_requests_in_progress"
	nameMemory      = "radishwell_accelerator_memory_bytes"
	nameEntries     = "radishwell_catalogue_entries"
	nameRevision    = "radishwell_catalogue_revision"
	nameDecider     = "radishwell_decider"
	namePlatform    = "radishwell_platform_calls_total"
	namePlatformLat = "radishwell_platform_call_seconds"
	namePeers       = "radishwell_peer_calls_total"
	namePeerBytes   = "radishwell_peer_bytes_total"
	nameSilent      = "radishwell_silent_connections_total"
	nameStrikes     = "radishwell_strikes_total"
	nameClaims      = "radishwell_claims_total"
	nameSignalSends = "radishwell_upstream_signal_sends_total"
	nameLimitedUps  = "radishwell_limited_upstreams"
	nameReplicaLag  = "radishwell_replica_lag_seconds"
	nameReplicaAge  = "radishwell_replica_age_seconds"
)

var table = []Row{
	{nameRequests, Counter, []string{"class", "outcome", "code"}, "", "Requests that got their final answer; the code is \"none\" where the outcome is done."},
	{nameDuration, Histogram, []string{"class"}, "seconds", "Time from a request's arrival to the end of its answer."},
	{nameFirstByte, Histogram, []string{"class"}, "seconds", "Time from a request's arrival to the first byte of its answer's body."},
	{nameHop, Histogram, []string{"hop"}, "seconds", "Time that requests spent at each hop."},
	{nameColdStart, Histogram, []string{"class"}, "seconds", "Time from arrival to the first byte for requests that waited for a load."},
	{nameLoads, Counter, []string{"source", "result"}, "", "Loads of models and adapters by where the checkpoint came from."},
	{nameLoadTime, Histogram, []string{"source"}, "seconds", "Time that finished loads took."},
	{nameUnloads, Counter, []string{"cause"}, "", "Unloads of models and adapters."},
	{nameIdle, Counter, nil, "seconds", "Accelerator time in which a model was loaded and no request ran."},
	{nameBusy, Counter, nil, "seconds", "Accelerator time in which requests ran."},
	{nameRetries, Counter, []string{"result"}, "", "Retries that were made, or refused by the retry budget."},
	{nameTokens, Counter, nil, "bytes", "Bytes of answers' bodies relayed."},
	{nameQueue, Gauge, []string{"class"}, "", "Requests waiting at this process."},
	{nameRunning, Gauge, []string{"class"}, "", "Requests handed on and not answered yet."},
	{nameMemory, Gauge, []string{"state"}, "bytes", "Memory of all accelerators of the host: held, promised or free."},
	{nameEntries, Gauge, []string{"state"}, "", "Catalogue entries by state, as this process sees them."},
	{nameRevision, Gauge, nil, "", "Revision of the catalogue in force; grows with every change."},
	{nameDecider, Gauge, nil, "", "One at the entry that decides for the fleet, else zero."},
	{namePlatform, Counter, []string{"verb", "result"}, "", "Calls of the platform's object API; a watch counts when it is opened."},
	{namePlatformLat, Histogram, []string{"verb"}, "seconds", "Time that calls of the platform took."},
	{namePeers, Counter, []string{"method", "result"}, "", "Calls between own processes."},
	{namePeerBytes, Counter, []string{"direction"}, "bytes", "Bytes of calls between own processes."},
	{nameSilent, Counter, nil, "", "Connections closed because they went silent."},
	{nameStrikes, Counter, nil, "", "Requests struck because an engine failed with them in it."},
	{nameClaims, Counter, []string{"result"}, "", "Claims of idempotency keys."},
	{nameSignalSends, Counter, []string{"signal"}, "", "Requests sent to upstreams that had said in an answer that they leave, want none for a time, or name a rate limit."},
	{nameLimitedUps, Gauge, nil, "", "Upstreams that name a rate limit, as this process has heard."},
	{nameReplicaLag, Gauge, []string{"kind"}, "seconds", "How long the replica of a kind has lacked the oldest change that another process named and that it has not; zero where it lacks none."},
	{nameReplicaAge, Gauge, []string{"kind"}, "seconds", "Age of the platform's last word that the replica of a kind lacks nothing; negative where there was none."},
}

// Rows returns the table of all metrics.
func Rows() []Row { return slices.Clone(table) }

// Bounds of the histograms' buckets in seconds. Hops inside a data centre take
// fractions of a millisecond, cold starts minutes.
var (
	shortBounds = []float64{.0001, .00025, .0005, .001, .0025, .005, .01, .025, .05, .1, .25, .5, 1, 2.5, 5, 10, 30}
	longBounds  = []float64{.001, .005, .01, .025, .05, .1, .25, .5, 1, 2.5, 5, 10, 20, 30, 60, 120, 300, 1800, 28800}
)
