package bench

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"radishwell/core"
)

// Range and precision of latencies: microseconds to half an hour, three digits.
const (
	leastMicros = 1
	mostMicros  = int64(30 * time.Minute / time.Microsecond)
	digits      = 3
	roughDigits = 2
)

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(leastMicros, mostMicros, digits) }

// record adds a latency; one out of range counts as the end of the range.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	// The value is within the range, so that recording cannot fail.
	_ = h.RecordValue(min(max(d.Microseconds(), leastMicros), mostMicros))
}

// lineKey is what latencies are kept by. The model is empty for the line of
// all models of a call.
type lineKey struct {
	call  string
	model core.ModelName
}

// line is what was seen of a call, or of a call to one model.
type line struct {
	class  core.Class
	sent   int
	fates  [fateCount]int
	cold   int
	late   int
	first  *hdrhistogram.Histogram
	whole  *hdrhistogram.Histogram
	frozen *hdrhistogram.Histogram // first bytes of cold requests
	warm   *hdrhistogram.Histogram
}

func newLine(class core.Class) *line {
	return &line{class: class, first: newHistogram(), whole: newHistogram(), frozen: newHistogram(), warm: newHistogram()}
}

// bucket is a stretch of the run, by the time requests were due to be sent.
type bucket struct {
	sent  int
	fates [fateCount]int
	first *hdrhistogram.Histogram
}

// tally takes the results of a run in.
type tally struct {
	start time.Time
	width time.Duration

	mu        sync.Mutex
	sent      int
	fates     [fateCount]int
	codes     map[core.Code]int
	lines     map[lineKey]*line
	buckets   []*bucket
	lag       *hdrhistogram.Histogram
	late      int
	noID      int
	noRetry   int
	redials   int
	unsent    int
	incidents []result
	audit     *audit
}

// lateSlack is how long after its deadline an answer counts as late: it covers
// the way back and the tool's own scheduling.
const lateSlack = 500 * time.Millisecond

func newTally(start time.Time, width time.Duration) *tally {
	return &tally{
		start: start, width: width, codes: map[core.Code]int{}, lines: map[lineKey]*line{},
		lag: newHistogram(), audit: newAudit(),
	}
}

func (t *tally) leaveOut() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.unsent++
}

// add takes one result in.
func (t *tally) add(r result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent++
	t.fates[r.fate]++
	t.redials += r.redials
	record(t.lag, r.sent.Sub(r.shot.at))
	if r.code != "" {
		t.codes[r.code]++
	}
	if r.id == "" && r.fate <= mayHaveRun {
		t.noID++
	}
	if r.fate == refused && r.code.Info().Retryable && !r.retryAfter {
		t.noRetry++
	}
	late := !r.end.IsZero() && r.end.After(r.shot.due.Add(lateSlack))
	if late {
		t.late++
	}
	t.audit.add(r)
	t.remember(r, late)
	t.addLine(lineKey{call: r.shot.call.Name}, r, late)
	if r.shot.model != "" {
		t.addLine(lineKey{call: r.shot.call.Name, model: r.shot.model}, r, late)
	}
	t.addBucket(r)
}

// remember keeps requests that a reader will want to trace: the first few of
// each code, and what is worse. Those that are cut are all kept until the kills
// of entries are known.
func (t *tally) remember(r result, late bool) {
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
		l = newLine(r.shot.call.Class)
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
	wait := r.first.Sub(r.shot.at)
	record(l.first, wait)
	record(l.whole, r.end.Sub(r.shot.at))
	switch {
	case r.known && r.cold:
		record(l.frozen, wait)
	case r.known:
		record(l.warm, wait)
	}
}

func (t *tally) addBucket(r result) {
	i := int(r.shot.at.Sub(t.start) / t.width)
	for len(t.buckets) <= i {
		t.buckets = append(t.buckets, &bucket{first: hdrhistogram.New(leastMicros, mostMicros, roughDigits)})
	}
	b := t.buckets[i]
	b.sent++
	b.fates[r.fate]++
	if r.fate == done && !r.first.IsZero() {
		record(b.first, r.first.Sub(r.shot.at))
	}
}

// Kill is a moment at which an entry process was killed from outside.
type Kill struct {
	At    time.Time
	Entry string
}

// killSlack is how long after a kill a broken connection is put down to it.
const killSlack = 2 * time.Second

// excuse turns cuts that a kill of their own entry explains into killed: a
// process that is gone can tell its callers nothing, and they see it at once.
func (t *tally) excuse(kills []Kill, entry func(int) string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range t.incidents {
		r := &t.incidents[i]
		if r.fate != cut || !slices.ContainsFunc(kills, func(k Kill) bool {
			return k.Entry == entry(r.entry) && !r.sent.After(k.At.Add(killSlack)) && !r.end.Before(k.At) && r.end.Before(k.At.Add(killSlack))
		}) {
			continue
		}
		t.move(r, killed)
	}
}

func (t *tally) move(r *result, to fate) {
	from := r.fate
	r.fate = to
	shift := func(f *[fateCount]int) { f[from]--; f[to]++ }
	shift(&t.fates)
	shift(&t.lines[lineKey{call: r.shot.call.Name}].fates)
	if l := t.lines[lineKey{call: r.shot.call.Name, model: r.shot.model}]; r.shot.model != "" {
		shift(&l.fates)
	}
	shift(&t.buckets[int(r.shot.at.Sub(t.start)/t.width)].fates)
}

// lineKeys returns the lines' keys: each call, then its models by name.
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
