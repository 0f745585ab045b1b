package soak

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/core"
	plat "radishwell/platform"
	"radishwell/platform/stand"
)

func streamBody(events int) []byte {
	text := ""
	for n := range events {
		text += fmt.Sprintf("id: %d\ndata: event %d at v1\n\n", n+1, n+1)
	}
	return []byte(text)
}

// TestSoundAreCounted checks that requests that share parts with crashing ones break their promise
// only if too few of them begin while such requests come.
func TestSoundAreCounted(t *testing.T) {
	start := time.Unix(1000, 0)
	received := func(at time.Duration) stand.ReceivedRequest {
		head := core.RequestHead{ID: "part", Model: "m-1", Parts: []core.PromptPart{{ID: poisonPart}, {ID: "own"}}}
		return stand.ReceivedRequest{Header: http.Header(plat.RequestHeader(head, start)), At: start.Add(at), Crashed: true, CrashedAt: start.Add(at)}
	}
	arrivals := map[string][]stand.ReceivedRequest{poisonPart: {received(time.Second), received(2 * time.Second)}}
	results := func(begun int) []Result {
		out := []Result{{ID: "part", Route: Stream, Customer: "free", Parts: []string{poisonPart}, Began: 20 * time.Second}}
		for n := range 30 {
			r := Result{ID: fmt.Sprint(n), Route: Stream, Customer: "free", Began: 9 * time.Second, Ended: 10 * time.Second}
			if n < begun {
				r.Body = streamBody(3)
			}
			out = append(out, r)
		}
		return append(out, Result{ID: "early", Route: Stream, Customer: "free", Began: 3 * time.Second})
	}
	for begun, broken := range map[int]bool{30: false, 15: false, 14: true} {
		c := &signalChecker{start: start, results: map[string]*Result{}}
		n := c.sound(results(begun), arrivals)
		assert.Equal(t, n, Sound{Sent: 30, Begun: begun})
		assert.Equal(t, len(n.lost()) > 0, broken)
	}
	c := &signalChecker{start: start, steps: []Step{{Kind: KillEntry, Begin: 8 * time.Second, End: 8 * time.Second}}}
	assert.Equal(t, c.sound(results(0), arrivals).Sent, 0, "while something else fails")
}

// TestPreferredAreCounted checks that an entry that gets most connections breaks its promise only
// if it serves fewer of the requests that it reads than before.
func TestPreferredAreCounted(t *testing.T) {
	steps := []Step{{Kind: PreferEntry, Begin: 10 * time.Second, End: 20 * time.Second}}
	results := func(began time.Duration, n, served int) (out []Result) {
		for i := range n {
			r := Result{ID: fmt.Sprint(began, i), Customer: "free", Began: began, Ended: began + time.Second, Status: http.StatusBadGateway}
			if i < served {
				r.Status, r.Complete = http.StatusOK, true
			}
			out = append(out, r)
		}
		return out
	}
	unread := Result{Customer: "free", Began: 15 * time.Second, Ended: 15 * time.Second}
	for served, broken := range map[int]bool{40: false, 27: false, 26: true} {
		all := append(results(5*time.Second, 40, 36), results(15*time.Second, 40, served)...)
		all = append(all, results(11*time.Second, 10, 0)...) // sooner than the time in which an entry may adapt
		n := (&signalChecker{steps: steps}).preferredShares(append(all, unread))
		assert.Equal(t, n, Preferred{Before: 40, ServedBefore: 36, After: 40, ServedAfter: served})
		assert.Equal(t, len(n.lost()) > 0, broken)
	}
}
