package engine_test

import (
	"io"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"radishwell/core"
	"radishwell/io/engine"
	"radishwell/io/fakes/rawtcp"
)

// answered returns the upstream's answer to a request, where the upstream writes given bytes.
func answered(t *testing.T, bytes string) (core.Answer, error) {
	t.Helper()
	var s rawtcp.Server
	defer s.Close()
	at, err := s.Listen()
	assert.NilError(t, err)
	s.SetAnswers(rawtcp.Answer{Bytes: bytes})
	c := engine.New(at, nil)
	defer c.Close()
	return c.Run(t.Context(), core.EngineWork{ID: "r1", Method: http.MethodPost, Path: "/"})
}

// Guards against an answer that ends with its connection and is taken for one with framing: its
// status line names HTTP/2, whose frames would tell the end.
func TestAnswerOfOtherMajorVersionIsLost(t *testing.T) {
	for _, version := range []string{"HTTP/2.0", "HTTP/3.0", "HTTP/0.9"} {
		t.Run(version, func(t *testing.T) {
			_, err := answered(t, version+" 200 OK\r\n\r\nbody")
			assertFault(t, err, core.EngineLost)
		})
	}
}

// Guards against a status that is none of a final answer and reaches the entry, where net/http
// panics on one below 100.
func TestAnswerWithoutFinalStatusIsLost(t *testing.T) {
	for _, status := range []string{"101", "000", "099", "+20", "600"} {
		t.Run(status, func(t *testing.T) {
			_, err := answered(t, "HTTP/1.1 "+status+" Status\r\nContent-Length: 0\r\n\r\n")
			assertFault(t, err, core.EngineLost)
		})
	}
}

// Guards against an answer with a field that is none of HTTP, which reaches the caller with another body.
func TestAnswerWithMalformedFieldIsLost(t *testing.T) {
	for _, field := range []string{"X Y: z", "Content-Length : 0", "X-Y: a\x01"} {
		t.Run(field, func(t *testing.T) {
			_, err := answered(t, "HTTP/1.1 200 OK\r\n"+field+"\r\n\r\nbody")
			assertFault(t, err, core.EngineLost)
		})
	}
}

// Guards against a cut answer on a kept connection that is taken for a whole one, is asked for once
// more, or is made whole by what came before.
func TestCutAnswerOnKeptConnectionIsLost(t *testing.T) {
	for name, text := range map[string]string{
		"length": "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
		"chunks": "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX-A: b\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			var s rawtcp.Server
			defer s.Close()
			at, err := s.Listen()
			assert.NilError(t, err)
			for n := range len(text) {
				s.SetAnswers(rawtcp.Answer{Bytes: text, Keep: true}, rawtcp.Answer{Bytes: text[:n], Reset: n%2 == 1})
				c := engine.New(at, nil)
				for i := range 2 {
					a, err := c.Run(t.Context(), core.EngineWork{ID: "r1", Method: http.MethodGet, Path: "/"})
					var body []byte
					if err == nil {
						body, err = io.ReadAll(a.Body)
						a.Body.Close()
					}
					assert.Equal(t, err == nil, i == 0, "%d bytes: %q, %v", n, body, err)
				}
				c.Close()
				assert.Equal(t, s.Requests(), 2)
			}
		})
	}
}

// Guards against a request that gets a second answer to the one before: it came with the first, and
// lay unread on the connection that the next request used.
func TestSecondAnswerReachesNoRequest(t *testing.T) {
	const text = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"
	var s rawtcp.Server
	defer s.Close()
	at, err := s.Listen()
	assert.NilError(t, err)
	c := engine.New(at, nil)
	defer c.Close()
	const rounds = 500
	for range rounds {
		s.SetAnswers(rawtcp.Answer{Bytes: text + "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstale", Keep: true}, rawtcp.Answer{Bytes: text, Keep: true})
		for range 2 {
			a, err := c.Run(t.Context(), core.EngineWork{ID: "r1", Method: http.MethodGet, Path: "/"})
			assert.NilError(t, err)
			body, err := io.ReadAll(a.Body)
			a.Body.Close()
			assert.NilError(t, err)
			assert.Equal(t, string(body), "body")
		}
	}
	assert.Equal(t, s.Accepted(), 2*rounds, "each request has a connection of its own")
}
