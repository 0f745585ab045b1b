package agent

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"radishwell/core"
	"radishwell/core/dedupe"
	"radishwell/core/ledger"
	"radishwell/core/strike"
	"radishwell/io/awake"
	"radishwell/io/events"
	"radishwell/io/meter"
	"radishwell/io/relay"
	"radishwell/io/spans"
	"radishwell/wire"
)

const (
	// orphanGrace is how long a run continues without a reader. An entry that
	// lost its connection reconnects well within this time; if the entry has
	// died, the run would use the accelerators for no one.
	orphanGrace = 4 * time.Second
	// stallTimeout is how long no byte of an answer may arrive while the engine
	// reports progress before its connection counts as silent.
	stallTimeout = time.Second
	// maxResumeTries bounds the consecutive failed attempts to connect again
	// for the rest of an answer, and the consecutive new connections without
	// data.
	maxResumeTries = 5
	resumeDelay    = 200 * time.Millisecond
	readBufferSize = 32 << 10
)

// run is one request at this agent, from its arrival until it is removed from
// the agent's tables.
type run struct {
	agent *Agent
	head  *wire.WorkHead
	body  []byte
	id    core.RequestID
	// call is the request's identity in the dedupe table.
	call    dedupe.Call
	target  core.Target
	spool   *relay.Spool
	arrived time.Time
	span    spans.Span

	// The agent's mutex guards the fields from waiting to cancel.

	// waiting is set while the run is in the queue or waits for a trial;
	// dispatched is set once it is sent to the upstream. use is then its use of
	// the model in the ledger, if the upstream is an engine.
	waiting    bool
	dispatched bool
	use        ledger.Use
	// cold is set if the request waited for a load, alone if it runs alone (see
	// strike.Verdict), and listed once a report of the engine has listed it.
	// epoch is the engine's epoch at dispatch.
	cold   bool
	alone  bool
	listed bool
	epoch  uint64
	// struck is set if the engine crashed while the request was in it; strikes
	// are returned to the entry with the end of the answer.
	struck  bool
	strikes []strike.Record
	// readers counts the connections that read the answer; detached is when the
	// last one ended.
	readers  int
	detached time.Time
	ended    time.Time
	cancel   context.CancelCauseFunc

	// started is when the run was dispatched, coldSince when requests for its
	// model began to wait for the load.
	started   time.Time
	coldSince time.Time
	// firstByte is when the answer's first byte arrived, in Unix nanoseconds.
	firstByte atomic.Int64

	// received counts the answer's bytes that have arrived; lastByte is when the
	// last of them did (or the dispatch, before any), in Unix nanoseconds.
	received atomic.Int64
	lastByte atomic.Int64
	// Only execute uses tail.
	tail tail
	// closeConn closes the connection to the engine, which makes execute resume.
	closeConn atomic.Pointer[func()]
}

// cause is the reason why a run was cancelled.
type cause uint8

const (
	causeCaller cause = iota + 1
	causeDeadline
)

// Error implements error.
func (c cause) Error() string {
	if c == causeCaller {
		return "the caller went away"
	}
	return "the deadline passed"
}

// dispatch sends the run to the upstream. The caller holds mu.
func (a *Agent) dispatch(r *run, now time.Time) {
	r.dispatched = true
	ctx, cancel := context.WithCancelCause(context.WithoutCancel(a.baseCtx))
	ctx, stop := context.WithDeadlineCause(ctx, relay.Time(r.head.GetDeadline()), causeDeadline)
	r.cancel = cancel
	r.lastByte.Store(now.UnixNano())
	a.background.Add(1)
	go func() {
		defer a.background.Done()
		defer stop()
		refusal := r.execute(ctx)
		if refusal != nil && refusal.Code == core.CodeUpstreamLost {
			a.diagnose(ctx, r)
		}
		a.finish(r, refusal)
	}()
}

// execute sends the request to the upstream and copies the answer into the spool.
// It returns nil if the answer is complete.
func (r *run) execute(ctx context.Context) *core.Refusal {
	answer, err := r.agent.Engine.Run(ctx, r.engineWork())
	if err != nil {
		return r.dispatchRefusal(ctx, err)
	}
	if refusal := r.modelMissing(answer); refusal != nil {
		answer.Body.Close()
		return refusal
	}
	r.tail = tailOf(answer, r.agent.Plain)
	unframed := answer.Framing == core.Unframed && !r.tail.ends()
	if !r.agent.Plain {
		// Content-Length describes one connection's response, but the answer may
		// continue over another connection.
		http.Header(answer.Header).Del("Content-Length")
	}
	r.spool.Head(&wire.AnswerHead{Status: int32(answer.Status), Header: toFields(answer.Header), Unframed: unframed})
	for try := 0; ; try++ {
		before := r.received.Load()
		err = r.copy(ctx, answer.Body)
		answer.Body.Close()
		if err == nil {
			err = r.tail.check()
		}
		switch {
		case err != nil || answer.Framing != core.Unframed || r.tail.ends():
		case unframed:
			err = r.checkCrash(ctx)
		default:
			// The caller was promised an end that tells.
			err = &UnfinishedError{Want: "a length or chunks"}
		}
		r.agent.Meter.UpstreamAnswer(answer.Framing, err == nil)
		if err == nil {
			return nil
		}
		if r.received.Load() > before {
			try = 0
		}
		if ctx.Err() != nil || r.agent.Plain || try >= maxResumeTries {
			return r.interruptedRefusal(ctx, err)
		}
		if answer, err = r.resume(ctx); err != nil {
			return r.interruptedRefusal(ctx, err)
		}
	}
}

// checkCrash returns an error if an answer without framing has ended because the upstream's
// process did: its system closes connections in order, and refuses new ones.
func (r *run) checkCrash(ctx context.Context) error {
	ctx, stop := awake.WithTimeout(ctx, diagnoseTimeout)
	defer stop()
	if _, err := r.agent.Engine.State(ctx); errors.Is(err, syscall.ECONNREFUSED) {
		return err
	}
	return nil
}

func (r *run) engineWork() core.EngineWork {
	return core.EngineWork{
		ID: r.id, Model: core.ModelName(r.head.GetModel()), Method: r.head.GetMethod(), Path: r.head.GetPath(),
		Header: toHeader(r.head.GetHeader()), Body: r.body, Priority: core.Class(r.head.GetClass()),
		Deadline: relay.Time(r.head.GetDeadline()), Trace: r.span.Traceparent(),
	}
}

// dispatchRefusal returns the refusal for a request that got no answer.
func (r *run) dispatchRefusal(ctx context.Context, err error) *core.Refusal {
	var fault *core.EngineError
	if errors.As(err, &fault) && fault.Fault == core.EngineUnreached {
		events.Fail(events.RequestUnsent, err, "request", r.id, "host", r.agent.Host, "took", r.agent.Clock.Now().Sub(time.Unix(0, r.lastByte.Load())))
		return core.RefuseUntil(core.CodeUpstreamLost, "the upstream does not answer", r.agent.Clock.Now().Add(time.Second))
	}
	return r.interruptedRefusal(ctx, err)
}

// modelMissing returns a refusal if the engine answered that it does not hold
// the model, as after a restart between the last report and the dispatch. The
// request has not run in that case.
func (r *run) modelMissing(answer core.Answer) *core.Refusal {
	if r.agent.Plain || answer.Status != http.StatusNotFound {
		return nil
	}
	return core.RefuseUntil(core.CodeLoadFailed, "the engine no longer holds the model", r.agent.Clock.Now().Add(time.Second))
}

// interruptedRefusal returns the refusal for a request that has run or may have
// run without a complete answer.
func (r *run) interruptedRefusal(ctx context.Context, err error) *core.Refusal {
	refusal := &core.Refusal{Code: core.CodeUpstreamLost, Outcome: core.MayHaveRun, Reason: "contact with the upstream was lost", Host: r.agent.Host}
	var why cause
	if errors.As(context.Cause(ctx), &why) {
		r.cancelAtEngine(ctx)
		refusal.Reason = why.Error()
		refusal.Code = core.CodeCancelled
		if why == causeDeadline {
			refusal.Code = core.CodeDeadline
		}
		return refusal
	}
	if err != nil {
		refusal.Reason += ": " + err.Error()
	}
	return refusal
}

// cancelTimeout bounds the call that cancels a request at the engine.
const cancelTimeout = 2 * time.Second

// cancelAtEngine makes the engine stop the request, so that it generates no
// output that is not read.
func (r *run) cancelAtEngine(ctx context.Context) {
	if r.agent.Plain {
		return
	}
	ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	defer stop()
	// A failed call is not repeated: an engine that can't be reached has no
	// request to stop, or its state report shows what it still runs.
	_ = r.agent.Engine.Cancel(ctx, r.id)
}

// readBuffers pools the buffers between the engine and the spool, which copies
// what is written to it. A buffer per answer was a third of what a request with
// a short answer allocated, and garbage collection showed in the tail latency of
// the first byte.
var readBuffers = sync.Pool{New: func() any { return new([readBufferSize]byte) }}

// copy copies the answer's bytes into the spool until the answer ends.
func (r *run) copy(ctx context.Context, body io.ReadCloser) error {
	closing := func() { body.Close() }
	r.closeConn.Store(&closing)
	pooled := readBuffers.Get().(*[readBufferSize]byte)
	defer readBuffers.Put(pooled)
	buf := pooled[:]
	for {
		n, err := body.Read(buf)
		if n > 0 {
			if r.received.Add(int64(n)) == int64(n) {
				r.firstByte.Store(r.agent.Clock.Now().UnixNano())
			}
			r.lastByte.Store(r.agent.Clock.Now().UnixNano())
			r.tail.add(buf[:n])
			if err := r.write(ctx, buf[:n]); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// write appends p to the spool or, for a keyed request, to the answer kept in
// the dedupe table.
func (r *run) write(ctx context.Context, p []byte) error {
	if !r.keyed() {
		return r.spool.Write(ctx, p)
	}
	r.agent.mu.Lock()
	r.agent.table.Append(r.call.ID, r.call.Attempt, bytes.Clone(p))
	r.agent.mu.Unlock()
	r.spool.Notify()
	return nil
}

// resume continues the answer on a new connection from the offset reached.
func (r *run) resume(ctx context.Context) (core.Answer, error) {
	var answer core.Answer
	var err error
	for range maxResumeTries {
		answer, err = r.agent.Engine.Resume(ctx, r.id, r.received.Load())
		if err == nil {
			return answer, nil
		}
		var fault *core.EngineError
		if errors.As(err, &fault) && fault.Fault == core.EngineRejected {
			return answer, err
		}
		select {
		case <-time.After(resumeDelay):
		case <-ctx.Done():
			return answer, context.Cause(ctx)
		}
	}
	return answer, err
}

// recordTrace records the run's hops once it has ended.
func (r *run) recordTrace(refusal *core.Refusal, now time.Time) {
	if !r.started.IsZero() {
		r.span.Hop(meter.AgentQueue, r.arrived, r.started)
		r.agent.Meter.Hop(meter.AgentQueue, r.arrived, r.started)
	}
	if r.cold && !r.coldSince.IsZero() {
		r.span.Hop(meter.Load, r.coldSince, r.started)
		r.agent.Meter.Hop(meter.Load, r.coldSince, r.started)
	}
	if first := r.firstByte.Load(); first != 0 {
		at := time.Unix(0, first)
		r.span.Hop(meter.FirstToken, r.started, at)
		r.span.Hop(meter.Stream, at, now)
		r.agent.Meter.Hop(meter.FirstToken, r.started, at)
		r.agent.Meter.Hop(meter.Stream, at, now)
	}
	r.span.Upstream(r.agent.Host, r.cold)
	r.span.End(refusal, now)
}

func (r *run) keyed() bool { return r.head.GetAttempt() > 0 }

func toFields(h map[string][]string) []*wire.Field {
	var out []*wire.Field
	for name, values := range h {
		for _, v := range values {
			out = append(out, &wire.Field{Name: name, Value: v})
		}
	}
	return out
}

func toHeader(list []*wire.Field) map[string][]string {
	h := http.Header{}
	for _, f := range list {
		h.Add(f.GetName(), f.GetValue())
	}
	return h
}
