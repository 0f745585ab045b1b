package agent

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"radishwell/core"
	"radishwell/core/dedupe"
	"radishwell/core/ledger"
	"radishwell/core/strike"
	"radishwell/io/meter"
	"radishwell/io/relay"
	"radishwell/io/spans"
	"radishwell/wire"
)

const (
	// orphanGrace is how long a run goes on without a connection that reads it.
	// An entry that lost its connection is back well within it; one that has
	// died is not, and then nothing may burn for nobody.
	orphanGrace = 4 * time.Second
	// stallTime is how long an answer may stand still while the engine reports
	// progress before its connection is taken to have gone silent.
	stallTime = time.Second
	// resumeTries bounds the new connections made for one silent one.
	resumeTries = 5
	resumePause = 200 * time.Millisecond
	readPiece   = 32 << 10
)

// run is one request at this agent, from its arrival until it is forgotten.
type run struct {
	agent *Agent
	head  *wire.WorkHead
	body  []byte
	id    core.RequestID
	// call is the request's identity in the table, target what it asks for.
	call    dedupe.Call
	target  core.Target
	spool   *relay.Spool
	arrived time.Time
	span    spans.Span

	// What follows, up to cancel, is under the agent's lock.

	// waiting tells that the run is in the queue, began that it went to the
	// upstream, under use where that is an engine.
	waiting bool
	began   bool
	use     ledger.Use
	// cold tells that the request waited for a load, alone that nothing else ran
	// beside it, listed that the engine has reported it; epoch is the engine's at
	// the run's start.
	cold   bool
	alone  bool
	listed bool
	epoch  uint64
	// struck tells that its engine died with it; strikes go out with its end.
	struck  bool
	strikes []strike.Record
	// readers counts the connections that read the answer, the last of which
	// ended at detached.
	readers  int
	detached time.Time
	ended    time.Time
	cancel   context.CancelCauseFunc

	// started is when the run went to the engine, loading when the load that it
	// waited for began.
	started time.Time
	loading time.Time
	// first is when the answer's first byte came, in nanoseconds since the epoch.
	first atomic.Int64

	// received counts the answer's bytes that arrived; moved is when the last
	// did, in nanoseconds since the epoch.
	received atomic.Int64
	moved    atomic.Int64
	// tail is execute's alone.
	tail tail
	// redial closes the connection to the engine, which makes execute resume.
	redial atomic.Pointer[func()]
}

// cause is why a run was ended from outside.
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

// begin starts the run on the engine. The agent's lock is held.
func (a *Agent) begin(r *run, now time.Time) {
	r.began = true
	ctx, cancel := context.WithCancelCause(context.WithoutCancel(a.base))
	ctx, stop := context.WithDeadlineCause(ctx, relay.Time(r.head.GetDeadline()), causeDeadline)
	r.cancel = cancel
	r.moved.Store(now.UnixNano())
	a.work.Add(1)
	go func() {
		defer a.work.Done()
		defer stop()
		refusal := r.execute(ctx)
		if refusal != nil && refusal.Code == core.CodeUpstreamLost {
			a.diagnose(ctx, r)
		}
		a.finish(r, refusal)
	}()
}

// execute hands the request to the engine and copies the answer into the spool.
// It returns nil for a whole answer.
func (r *run) execute(ctx context.Context) *core.Refusal {
	answer, err := r.agent.Engine.Run(ctx, r.engineWork())
	if err != nil {
		return r.handOverFailed(ctx, err)
	}
	if refusal := r.notHeld(answer); refusal != nil {
		answer.Body.Close()
		return refusal
	}
	r.tail = tailOf(answer, r.agent.Plain)
	if !r.agent.Plain {
		// The length of what a connection brought is not the answer's, which may
		// go on over another connection.
		http.Header(answer.Header).Del("Content-Length")
	}
	r.spool.Head(&wire.AnswerHead{Status: int32(answer.Status), Header: fields(answer.Header)})
	for try := 0; ; try++ {
		moved := r.received.Load()
		err = r.copy(ctx, answer.Body)
		answer.Body.Close()
		if err == nil {
			err = r.tail.check()
		}
		if err == nil {
			return nil
		}
		if r.received.Load() > moved {
			try = 0
		}
		if ctx.Err() != nil || r.agent.Plain || try >= resumeTries {
			return r.cut(ctx, err)
		}
		if answer, err = r.resume(ctx); err != nil {
			return r.cut(ctx, err)
		}
	}
}

func (r *run) engineWork() core.EngineWork {
	return core.EngineWork{
		ID: r.id, Model: core.ModelName(r.head.GetModel()), Method: r.head.GetMethod(), Path: r.head.GetPath(),
		Header: header(r.head.GetHeader()), Body: r.body, Priority: core.Class(r.head.GetClass()),
		Deadline: relay.Time(r.head.GetDeadline()), Trace: r.span.Traceparent(),
	}
}

// handOverFailed says what is known of a request that got no answer.
func (r *run) handOverFailed(ctx context.Context, err error) *core.Refusal {
	var fault *core.EngineError
	if errors.As(err, &fault) && fault.Fault == core.EngineUnreached {
		return core.RefuseUntil(core.CodeUpstreamLost, "the upstream does not answer", r.agent.Clock.Now().Add(time.Second))
	}
	return r.cut(ctx, err)
}

// notHeld recognises an engine's word that it does not hold the model, as after
// a restart between our look and the hand-over. Nothing ran then.
func (r *run) notHeld(answer core.Answer) *core.Refusal {
	if r.agent.Plain || answer.Status != http.StatusNotFound {
		return nil
	}
	return core.RefuseUntil(core.CodeLoadFailed, "the engine no longer holds the model", r.agent.Clock.Now().Add(time.Second))
}

// cut ends an answer that has begun, or may have.
func (r *run) cut(ctx context.Context, err error) *core.Refusal {
	refusal := &core.Refusal{Code: core.CodeUpstreamLost, Outcome: core.MayHaveRun, Reason: "contact with the upstream was lost", Host: r.agent.Host}
	var why cause
	if errors.As(context.Cause(ctx), &why) {
		r.tellCancel(ctx)
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

// cancelTime bounds the call that tells an engine to stop a request.
const cancelTime = 2 * time.Second

// tellCancel has the engine stop the request, so that it generates for nobody.
func (r *run) tellCancel(ctx context.Context) {
	if r.agent.Plain {
		return
	}
	ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), cancelTime)
	defer stop()
	// An engine that cannot be reached has no request to stop, or is asked
	// again by nobody: its state report shows what it still runs.
	_ = r.agent.Engine.Cancel(ctx, r.id)
}

// pieces are buffers between the engine and the spool, which copies what it
// takes. One for each short answer was a third of what a request allocated, and
// the collector's work showed in the first byte's tail.
var pieces = sync.Pool{New: func() any { return new([readPiece]byte) }}

// copy moves the answer's bytes into the spool until the answer ends.
func (r *run) copy(ctx context.Context, body io.ReadCloser) error {
	closing := func() { body.Close() }
	r.redial.Store(&closing)
	piece := pieces.Get().(*[readPiece]byte)
	defer pieces.Put(piece)
	buf := piece[:]
	for {
		n, err := body.Read(buf)
		if n > 0 {
			if r.received.Add(int64(n)) == int64(n) {
				r.first.Store(r.agent.Clock.Now().UnixNano())
			}
			r.moved.Store(r.agent.Clock.Now().UnixNano())
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

// write appends to the spool, and to the kept answer of a keyed request.
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

// resume continues the answer on a new connection at the offset reached.
func (r *run) resume(ctx context.Context) (core.Answer, error) {
	var answer core.Answer
	var err error
	for range resumeTries {
		answer, err = r.agent.Engine.Resume(ctx, r.id, r.received.Load())
		if err == nil {
			return answer, nil
		}
		var fault *core.EngineError
		if errors.As(err, &fault) && fault.Fault == core.EngineRejected {
			return answer, err
		}
		select {
		case <-time.After(resumePause):
		case <-ctx.Done():
			return answer, context.Cause(ctx)
		}
	}
	return answer, err
}

// trace records the run's hops once it has ended.
func (r *run) trace(refusal *core.Refusal, now time.Time) {
	if !r.started.IsZero() {
		r.span.Hop(meter.AgentQueue, r.arrived, r.started)
		r.agent.Meter.Hop(meter.AgentQueue, r.arrived, r.started)
	}
	if r.cold && !r.loading.IsZero() {
		r.span.Hop(meter.Load, r.loading, r.started)
		r.agent.Meter.Hop(meter.Load, r.loading, r.started)
	}
	if first := r.first.Load(); first != 0 {
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

func fields(h map[string][]string) []*wire.Field {
	var out []*wire.Field
	for name, values := range h {
		for _, v := range values {
			out = append(out, &wire.Field{Name: name, Value: v})
		}
	}
	return out
}

func header(list []*wire.Field) map[string][]string {
	h := http.Header{}
	for _, f := range list {
		h.Add(f.GetName(), f.GetValue())
	}
	return h
}
