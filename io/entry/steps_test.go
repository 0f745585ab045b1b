package entry_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/core"
	"radishwell/io/fakes/llmsrv"
)

// way is one request's way with a fault at one of its steps, and what the
// caller must see.
type way struct {
	step    string
	fault   string
	prepare func(f *fleet)
	during  func(f *fleet)
	send    func(t *testing.T, url string) answer
	// code is the refusal's; empty where the request must be done.
	code    core.Code
	outcome core.Outcome
	// runs is how often the plain service may have run the call, at the most.
	runs int
}

func ask(t *testing.T, url string) answer { return chat(t, url, "alpha", "step", false, 3) }

func askStreamed(t *testing.T, url string) answer { return chat(t, url, "alpha", "step", true, 40) }

func post(t *testing.T, url string) answer {
	return send(t, http.MethodPost, url+"/services/ledger/post", "amount 1")
}

func postKeyed(t *testing.T, url string) answer {
	return send(t, http.MethodPost, url+"/services/ledger/post", "amount 1", "Idempotency-Key", "step")
}

func get(t *testing.T, url string) answer {
	return send(t, http.MethodGet, url+"/services/ledger/x", "")
}

// everyEngine switches faults at all engines, everyService at all services.
func everyEngine(faults llmsrv.Faults) func(*fleet) {
	return func(f *fleet) {
		for _, h := range f.agents {
			if h.engine != nil {
				setFaults(f.t, h, faults)
			}
		}
	}
}

func everyService(faults map[string]bool) func(*fleet) {
	return func(f *fleet) {
		for _, h := range f.agents {
			if h.plain != nil {
				setFaults(f.t, h, faults)
			}
		}
	}
}

// firstEngine switches faults at the host that would load the model.
func firstEngine(faults llmsrv.Faults) func(*fleet) {
	return func(f *fleet) { setFaults(f.t, f.agents[f.first()], faults) }
}

// first is the host that entries choose for a cold start of alpha.
func (f *fleet) first() core.HostName {
	f.t.Helper()
	probe := newFleet(f.t)
	for _, name := range []core.HostName{"up-1", "up-2"} {
		probe.engineHost(name, &llmsrv.Server{LoadTimes: quickLoads})
	}
	assertDone(f.t, chat(f.t, probe.entryHost(), "alpha", "which", false, 1))
	for name, h := range probe.agents {
		if len(h.engine.State().Items) > 0 {
			return name
		}
	}
	return ""
}

// cutAgent closes the connections of the host that runs the request and lets
// nobody ask it any more, as when it is lost.
func cutAgent(f *fleet) {
	f.cut.Store(true)
	for _, h := range f.agents {
		h.work.CloseClientConnections()
		h.work.Listener.Close()
	}
}

var ways = []way{
	{step: "load", fault: "fails on the first host", prepare: firstEngine(llmsrv.Faults{LoadFails: true}), send: ask},
	{step: "load", fault: "fails everywhere", prepare: everyEngine(llmsrv.Faults{LoadFails: true}), send: ask, code: core.CodeLoadFailed, outcome: core.NotRun},
	{step: "load", fault: "answers to orders are lost", prepare: everyEngine(llmsrv.Faults{OrderAnswersLost: true}), send: ask},
	{step: "hand-over to the engine", fault: "engine is down", prepare: firstEngine(llmsrv.Faults{Down: true}), send: ask},
	{step: "hand-over to the service", fault: "service drops connections unread", prepare: everyService(map[string]bool{"down": true}), send: post, code: core.CodeUpstreamLost, outcome: core.MayHaveRun},
	{step: "run", fault: "service dies after the run", prepare: everyService(map[string]bool{"answers-lost": true}), send: post, code: core.CodeUpstreamLost, outcome: core.MayHaveRun, runs: 1},
	{step: "run", fault: "service dies after a keyed run", prepare: everyService(map[string]bool{"answers-lost": true}), send: postKeyed, code: core.CodeUpstreamLost, outcome: core.MayHaveRun, runs: 1},
	{step: "run", fault: "service dies after a call that may not be repeated by its rule", prepare: everyService(map[string]bool{"answers-lost": true}), send: get, code: core.CodeUpstreamLost, outcome: core.MayHaveRun, runs: 1},
	{step: "stream", fault: "agent is lost", during: cutAgent, send: askStreamed, code: core.CodeUpstreamLost, outcome: core.MayHaveRun},
	{step: "stream", fault: "engine crashes", during: func(f *fleet) { crashAll(f) }, send: askStreamed, code: core.CodeUpstreamLost, outcome: core.MayHaveRun},
}

func crashAll(f *fleet) {
	for _, h := range f.agents {
		if h.engine == nil {
			continue
		}
		resp, err := http.Post(h.upstream+"/crash", "", nil)
		assert.NilError(f.t, err)
		resp.Body.Close()
	}
}

// A fault at each step of a request's way in turn: the caller must get its
// answer or an honest refusal, and "not run" only where nothing ran.
func TestFaultAtEachStep(t *testing.T) {
	t.Parallel()
	for _, w := range ways {
		t.Run(strings.ReplaceAll(w.step+"/"+w.fault, " ", "-"), func(t *testing.T) {
			t.Parallel()
			w.play(t)
		})
	}
}

func (w way) play(t *testing.T) {
	f := newFleet(t)
	for _, name := range []core.HostName{"up-1", "up-2"} {
		f.engineHost(name, &llmsrv.Server{LoadTimes: quickLoads, TokenTime: 20 * time.Millisecond})
	}
	service := f.plainHost("up-3")
	url := f.entryHost()
	if w.prepare != nil {
		w.prepare(f)
	}
	if w.during != nil {
		assertDone(t, chat(t, url, "alpha", "warm", false, 1))
		time.AfterFunc(300*time.Millisecond, func() { w.during(f) })
	}
	got := w.send(t, url)
	if w.code == "" {
		assertDone(t, got)
		return
	}
	assert.Equal(t, got.outcome(), w.outcome.String(), got.body)
	assert.Assert(t, strings.Contains(got.body, `"code":"`+string(w.code)+`"`), got.body)
	runs := service.plain.Runs()
	assert.Assert(t, runs["amount 1"] <= w.runs && runs[""] <= w.runs, "%v", runs)
}
