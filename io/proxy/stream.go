package proxy

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"radishwell/core/fleet"
)

// mostEvent bounds one event of a stream, in bytes.
const mostEvent = 1 << 20

// OrderError reports an event that does not follow the one before.
type OrderError struct{ After, Got string }

// Error implements error.
func (e *OrderError) Error() string { return "event " + e.Got + " follows event " + e.After }

// stream passes a series of events on as they come. Only whole events are passed
// on: an upstream may break off in the middle of one, and what another upstream
// goes on with has to follow a whole one.
func (c *call) stream(t *target, resp *http.Response) error {
	in := bufio.NewReaderSize(resp.Body, 4<<10)
	out := http.NewResponseController(c.writer)
	defer c.flush(out)
	var pending []byte
	id := ""
	resumed := c.begun
	for {
		line, err := in.ReadSlice('\n')
		pending = append(pending, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			if len(pending) > mostEvent {
				return &SpoiltError{Reason: "an event is larger than " + strconv.Itoa(mostEvent) + " bytes"}
			}
			continue
		case errors.Is(err, io.EOF):
			c.openStream(t, resp)
			return c.write(pending)
		case err != nil:
			return err
		}
		if text, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id = string(bytes.TrimSpace(text))
		}
		if len(bytes.TrimRight(line, "\r\n")) > 0 {
			continue
		}
		if resumed && id != "" && !follows(c.event, id) {
			return &OrderError{After: c.event, Got: id}
		}
		c.openStream(t, resp)
		if err := c.write(pending); err != nil {
			return err
		}
		c.passed()
		if id != "" {
			c.event = id
		}
		pending, id = pending[:0], ""
		if hasEvent(in) {
			continue // it is flushed with the next one, which is here already
		}
		if err := out.Flush(); err != nil {
			return &GoneError{Cause: err}
		}
	}
}

// passed notes that an event was passed on.
func (c *call) passed() {
	now := c.proxy.Clock.Now()
	if c.first.IsZero() {
		c.first = now
	} else {
		c.longest = max(c.longest, now.Sub(c.latest))
	}
	c.latest = now
	if c.watched != nil {
		c.watched.heard.Store(now.UnixNano())
		c.watched.begun.Store(true)
	}
}

// flush sends what was passed on before the upstream broke off: an aborted answer
// loses what was not flushed. Without a head written it does nothing, since
// net/http would send one that calls the answer a success.
func (c *call) flush(out *http.ResponseController) {
	if c.begun {
		// A failure is the caller's going away, which the next write shows.
		_ = out.Flush()
	}
}

// hasEvent tells whether another whole event has been read ahead. Part of one is
// no reason to hold back what is there.
func hasEvent(in *bufio.Reader) bool {
	ahead, err := in.Peek(in.Buffered())
	return err == nil && bytes.Contains(ahead, []byte("\n\n"))
}

// GoneError reports a caller that takes no more of its answer.
type GoneError struct{ Cause error }

// Error implements error.
func (e *GoneError) Error() string { return "the caller takes no more: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *GoneError) Unwrap() error { return e.Cause }

func (c *call) write(data []byte) error {
	if len(data) == 0 {
		return nil
	}
	if _, err := c.writer.Write(data); err != nil {
		return &GoneError{Cause: err}
	}
	return nil
}

// openStream writes the head of the answer with its first event. A stream that
// goes on at another host keeps the head of the first.
func (c *call) openStream(t *target, resp *http.Response) {
	if !t.begun {
		t.begun = true
		c.proxy.Update(func(_ *fleet.View, _ time.Time) { t.host.NoteAnswerStart(t.unread) })
	}
	if c.begun {
		return
	}
	c.begun = true
	c.copyHead(resp)
	c.writer.WriteHeader(resp.StatusCode)
}

// follows tells whether an event comes right after another, by their ids. Ids
// that are no numbers cannot be told.
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
