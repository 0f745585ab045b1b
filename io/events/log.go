package events

import (
	"sync/atomic"

	"golang.org/x/time/rate"
	"k8s.io/klog/v2"
)

// Sampled events are written at most sampleRate times a second, sampleBurst at
// once. At 5,400 requests a second in the fleet a line for each refusal would
// cost more than the refusal; ten a second still show what is going on.
//
// Of requests that were not served, failureRate a second are written: an entry that
// refuses more than that is overloaded, and a line more tells nothing new.
const (
	sampleRate   = 10
	sampleBurst  = 20
	failureRate  = 100
	failureBurst = 200
)

// sampler bounds how often one event is written.
type sampler struct {
	limit *rate.Limiter
	left  atomic.Int64
}

var samplers = newSamplers()

func newSamplers() []*sampler {
	all := make([]*sampler, len(table))
	for i, row := range table {
		switch {
		case row.Sampled && row.Failure:
			all[i] = &sampler{limit: rate.NewLimiter(failureRate, failureBurst)}
		case row.Sampled:
			all[i] = &sampler{limit: rate.NewLimiter(sampleRate, sampleBurst)}
		}
	}
	return all
}

// allow tells whether an event may be written now, and how many were left out
// since the last one.
func (s *sampler) allow() (left int64, ok bool) {
	if s == nil {
		return 0, true
	}
	if !s.limit.Allow() {
		s.left.Add(1)
		return 0, false
	}
	return s.left.Swap(0), true
}

// Log writes an event with pairs of keys and values. Keys are in kebab case.
func Log(e Event, pairs ...any) {
	write(e, nil, pairs)
}

// Fail writes an event with the error that caused it.
func Fail(e Event, err error, pairs ...any) {
	write(e, err, pairs)
}

// callerDepth skips write and Log or Fail, so that a line names the place that
// logged it.
const callerDepth = 2

func write(e Event, err error, pairs []any) {
	row := e.Info()
	if row.Verbosity > 0 && !klog.V(klog.Level(row.Verbosity)).Enabled() {
		return
	}
	left, ok := e.sampler().allow()
	if !ok {
		return
	}
	all := append([]any{"event", row.ID}, pairs...)
	if left > 0 {
		all = append(all, "left-out", left)
	}
	if row.Severity == Error {
		klog.ErrorSDepth(callerDepth, err, row.Text, all...)
		return
	}
	if err != nil {
		all = append(all, "err", err.Error())
	}
	klog.InfoSDepth(callerDepth, row.Text, all...)
}

func (e Event) sampler() *sampler {
	if int(e) >= len(samplers) {
		return nil
	}
	return samplers[e]
}
