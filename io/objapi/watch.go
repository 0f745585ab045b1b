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

// maxEvents is how many decoded events wait for the reader of a watch.
const maxEvents = 16

// watch is a running watch. One goroutine decodes events; a timer closes the
// connection when it has been silent for too long.
type watch struct {
	what    *call
	cancel  context.CancelFunc
	changes chan core.Change
	// ended has the reason of the watch's end and is closed after it.
	ended chan error
}

// Watch implements core.Platform. The call's own deadline bounds only how long
// the platform may take to accept the watch; the watch runs until Close, until
// its ctx ends, or until it fails.
func (c *Client) Watch(ctx context.Context, kind core.Kind, from core.Version) (core.Watch, error) {
	c.init()
	what := &call{verb: http.MethodGet, kind: kind, read: true}
	if err := c.spend(ctx, true); err != nil {
		return nil, what.fail(core.Unavailable, err)
	}
	ctx, cancel := context.WithCancel(ctx)
	accept := time.AfterFunc(callTimeout, cancel)
	resp, failed := c.send(ctx, what, url.Values{
		"watch":               {"true"},
		"allowWatchBookmarks": {"true"},
		"resourceVersion":     {strconv.FormatUint(uint64(from), 10)},
	})
	accept.Stop()
	if failed != nil {
		cancel()
		return nil, failed
	}
	if resp.StatusCode >= http.StatusBadRequest {
		defer cancel()
		defer resp.Body.Close()
		return nil, what.refused(resp)
	}
	w := &watch{
		what:    what,
		cancel:  cancel,
		changes: make(chan core.Change, maxEvents),
		ended:   make(chan error, 1),
	}
	go w.run(ctx, resp, c.WatchSilence)
	return w, nil
}

// Next implements core.Watch. It returns what had arrived before it reports
// the end of the watch.
func (w *watch) Next(ctx context.Context) (core.Change, error) {
	select {
	case change, ok := <-w.changes:
		if ok {
			return change, nil
		}
		err, ok := <-w.ended
		if !ok {
			err = w.what.fail(core.Unavailable, context.Canceled)
		}
		return core.Change{}, err
	case <-ctx.Done():
		return core.Change{}, w.what.fail(core.Unavailable, ctx.Err())
	}
}

// Close implements core.Watch.
func (w *watch) Close() { w.cancel() }

// run decodes events until the watch ends, and reports why.
//
// A connection that something between the two ends has lost track of shows
// neither an error nor an end: without the timer the watch would wait for ever
// while the rest of the fleet moves on. The platform sends bookmarks, so a
// live watch is never silent for long.
func (w *watch) run(ctx context.Context, resp *http.Response, silence time.Duration) {
	silent := make(chan struct{})
	timer := time.AfterFunc(silence, func() {
		close(silent)
		w.cancel()
	})
	dec := json.NewDecoder(resp.Body)
	var failed error
	for failed == nil {
		var e eventJSON
		if failed = dec.Decode(&e); failed != nil {
			break
		}
		// The timer rests while a slow reader holds the event up.
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

// reason makes the error that Next returns at the end.
func (w *watch) reason(failed error, silent <-chan struct{}) error {
	select {
	case <-silent:
		return w.what.fail(core.Unknown, &SilenceError{})
	default:
	}
	var typed *core.PlatformError
	if errors.As(failed, &typed) {
		return typed
	}
	return w.what.fail(core.Unknown, failed)
}

// deliver converts an event and hands it to the reader.
func (w *watch) deliver(ctx context.Context, e eventJSON) error {
	if e.Type == "ERROR" {
		var status statusJSON
		if err := json.Unmarshal(e.Object, &status); err != nil {
			return err
		}
		cause := &StatusError{Status: status.Code, Reason: status.Reason, Message: status.Message}
		return w.what.fail(classify(status.Code, status.Reason), cause)
	}
	var body objectJSON
	if err := json.Unmarshal(e.Object, &body); err != nil {
		return err
	}
	o, err := body.object(w.what.kind)
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
		return malformed(w.what.kind, o.Name, "unknown event "+strconv.Quote(e.Type))
	}
	select {
	case w.changes <- change:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
