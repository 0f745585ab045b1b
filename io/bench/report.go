package bench

import (
	"encoding/json"
	"math"
	"os"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/samber/oops"

	"radishwell/core"
)

// Report holds the results of a run.
type Report struct {
	Name       string    `json:"name"`
	Seed       int64     `json:"seed"`
	Start      time.Time `json:"start"`
	Seconds    float64   `json:"seconds"`
	Processors int       `json:"processors"`
	Entries    []string  `json:"entries"`

	// Sent is the number of requests that were due and not left out. Fates counts
	// them by fate and adds up to Sent. Unsent is the number of requests that were
	// left out because too many were in flight.
	Sent   int            `json:"sent"`
	Fates  map[string]int `json:"outcomes"`
	Codes  map[string]int `json:"codes"`
	Unsent int            `json:"left-out"`
	// Silent is the number of requests whose callers received no outcome.
	Silent int `json:"silent"`
	// Late counts answers that ended more than half a second after the deadline.
	Late int `json:"late"`
	// Redials counts failed attempts to connect to an entry, after which another
	// entry was tried.
	Redials int `json:"redials"`
	// NoID counts answers without a request id.
	NoID int `json:"without-request-id"`
	// NoRetryAfter counts refusals that may be retried but have no Retry-After.
	NoRetryAfter int `json:"without-retry-after"`
	// Lag is the delay between the time a request was due and the time this tool
	// sent it.
	Lag Quantiles `json:"tool-lag"`

	Lines     []Line     `json:"lines"`
	Points    []Point    `json:"points"`
	Switched  []Switched `json:"faults"`
	Incidents []incident `json:"incidents"`
	Held      Held       `json:"accelerators"`
	Audit     Audit      `json:"audit"`
	Pair      *Paired    `json:"pair,omitempty"`
}

// Quantiles are the percentiles of a histogram, in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean"`
	P50   float64 `json:"p50"`
	P90   float64 `json:"p90"`
	P99   float64 `json:"p99"`
	P999  float64 `json:"p99.9"`
	Max   float64 `json:"max"`
}

// Line summarises the requests of a call, or those of a call to one model.
type Line struct {
	Call  string         `json:"call"`
	Model core.ModelName `json:"model,omitempty"`
	Class core.Class     `json:"class"`
	Sent  int            `json:"sent"`
	Late  int            `json:"late"`
	Fates map[string]int `json:"outcomes"`
	// Cold counts requests whose model no engine had loaded when they were due. It
	// is zero unless the engines were polled.
	Cold int `json:"cold"`
	// FirstByte and Whole are the latencies of requests that were done, from the
	// time they were due until the first and last byte of the answer. ColdFirst and
	// WarmFirst split FirstByte by whether the model was loaded.
	FirstByte Quantiles `json:"first-byte"`
	Whole     Quantiles `json:"whole"`
	ColdFirst Quantiles `json:"cold-first-byte"`
	WarmFirst Quantiles `json:"warm-first-byte"`
	// Curve is the distribution of FirstByte for the chart.
	Curve []CurvePoint `json:"curve,omitempty"`
}

// CurvePoint is one point of a distribution: a percentile and its value in
// milliseconds.
type CurvePoint struct {
	Percentile float64 `json:"percentile"`
	Millis     float64 `json:"ms"`
}

// Point summarises the requests that were due in an interval of the run.
type Point struct {
	// Second is the beginning of the interval in seconds from the start of the
	// load, and Width its length in seconds.
	Second float64        `json:"second"`
	Width  float64        `json:"width"`
	Sent   int            `json:"sent"`
	Fates  map[string]int `json:"outcomes"`
	P50    float64        `json:"first-byte-p50"`
	P99    float64        `json:"first-byte-p99"`
	Max    float64        `json:"first-byte-max"`
}

// lagWarning is the 99th percentile of Lag above which the measured latencies
// depend more on the machine that runs this tool than on the system.
const lagWarning = 10 * time.Millisecond

// LagHigh reports whether the tool sent requests too late for meaningful latencies.
func (r *Report) LagHigh() bool { return r.Lag.P99 > millis(lagWarning.Microseconds()) }

// Faults describes what happened in the run and must never happen, one line each.
func (r *Report) Faults() []string {
	var out []string
	note := func(n int, text string) {
		if n > 0 {
			out = append(out, plural(n)+text)
		}
	}
	note(r.Silent, "left without an outcome")
	note(r.Fates[wrong.String()], "answered with something else than their whole answer")
	note(r.Audit.RanTwice, "ran more than once")
	note(r.Audit.RanThoughRefused, "ran though refused as not run")
	note(r.Audit.DoneWithoutRun, "answered done without a run")
	note(r.NoID, "answered without a request id")
	note(r.NoRetryAfter, "refused for the moment without a Retry-After")
	for _, p := range r.Audit.Problems {
		out = append(out, "not checked what ran: "+p)
	}
	total := 0
	for _, n := range r.Fates {
		total += n
	}
	note(r.Sent-total, "without any fate: the balance does not add up")
	return out
}

func (r *Report) fill(t *tally, b *Bench) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range b.Entries {
		r.Entries = append(r.Entries, e.At.String())
	}
	r.Sent, r.Unsent, r.Late, r.Redials, r.NoID, r.NoRetryAfter = t.sent, t.unsent, t.late, t.redials, t.noID, t.noRetryAfter
	r.Fates, r.Codes = fateMap(&t.fates), map[string]int{}
	for code, n := range t.codes {
		r.Codes[string(code)] = n
	}
	for f := range fateCount {
		if f.silent() {
			r.Silent += t.fates[f]
		}
	}
	r.Lag = quantiles(t.lag)
	for _, key := range t.lineKeys() {
		r.Lines = append(r.Lines, newReportLine(key, t.lines[key]))
	}
	for i, p := range t.buckets {
		r.Points = append(r.Points, newPoint(i, t.width, p))
	}
	for _, one := range t.incidents[:min(len(t.incidents), maxIncidents)] {
		r.Incidents = append(r.Incidents, newIncident(one, r.Entries))
	}
}

func newReportLine(key lineKey, l *line) Line {
	out := Line{
		Call: key.call, Model: key.model, Class: l.class, Sent: l.sent, Late: l.late, Fates: fateMap(&l.fates), Cold: l.cold,
		FirstByte: quantiles(l.first), Whole: quantiles(l.whole), ColdFirst: quantiles(l.coldFirst), WarmFirst: quantiles(l.warmFirst),
	}
	if key.model == "" {
		out.Curve = curve(l.first)
	}
	return out
}

func newPoint(i int, width time.Duration, b *bucket) Point {
	return Point{
		Second: float64(i) * width.Seconds(), Width: width.Seconds(), Sent: b.sent, Fates: fateMap(&b.fates),
		P50: millis(b.first.ValueAtQuantile(50)), P99: millis(b.first.ValueAtQuantile(99)), Max: millis(b.first.Max()),
	}
}

func newIncident(r result, entries []string) incident {
	out := incident{
		At: r.request.at, Fate: r.fate.String(), Call: r.request.call.Name, Model: r.request.model,
		ID: r.id, Note: r.note, Entry: entries[r.entry], After: r.end.Sub(r.request.at).Round(time.Millisecond).String(),
	}
	if r.code != "" {
		out.Note = string(r.code)
	}
	return out
}

func fateMap(f *[fateCount]int) map[string]int {
	out := map[string]int{}
	for i, n := range f {
		if n > 0 {
			out[fate(i).String()] = n
		}
	}
	return out
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	return Quantiles{
		Count: h.TotalCount(), Mean: round(h.Mean() / 1000), P50: millis(h.ValueAtQuantile(50)), P90: millis(h.ValueAtQuantile(90)),
		P99: millis(h.ValueAtQuantile(99)), P999: millis(h.ValueAtQuantile(99.9)), Max: millis(h.Max()),
	}
}

// curve samples a distribution, with eight percentiles for each power of ten that
// they are closer to 100.
func curve(h *hdrhistogram.Histogram) []CurvePoint {
	if h.TotalCount() == 0 {
		return nil
	}
	var out []CurvePoint
	for step := 0; ; step++ {
		p := 100 * (1 - math.Pow(10, -float64(step)/8))
		if (100-p)/100*float64(h.TotalCount()) < 1 {
			return append(out, CurvePoint{p, millis(h.Max())})
		}
		out = append(out, CurvePoint{p, millis(h.ValueAtQuantile(p))})
	}
}

func millis(micros int64) float64 { return float64(micros) / 1000 }

func round(v float64) float64 { return math.Round(v*1000) / 1000 }

// Write writes the report to a file as JSON.
func (r *Report) Write(path string) error {
	raw, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return oops.Wrap(err)
	}
	return oops.In("bench").Wrapf(os.WriteFile(path, append(raw, '\n'), 0o644), "write report")
}

// Read reads a report from a file that Write wrote.
func Read(path string) (*Report, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, oops.In("bench").Wrapf(err, "read report")
	}
	var r Report
	if err := json.Unmarshal(raw, &r); err != nil {
		return nil, oops.In("bench").With("file", path).Wrapf(err, "read report")
	}
	return &r, nil
}

// AllDone reports whether all requests were sent and done.
func (r *Report) AllDone() bool { return r.Fates[done.String()] == r.Sent && r.Unsent == 0 }
