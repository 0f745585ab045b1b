package entry_test

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"radishwell/core"
	"radishwell/io/fakes/plain"
	"radishwell/io/reply"
)

// Guards against a plain service's answer that was broken off and reaches its caller as a
// complete one: the end of a connection was taken for the end of the answer.
func TestPlainAnswerWithoutFraming(t *testing.T) {
	t.Parallel()
	ask := func(t *testing.T, faults plain.Faults) (a answer, err error) {
		t.Helper()
		f := newFleet(t)
		setFaults(t, f.plainHost("up-1"), faults)
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, f.entryHost()+"/services/ledger/post", strings.NewReader("amount 12"))
		assert.NilError(t, err)
		req.Header.Set("Authorization", "Bearer "+callerKey)
		resp, err := http.DefaultClient.Do(req)
		assert.NilError(t, err)
		defer resp.Body.Close()
		raw, err := io.ReadAll(resp.Body)
		return answer{status: resp.StatusCode, header: resp.Header, trailer: resp.Trailer, framing: reply.Framing(resp), body: string(raw)}, err
	}
	// delivered checks an answer that was delivered although its end tells nothing.
	delivered := func(t *testing.T, faults plain.Faults, end string) {
		t.Helper()
		a, err := ask(t, faults)
		assert.NilError(t, err)
		assert.Equal(t, a.status, http.StatusOK)
		assert.Equal(t, a.framing, core.Unframed)
		assert.Equal(t, a.outcome(), "may-have-run")
		assert.Assert(t, strings.HasSuffix(a.body, end), a.body)
	}
	t.Run("a whole one is delivered", func(t *testing.T) {
		delivered(t, plain.Faults{Unframed: true}, `"run":1}`)
	})
	t.Run("one that ends early does not look complete", func(t *testing.T) {
		delivered(t, plain.Faults{Unframed: true, EndsEarly: true}, `"run"`)
	})
	t.Run("a whole stream is delivered", func(t *testing.T) {
		delivered(t, plain.Faults{Events: true, Unframed: true}, "data: first\n\ndata: second\n\n")
	})
	t.Run("one with framing is done", func(t *testing.T) {
		a, err := ask(t, plain.Faults{})
		assert.NilError(t, err)
		assertDone(t, a)
		assert.Equal(t, a.framing, core.FramedByChunks)
	})
	for name, faults := range map[string]plain.Faults{
		"one that a crash ends":                            {Unframed: true, Crashes: true},
		"a stream that ends inside an event":               {Events: true, EndsEarly: true},
		"a stream without framing that does so":            {Events: true, EndsEarly: true, Unframed: true},
		"a stream without framing that a crash ends there": {Events: true, Crashes: true, Unframed: true},
	} {
		t.Run(name+" is broken off", func(t *testing.T) {
			_, err := ask(t, faults)
			assert.Assert(t, err != nil)
		})
	}
}
