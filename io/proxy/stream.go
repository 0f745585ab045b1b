package proxy

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
	"unicode"

	"radishwell/core"
	"radishwell/core/fleet"
	"radishwell/core/queue"
	"radishwell/core/stream"
)

const (
	// maxEvent bounds one event of a stream, in bytes.
	maxEvent = 1 << 20
	// streamBuffer is the size of the pieces in which a stream is read, in bytes.
	streamBuffer = 4 << 10
)

// OrderError reports an event that does not follow the previous one.
type OrderError struct{ After, Got string }

// Error implements error.
func (e *OrderError) Error() string { return "event " + e.Got + " follows event " + e.After }

// UnfinishedError reports a stream that ended inside an event, or without framing before its
// first.
type UnfinishedError struct {
	// Bytes is the size of the part of the event that arrived.
	Bytes int
}

// Error implements error.
func (e *UnfinishedError) Error() string {
	return "the stream ended after " + strconv.Itoa(e.Bytes) + " bytes of an event"
}

// Unwrap returns the error of a connection that ended too early.
func (e *UnfinishedError) Unwrap() error { return io.ErrUnexpectedEOF }

// UnconfirmedEndError reports a stream that ended between two events with its connection, while
// the caller's answer, which began at another host, can end only as a complete one.
type UnconfirmedEndError struct{}

// Error implements error.
func (*UnconfirmedEndError) Error() string {
	return "the connection ended, and nothing tells whether the stream was complete"
}

func isUnconfirmed(err error) bool {
	var unconfirmed *UnconfirmedEndError
	return errors.As(err, &unconfirmed)
}

// forwardStream forwards events as they arrive. It forwards whole events only: an
// upstream may break off in the middle of an event, and what another upstream continues
// with has to follow a whole one.
func (c *call) forwardStream(ctx context.Context, t *target, resp *http.Response) error {
	out := http.NewResponseController(c.writer)
	defer c.flush(out)
	buffer := make([]byte, streamBuffer)
	var pending []byte
	var at stream.Position
	resumed := c.started || c.route.Resumable && c.lastEventID != ""
	for {
		n, err := resp.Body.Read(buffer)
		before := c.events
		for data := buffer[:n]; len(data) > 0; {
			used, ended := at.Next(data)
			pending, data = append(pending, data[:used]...), data[used:]
			c.partialEvent = len(pending)
			if len(pending) > maxEvent {
				return &SpoiltError{Reason: "an event is larger than " + strconv.Itoa(maxEvent) + " bytes"}
			}
			if !ended {
				continue
			}
			if err := c.forwardEvent(t, resp, pending, at.ID(), resumed); err != nil {
				return err
			}
			pending, c.partialEvent = pending[:0], 0
		}
		if c.events > before {
			if err := c.flushEvents(out); err != nil {
				return err
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			return c.endStream(ctx, t, resp, pending)
		case err != nil:
			return err
		}
	}
}

// forwardEvent forwards an event with the given id, empty if it has none. It returns an error if the stream
// continues another one and the event does not follow that one's last.
func (c *call) forwardEvent(t *target, resp *http.Response, event []byte, id string, resumed bool) error {
	if resumed && id != "" && !follows(c.lastEventID, id) {
		return &OrderError{After: c.lastEventID, Got: id}
	}
	c.openStream(t, resp)
	if err := c.write(event); err != nil {
		return err
	}
	c.recordEvent()
	c.noteProgress(t)
	c.noteEventID(id)
	return nil
}

// endStream ends a stream that the upstream has ended. rest is what came after its last whole
// event. It returns an error if the stream may not be passed on as complete.
func (c *call) endStream(ctx context.Context, t *target, resp *http.Response, rest []byte) error {
	var end stream.Position
	end.Add(rest)
	empty := !c.started && (c.lastEventID == "" || !c.route.Resumable)
	if end.InsideEvent() || empty && c.framing == core.Unframed {
		return &UnfinishedError{Bytes: len(rest)}
	}
	if err := c.checkCrash(ctx, t); err != nil {
		return err
	}
	if c.framing == core.Unframed && c.started && !c.unframed {
		return &UnconfirmedEndError{}
	}
	c.openStream(t, resp)
	return c.write(rest)
}

// noteEventID records the id of an event that was forwarded, empty if it has none. One that cannot be sent in a
// header field tells another host nothing either.
func (c *call) noteEventID(id string) {
	c.unnamed = id == "" || strings.ContainsFunc(id, unicode.IsControl)
	if !c.unnamed {
		c.lastEventID = id
	}
	if c.watched != nil {
		c.watched.unnamed.Store(c.unnamed)
	}
}

// recordEvent records that an event, or a whole answer, was forwarded.
func (c *call) recordEvent() {
	now := c.proxy.Clock.Now()
	c.events++
	if c.firstEvent.IsZero() {
		c.firstEvent = now
	} else {
		c.longestPause = max(c.longestPause, now.Sub(c.lastEvent))
	}
	c.lastEvent = now
	if c.watched != nil {
		c.watched.lastEvent.Store(now.UnixNano())
		c.watched.started.Store(true)
	}
}

// flush sends what was forwarded before the upstream broke off, since an aborted answer
// loses what was not flushed. It does nothing before the header is written, since
// net/http would then send status 200.
func (c *call) flush(out *http.ResponseController) {
	if c.started {
		// An error means that the caller has left; the next write reports it.
		_ = out.Flush()
	}
}

// GoneError reports a caller that no longer reads its answer.
type GoneError struct{ Cause error }

// Error implements error.
func (e *GoneError) Error() string { return "the caller takes no more: " + e.Cause.Error() }

func (e *GoneError) Unwrap() error { return e.Cause }

// write sends the caller a piece of its answer.
func (c *call) write(data []byte) error {
	if len(data) == 0 || c.gone != nil {
		return nil
	}
	defer c.proxy.held.block(c.proxy.Clock.Now(), c.heldID, len(data))()
	if _, err := c.writer.Write(data); err != nil {
		return c.noteGone(err)
	}
	return nil
}

// noteGone records that the caller takes no more of its answer. It returns an error unless the answer is
// read to its end all the same, as in a trial of parts of the prompt, which shows something only then.
func (c *call) noteGone(cause error) error {
	gone := &GoneError{Cause: cause}
	if len(c.run.parts) == 0 {
		return gone
	}
	c.gone = gone
	return nil
}

// answerWriter writes to the caller as call.write does.
type answerWriter struct{ c *call }

// Write implements io.Writer.
func (w answerWriter) Write(data []byte) (int, error) {
	if err := w.c.write(data); err != nil {
		return 0, err
	}
	return len(data), nil
}

// openStream writes the header of the answer before its first event. A stream that
// continues at another host keeps the header of the first.
func (c *call) openStream(t *target, resp *http.Response) {
	if t.startedAt.IsZero() {
		t.startedAt = c.proxy.Clock.Now()
		c.noteAnswerBegun()
		c.proxy.Update(func(_ *fleet.View, _ time.Time) { t.host.NoteAnswerStart(t.prefillTokens) })
		c.endTurn(queue.Served)
		c.proxy.Meter.Foresight(c.expectedWait, t.startedAt.Sub(t.sentAt))
		c.recordContinuation(t)
	}
	if c.started {
		return
	}
	c.started = true
	c.beginStream(t)
	c.writeHead(resp.StatusCode, c.proxy.Protocol.ReplyHeader(resp.Header), c.framing, unknownLength)
}

// follows reports whether one event directly follows another, by their ids. It accepts
// any id after one that is not a number.
func follows(after, id string) bool {
	if after == "" {
		return true
	}
	before, err := strconv.ParseInt(after, 10, 64)
	if err != nil {
		return true
	}
	now, err := strconv.ParseInt(id, 10, 64)
	return err == nil && now == before+1
}

// recordContinuation counts a stream that goes on at a host.
func (c *call) recordContinuation(t *target) {
	if c.started || c.ask.LastEventID != "" {
		c.proxy.Meter.StreamContinued(!c.started, c.origin.Match(t.origin))
	}
}
