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

// sender sends requests and classifies their answers.
type sender struct {
	bal  *balancer
	keys map[string]string
	// grace is how long after its deadline an answer is awaited.
	grace time.Duration
}

// onceBody is a body that can't be rewound, so that the transport of net/http never
// sends it twice.
type onceBody struct{ io.Reader }

// Close implements io.Closer.
func (onceBody) Close() error { return nil }

// send sends a request and returns its result. As long as no connection is
// established, nothing has been sent, and it tries the other entries until the
// deadline, as a load balancer does.
func (s *sender) send(ctx context.Context, q *request) result {
	r := result{request: q, sent: time.Now()}
	ctx, stop := context.WithDeadline(ctx, q.due.Add(s.grace))
	defer stop()
	for time.Now().Before(q.due) && ctx.Err() == nil {
		for _, i := range s.bal.order(q) {
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

// try sends a request to one entry. It returns false if no connection could be
// established.
func (s *sender) try(ctx context.Context, r *result) bool {
	connected := false
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }})
	req, err := s.newRequest(ctx, r)
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

func (s *sender) newRequest(ctx context.Context, r *result) (*http.Request, error) {
	q := r.request
	method, path := http.MethodPost, "/v1/chat/completions"
	if q.call.Service != "" {
		method, path = q.call.Method, "/services/"+string(q.call.Service)+q.call.Path
	}
	var body io.Reader
	if len(q.body) > 0 {
		body = onceBody{bytes.NewReader(q.body)}
	}
	req, err := http.NewRequestWithContext(ctx, method, s.bal.entries[r.entry].At.String()+path, body)
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(q.body))
	req.Header.Set("Authorization", "Bearer "+s.keys[q.call.Caller])
	req.Header.Set(front.HeaderDeadline, q.due.Format(time.RFC3339Nano))
	if len(q.body) > 0 {
		req.Header.Set("Content-Type", "application/json")
	}
	if q.key != "" {
		req.Header.Set(front.HeaderKey, q.key)
	}
	return req, nil
}

// fail records that the connection failed before the end of the answer.
func (s *sender) fail(ctx context.Context, r *result, err error) {
	r.end, r.fate, r.note = time.Now(), cut, err.Error()
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		r.fate = unanswered
	}
}

// maxAnswer is the number of bytes up to which an answer is read and checked.
const maxAnswer = 4 << 20

func (s *sender) read(ctx context.Context, r *result, resp *http.Response) {
	r.id = core.RequestID(resp.Header.Get(front.HeaderRequestID))
	r.retryAfter = resp.Header.Get("Retry-After") != ""
	first := &timedReader{from: resp.Body}
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
	classify(r, resp.StatusCode, outcome, raw)
}

// timedReader records the time at which the first byte of an answer arrived.
type timedReader struct {
	from io.Reader
	at   time.Time
}

// Read implements io.Reader.
func (f *timedReader) Read(p []byte) (int, error) {
	n, err := f.from.Read(p)
	if n > 0 && f.at.IsZero() {
		f.at = time.Now()
	}
	return n, err
}
