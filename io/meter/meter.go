package meter

import (
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"radishwell/core"
)

// Meter holds the metrics of one role. Several may live in one process, as in
// the demo. All methods may be called by any goroutine. A nil Meter counts
// nothing.
type Meter struct {
	set *metrics.Set
}

// New returns a Meter without any counts.
func New() *Meter { return &Meter{set: metrics.NewSet()} }

// Request counts a request with its final answer. The refusal is nil where it is
// done. firstByte is zero where no body was sent; cold tells that the request
// waited for a load.
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

// Load records a load that has ended.
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

// Accelerators adds the time from began to ended during which that many
// accelerators held a model: busy with requests, or idle.
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

// Retry counts a retry that was made, or that the budget refused.
func (m *Meter) Retry(made bool) {
	if m == nil {
		return
	}
	text := "refused"
	if made {
		text = "made"
	}
	m.count(nameRetries, "result", text).Inc()
}

// SentDespite counts a request sent to an upstream that had given a signal.
func (m *Meter) SentDespite(s UpstreamSignal) {
	if m != nil {
		m.count(nameSignalSends, "signal", s.String()).Inc()
	}
}

// AnswerBytes counts bytes of answers' bodies.
func (m *Meter) AnswerBytes(n int) {
	if m != nil && n > 0 {
		m.count(nameTokens).Add(n)
	}
}

// Platform records a call of the platform. The error is nil or a
// *core.PlatformError.
func (m *Meter) Platform(v Verb, err *core.PlatformError, began, ended time.Time) {
	if m == nil {
		return
	}
	text := "ok"
	if err != nil {
		text = err.Fault.String()
	}
	m.count(namePlatform, "verb", v.String(), "result", text).Inc()
	m.observe(namePlatformLat, shortBounds, began, ended, "verb", v.String())
}

// Peer counts a call of another own process, by the name of its method. Bytes
// are counted by Traffic, over all calls of a connection.
func (m *Meter) Peer(method string, ok bool) {
	if m != nil {
		m.count(namePeers, "method", strings.ToLower(method), "result", result(ok)).Inc()
	}
}

// Traffic adds to the bytes that calls between own processes sent and received.
func (m *Meter) Traffic(sent, received int) {
	if m != nil {
		m.count(namePeerBytes, "direction", "sent").Add(sent)
		m.count(namePeerBytes, "direction", "received").Add(received)
	}
}

// Silent counts a connection that was closed because it went silent.
func (m *Meter) Silent() {
	if m != nil {
		m.count(nameSilent).Inc()
	}
}

// Strike counts a strike against a request.
func (m *Meter) Strike() {
	if m != nil {
		m.count(nameStrikes).Inc()
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

// series returns a metric's name with its labels.
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
