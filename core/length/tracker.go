package length

import (
	"github.com/HdrHistogram/hdrhistogram-go"

	"radishwell/core"
)

const (
	// window is the number of samples after which the ones before the last window are
	// forgotten, and minSamples the number below which a source says nothing.
	window, minSamples = 64, 8
	// maxSources bounds the sources that are kept, of about 3 KB each.
	maxSources = 512
	// maxTokens bounds a recorded length.
	maxTokens = 1 << 20
	// ratioUnit is the recorded value of an estimate that was right.
	ratioUnit = 1000
	// lowQuantile and highQuantile are the percentiles that tell how far samples spread.
	lowQuantile, middle, highQuantile = 10, 50, 90
)

// Source is what answers of similar length have in common.
type Source struct {
	Route    string
	Model    core.ModelName
	Customer core.OwnerName
}

// wider returns the sources to go by if too little is known of this one, narrowest first. The last
// two are the same for a request without a customer.
func (s Source) wider() [3]Source {
	return [3]Source{s, {Route: s.Route, Customer: s.Customer}, {Route: s.Route}}
}

// Foreseen is the foreseen length of an answer in tokens. One in ten is longer than High.
type Foreseen struct{ Usual, High int }

// Tracker holds the lengths of recent answers. The zero Tracker is ready for use. It is not safe
// for concurrent use.
type Tracker struct {
	lengths map[Source]*samples
	// ratios holds the lengths as multiples of the callers' estimates, in units of ratioUnit.
	ratios map[Source]*samples
}

// samples are the last window to two windows of samples.
type samples struct{ current, last *hdrhistogram.Histogram }

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxTokens, 1) }

func (s *samples) add(value int64) {
	if s.current.TotalCount() >= window {
		s.last, s.current = s.current, s.last
		s.current.Reset()
	}
	_ = s.current.RecordValue(min(max(1, value), maxTokens))
}

// quantiles returns three percentiles, false if there are too few samples. A window that has
// just begun counts less than the whole one before it.
func (s *samples) quantiles() (low, usual, high int64, ok bool) {
	if s == nil {
		return 0, 0, 0, false
	}
	from := s.current
	if from.TotalCount() < minSamples {
		from = s.last
	}
	if from.TotalCount() < minSamples {
		return 0, 0, 0, false
	}
	return from.ValueAtQuantile(lowQuantile), from.ValueAtQuantile(middle), from.ValueAtQuantile(highQuantile), true
}

// Note records the length of an answer and the caller's estimate, zero if there was none.
func (t *Tracker) Note(s Source, tokens, estimate int) {
	if tokens <= 0 {
		return
	}
	var before Source
	for _, source := range s.wider() {
		if source == before {
			continue
		}
		before = source
		add(&t.lengths, source, int64(tokens))
		if estimate > 0 {
			add(&t.ratios, source, int64(tokens)*ratioUnit/int64(estimate))
		}
	}
}

func add(all *map[Source]*samples, source Source, value int64) {
	if *all == nil || len(*all) >= maxSources && (*all)[source] == nil {
		*all = map[Source]*samples{}
	}
	s := (*all)[source]
	if s == nil {
		s = &samples{current: newHistogram(), last: newHistogram()}
		(*all)[source] = s
	}
	s.add(value)
}

// Foresee returns the foreseen length of an answer of at most the given number of tokens, with the
// caller's estimate, zero if there is none.
func (t *Tracker) Foresee(s Source, estimate, most int) Foreseen {
	if most <= 0 {
		return Foreseen{}
	}
	low, usual, high, known := find(t.lengths, s)
	if estimate > 0 {
		ratioLow, ratio, ratioHigh, corrected := find(t.ratios, s)
		switch {
		case !corrected:
			return bounded(int64(estimate), int64(most), most)
		case !known || ratioHigh*low <= high*ratioLow: // the estimates spread no wider than the answers
			return bounded(int64(estimate)*ratio/ratioUnit, int64(estimate)*ratioHigh/ratioUnit, most)
		}
	}
	if !known {
		return Foreseen{Usual: most, High: most}
	}
	return bounded(usual, high, most)
}

// find returns the percentiles of the narrowest source of which enough is known.
func find(all map[Source]*samples, s Source) (low, usual, high int64, ok bool) {
	for _, source := range s.wider() {
		if low, usual, high, ok = all[source].quantiles(); ok {
			return low, usual, high, true
		}
	}
	return 0, 0, 0, false
}

// bounded returns a foreseen length of at least one and at most the given number of tokens.
func bounded(usual, high int64, most int) Foreseen {
	limit := func(n int64) int { return int(max(1, min(n, int64(most)))) }
	return Foreseen{Usual: limit(usual), High: limit(max(usual, high))}
}
