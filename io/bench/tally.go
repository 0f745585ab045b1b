package bench

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"radishwell/core"
)

// Range of latencies, in microseconds, and significant digits of histograms.
const (
	minMicros       = 1
	maxMicros       = int64(30 * time.Minute / time.Microsecond)
	histogramDigits = 3
	bucketDigits    = 2
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minMicros, maxMicros, histogramDigits)
}

// record adds a latency to a histogram. Values out of range are clamped to it.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	// The value is in the range, so recording can't fail.
	_ = h.RecordValue(min(max(d.Microseconds(), minMicros), maxMicros))
}

// lineKey identifies a line of the report. The model is empty for the line of all
// models of a call.
type lineKey struct {
	call  string
	model core.ModelName
}

// line collects the results of a call, or those of a call to one model.
type line struct {
	class core.Class
	sent  int
	fates [fateCount]int
	cold  int
	late  int
	first *hdrhistogram.Histogram
	whole *hdrhistogram.Histogram
	// coldFirst and warmFirst split first by whether the model was loaded.
	coldFirst *hdrhistogram.Histogram
	warmFirst *hdrhistogram.Histogram
}

func newLine(class core.Class) *line {
	return &line{class: class, first: newHistogram(), whole: newHistogram(), coldFirst: newHistogram(), warmFirst: newHistogram()}
}

// bucket collects the results of requests that were due to be sent in an interval
// of the run.
type bucket struct {
	sent  int
	fates [fateCount]int
	first *hdrhistogram.Histogram
}

// tally collects the results of a run.
type tally struct {
	start time.Time
	width time.Duration

	mu           sync.Mutex
	sent         int
	fates        [fateCount]int
	codes        map[core.Code]int
	lines        map[lineKey]*line
	buckets      []*bucket
	lag          *hdrhistogram.Histogram
	late         int
	noID         int
	noRetryAfter int
	redials      int
	unsent       int
	incidents    []result
	audit        *audit
}

// lateSlack is the time after the deadline from which an answer counts as late. It
// allows for the way back over the network and for the scheduling of this tool.
const lateSlack = 500 * time.Millisecond

func newTally(start time.Time, width time.Duration) *tally {
	return &tally{
		start: start, width: width, codes: map[core.Code]int{}, lines: map[lineKey]*line{},
		lag: newHistogram(), audit: newAudit(),
	}
}

func (t *tally) countUnsent() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.unsent++
}

// add adds one result.
func (t *tally) add(r result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent++
	t.fates[r.fate]++
	t.redials += r.redials
	record(t.lag, r.sent.Sub(r.request.at))
	if r.code != "" {
		t.codes[r.code]++
	}
	if r.id == "" && r.fate <= mayHaveRun {
		t.noID++
	}
	if r.fate == refused && r.code.Info().Retryable && !r.retryAfter {
		t.noRetryAfter++
	}
	late := !r.end.IsZero() && r.end.After(r.request.due.Add(lateSlack))
	if late {
		t.late++
	}
	t.audit.add(r)
	t.keepIncident(r, late)
	t.addLine(lineKey{call: r.request.call.Name}, r, late)
	if r.request.model != "" {
		t.addLine(lineKey{call: r.request.call.Name, model: r.request.model}, r, late)
	}
	t.addBucket(r)
}

// keepIncident keeps requests that a reader of the report may want to trace: the
// first ones with each error code, late ones, and those with any other fate than
// done. It keeps at most maxIncidents, but all that were cut, because attributeKills
// needs them.
func (t *tally) keepIncident(r result, late bool) {
	coded := r.fate == refused || r.fate == mayHaveRun
	switch {
	case coded && !late && t.codes[r.code] > maxOfCode, r.fate == done && !late:
		return
	case len(t.incidents) < maxIncidents || r.fate == cut:
		t.incidents = append(t.incidents, r)
	}
}

func (t *tally) addLine(key lineKey, r result, late bool) {
	l := t.lines[key]
	if l == nil {
		l = newLine(r.request.call.Class)
		t.lines[key] = l
	}
	l.sent++
	l.fates[r.fate]++
	if late {
		l.late++
	}
	if r.known && r.cold {
		l.cold++
	}
	if r.fate != done || r.first.IsZero() {
		return
	}
	wait := r.first.Sub(r.request.at)
	record(l.first, wait)
	record(l.whole, r.end.Sub(r.request.at))
	switch {
	case r.known && r.cold:
		record(l.coldFirst, wait)
	case r.known:
		record(l.warmFirst, wait)
	}
}

func (t *tally) addBucket(r result) {
	i := int(r.request.at.Sub(t.start) / t.width)
	for len(t.buckets) <= i {
		t.buckets = append(t.buckets, &bucket{first: hdrhistogram.New(minMicros, maxMicros, bucketDigits)})
	}
	b := t.buckets[i]
	b.sent++
	b.fates[r.fate]++
	if r.fate == done && !r.first.IsZero() {
		record(b.first, r.first.Sub(r.request.at))
	}
}

// Kill is the killing of an entry process by somebody else than this tool.
type Kill struct {
	At    time.Time
	Entry string
}

// killSlack is how long after a kill a broken connection is attributed to it.
const killSlack = 2 * time.Second

// attributeKills changes the fate of requests from cut to killed if a kill of their
// entry explains the broken connection: a killed process can't report an outcome,
// and its callers notice the end of the connection at once.
func (t *tally) attributeKills(kills []Kill, entry func(int) string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range t.incidents {
		r := &t.incidents[i]
		if r.fate != cut || !slices.ContainsFunc(kills, func(k Kill) bool {
			return k.Entry == entry(r.entry) && !r.sent.After(k.At.Add(killSlack)) && !r.end.Before(k.At) && r.end.Before(k.At.Add(killSlack))
		}) {
			continue
		}
		t.reclassify(r, killed)
	}
}

func (t *tally) reclassify(r *result, to fate) {
	from := r.fate
	r.fate = to
	shift := func(f *[fateCount]int) { f[from]--; f[to]++ }
	shift(&t.fates)
	shift(&t.lines[lineKey{call: r.request.call.Name}].fates)
	if l := t.lines[lineKey{call: r.request.call.Name, model: r.request.model}]; r.request.model != "" {
		shift(&l.fates)
	}
	shift(&t.buckets[int(r.request.at.Sub(t.start)/t.width)].fates)
}

// lineKeys returns the keys of the lines, sorted by call and then by model.
func (t *tally) lineKeys() []lineKey {
	var keys []lineKey
	for k := range t.lines {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b lineKey) int {
		return cmp.Or(cmp.Compare(a.call, b.call), cmp.Compare(a.model, b.model))
	})
	return keys
}
