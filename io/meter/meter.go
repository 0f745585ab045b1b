package meter

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"radishwell/core"
)

// Meter holds the metrics of one role. There may be several in a process, as in the demo.
// It is safe for concurrent use. A nil Meter collects nothing.
type Meter struct {
	set *metrics.Set
}

// New returns an empty Meter.
func New() *Meter { return &Meter{set: metrics.NewSet()} }

// Request counts a request that got its final answer. r is nil if its outcome is done.
// firstByte is zero if no body was sent. cold is set if the request waited for a load.
func (m *Meter) Request(c core.Class, r *core.Refusal, arrived, firstByte, ended time.Time, cold bool) {
	if m == nil {
		return
	}
	outcome, code := core.Done, "none"
	if r != nil {
		outcome, code = r.Outcome, string(r.Code)
	}
	m.count(nameRequests, "class", c.String(), "outcome", outcome.String(), "code", code).Inc()
	m.observe(nameDuration, longBounds, arrived, ended, "class", c.String())
	if firstByte.IsZero() {
		return
	}
	m.observe(nameFirstByte, longBounds, arrived, firstByte, "class", c.String())
	if cold {
		m.observe(nameColdStart, longBounds, arrived, firstByte, "class", c.String())
	}
}

// Hop records the time a request spent at a hop.
func (m *Meter) Hop(h Hop, began, ended time.Time) {
	if m != nil {
		m.observe(nameHop, shortBounds, began, ended, "hop", h.String())
	}
}

// Load records a load that has ended, with its duration if it succeeded.
func (m *Meter) Load(source core.Tier, ok bool, began, ended time.Time) {
	if m == nil {
		return
	}
	m.count(nameLoads, "source", source.String(), "result", result(ok)).Inc()
	if ok {
		m.observe(nameLoadTime, longBounds, began, ended, "source", source.String())
	}
}

// Unload counts an unload.
func (m *Meter) Unload(c UnloadCause) {
	if m != nil {
		m.count(nameUnloads, "cause", c.String()).Inc()
	}
}

// Accelerators adds the time from began to ended in which n accelerators held a model,
// either busy with requests or idle.
func (m *Meter) Accelerators(n int, busy bool, began, ended time.Time) {
	if m == nil || n <= 0 || !ended.After(began) {
		return
	}
	name := nameIdle
	if busy {
		name = nameBusy
	}
	m.set.GetOrCreateFloatCounter(name).Add(float64(n) * ended.Sub(began).Seconds())
}

// Retry counts a retry that was made or that the retry budget refused.
func (m *Meter) Retry(made bool) {
	if m == nil {
		return
	}
	label := "refused"
	if made {
		label = "made"
	}
	m.count(nameRetries, "result", label).Inc()
}

// RetriesBorrowed counts retries that another entry lent.
func (m *Meter) RetriesBorrowed(n int) {
	if m != nil {
		m.count(nameBorrowed).Add(n)
	}
}

// Send counts a request that an upstream may have received. repeat is set if another send of the
// same request came before it.
func (m *Meter) Send(repeat bool) {
	if m == nil {
		return
	}
	label := "first"
	if repeat {
		label = "repeat"
	}
	m.count(nameSends, "kind", label).Inc()
}

// Turn counts a request by how it came to its turn at an entry, and the time that it was held
// for room at a host, if it was.
func (m *Meter) Turn(o TurnOutcome, held time.Duration) {
	if m == nil {
		return
	}
	m.count(nameTurns, "outcome", o.String()).Inc()
	if held > 0 {
		m.observe(nameHeld, shortBounds, time.Time{}, time.Time{}.Add(held))
	}
}

// RoomAsked counts an ask of a host's agent for room.
func (m *Meter) RoomAsked(granted bool) {
	if m == nil {
		return
	}
	label := "none"
	if granted {
		label = "granted"
	}
	m.count(nameRoomAsks, "result", label).Inc()
}

// SlowCallerEnded counts a caller that was ended since it took nothing while memory was short.
func (m *Meter) SlowCallerEnded() {
	if m != nil {
		m.count(nameSlowEnded).Inc()
	}
}

// AnswerLength counts the foreseen and the actual number of tokens of an answer.
func (m *Meter) AnswerLength(foreseen, actual int) {
	if m == nil {
		return
	}
	m.count(nameAnswerTokens, "kind", "foreseen").Add(foreseen)
	m.count(nameAnswerTokens, "kind", "generated").Add(actual)
}

// PromptTokens counts the tokens of a prompt sent to an engine, of which it should read some.
func (m *Meter) PromptTokens(all, read int) {
	if m == nil {
		return
	}
	m.count(nameReadTokens, "kind", "cached").Add(max(0, all-read))
	m.count(nameReadTokens, "kind", "read").Add(read)
}

// Foresight records by how much the first event of a stream came later than foreseen, or sooner.
func (m *Meter) Foresight(foreseen, actual time.Duration) {
	if m == nil {
		return
	}
	direction := "later"
	if actual < foreseen {
		direction = "sooner"
	}
	m.observe(nameForesight, shortBounds, time.Time{}, time.Time{}.Add((actual - foreseen).Abs()), "direction", direction)
}

// SentDespiteSignal counts a request sent to an upstream that had announced a signal.
func (m *Meter) SentDespiteSignal(s UpstreamSignal) {
	if m != nil {
		m.count(nameSignalSends, "signal", s.String()).Inc()
	}
}

// UpstreamAnswer counts an answer of an upstream by its framing and by whether it arrived
// whole.
func (m *Meter) UpstreamAnswer(f core.Framing, whole bool) {
	if m == nil {
		return
	}
	label := "broken-off"
	if whole {
		label = "whole"
	}
	m.count(nameAnswers, "framing", f.String(), "end", label).Inc()
}

// StreamContinued counts a stream that goes on at an upstream host, at the caller's request
// or at the entry's. match tells whether the host has the version that began the stream.
func (m *Meter) StreamContinued(byCaller bool, match core.SoftwareMatch) {
	if m == nil {
		return
	}
	by := "entry"
	if byCaller {
		by = "caller"
	}
	m.count(nameContinued, "by", by, "software", match.String()).Inc()
}

// AnswerBytes adds n to the bytes of answers' bodies.
func (m *Meter) AnswerBytes(n int) {
	if m != nil && n > 0 {
		m.count(nameAnswerBytes).Add(n)
	}
}

// Platform records a call of the platform and its duration. err is nil if the call
// succeeded.
func (m *Meter) Platform(v Verb, err *core.PlatformError, began, ended time.Time) {
	if m == nil {
		return
	}
	label := "ok"
	if err != nil {
		label = err.Fault.String()
	}
	m.count(namePlatform, "verb", v.String(), "result", label).Inc()
	m.observe(namePlatformTime, shortBounds, began, ended, "verb", v.String())
}

// Peer counts a call of another own process by the name of its method. Traffic counts the
// bytes of all calls on a connection.
func (m *Meter) Peer(method string, ok bool) {
	if m != nil {
		m.count(namePeers, "method", strings.ToLower(method), "result", result(ok)).Inc()
	}
}

// Traffic adds to the bytes sent and received in calls between own processes.
func (m *Meter) Traffic(sent, received int) {
	if m != nil {
		m.count(namePeerBytes, "direction", "sent").Add(sent)
		m.count(namePeerBytes, "direction", "received").Add(received)
	}
}

// SilentConnection counts a connection that was closed because it went silent.
func (m *Meter) SilentConnection() {
	if m != nil {
		m.count(nameSilent).Inc()
	}
}

// Strike counts a strike against a request. began is set if its answer had begun.
func (m *Meter) Strike(began bool) {
	if m != nil {
		m.count(nameStrikes, "began", strconv.FormatBool(began)).Inc()
	}
}

// Trial counts a request for a trial of a request that may crash upstreams.
func (m *Meter) Trial(granted bool) {
	if m != nil {
		m.count(nameTrials, "granted", strconv.FormatBool(granted)).Inc()
	}
}

// ReplicaArrival records the time from when another process first named a change that the replica
// of a kind lacked until it arrived, and the way on which it came.
func (m *Meter) ReplicaArrival(k core.Kind, way string, named, arrived time.Time) {
	if m != nil {
		m.observe(nameReplicaArrival, shortBounds, named, arrived, "kind", string(k), "way", way)
	}
}

// ConnectionRefused counts a caller's connection that was closed unread.
func (m *Meter) ConnectionRefused(reason string) {
	if m != nil {
		m.count(nameRefusedConns, "reason", reason).Inc()
	}
}

// Claim counts a claim of an idempotency key.
func (m *Meter) Claim(r ClaimResult) {
	if m != nil {
		m.count(nameClaims, "result", r.String()).Inc()
	}
}

func result(ok bool) string {
	if ok {
		return "ok"
	}
	return "failed"
}

func (m *Meter) count(name string, pairs ...string) *metrics.Counter {
	return m.set.GetOrCreateCounter(series(name, pairs))
}

func (m *Meter) observe(name string, bounds []float64, began, ended time.Time, pairs ...string) {
	h := m.set.GetOrCreatePrometheusHistogramExt(series(name, pairs), bounds)
	h.Update(ended.Sub(began).Seconds())
}

// series returns the name of a metric with its labels. pairs alternate the names and
// values of labels.
func series(name string, pairs []string) string {
	if len(pairs) == 0 {
		return name
	}
	var b strings.Builder
	b.Grow(len(name) + 16*len(pairs))
	b.WriteString(name)
	b.WriteByte('{')
	for i := 0; i+1 < len(pairs); i += 2 {
		if i > 0 {
			b.WriteByte(',')
		}
		b.WriteString(pairs[i])
		b.WriteString(`="`)
		b.WriteString(pairs[i+1])
		b.WriteByte('"')
	}
	b.WriteByte('}')
	return b.String()
}

// Handler serves all metrics of the Meter and of the process.
func (m *Meter) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
		m.Write(w)
		metrics.WriteProcessMetrics(w)
	})
}

// Write writes the Meter's metrics in the Prometheus text format.
func (m *Meter) Write(w io.Writer) {
	if m != nil {
		m.set.WritePrometheus(w)
	}
}
