package proxy

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"radishwell/core"
	"radishwell/core/fleet"
	"radishwell/core/rtable"
)

// outcome is how one attempt went.
type outcome struct {
	// done tells that the caller has its answer.
	done bool
	// sent tells that the host may have got the request, rejected that it said it
	// did not run it.
	sent, rejected bool
	cause          error
}

// SpoiltError reports an upstream's answer that cannot be the request's.
type SpoiltError struct{ Reason string }

// Error implements error.
func (e *SpoiltError) Error() string { return "the upstream's answer is spoilt: " + e.Reason }

// RejectedError reports an upstream that did not run the request.
type RejectedError struct{ Status int }

// Error implements error.
func (e *RejectedError) Error() string {
	return "the upstream did not run the request: status " + strconv.Itoa(e.Status)
}

// attempt sends the request to one host and passes its answer on.
func (c *call) attempt(ctx context.Context, t *target) outcome {
	ctx, stop := context.WithDeadline(ctx, c.leaveBy())
	defer stop()
	ctx, done := c.proxy.watch(ctx, c, t)
	defer done()
	c.host = t.id
	sentAt := c.noteSend(t)
	resp, sent, err := c.proxy.upstreams.send(ctx, c, t, c.event)
	if sent {
		c.sends++
	}
	if err != nil {
		if sent {
			c.ran++
		} else {
			c.release(t)
		}
		c.ended(t, func(h *fleet.Host, now time.Time) { c.blame(ctx, h, now, sent) })
		return outcome{sent: sent, cause: causeOf(ctx, err)}
	}
	defer resp.Body.Close()
	head := c.proxy.Protocol.Answer(resp.Header, resp.StatusCode, c.proxy.Clock.Now())
	c.noteSignals(t, head, sentAt)
	if head.ID == c.ask.ID && (head.NotRun || resp.StatusCode == http.StatusMisdirectedRequest) {
		c.ended(t, func(h *fleet.Host, now time.Time) { c.turnedAway(h, now, resp.StatusCode) })
		return outcome{sent: true, rejected: true, cause: &RejectedError{Status: resp.StatusCode}}
	}
	c.ran++
	if err := c.check(resp, head); err != nil {
		c.ended(t, (*fleet.Host).NoteFailure)
		return outcome{sent: true, cause: err}
	}
	if c.failedLookup(resp) {
		c.ended(t, (*fleet.Host).NoteFailure)
		return outcome{sent: true, cause: &FailedError{Status: resp.StatusCode}}
	}
	resumed := c.begun
	isStream := c.route.Kind == rtable.Stream && resp.StatusCode == http.StatusOK
	switch {
	case isStream:
		err = c.stream(t, resp)
	case c.begun:
		err = &SpoiltError{Reason: "a stream goes on with status " + strconv.Itoa(resp.StatusCode)}
	default:
		err = c.whole(resp)
	}
	if err != nil {
		c.ended(t, func(h *fleet.Host, now time.Time) { c.blame(ctx, h, now, true) })
		return outcome{sent: true, cause: causeOf(ctx, err)}
	}
	c.ended(t, func(h *fleet.Host, now time.Time) {
		if resp.StatusCode >= http.StatusInternalServerError {
			h.NoteFailure(now)
		}
		if isStream && c.query.Model != "" && !resumed {
			c.proxy.demand.NoteStream(c.query.Model, c.ask.Answer, c.latest.Sub(c.first))
		}
	})
	return outcome{done: true}
}

// causeOf returns why an attempt was left, where that is behind its error.
func causeOf(ctx context.Context, err error) error {
	var silent *SilentError
	if errors.As(context.Cause(ctx), &silent) {
		return silent
	}
	return err
}

// leaveBy returns when an attempt is given up. One at a request that may run again
// leaves as much time for another host as it has itself: a host that was cut off
// takes requests and says nothing. One after a failure that is kept ends in time for
// the caller to get that.
func (c *call) leaveBy() time.Time {
	switch {
	case c.failure != nil:
		return c.deadline.Add(-failureMargin)
	case c.route.Kind == rtable.Repeatable && c.ran+1 < c.route.MaxHosts:
		now := c.proxy.Clock.Now()
		return now.Add(c.deadline.Sub(now) / 2)
	}
	return c.deadline
}

// FailedError reports an upstream that ran a request to a failure of its own.
type FailedError struct{ Status int }

// Error implements error.
func (e *FailedError) Error() string {
	return "the upstream failed the request: status " + strconv.Itoa(e.Status)
}

// failure is an upstream's own failure of a request that may run again; it is the
// caller's answer if no other host does better.
type failure struct {
	status int
	header map[string][]string
	body   []byte
}

// failedLookup tells whether an answer is a failure that another host may not
// have. The failure is kept.
func (c *call) failedLookup(resp *http.Response) bool {
	if c.route.Kind != rtable.Repeatable || resp.StatusCode < http.StatusInternalServerError || c.ran >= c.route.MaxHosts {
		return false
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, mostWhole+1))
	switch {
	case err != nil:
		return true // it broke off, and is no answer to keep
	case len(body) > mostWhole:
		// Too large to keep; it is passed on from its beginning.
		resp.Body = &joined{Reader: io.MultiReader(bytes.NewReader(body), resp.Body), Closer: resp.Body}
		return false
	}
	c.failure = &failure{status: resp.StatusCode, header: c.proxy.Protocol.Reply(resp.Header), body: body}
	return true
}

// joined reads a body from its beginning again.
type joined struct {
	io.Reader
	io.Closer
}

// passFailure writes the failure that was kept.
func (c *call) passFailure() {
	c.status = c.failure.status
	head := c.writer.Header()
	for name, values := range c.failure.header {
		head[name] = values
	}
	head.Set("Content-Length", strconv.Itoa(len(c.failure.body)))
	c.writer.WriteHeader(c.failure.status)
	// An error here is the caller's going away.
	_, _ = c.writer.Write(c.failure.body)
}

// blame notes a failure of the host, unless the caller or the request's time
// ended the attempt.
func (c *call) blame(ctx context.Context, h *fleet.Host, now time.Time, sent bool) {
	switch {
	case ctx.Err() != nil && c.request.Context().Err() != nil:
	case !sent:
		h.NoteConnectFailure(now)
	default:
		h.NoteFailure(now)
	}
}

// turnedAway notes that a host did not take the request.
func (c *call) turnedAway(h *fleet.Host, now time.Time, status int) {
	if status == http.StatusMisdirectedRequest && c.query.Model != "" {
		h.NoteMissing(now, c.query.Model)
		return
	}
	h.NoteFailure(now)
}

// ended notes that an attempt is over.
func (c *call) ended(t *target, note func(*fleet.Host, time.Time)) {
	c.proxy.Update(func(_ *fleet.View, now time.Time) {
		if !t.begun {
			t.host.NoteAnswerStart(t.unread)
		}
		t.host.NoteEnd(c.query.Model)
		note(t.host, now)
	})
}

// promises are the statuses that tell callers a request has not run.
var promises = map[int]bool{
	http.StatusRequestTimeout: true, http.StatusMisdirectedRequest: true,
	http.StatusTooManyRequests: true, http.StatusServiceUnavailable: true,
}

// check tells whether an answer can be passed on as the request's.
func (c *call) check(resp *http.Response, head core.AnswerHead) error {
	switch {
	case head.ID != c.ask.ID:
		return &SpoiltError{Reason: "it is for the request " + strconv.Quote(string(head.ID))}
	case !head.Signed:
		return &SpoiltError{Reason: "it is not signed, status " + strconv.Itoa(resp.StatusCode)}
	case resp.Header.Get("Content-Encoding") != "":
		return &SpoiltError{Reason: "it has a content encoding that was not asked for"}
	case promises[resp.StatusCode]:
		// The upstream does not say that it did not run the request, so callers
		// must not read it out of the status.
		return &SpoiltError{Reason: "status " + strconv.Itoa(resp.StatusCode) + " without a word on whether it ran"}
	}
	return nil
}

// whole reads an answer to its end and passes it on. One that breaks off is not
// passed on at all.
func (c *call) whole(resp *http.Response) error {
	body, err := io.ReadAll(io.LimitReader(resp.Body, mostWhole+1))
	if err != nil {
		return err
	}
	c.copyHead(resp)
	if len(body) <= mostWhole {
		c.writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	c.begun = true
	c.passed()
	c.writer.WriteHeader(resp.StatusCode)
	if _, err := c.writer.Write(body); err != nil {
		return err
	}
	if len(body) <= mostWhole {
		return nil
	}
	_, err = io.Copy(c.writer, resp.Body)
	return err
}

func (c *call) copyHead(resp *http.Response) {
	c.status = resp.StatusCode
	head := c.writer.Header()
	for name, values := range c.proxy.Protocol.Reply(resp.Header) {
		head[name] = values
	}
}
