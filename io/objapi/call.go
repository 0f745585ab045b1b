package objapi

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"time"

	"golang.org/x/time/rate"

	"radishwell/core"
	"radishwell/io/loop"
	"radishwell/io/stall"
)

// Limits of one call. The timeouts are long, because an answer from a slow platform is
// still useful; the transport detects silent connections sooner.
const (
	callTimeout  = 5 * time.Second
	listTimeout  = 15 * time.Second
	maxAttempts  = 4
	firstBackoff = 50 * time.Millisecond
	maxBackoff   = 2 * time.Second
	maxDoublings = 10
)

// operation is one call of the object API.
type operation struct {
	// verb is the HTTP method.
	verb string
	kind core.Kind
	name string
	// subresource is appended to the path, as in "/status".
	subresource string
	// read is set if the call changes nothing, so that it may always be repeated.
	read bool
	// body is sent as JSON unless it is nil.
	body any
	// into receives the decoded body of the answer unless it is nil.
	into any
}

// call makes a call and repeats it with backoff if that is safe and can help. Its error
// is a core.PlatformError.
func (c *Client) call(ctx context.Context, op *operation) error {
	c.init()
	timeout := callTimeout
	if op.read && op.name == "" {
		timeout = listTimeout
	}
	for n := 0; ; n++ {
		failed := c.attempt(ctx, op, timeout)
		if failed == nil {
			return nil
		}
		if n+1 >= maxAttempts || !op.repeatable(failed) || !loop.Sleep(ctx, backoff(n)) {
			return failed
		}
		if c.OnRetry != nil {
			c.OnRetry(failed)
		}
	}
}

// repeatable reports whether another attempt is safe and can help. A write is repeated
// only if it certainly had no effect.
func (op *operation) repeatable(failed *core.PlatformError) bool {
	switch failed.Fault {
	case core.Unavailable:
		return !errors.Is(failed, &BudgetError{})
	case core.Unknown:
		return op.read
	default:
		return false
	}
}

// attempt makes a call once.
func (c *Client) attempt(ctx context.Context, op *operation, timeout time.Duration) *core.PlatformError {
	if err := c.awaitBudget(ctx, op.read); err != nil {
		return op.fail(core.Unavailable, err)
	}
	answer := stall.Start(ctx, timeout)
	defer answer.Stop()
	defer func() {
		if answer.IsSilent() {
			c.http.CloseIdleConnections() // they may be as silent, and the next attempt would wait on one
		}
	}()
	resp, failed := c.send(answer.Context, op, nil)
	if failed != nil {
		return failed
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusBadRequest {
		return op.statusError(resp)
	}
	data, err := answer.ReadAll(resp.Body, callTimeout)
	if err != nil {
		return op.fail(core.Unknown, err)
	}
	if op.into == nil {
		return nil
	}
	decode := func() error { return json.Unmarshal(data, op.into) }
	if list, ok := op.into.(*listJSON); ok {
		decode = func() error { return list.decode(data) }
	}
	if err := decode(); err != nil {
		return op.fail(core.Unknown, err)
	}
	return nil
}

// awaitBudget waits until the budget allows a call. If that would be after the deadline
// of ctx, it fails at once with a BudgetError, and no call is sent.
func (c *Client) awaitBudget(ctx context.Context, read bool) error {
	limiter := c.writes
	if read {
		limiter = c.reads
	}
	return waitFor(ctx, limiter)
}

func waitFor(ctx context.Context, limiter *rate.Limiter) error {
	err := limiter.Wait(ctx)
	if err == nil || ctx.Err() != nil {
		return err
	}
	return &BudgetError{PerSecond: float64(limiter.Limit())}
}

// send sends a request and returns the head of the answer. The fault of its error is
// Unavailable if there was no connection, so that nothing was sent, and Unknown if there
// was one.
func (c *Client) send(ctx context.Context, op *operation, query url.Values) (*http.Response, *core.PlatformError) {
	connected := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }}
	var body io.Reader
	if op.body != nil {
		data, err := json.Marshal(op.body)
		if err != nil {
			return nil, op.fail(core.Invalid, err)
		}
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), op.verb, c.url(op, query), body)
	if err != nil {
		return nil, op.fail(core.Invalid, err)
	}
	req.Header.Set("Accept", "application/json")
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	if token := c.token(); token != "" {
		req.Header.Set("Authorization", "Bearer "+token)
	}
	resp, err := c.http.Do(req)
	switch {
	case err == nil:
		return resp, nil
	case connected:
		return nil, op.fail(core.Unknown, err)
	}
	return nil, op.fail(core.Unavailable, err)
}

func (c *Client) url(op *operation, query url.Values) string {
	u := c.base + url.PathEscape(string(op.kind))
	if op.name != "" && op.verb != http.MethodPost {
		u += "/" + url.PathEscape(op.name) + op.subresource
	}
	if query != nil {
		u += "?" + query.Encode()
	}
	return u
}
