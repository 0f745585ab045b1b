package agent

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net/http"

	"radishwell/core"
	"radishwell/core/dedupe"
	"radishwell/io/relay"
	"radishwell/wire"
)

// Paths of the interface between entries and agents.
const (
	PathWork   = "/work"
	PathCancel = "/cancel"
)

// maxBody bounds a body that an entry hands over; entries bound it first.
const maxBody = 1 << 30

// Handler returns the interface for entries.
func (a *Agent) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+PathWork, a.serveWork)
	mux.HandleFunc("POST "+PathCancel, a.serveCancel)
	return mux
}

// serveWork takes a request, or a reader that comes back for the rest of an
// answer, and writes the answer as frames.
func (a *Agent) serveWork(w http.ResponseWriter, r *http.Request) {
	in := bufio.NewReader(r.Body)
	head, err := relay.ReadHead(in)
	if err != nil {
		http.Error(w, "malformed head", http.StatusBadRequest)
		return
	}
	body, err := readBody(in, head.GetBodySize())
	if err != nil {
		http.Error(w, "body cut short", http.StatusBadRequest)
		return
	}
	out := relay.NewWriter(w)
	run, refusal := a.take(head, body)
	if refusal != nil {
		_ = relay.Finish(out, a.refusalEnd(refusal))
		return
	}
	defer a.left(run)
	err = relay.Copy(r.Context(), out, a.source(run), head.GetOffset())
	var lost *relay.LostError
	if errors.As(err, &lost) {
		_ = relay.Finish(out, relay.EndOf(&core.Refusal{
			Code: core.CodeAnswerLost, Outcome: core.MayHaveRun, Reason: lost.Error(), Host: a.Host,
		}))
	}
}

// refusalEnd is the end of a request that was not let in. It carries the load
// like others: an entry that took this process for its predecessor learns from
// it that there is a new one.
func (a *Agent) refusalEnd(refusal *core.Refusal) *wire.End {
	a.mu.Lock()
	defer a.mu.Unlock()
	e := relay.EndOf(refusal)
	e.Load = a.load(a.Clock.Now(), nil)
	return e
}

func readBody(in io.Reader, size int64) ([]byte, error) {
	if size < 0 || size > maxBody {
		return nil, &relay.FrameError{Cause: io.ErrShortBuffer}
	}
	body := make([]byte, size)
	_, err := io.ReadFull(in, body)
	return body, err
}

func (a *Agent) serveCancel(w http.ResponseWriter, r *http.Request) {
	head, err := relay.ReadHead(bufio.NewReader(r.Body))
	if err != nil {
		http.Error(w, "malformed head", http.StatusBadRequest)
		return
	}
	a.Cancel(core.RequestID(head.GetRequestId()))
	w.WriteHeader(http.StatusNoContent)
}

// Seal tells what became of an attempt, and forbids it where it has not come.
func (a *Agent) Seal(_ context.Context, c *wire.SealCall) *wire.SealReply {
	a.mu.Lock()
	defer a.mu.Unlock()
	call := a.callOf(&wire.WorkHead{
		Owner: c.GetOwner(), Key: c.GetKey(), RequestId: c.GetKey(), Attempt: c.GetAttempt(), Incarnation: c.GetIncarnation(),
		Fingerprint: c.GetFingerprint(), ClaimExpires: c.GetExpires(), Deadline: c.GetExpires(), HandOver: c.GetHandOver(),
	})
	// Without an incarnation the question may be about a predecessor, which may
	// have run the request.
	call.Incarnation = core.Incarnation(c.GetIncarnation())
	if c.GetPeek() {
		state, known := a.table.Peek(a.Clock.Now(), call)
		return &wire.SealReply{State: uint32(state), Unseen: !known}
	}
	state := a.table.Seal(a.Clock.Now(), call)
	out := &wire.SealReply{State: uint32(state)}
	if r := a.runs[call.ID]; r != nil && state != dedupe.Sealed {
		out.RequestId = string(r.id)
	}
	return out
}
