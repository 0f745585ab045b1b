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

// stepCase is a fault at one step of a request, and what the caller must receive.
type stepCase struct {
	step    string
	fault   string
	prepare func(f *fleet)
	during  func(f *fleet)
	send    func(t *testing.T, url string) answer
	// code is the refusal's; empty if the request must succeed.
	code    core.Code
	outcome core.Outcome
	// runs bounds how often the plain service may have run the call.
	runs int
}

func sendChat(t *testing.T, url string) answer { return chat(t, url, "alpha", "step", false, 3) }

func sendStreamedChat(t *testing.T, url string) answer {
	return chat(t, url, "alpha", "step", true, 40)
}

func sendCall(t *testing.T, url string) answer {
	return send(t, http.MethodPost, url+"/services/ledger/post", "amount 1")
}

func sendKeyedCall(t *testing.T, url string) answer {
	return send(t, http.MethodPost, url+"/services/ledger/post", "amount 1", "Idempotency-Key", "step")
}

func sendGet(t *testing.T, url string) answer {
	return send(t, http.MethodGet, url+"/services/ledger/x", "")
}

// onAllEngines sets faults of all engines, onAllServices those of all plain services.
func onAllEngines(faults llmsrv.Faults) func(*fleet) {
	return func(f *fleet) {
		for _, h := range f.agents {
			if h.engine != nil {
				setFaults(f.t, h, faults)
			}
		}
	}
}

func onAllServices(faults map[string]bool) func(*fleet) {
	return func(f *fleet) {
		for _, h := range f.agents {
			if h.plain != nil {
				setFaults(f.t, h, faults)
			}
		}
	}
}

// onFirstEngine sets faults of the engine that would load the model first.
func onFirstEngine(faults llmsrv.Faults) func(*fleet) {
	return func(f *fleet) { setFaults(f.t, f.agents[f.firstChoice()], faults) }
}

// firstChoice returns the host that entries choose for a cold start of alpha.
func (f *fleet) firstChoice() core.HostName {
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

// cutAgent closes the connections of all hosts and makes their agents unreachable, as
// if they were lost.
func cutAgent(f *fleet) {
	f.cut.Store(true)
	for _, h := range f.agents {
		h.work.CloseClientConnections()
		h.work.Listener.Close()
	}
}

var stepCases = []stepCase{
	{step: "load", fault: "fails on the first host", prepare: onFirstEngine(llmsrv.Faults{LoadFails: true}), send: sendChat},
	{step: "load", fault: "fails everywhere", prepare: onAllEngines(llmsrv.Faults{LoadFails: true}), send: sendChat, code: core.CodeLoadFailed, outcome: core.NotRun},
	{step: "load", fault: "answers to orders are lost", prepare: onAllEngines(llmsrv.Faults{OrderAnswersLost: true}), send: sendChat},
	{step: "hand-over to the engine", fault: "engine is down", prepare: onFirstEngine(llmsrv.Faults{Down: true}), send: sendChat},
	{step: "hand-over to the service", fault: "service drops connections unread", prepare: onAllServices(map[string]bool{"down": true}), send: sendCall, code: core.CodeUpstreamLost, outcome: core.MayHaveRun},
	{step: "run", fault: "service dies after the run", prepare: onAllServices(map[string]bool{"answers-lost": true}), send: sendCall, code: core.CodeUpstreamLost, outcome: core.MayHaveRun, runs: 1},
	{step: "run", fault: "service dies after a keyed run", prepare: onAllServices(map[string]bool{"answers-lost": true}), send: sendKeyedCall, code: core.CodeUpstreamLost, outcome: core.MayHaveRun, runs: 1},
	{step: "run", fault: "service dies after a call that may not be repeated by its rule", prepare: onAllServices(map[string]bool{"answers-lost": true}), send: sendGet, code: core.CodeUpstreamLost, outcome: core.MayHaveRun, runs: 1},
	{step: "stream", fault: "agent is lost", during: cutAgent, send: sendStreamedChat, code: core.CodeUpstreamLost, outcome: core.MayHaveRun},
	{step: "stream", fault: "engine crashes", during: func(f *fleet) { crashEngines(f) }, send: sendStreamedChat, code: core.CodeUpstreamLost, outcome: core.MayHaveRun},
}

func crashEngines(f *fleet) {
	for _, h := range f.agents {
		if h.engine == nil {
			continue
		}
		resp, err := http.Post(h.upstream+"/crash", "", nil)
		assert.NilError(f.t, err)
		resp.Body.Close()
	}
}

// Injects a fault at each step of a request in turn. Guards against callers that get
// neither their answer nor a correct refusal, and against "not run" for a request that
// has run.
func TestFaultAtEachStep(t *testing.T) {
	t.Parallel()
	for _, w := range stepCases {
		t.Run(strings.ReplaceAll(w.step+"/"+w.fault, " ", "-"), func(t *testing.T) {
			t.Parallel()
			w.run(t)
		})
	}
}

func (w stepCase) run(t *testing.T) {
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
