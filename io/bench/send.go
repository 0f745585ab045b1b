package bench

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"time"

	"radishwell/core"
	"radishwell/io/front"
)

// sender sends single requests and judges their answers.
type sender struct {
	bal   *balancer
	keys  map[string]string
	grace time.Duration
}

// onceBody is a body that cannot be rewound, so that the transport never sends
// it twice.
type onceBody struct{ io.Reader }

// Close implements io.Closer.
func (onceBody) Close() error { return nil }

// send sends a request and returns what became of it. While no connection can
// be made, nothing was sent, and the other entries are tried until the
// deadline, as a balancer does.
func (s *sender) send(ctx context.Context, sh *shot) result {
	r := result{shot: sh, sent: time.Now()}
	ctx, stop := context.WithDeadline(ctx, sh.due.Add(s.grace))
	defer stop()
	for time.Now().Before(sh.due) && ctx.Err() == nil {
		for _, i := range s.bal.order(sh) {
			r.entry = i
			if s.try(ctx, &r) {
				return r
			}
			r.redials++
		}
		pause(ctx, redialPause)
	}
	r.fate, r.end = unreached, time.Now()
	return r
}

func pause(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// try sends a request to one entry; it returns false where no connection was
// made.
func (s *sender) try(ctx context.Context, r *result) bool {
	connected := false
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }})
	req, err := s.request(ctx, r)
	if err != nil {
		r.fate, r.note, r.end = unreached, err.Error(), time.Now()
		return true
	}
	resp, err := s.bal.clients[r.entry].Do(req)
	if err != nil {
		if !connected && ctx.Err() == nil {
			r.note = err.Error()
			return false
		}
		s.fail(ctx, r, err)
		return true
	}
	defer resp.Body.Close()
	s.read(ctx, r, resp)
	return true
}

func (s *sender) request(ctx context.Context, r *result) (*http.Request, error) {
	sh := r.shot
	method, path := http.MethodPost, "/v1/chat/completions"
	if sh.call.Service != "" {
		method, path = sh.call.Method, "/services/"+string(sh.call.Service)+sh.call.Path
	}
	var body io.Reader
	if len(sh.body) > 0 {
		body = onceBody{bytes.NewReader(sh.body)}
	}
	req, err := http.NewRequestWithContext(ctx, method, s.bal.entries[r.entry].At.String()+path, body)
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(sh.body))
	req.Header.Set("Authorization", "Bearer "+s.keys[sh.call.Caller])
	req.Header.Set(front.HeaderDeadline, sh.due.Format(time.RFC3339Nano))
	if len(sh.body) > 0 {
		req.Header.Set("Content-Type", "application/json")
	}
	if sh.key != "" {
		req.Header.Set(front.HeaderKey, sh.key)
	}
	return req, nil
}

// fail records that contact ended without an answer's end.
func (s *sender) fail(ctx context.Context, r *result, err error) {
	r.end, r.fate, r.note = time.Now(), cut, err.Error()
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		r.fate = unanswered
	}
}

// maxAnswer bounds how much of an answer is kept for judging.
const maxAnswer = 4 << 20

func (s *sender) read(ctx context.Context, r *result, resp *http.Response) {
	r.id = core.RequestID(resp.Header.Get(front.HeaderRequestID))
	r.retryAfter = resp.Header.Get("Retry-After") != ""
	first := &firstByte{from: resp.Body}
	raw, err := io.ReadAll(io.LimitReader(first, maxAnswer))
	r.first = first.at
	if err != nil {
		s.fail(ctx, r, err)
		return
	}
	r.end = time.Now()
	outcome := resp.Trailer.Get(front.HeaderOutcome)
	if outcome == "" {
		outcome = resp.Header.Get(front.HeaderOutcome)
	}
	judge(r, resp.StatusCode, outcome, raw)
}

// firstByte notes when the first byte of an answer came.
type firstByte struct {
	from io.Reader
	at   time.Time
}

// Read implements io.Reader.
func (f *firstByte) Read(p []byte) (int, error) {
	n, err := f.from.Read(p)
	if n > 0 && f.at.IsZero() {
		f.at = time.Now()
	}
	return n, err
}
