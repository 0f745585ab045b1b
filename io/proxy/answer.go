package proxy

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"radishwell/core"
	"radishwell/core/fleet"
	"radishwell/core/queue"
	"radishwell/core/rtable"
	"radishwell/io/httpd"
	"radishwell/io/reply"
)

// outcome is the result of one attempt.
type outcome struct {
	// done is set if the whole answer was forwarded to the caller.
	done bool
	// sent is set if the host may have received the request, rejected if the host
	// states that it did not run the request.
	sent, rejected bool
	// cause is the error of an attempt that is not done.
	cause error
}

// SpoiltError reports an upstream's answer that cannot belong to the request or cannot
// be forwarded.
type SpoiltError struct{ Reason string }

// Error implements error.
func (e *SpoiltError) Error() string { return "the upstream's answer is spoilt: " + e.Reason }

// RejectedError reports an upstream that states that it did not run the request.
type RejectedError struct{ Status int }

// Error implements error.
func (e *RejectedError) Error() string {
	return "the upstream did not run the request: status " + strconv.Itoa(e.Status)
}

// exchange is the request as it was sent to one host, with what has come back.
type exchange struct {
	target *target
	// lastEventID is the ID of the event after which a stream goes on.
	lastEventID string
	// retry is what the send is taken from, and retryBy the time by which it has to be sent then. counted is set once
	// it counts among the sends.
	retry   retrySource
	retryBy time.Time
	counted bool
	// cancel ends an exchange that runs beside another one.
	cancel context.CancelFunc

	// The fields below are set by the goroutine that sends it. head is that of resp.
	resp  *http.Response
	head  core.AnswerHead
	state sendState
	err   error
	// ahead is what was read of the body, nil if nothing was; resp.Body has what follows. endedAt is when there was that, a header, or an error.
	ahead   *readAhead
	endedAt time.Time
}

// begin begins an exchange with a host.
func (c *call) begin(t *target) *exchange {
	c.lastHost = t.id
	t.sentAt = c.recordSend(t)
	x := &exchange{target: t, lastEventID: c.lastEventID, retry: c.retry, retryBy: c.retryBy}
	c.retry = noRetry
	return x
}

// countSend counts an exchange among the sends of the request.
func (c *call) countSend(x *exchange) {
	if x.counted {
		return
	}
	x.counted = true
	c.proxy.Meter.Send(c.sends > 0)
	c.sends++
}

// exchange sends the request to the host of an exchange and waits for the header of the answer. It changes nothing of
// the call.
func (c *call) exchange(ctx context.Context, x *exchange) {
	x.resp, x.state, x.err = c.proxy.upstreams.send(ctx, c, x)
	x.endedAt = c.proxy.Clock.Now()
	if x.err == nil {
		x.head = c.proxy.Protocol.ParseAnswer(x.resp.Header, x.resp.StatusCode, x.endedAt)
	}
}

// rejected reports whether the host states that it did not run the request.
func (x *exchange) rejected() bool {
	return x.head.NotRun || x.resp.StatusCode == http.StatusMisdirectedRequest
}

// endFailed ends an exchange without an answer, as far as the request is concerned.
func (c *call) endFailed(x *exchange) {
	c.endSend(x, endOfFailed(x.state, x.err))
	if x.state.sent {
		c.ran++
	} else {
		c.release(x.target)
	}
}

// attempt sends the request to one host, or to two, and forwards the answer. It returns the host whose answer, or
// failure, came last.
func (c *call) attempt(ctx context.Context, t *target) (*target, outcome) {
	ctx, stop := c.limitAttempt(ctx)
	defer stop()
	ctx, unfollow := c.proxy.followParts(ctx, c)
	defer unfollow()
	if c.mayHaveSecond() {
		return c.attemptTwice(ctx, t)
	}
	ctx, done := c.proxy.watch(ctx, c, t)
	defer done()
	x := c.begin(t)
	c.exchange(ctx, x)
	return t, c.finish(ctx, x)
}

// limitAttempt returns the context of an attempt, which ends with the request. In a trial of parts of the prompt an
// answer that has begun may go on without its caller, and after the request's time.
func (c *call) limitAttempt(ctx context.Context) (context.Context, func()) {
	if len(c.run.parts) == 0 {
		return context.WithDeadline(ctx, c.attemptDeadline())
	}
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), c.deadline.Add(trialGrace))
	c.run.unbegun = time.AfterFunc(time.Until(c.attemptDeadline()), cancel)
	return ctx, cancel
}

// finish ends an exchange and forwards its answer, if there is one.
func (c *call) finish(ctx context.Context, x *exchange) outcome {
	t, resp, err := x.target, x.resp, x.err
	c.lastHost = t.id
	sent := x.state.sent
	if sent {
		c.countSend(x)
	}
	if err != nil {
		c.endFailed(x)
		c.recordEnd(t, func(h *fleet.Host, now time.Time) {
			if !isLate(err) {
				c.recordFailure(ctx, h, now, sent)
			}
		})
		c.noteError(ctx, t, sent, err)
		return outcome{sent: sent, cause: causeOf(ctx, err)}
	}
	defer resp.Body.Close()
	c.framing, c.partialEvent = reply.Framing(resp), 0
	head := x.head
	if head.ID == c.ask.ID {
		c.endSend(x, answered)
	} else {
		c.endSend(x, closed)
	}
	c.applySignals(t, head, t.sentAt)
	if head.ID == c.ask.ID && x.rejected() {
		c.recordEnd(t, func(h *fleet.Host, now time.Time) { c.recordRejection(h, now, resp.StatusCode) })
		if resp.StatusCode == http.StatusMisdirectedRequest {
			c.checkIdentity(ctx, t)
		}
		return outcome{sent: true, rejected: true, cause: &RejectedError{Status: resp.StatusCode}}
	}
	c.ran++
	if err := c.check(resp, head); err != nil {
		c.recordEnd(t, (*fleet.Host).NoteFailure)
		return outcome{sent: true, cause: err}
	}
	if c.keepFailure(ctx, x) {
		c.recordEnd(t, (*fleet.Host).NoteFailure)
		return outcome{sent: true, cause: &FailedError{Status: resp.StatusCode}}
	}
	resumed := c.started
	isStream := c.route.Kind == rtable.Stream && resp.StatusCode == http.StatusOK
	switch {
	case isStream:
		err = c.forwardStream(ctx, t, resp)
	case c.started:
		err = &SpoiltError{Reason: "a stream goes on with status " + strconv.Itoa(resp.StatusCode)}
	default:
		err = c.forwardWhole(ctx, x)
	}
	c.proxy.Meter.UpstreamAnswer(c.framing, err == nil)
	if err != nil {
		c.recordEnd(t, func(h *fleet.Host, now time.Time) {
			if !isUnconfirmed(err) {
				c.recordFailure(ctx, h, now, true)
			}
		})
		c.noteError(ctx, t, true, err)
		return outcome{sent: true, cause: causeOf(ctx, err)}
	}
	c.recordEnd(t, func(h *fleet.Host, now time.Time) {
		if resp.StatusCode >= http.StatusInternalServerError {
			h.NoteFailure(now)
		}
		if isStream && c.query.Model != "" && !resumed {
			c.proxy.demand.NoteStream(c.query.Model, c.ask.Answer, c.lastEvent.Sub(c.firstEvent))
			c.noteLength(h)
		}
	})
	if resp.StatusCode < http.StatusInternalServerError {
		c.noteServed()
	}
	if resp.StatusCode/100 == 2 {
		c.notePartsAnswered(t)
	}
	if isStream {
		c.noteStreamEnd()
	}
	c.noteTimes(x)
	if c.gone != nil {
		return outcome{sent: true, cause: c.gone}
	}
	return outcome{done: true}
}

// causeOf returns the reason for which an attempt was cancelled, or err if it was not
// cancelled by this package.
func causeOf(ctx context.Context, err error) error {
	cause := context.Cause(ctx)
	if isWithdrawn(ctx) || errors.As(cause, new(*SilentError)) {
		return cause
	}
	return err
}

// attemptDeadline returns when an attempt is given up. If a failure is kept as the answer, the attempt ends
// early enough for the caller to receive it.
func (c *call) attemptDeadline() time.Time {
	if c.failure != nil {
		return c.deadline.Add(-failureMargin)
	}
	return c.deadline
}

// FailedError reports an upstream that ran a request and answered with a failure of its
// own.
type FailedError struct{ Status int }

// Error implements error.
func (e *FailedError) Error() string {
	return "the upstream failed the request: status " + strconv.Itoa(e.Status)
}

// failure is the failed answer of an upstream to a request that may run again. The
// caller receives it if no other host answers better.
type failure struct {
	status  int
	header  map[string][]string
	body    []byte
	length  int
	framing core.Framing
}

// keepFailure reports whether an answer is a failure after which another host is tried.
// It keeps the failure if it could be read.
func (c *call) keepFailure(ctx context.Context, x *exchange) bool {
	resp := x.resp
	if c.route.Kind != rtable.Repeatable || resp.StatusCode < http.StatusInternalServerError || c.ran >= c.route.MaxHosts {
		return false
	}
	if x.ahead == nil {
		x.ahead = &readAhead{}
	}
	body, err := x.ahead.upTo(maxBufferedAnswer+1, resp.Body)
	switch {
	case err != nil:
		c.noteError(ctx, x.target, true, err)
		return true // the answer broke off and cannot be kept
	case len(body) > maxBufferedAnswer:
		return false // the answer is too large to keep, so it is forwarded
	}
	c.failure = &failure{
		status: resp.StatusCode, header: c.proxy.Protocol.ReplyHeader(resp.Header), body: body, length: c.lengthOf(resp, body), framing: c.framing,
	}
	return true
}

// writeFailure answers the caller with the kept failure.
func (c *call) writeFailure() {
	c.writeHead(c.failure.status, c.failure.header, c.failure.framing, c.failure.length)
	// An error means that the caller has left.
	_, _ = c.writer.Write(c.failure.body)
}

// recordFailure records a failure of the host, unless the caller left. sent is set if
// the host may have received the request.
func (c *call) recordFailure(ctx context.Context, h *fleet.Host, now time.Time, sent bool) {
	switch {
	case ctx.Err() != nil && (c.request.Context().Err() != nil || isWithdrawn(ctx)):
	case !sent:
		h.NoteConnectFailure(now)
	default:
		h.NoteFailure(now)
	}
}

// recordRejection records that a host rejected the request.
func (c *call) recordRejection(h *fleet.Host, now time.Time, status int) {
	if status == http.StatusMisdirectedRequest && c.query.Model != "" {
		h.NoteMissing(now, c.query.Model)
		return
	}
	h.NoteFailure(now)
}

// recordEnd records that an attempt has ended, and calls note to record its result.
func (c *call) recordEnd(t *target, note func(*fleet.Host, time.Time)) {
	c.endTurn(queue.Failed)
	c.proxy.Update(func(_ *fleet.View, now time.Time) {
		if t.startedAt.IsZero() {
			t.host.NoteAnswerStart(t.prefillTokens)
		}
		t.host.NoteEnd(c.query.Model)
		note(t.host, now)
	})
}

// notRunStatuses are the statuses by which callers understand that a request has not
// run.
var notRunStatuses = map[int]bool{
	http.StatusRequestTimeout: true, http.StatusMisdirectedRequest: true,
	http.StatusTooManyRequests: true, http.StatusServiceUnavailable: true,
}

// check returns an error if a response cannot be forwarded as the answer to the request.
func (c *call) check(resp *http.Response, head core.AnswerHead) error {
	switch {
	case head.ID != c.ask.ID:
		return &SpoiltError{Reason: "it is for the request " + strconv.Quote(string(head.ID))}
	case !head.Signed:
		return &SpoiltError{Reason: "it is not signed, status " + strconv.Itoa(resp.StatusCode)}
	case resp.Header.Get("Content-Encoding") != "":
		return &SpoiltError{Reason: "it has a content encoding that was not asked for"}
	case notRunStatuses[resp.StatusCode]:
		// The upstream does not state that it did not run the request, so callers must
		// not infer that from the status.
		return &SpoiltError{Reason: "status " + strconv.Itoa(resp.StatusCode) + " without a word on whether it ran"}
	}
	return nil
}

// forwardWhole reads an answer to its end and then forwards it. An answer that breaks
// off is not forwarded at all, unless it is larger than what is buffered.
func (c *call) forwardWhole(ctx context.Context, x *exchange) error {
	t, resp := x.target, x.resp
	if x.ahead == nil {
		x.ahead = c.readAhead(resp.Body)
	}
	body, whole := x.ahead.body, x.ahead.whole
	if x.ahead.err != nil {
		return x.ahead.err
	}
	length := c.lengthOf(resp, body)
	if !whole {
		length = unknownLength
	} else if err := c.checkCrash(ctx, t); err != nil {
		return err
	}
	c.started = true
	c.noteAnswerBegun()
	c.endTurn(queue.Served)
	c.recordEvent()
	c.writeHead(resp.StatusCode, c.proxy.Protocol.ReplyHeader(resp.Header), c.framing, length)
	if err := c.write(body); err != nil {
		return err
	}
	if whole {
		return nil
	}
	if _, err := io.Copy(answerWriter{c}, resp.Body); err != nil {
		return err
	}
	return c.checkCrash(ctx, t)
}

// lengthOf returns the length of an answer whose body was read to its end. The answer to HEAD states
// that of a body that does not come, or unknownLength.
func (c *call) lengthOf(resp *http.Response, body []byte) int {
	if c.request.Method == http.MethodHead {
		return int(resp.ContentLength)
	}
	return len(body)
}

// unknownLength is the length of a body that is forwarded as it arrives.
const unknownLength = -1

// writeHead writes the header of the answer, whose body has a length in bytes or
// unknownLength. An upstream's answer without framing has none towards the caller either:
// whether its end is that of the whole answer is not known.
func (c *call) writeHead(status int, header map[string][]string, framing core.Framing, length int) {
	c.status = status
	head := c.writer.Header()
	for name, values := range header {
		head[name] = values
	}
	switch {
	case framing == core.Unframed:
		head.Set("Transfer-Encoding", "identity") // net/http then closes the connection after the body
		c.unframed = true
	case length != unknownLength:
		head.Set("Content-Length", strconv.Itoa(length))
	default:
		c.unframed = !c.request.ProtoAtLeast(1, 1)
	}
	if c.unframed {
		httpd.BeginUnframed(c.request)
	}
	c.writer.WriteHeader(status)
}
