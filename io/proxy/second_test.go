package proxy_test

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/platform/stand"
)

// twoHosts has a request with a deadline of four seconds sent to the first worker, while it is the only one, adds the
// second, and returns the answer.
func twoHosts(t *testing.T, r *rig, first, second *stand.Worker) answer {
	t.Helper()
	sent := make(chan struct{}, 1)
	r.addServed(t, "plain", first, http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if req.URL.Path == "/again/x" {
			sent <- struct{}{}
		}
		first.ServeHTTP(w, req)
	}))
	out := make(chan answer, 1)
	ask := r.ask(t, http.MethodGet, "/again/x", "q", "X-Radishwell-Deadline-Ms", "4000")
	go func() { out <- do(t, ask) }()
	<-sent
	r.add(t, "plain", second)
	return <-out
}

// Guards against attempts that are given up, though their hosts are about to answer, for ones that are refused, fail
// or take longer.
func TestAttemptGoesOnBesideSecond(t *testing.T) {
	const early, late = 2400 * time.Millisecond, 3400 * time.Millisecond
	hangs := func() *stand.Worker {
		w := &stand.Worker{ID: "p-2"}
		w.SetFault(stand.Hang)
		return w
	}
	rejects := &stand.Worker{ID: "p-2"}
	rejects.SetFault(stand.Shed)
	fails := &stand.Worker{ID: "p-2"}
	fails.SetFault(stand.ServerError)
	breaks := &stand.Worker{ID: "p-2"}
	breaks.SetFault(stand.NoResponse)
	slow := hangs()
	for name, test := range map[string]struct {
		spare   float64
		took    time.Duration
		second  *stand.Worker
		sentTwo bool
	}{
		"a second one is not needed":  {10, early, hangs(), false},
		"the budget has none":         {0, late, hangs(), false},
		"the second one hangs":        {10, late, slow, true},
		"the second one is rejected":  {10, late, rejects, true},
		"the second one fails":        {10, late, fails, true},
		"the second one breaks off":   {10, late, breaks, true},
		"the second one takes longer": {10, late, &stand.Worker{ID: "p-2", Prefill: 4 * time.Second}, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newRigWith(t, test.spare)
			a := twoHosts(t, r, &stand.Worker{ID: "p-1", Prefill: test.took}, test.second)
			wantStatus(t, a, http.StatusOK)
			assert.Equal(t, a.body, "answer of p-1")
			if test.second.Prefill == 0 {
				assert.Equal(t, len(test.second.Requests()), map[bool]int{true: 1}[test.sentTwo])
			}
			if test.second == slow {
				<-slow.Disconnected() // nobody waits for it any more
			}
		})
	}
}

// Guards against a first attempt that goes on after a second one was answered, and counts as read.
func TestSecondAnswerEndsFirstAttempt(t *testing.T) {
	r := newRig(t)
	first := &stand.Worker{ID: "p-1"}
	first.SetFault(stand.Hang)
	a := twoHosts(t, r, first, &stand.Worker{ID: "p-2"})
	wantStatus(t, a, http.StatusOK)
	assert.Equal(t, a.body, "answer of p-2")
	<-first.Disconnected()
}

// Guards against a caller who gets no answer though the host failed the request in time and the second one hangs.
func TestFailureIsAnsweredWhileSecondHangs(t *testing.T) {
	r := newRig(t)
	first, second := &stand.Worker{ID: "p-1", Prefill: 3400 * time.Millisecond}, &stand.Worker{ID: "p-2"}
	first.SetFault(stand.ServerError)
	second.SetFault(stand.Hang)
	a := twoHosts(t, r, first, second)
	wantStatus(t, a, http.StatusInternalServerError)
	assert.Equal(t, a.header.Get("X-Radishwell-Server-Signature"), "signed-by-p-1")
	<-second.Disconnected()
}
