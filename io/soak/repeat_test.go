package soak

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/platform/stand"
)

// receivedAt returns a request as an upstream received it.
func receivedAt(start time.Time, id string, at time.Duration) stand.ReceivedRequest {
	return stand.ReceivedRequest{Header: http.Header{"X-Radishwell-Request-Id": {id}}, At: start.Add(at)}
}

func TestOverRetryBudget(t *testing.T) {
	start := time.Unix(5000, 0)
	for _, c := range []struct {
		name              string
		requests, repeats int
		gap               time.Duration
		over              bool
	}{
		{"no request", 0, 0, 0, false},
		{"all of the budget", 50, 20, 0, false},
		{"one more", 50, 21, 0, true},
		{"more in two windows", 50, 30, time.Second, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			var sent []time.Duration
			var seen []stand.ReceivedRequest
			for i := range c.requests {
				sent = append(sent, time.Duration(i)*100*time.Millisecond)
				seen = append(seen, receivedAt(start, fmt.Sprint(i), sent[i]))
			}
			for i := range c.repeats {
				seen = append(seen, receivedAt(start, "0", 5*time.Second+time.Duration(i)*c.gap))
			}
			assert.Equal(t, soakBudget.worst(start, sent, seen).Over() > 0, c.over)
		})
	}
}
