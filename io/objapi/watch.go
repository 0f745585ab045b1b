package objapi

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"radishwell/core"
)

// maxBufferedEvents bounds the decoded events that wait for the reader of a watch.
const maxBufferedEvents = 16

// watch is a running watch. A goroutine decodes events, and a timer closes the connection
// if it is silent for too long.
type watch struct {
	op     *operation
	cancel context.CancelFunc
	// onSilence is called if the connection is silent for too long.
	onSilence func()
	changes   chan core.Change
	// ended receives the error that ended the watch, and is then closed.
	ended chan error
}

// Watch implements core.Platform. The timeout of a call only bounds the time until the
// platform accepts the watch; the watch then runs until Close, until ctx ends, or until
// it fails.
func (c *Client) Watch(ctx context.Context, kind core.Kind, from core.Version) (core.Watch, error) {
	c.init()
	op := &operation{verb: http.MethodGet, kind: kind, read: true}
	if err := c.awaitBudget(ctx, true); err != nil {
		return nil, op.fail(core.Unavailable, err)
	}
	ctx, cancel := context.WithCancel(ctx)
	acceptTimer := time.AfterFunc(callTimeout, cancel)
	resp, failed := c.send(ctx, op, url.Values{
		"watch":               {"true"},
		"allowWatchBookmarks": {"true"},
		"resourceVersion":     {strconv.FormatUint(uint64(from), 10)},
	})
	acceptTimer.Stop()
	if failed != nil {
		cancel()
		return nil, failed
	}
	if resp.StatusCode >= http.StatusBadRequest {
		defer cancel()
		defer resp.Body.Close()
		return nil, op.statusError(resp)
	}
	w := &watch{
		op:     op,
		cancel: cancel,
		// They may be as silent, and the next call would wait on one.
		onSilence: c.http.CloseIdleConnections,
		changes:   make(chan core.Change, maxBufferedEvents),
		ended:     make(chan error, 1),
	}
	go w.run(ctx, resp, c.WatchSilence)
	return w, nil
}

// Next implements core.Watch. It returns all changes received before it reports the end
// of the watch.
func (w *watch) Next(ctx context.Context) (core.Change, error) {
	select {
	case change, ok := <-w.changes:
		if ok {
			return change, nil
		}
		err, ok := <-w.ended
		if !ok {
			err = w.op.fail(core.Unavailable, context.Canceled)
		}
		return core.Change{}, err
	case <-ctx.Done():
		return core.Change{}, w.op.fail(core.Unavailable, ctx.Err())
	}
}

// Close implements core.Watch.
func (w *watch) Close() { w.cancel() }

// run decodes events until the watch ends, and then reports the reason.
//
// If a middlebox loses the state of the connection, there is neither an error nor an end
// of the stream: without the timer, the watch would wait forever and the process would
// miss all changes. The platform sends bookmarks, so a live watch is never silent for
// long.
func (w *watch) run(ctx context.Context, resp *http.Response, silence time.Duration) {
	silent := make(chan struct{})
	timer := time.AfterFunc(silence, func() {
		close(silent)
		w.onSilence()
		w.cancel()
	})
	dec := json.NewDecoder(resp.Body)
	var failed error
	for failed == nil {
		var e eventJSON
		if failed = dec.Decode(&e); failed != nil {
			break
		}
		// The timer is stopped while a slow reader delays the event.
		if !timer.Stop() {
			break
		}
		failed = w.deliver(ctx, e)
		timer.Reset(silence)
	}
	timer.Stop()
	w.cancel()
	resp.Body.Close()
	w.ended <- w.reason(failed, silent)
	close(w.ended)
	close(w.changes)
}

// reason returns the error that Next returns at the end of the watch.
func (w *watch) reason(failed error, silent <-chan struct{}) error {
	select {
	case <-silent:
		return w.op.fail(core.Unknown, &SilenceError{})
	default:
	}
	var typed *core.PlatformError
	if errors.As(failed, &typed) {
		return typed
	}
	return w.op.fail(core.Unknown, failed)
}

// deliver converts an event and passes it to the reader.
func (w *watch) deliver(ctx context.Context, e eventJSON) error {
	if e.Type == "ERROR" {
		var status statusJSON
		if err := json.Unmarshal(e.Object, &status); err != nil {
			return err
		}
		cause := &StatusError{Status: status.Code, Reason: status.Reason, Message: status.Message}
		return w.op.fail(classify(status.Code, status.Reason), cause)
	}
	var body objectJSON
	if err := json.Unmarshal(e.Object, &body); err != nil {
		return err
	}
	o, err := body.object(w.op.kind)
	if err != nil {
		return err
	}
	change := core.Change{Object: o}
	switch e.Type {
	case "ADDED", "MODIFIED":
	case "DELETED":
		change.Object.Deleted = true
	case "BOOKMARK":
		change.Bookmark = true
	default:
		return malformed(w.op.kind, o.Name, "unknown event "+strconv.Quote(e.Type))
	}
	select {
	case w.changes <- change:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
