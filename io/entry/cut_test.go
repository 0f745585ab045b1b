package entry_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"radishwell/core"
	"radishwell/io/fakes/llmsrv"
	"radishwell/io/fakes/plain"
	"radishwell/io/fakes/rawtcp"
	"radishwell/io/front"
)

// rawUpstream answers work with given bytes. A stand-in answers the rest.
type rawUpstream struct {
	http.Handler

	mu     sync.Mutex
	answer rawtcp.Answer
	// resumed is the answer to the next request to resume one. Others find none.
	resumed *rawtcp.Answer
}

func (u *rawUpstream) set(a rawtcp.Answer, resumed *rawtcp.Answer) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.answer, u.resumed = a, resumed
}

// next returns the answer to a request, and whether there is one.
func (u *rawUpstream) next(path string) (rawtcp.Answer, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !strings.HasPrefix(path, "/streams/") {
		return u.answer, true
	}
	a := u.resumed
	u.resumed = nil
	if a == nil {
		return rawtcp.Answer{}, false
	}
	return *a, true
}

// ServeHTTP implements http.Handler.
func (u *rawUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !strings.HasPrefix(r.URL.Path, "/v1/") && !strings.HasPrefix(r.URL.Path, "/streams/") && r.URL.Path != "/raw" {
		u.Handler.ServeHTTP(w, r)
		return
	}
	a, ok := u.next(r.URL.Path)
	if !ok {
		http.NotFound(w, r)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer conn.Close()
	_, _ = io.WriteString(conn, a.Bytes)
	if a.Reset {
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
}

// cutCase is a request, and the content and type of its whole answer.
type cutCase struct {
	name, path, body, kind, content string
}

const (
	streamedText = "data: {\"choices\":[{\"delta\":{\"content\":\"data: [DONE]\"}}]}\n\ndata: [DONE]\n\n"
	documentText = `{"id":"x","choices":[{"index":0,"message":{"content":"}"},"finish_reason":"stop"}],"usage":{"total_tokens":2}}`
	askDocument  = `{"model":"alpha","messages":[{"role":"user","content":"%d"}]}`
	askStream    = `{"model":"alpha","stream":true,"messages":[{"role":"user","content":"%d"}]}`
)

var cutCases = []cutCase{
	{"a model's stream", "/v1/chat/completions", askStream, "text/event-stream", streamedText},
	{"a model's document", "/v1/chat/completions", askDocument, "application/json", documentText},
	{"a plain service's document", "/services/ledger/raw", "%d", "application/json", documentText},
	{"a plain service's stream", "/services/ledger/raw", "%d", "text/event-stream", "data: first\n\ndata: second\n\n"},
}

// wantHonest checks a reply to a request whose upstream wrote a part of an answer. Only complete
// answers may be called done, or end as complete without an error document.
func wantHonest(t *testing.T, a rawtcp.Reply, c cutCase, headless, whole, unframed bool) {
	t.Helper()
	outcome := a.Trailer.Get(front.HeaderOutcome)
	if outcome == "" {
		outcome = a.Header.Get(front.HeaderOutcome)
	}
	switch {
	case whole || a.Whole && a.Body == c.content:
		assert.Assert(t, a.Whole && a.Status == http.StatusOK, "%+v", a)
		assert.Equal(t, a.Body, c.content)
	case a.Status != http.StatusOK || !a.Whole:
		assert.Assert(t, a.Status == 0 || a.Status == http.StatusOK || strings.HasPrefix(a.Body, `{"error":`), "%+v", a)
	case strings.HasSuffix(a.Body, "\"}}\n\n") && strings.Contains(a.Body, `data: {"error":`):
		assert.Assert(t, outcome != core.Done.String(), "%+v", a)
	default:
		assert.Assert(t, unframed && !headless, "%+v", a)
		assert.Equal(t, a.Framing, core.Unframed, "%+v", a)
		assert.Assert(t, outcome != core.Done.String(), "%+v", a)
		assert.Assert(t, strings.HasPrefix(c.content, a.Body), "%+v", a)
	}
}

// rawFleet is an entry before a host whose upstream writes given bytes.
type rawFleet struct {
	upstream *rawUpstream
	address  string
	// count makes requests differ.
	count int
}

func newRawFleet(t *testing.T, isPlain bool) *rawFleet {
	t.Helper()
	f := newFleet(t)
	up := &rawUpstream{Handler: (&llmsrv.Server{Capacity: []core.Bytes{4 * core.GiB}}).Handler()}
	service := core.ServiceName("pool")
	if isPlain {
		up.Handler, service = (&plain.Server{}).Handler(), "ledger"
	}
	h := f.host("up-1", service, up, isPlain)
	if isPlain {
		h.plain = &plain.Server{}
	}
	return &rawFleet{upstream: up, address: strings.TrimPrefix(f.entryHost(), "http://")}
}

func (f *rawFleet) ask(t *testing.T, c cutCase, version string) rawtcp.Reply {
	t.Helper()
	caller, err := rawtcp.Dial(f.address)
	assert.NilError(t, err)
	defer caller.Close()
	f.count++
	body := fmt.Sprintf(c.body, f.count)
	a, err := caller.Ask(http.MethodPost, fmt.Sprintf(
		"POST %s HTTP/%s\r\nHost: a\r\nAuthorization: Bearer %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
		c.path, version, callerKey, len(body), body))
	assert.NilError(t, err)
	return a
}

// Guards against an answer that is called done, or looks whole, although the upstream's broke off in
// its head or body.
func TestCutAnswerIsNotDone(t *testing.T) {
	for i, c := range cutCases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := newRawFleet(t, strings.HasPrefix(c.path, "/services/"))
			for name, form := range map[string]struct{ head, body string }{
				"length":        {fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n", len(c.content)), c.content},
				"chunks":        {"HTTP/1.1 103 Early Hints\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n", fmt.Sprintf("%x\r\n%s\r\n0\r\nX-Sum: 1\r\n\r\n", len(c.content), c.content)},
				"none":          {"HTTP/1.1 200 OK\r\n", c.content},
				"none HTTP/1.0": {"HTTP/1.0 200 OK\nX-Folded: a\n b\n", c.content},
			} {
				t.Run(name, func(t *testing.T) {
					head := form.head + "Content-Type: " + c.kind + "\r\n\r\n"
					text := head + form.body
					check := func(n int, reset bool) {
						version := "1.1"
						if n%5 == 4 {
							version = "1.0"
						}
						t.Run(fmt.Sprintf("%d bytes HTTP %s reset %t", n, version, reset), func(t *testing.T) {
							f.upstream.set(rawtcp.Answer{Bytes: text[:n], Reset: reset}, nil)
							a := f.ask(t, c, version)
							wantHonest(t, a, c, n < len(head), n == len(text) && !reset, strings.HasPrefix(name, "none") && !reset)
						})
					}
					for n := range len(text) + 1 {
						check(n, false)
						if n%4 == i {
							check(n, true)
						}
					}
				})
			}
		})
	}
}

// Guards against an answer that is called done although the connection on which it was resumed ended
// without a length or chunks, and nothing else tells whether the rest came.
func TestResumedAnswerWithoutFramingIsNotDone(t *testing.T) {
	t.Parallel()
	f := newRawFleet(t, false)
	for _, c := range []cutCase{
		cutCases[0], cutCases[1],
		{"another stream", "/v1/chat/completions", askStream, "text/plain", "some text of another type"},
		{"another document", "/v1/chat/completions", askDocument, "text/plain", "some text of another type"},
	} {
		const begun = 9
		first := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: %s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", c.kind, begun, c.content[:begun])
		for n := begun; n <= len(c.content); n++ {
			t.Run(fmt.Sprintf("%s %d bytes", c.name, n), func(t *testing.T) {
				f.upstream.set(rawtcp.Answer{Bytes: first}, &rawtcp.Answer{Bytes: "HTTP/1.1 200 OK\r\n\r\n" + c.content[begun:n]})
				a := f.ask(t, c, "1.1")
				if c.kind == "text/plain" || n < len(c.content) {
					wantHonest(t, a, c, false, false, false)
					assert.Assert(t, a.Body != c.content || a.Trailer.Get(front.HeaderOutcome) != core.Done.String(), "%+v", a)
					return
				}
				wantHonest(t, a, c, false, true, false)
			})
		}
	}
}
