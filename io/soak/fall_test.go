package soak

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// TestDenied checks that proper requests that are refused for good break their promise beyond the
// share that may be, and that others do not count.
func TestDenied(t *testing.T) {
	results := func(n int, r Result) []Result {
		out := make([]Result, n)
		for i := range out {
			out[i] = r
		}
		return out
	}
	proper := Result{Customer: "free", Status: http.StatusUnprocessableEntity}
	for _, row := range []struct {
		name   string
		list   []Result
		broken bool
	}{
		{"a few", results(5, proper), false},
		{"more", results(6, proper), true},
		{"more of very many", append(results(6, proper), results(500, Result{Customer: "free", Status: http.StatusOK})...), false},
		{"promises that they have not run", results(9, Result{Customer: "free", Status: http.StatusServiceUnavailable}), false},
		{"an upstream's own failures", results(9, Result{Customer: "free", Status: http.StatusNotFound, Signer: "signed-by-i-1"}), false},
		{"requests that crash upstreams", results(9, Result{Customer: "free", Status: http.StatusUnprocessableEntity, Text: "poison-1"}), false},
		{"parts that crash upstreams", results(9, Result{Customer: "free", Status: http.StatusUnprocessableEntity, Parts: []string{"aa", "dead1"}}), false},
		{"unknown keys", results(9, Result{Status: http.StatusUnauthorized}), false},
	} {
		t.Run(row.name, func(t *testing.T) { assert.Equal(t, len(denied(row.list)) > 0, row.broken) })
	}
}
