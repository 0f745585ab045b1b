package entry_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"radishwell/core"
	"radishwell/io/fakes/llmsrv"
	"radishwell/io/fakes/midbox"
)

var quickLoads = [3]time.Duration{time.Millisecond, time.Millisecond, time.Millisecond}

func setFaults(t testing.TB, h *host, faults any) {
	t.Helper()
	raw, err := json.Marshal(faults)
	assert.NilError(t, err)
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPut, h.upstream+"/faults", bytes.NewReader(raw))
	assert.NilError(t, err)
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	resp.Body.Close()
	assert.Equal(t, resp.StatusCode, http.StatusOK)
}

// A device between agent and engine loses track of their connection in the middle of a
// streamed answer: it stays open at both ends but carries nothing. The engine
// continues, as its reports show. Guards against an agent that does not read the rest
// on a new connection, or that drops or repeats a part.
func TestSilentEngineConnection(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	h := f.engineHost("up-1", &llmsrv.Server{LoadTimes: quickLoads, TokenTime: 20 * time.Millisecond})
	url := f.entryHost()
	assertDone(t, chat(t, url, "alpha", "warm", false, 1))
	go func() {
		time.Sleep(200 * time.Millisecond)
		setFaults(t, h, llmsrv.Faults{Silent: true})
	}()
	a := chat(t, url, "alpha", "a b c", true, 30)
	assertDone(t, a)
	assert.Equal(t, text(t, a), strings.Repeat("a b c ", 10))
}

// An engine that is told to stop closes its connections properly, in the middle of a
// stream or before the first byte of a whole answer. Guards against partial answers
// marked done, as seven callers of a ten-minute run got. The end marker of the format
// is missing, so the agent reads the rest on a new connection.
func TestEngineEndsAnswerEarly(t *testing.T) {
	t.Parallel()
	for _, stream := range []bool{true, false} {
		t.Run(strconv.FormatBool(stream), func(t *testing.T) {
			t.Parallel()
			f := newFleet(t)
			h := f.engineHost("up-1", &llmsrv.Server{LoadTimes: quickLoads, TokenTime: 5 * time.Millisecond})
			url := f.entryHost()
			assertDone(t, chat(t, url, "alpha", "warm", false, 1))
			setFaults(t, h, llmsrv.Faults{EndsEarly: true})
			a := chat(t, url, "alpha", "a b c", stream, 30)
			assertDone(t, a)
			got := a.body
			if stream {
				got = text(t, a)
			}
			assert.Assert(t, strings.Contains(got, strings.Repeat("a b c ", 10)), got)
		})
	}
}

// A device between entry and agent loses track of their connection in the middle of a
// streamed answer: it stays open at both ends but carries nothing. Its pings fail and
// it is closed. Guards against an answer that is not read on over a new connection, or
// that loses or repeats a part.
func TestSilentAgentConnection(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	h := f.engineHost("up-1", &llmsrv.Server{LoadTimes: quickLoads, TokenTime: 20 * time.Millisecond})
	between, err := midbox.New(h.Work)
	assert.NilError(t, err)
	t.Cleanup(between.Close)
	h.Work = between.At()
	url := f.entryHost()
	assertDone(t, chat(t, url, "alpha", "warm", false, 1))
	time.AfterFunc(300*time.Millisecond, between.Silence)
	a := chat(t, url, "alpha", "a b c", true, 60)
	assertDone(t, a)
	assert.Equal(t, text(t, a), strings.Repeat("a b c ", 20))
}

// The connections between an entry and an agent are closed while answers stream over
// them, as when a switch restarts. The agent still has the answers. Guards against an
// entry that does not read each one on from its offset.
func TestCutBetweenEntryAndAgent(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	h := f.engineHost("up-1", &llmsrv.Server{LoadTimes: quickLoads, TokenTime: 20 * time.Millisecond, Batch: 64})
	url := f.entryHost()
	assertDone(t, chat(t, url, "alpha", "warm", false, 1))
	var all sync.WaitGroup
	for i := range 8 {
		all.Go(func() {
			mark := "m" + strconv.Itoa(i)
			a := chat(t, url, "alpha", mark, true, 30)
			assertDone(t, a)
			assert.Equal(t, text(t, a), strings.Repeat(mark+" ", 30))
		})
	}
	time.Sleep(250 * time.Millisecond)
	h.work.CloseClientConnections()
	all.Wait()
}

// Guards against answers that reach another caller. Hundreds of marked requests share a
// few connections, some slow and some fast, and each caller must receive its own mark
// only.
func TestAnswersNeverCross(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.engineHost("up-1", &llmsrv.Server{LoadTimes: quickLoads, TokenTime: time.Millisecond, Batch: 256})
	f.engineHost("up-2", &llmsrv.Server{LoadTimes: quickLoads, TokenTime: 3 * time.Millisecond, Batch: 256})
	url := f.entryHost()
	var all sync.WaitGroup
	for i := range 300 {
		all.Go(func() {
			mark := "mark-" + strconv.Itoa(i)
			a := chat(t, url, "alpha", mark, i%2 == 0, 5+i%7)
			assertDone(t, a)
			assert.Equal(t, strings.Count(a.body, mark+" "), 5+i%7, a.body)
			assert.Equal(t, strings.Count(a.body, "mark-"), 5+i%7, a.body)
		})
	}
	all.Wait()
}

// A caller disconnects in the middle of an answer. Guards against an engine that keeps
// its accelerator busy with an answer that nobody reads.
func TestCancelReachesEngine(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	h := f.engineHost("up-1", &llmsrv.Server{LoadTimes: quickLoads, TokenTime: 50 * time.Millisecond})
	url := f.entryHost()
	assertDone(t, chat(t, url, "alpha", "warm", false, 1))
	ctx, leave := context.WithCancel(t.Context())
	body := `{"model":"alpha","stream":true,"max_tokens":2000,"messages":[{"role":"user","content":"long"}]}`
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/chat/completions", strings.NewReader(body))
	assert.NilError(t, err)
	req.Header.Set("Authorization", "Bearer "+callerKey)
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	first := make([]byte, 10)
	_, err = resp.Body.Read(first)
	assert.NilError(t, err)
	leave()
	resp.Body.Close()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for _, r := range h.engine.State().Runs {
			if r.Emitted < 2000 {
				return poll.Continue("the engine still runs %s", r.ID)
			}
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second))
}

// The same request crashes every engine that runs it, and its caller repeats it through
// other entries. Guards against losing more than three of sixteen engines before the
// request is quarantined.
func TestCrashingRequest(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	var crashes int
	for i := range 16 {
		f.engineHost(core.HostName("up-"+strconv.Itoa(i)), &llmsrv.Server{
			LoadTimes: quickLoads, Faults: llmsrv.Faults{CrashMark: "poison", DownFor: 100},
		})
	}
	urls := []string{f.entryHost(), f.entryHost(), f.entryHost()}
	epochs := func() map[core.HostName]uint64 {
		out := map[core.HostName]uint64{}
		for name, h := range f.agents {
			out[name] = h.engine.State().Epoch
		}
		return out
	}
	before := epochs()
	var last answer
	for i := range 12 {
		last = chat(t, urls[i%len(urls)], "alpha", "poison", false, 3)
		assert.Assert(t, last.status != http.StatusOK)
	}
	for name, e := range epochs() {
		if e != before[name] {
			crashes++
		}
	}
	assert.Assert(t, crashes <= 3, "%d engines were lost", crashes)
	assertRefused(t, last, core.CodeQuarantined, core.NotRun)
	assertDone(t, chat(t, urls[0], "alpha", "innocent", false, 3))
}

// A call is sent several times under one key, through two entries at once. Guards
// against running it twice and against callers that get different answers.
func TestKeyThroughTwoEntries(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	h := f.plainHost("up-1")
	setFaults(t, h, map[string]int{"delay": 100})
	urls := []string{f.entryHost(), f.entryHost()}
	answers := make([]answer, 8)
	var all sync.WaitGroup
	for i := range answers {
		all.Go(func() {
			answers[i] = send(t, http.MethodPost, urls[i%2]+"/services/ledger/orders", "4 pallets", "Idempotency-Key", "order-1")
		})
	}
	all.Wait()
	for _, a := range answers {
		assertDone(t, a)
		assert.Equal(t, a.body, answers[0].body)
	}
	assert.Equal(t, h.plain.Runs()["4 pallets"], 1)
}

// The upstream runs a call and dies before its answer is complete. The call has no key
// and may not be repeated. Guards against sending it again, and against telling the
// caller that it has not run.
func TestLostAnswerIsNotRepeated(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	h := f.plainHost("up-1")
	f.plainHost("up-2")
	for _, up := range f.agents {
		setFaults(t, up, map[string]bool{"answers-lost": true})
	}
	url := f.entryHost()
	a := send(t, http.MethodPost, url+"/services/ledger/post", "amount 5")
	assertRefused(t, a, core.CodeUpstreamLost, core.MayHaveRun)
	assert.Equal(t, a.header.Get("X-Should-Retry"), "false")
	total := 0
	for _, up := range f.agents {
		total += up.plain.Runs()["amount 5"]
	}
	assert.Equal(t, total, 1)
	_ = h
}
