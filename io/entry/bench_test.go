package entry_test

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"radishwell/core/warm"
	"radishwell/io/fakes/llmsrv"
)

// BenchmarkWarm compares a warm request through entry and agent with one sent directly
// to the engine.
func BenchmarkWarm(b *testing.B) {
	f := newFleet(b)
	f.worth = warm.DefaultWorth.Scale(1e6)
	h := f.engineHost("up-1", &llmsrv.Server{LoadTimes: quickLoads, Batch: 64})
	url := f.entryHost()
	body := `{"model":"alpha","stream":true,"max_tokens":1,"messages":[{"role":"user","content":"x"}]}`
	call := func(b *testing.B, to string) {
		req, err := http.NewRequestWithContext(b.Context(), http.MethodPost, to+"/v1/chat/completions", strings.NewReader(body))
		assert.NilError(b, err)
		req.Header.Set("Authorization", "Bearer "+callerKey)
		req.Header.Set("Content-Type", "application/json")
		resp, err := http.DefaultClient.Do(req)
		assert.NilError(b, err)
		_, err = io.Copy(io.Discard, resp.Body)
		assert.NilError(b, err)
		resp.Body.Close()
		assert.Equal(b, resp.StatusCode, http.StatusOK)
	}
	call(b, url)
	for _, path := range []struct{ name, to string }{{"through", url}, {"direct", h.upstream}} {
		b.Run(path.name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				call(b, path.to)
			}
		})
	}
}
