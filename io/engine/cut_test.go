package engine_test

import (
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
	for _, status := range []string{"101", "000", "099", "+20"} {
		t.Run(status, func(t *testing.T) {
			_, err := answered(t, "HTTP/1.1 "+status+" Status\r\nContent-Length: 0\r\n\r\n")
			assertFault(t, err, core.EngineLost)
		})
	}
}
