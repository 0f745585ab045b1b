package events

import (
	"sync/atomic"

	"golang.org/x/time/rate"
	"k8s.io/klog/v2"
)

// A sampled event is written at most sampleRate times a second, with bursts of
// sampleBurst. At 5,400 requests a second in the fleet, a line for each refusal would cost
// more than the refusal; ten a second suffice to show the problem.
//
// Events of requests that were not served are written failureRate times a second: an entry
// that refuses more is overloaded, and further lines contain nothing new.
const (
	sampleRate   = 10
	sampleBurst  = 20
	failureRate  = 100
	failureBurst = 200
)

// sampler bounds how often one event is written.
type sampler struct {
	limit *rate.Limiter
	// dropped is the number of events left out since the last one written.
	dropped atomic.Int64
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

// allow reports whether an event may be written now, and how many were left out since the
// last one. A nil sampler allows all.
func (s *sampler) allow() (dropped int64, ok bool) {
	if s == nil {
		return 0, true
	}
	if !s.limit.Allow() {
		s.dropped.Add(1)
		return 0, false
	}
	return s.dropped.Swap(0), true
}

// Log writes an event with alternating keys and values. Keys are in kebab case.
func Log(e Event, pairs ...any) {
	write(e, nil, pairs)
}

// Fail is like Log and adds the error that caused the event.
func Fail(e Event, err error, pairs ...any) {
	write(e, err, pairs)
}

// callerDepth skips the frames of write and of Log or Fail, so that a line names the
// source line that logged the event.
const callerDepth = 2

func write(e Event, err error, pairs []any) {
	row := e.Info()
	if row.Verbosity > 0 && !klog.V(klog.Level(row.Verbosity)).Enabled() {
		return
	}
	dropped, ok := e.sampler().allow()
	if !ok {
		return
	}
	all := append([]any{"event", row.ID}, pairs...)
	if dropped > 0 {
		all = append(all, "left-out", dropped)
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
