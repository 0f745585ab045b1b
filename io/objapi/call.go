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

// Limits of one call. A slow platform is still worth waiting for, so the
// deadlines are long; silent connections are found sooner by the transport.
const (
	callTimeout  = 5 * time.Second
	listTimeout  = 15 * time.Second
	maxAttempts  = 4
	firstBackoff = 50 * time.Millisecond
	maxBackoff   = 2 * time.Second
	maxDoublings = 10
)

// call is one call of the object API.
type call struct {
	verb string
	kind core.Kind
	name string
	sub  string
	// read tells that the call changes nothing, so that it may be repeated.
	read bool
	// body is sent as JSON where not nil; into takes the answer's.
	body any
	into any
}

func (c *Client) call(ctx context.Context, what *call) error {
	c.init()
	timeout := callTimeout
	if what.read && what.name == "" {
		timeout = listTimeout
	}
	for n := 0; ; n++ {
		failed := c.attempt(ctx, what, timeout)
		if failed == nil {
			return nil
		}
		if n+1 >= maxAttempts || !what.repeatable(failed) || !loop.Sleep(ctx, backoff(n)) {
			return failed
		}
		if c.OnRetry != nil {
			c.OnRetry(failed)
		}
	}
}

// repeatable tells whether another attempt does no harm and can help. A write
// is repeated only if it certainly had no effect.
func (what *call) repeatable(failed *core.PlatformError) bool {
	switch failed.Fault {
	case core.Unavailable:
		return !errors.Is(failed, &BudgetError{})
	case core.Unknown:
		return what.read
	default:
		return false
	}
}

func (c *Client) attempt(ctx context.Context, what *call, timeout time.Duration) *core.PlatformError {
	if err := c.spend(ctx, what.read); err != nil {
		return what.fail(core.Unavailable, err)
	}
	answer := stall.Start(ctx, timeout)
	defer answer.Stop()
	resp, failed := c.send(answer.Context, what, nil)
	if failed != nil {
		return failed
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusBadRequest {
		return what.refused(resp)
	}
	data, err := answer.ReadAll(resp.Body, callTimeout)
	if err != nil {
		return what.fail(core.Unknown, err)
	}
	if what.into == nil {
		return nil
	}
	if err := json.Unmarshal(data, what.into); err != nil {
		return what.fail(core.Unknown, err)
	}
	return nil
}

// spend waits for the budget. A wait that ctx does not allow is refused at
// once, so that no call is sent.
func (c *Client) spend(ctx context.Context, read bool) error {
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

// send sends a request and returns the answer's head. Its errors are Unavailable
// where no connection was made and so nothing can have been sent.
func (c *Client) send(ctx context.Context, what *call, query url.Values) (*http.Response, *core.PlatformError) {
	connected := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }}
	var body io.Reader
	if what.body != nil {
		data, err := json.Marshal(what.body)
		if err != nil {
			return nil, what.fail(core.Invalid, err)
		}
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), what.verb, c.url(what, query), body)
	if err != nil {
		return nil, what.fail(core.Invalid, err)
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
		return nil, what.fail(core.Unknown, err)
	}
	return nil, what.fail(core.Unavailable, err)
}

func (c *Client) url(what *call, query url.Values) string {
	u := c.base + url.PathEscape(string(what.kind))
	if what.name != "" && what.verb != http.MethodPost {
		u += "/" + url.PathEscape(what.name) + what.sub
	}
	if query != nil {
		u += "?" + query.Encode()
	}
	return u
}
