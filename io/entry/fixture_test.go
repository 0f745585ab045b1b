package entry_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/core"
	"radishwell/core/admit"
	"radishwell/core/catlog"
	"radishwell/core/claims"
	"radishwell/core/member"
	"radishwell/core/strike"
	"radishwell/core/warm"
	"radishwell/io/agent"
	"radishwell/io/engine"
	"radishwell/io/entry"
	"radishwell/io/fakes/llmsrv"
	"radishwell/io/fakes/plain"
	"radishwell/io/front"
	"radishwell/io/meter"
	"radishwell/io/reply"
	"radishwell/wire"
)

const callerKey = "test-key"

const catalogue = `
kind: owners
name: guild
spec:
  keys: [{caller: clerk, digest: %s}]
---
kind: services
name: pool
spec: {type: engine, class: interactive, checks-fence: true}
---
kind: services
name: ledger
spec: {type: plain, owner: guild, class: interactive, repeatable: none}
---
kind: models
name: alpha
spec: {owner: guild, service: pool, class: interactive, memory: 1GiB, limits: {replicas: 2}}
---
kind: adapters
name: alpha-dues
spec: {owner: guild, base: alpha, class: interactive, memory: 64MiB}
---
kind: models
name: large
spec: {owner: guild, service: pool, class: interactive, memory: 4GiB, limits: {replicas: 2}}
---
kind: models
name: huge
spec: {owner: guild, service: pool, class: interactive, memory: 64GiB, limits: {replicas: 2}}
`

type realClock struct{}

func (realClock) Now() time.Time { return time.Now() }

// fleet is a set of entries and upstream hosts in one process. HTTP between them is
// real; functions replace the platform and the control calls.
type fleet struct {
	t       testing.TB
	view    catlog.View
	entries []*entry.Entry
	agents  map[core.HostName]*host
	mu      sync.Mutex
	journal map[string]claims.Claim
	cut     atomic.Bool
	// hidden removes all hosts from the entries' lists.
	hidden atomic.Bool
	// worth is the agents' weight of waiting time; zero means the default.
	worth warm.Worth
}

type host struct {
	entry.Host
	agent  *agent.Agent
	engine *llmsrv.Server
	plain  *plain.Server
	// unsure makes the host's grants uncertain, as in a platform outage.
	unsure atomic.Bool
	// upstream is the URL of the fake upstream's own interface.
	upstream string
	// crash closes the upstream's connections and its address, as the end of its process does.
	crash func()
	work  *httptest.Server
	// handler is the handler of the current agent. start starts an agent, stop stops
	// it.
	handler atomic.Value
	start   func()
	stop    func()
}

func newFleet(t testing.TB) *fleet {
	t.Helper()
	f := &fleet{t: t, agents: map[core.HostName]*host{}, journal: map[string]claims.Claim{}}
	digest := sha256.Sum256([]byte(callerKey))
	objects, problems := catlog.Read(catlog.Source{Name: "test", Text: fmt.Appendf(nil, catalogue, hex.EncodeToString(digest[:]))})
	assert.NilError(t, problems.Err())
	for i := range objects {
		objects[i].Version, objects[i].UID = core.Version(i+1), strconv.Itoa(i)
	}
	f.view.Apply(objects...)
	return f
}

func (f *fleet) snapshot() *catlog.Snapshot { return f.view.Snapshot() }

// engineHost adds an upstream host with a model engine.
func (f *fleet) engineHost(name core.HostName, llm *llmsrv.Server) *host {
	f.t.Helper()
	if llm.Capacity == nil {
		llm.Capacity = []core.Bytes{4 * core.GiB}
	}
	h := f.host(name, "pool", llm.Handler(), false)
	h.engine = llm
	return h
}

// plainHost adds an upstream host with a plain service.
func (f *fleet) plainHost(name core.HostName) *host {
	f.t.Helper()
	srv := &plain.Server{}
	h := f.host(name, "ledger", srv.Handler(), true)
	h.plain, srv.Crash = srv, h.crash
	return h
}

func (f *fleet) host(name core.HostName, service core.ServiceName, upstream http.Handler, isPlain bool) *host {
	f.t.Helper()
	up := httptest.NewServer(upstream)
	f.t.Cleanup(up.Close)
	client := engine.New(addrOf(f.t, up.Listener), nil)
	client.Plain = isPlain
	f.t.Cleanup(client.Close)
	h := &host{upstream: up.URL, crash: func() { _ = up.Config.Close() }}
	h.work = httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h.handler.Load().(http.Handler).ServeHTTP(w, r)
	}))
	h.start = func() { f.startAgent(h, name, service, client, isPlain) }
	h.start()
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	protocols.SetHTTP1(true)
	h.work.Config.Protocols = &protocols
	h.work.Start()
	f.t.Cleanup(func() {
		h.stop()
		h.work.CloseClientConnections()
		h.work.Close()
	})
	h.Host = entry.Host{Name: name, Work: addrOf(f.t, h.work.Listener), DataCentre: "dc", Incarnation: h.agent.Incarnation}
	f.agents[name] = h
	return h
}

// startAgent starts a new incarnation of a host's agent.
func (f *fleet) startAgent(h *host, name core.HostName, service core.ServiceName, client *engine.Client, isPlain bool) {
	h.agent = &agent.Agent{
		Host: name, Service: service, Plain: isPlain, Incarnation: core.Incarnation(rand.Uint64()), Engine: client,
		Clock: realClock{}, Meter: meter.New(), Snapshot: f.snapshot, KeptAnswers: core.MiB,
		Grant:            func(core.ModelName) (core.GrantState, bool) { return core.GrantActive, !h.unsure.Load() },
		Release:          func(context.Context, core.ModelName) error { return nil },
		Revoked:          func() []core.ModelName { return nil },
		BroadcastStrikes: f.broadcastStrikes, Agents: func() int { return 1 }, Rand: rand.New(rand.NewPCG(2, 2)), Worth: f.worth,
		Store: agent.Store{Parallel: 100, Adapters: 100},
		Slot: func(context.Context, *wire.SlotCall) (*wire.SlotReply, error) {
			return &wire.SlotReply{Granted: true}, nil
		},
	}
	ctx, stop := context.WithCancel(context.Background())
	h.agent.Init(ctx)
	ended := make(chan error, 1)
	run := h.agent.Run
	go func() { ended <- run(ctx) }()
	<-h.agent.Ready()
	h.handler.Store(h.agent.Handler())
	h.stop = func() {
		stop()
		<-ended
	}
}

// restartAgent stops a host's agent and starts another at the same address.
func (f *fleet) restartAgent(name core.HostName) {
	h := f.agents[name]
	h.stop()
	h.start()
}

func addrOf(t testing.TB, l net.Listener) netip.AddrPort {
	t.Helper()
	a, err := netip.ParseAddrPort(l.Addr().String())
	assert.NilError(t, err)
	return a
}

func (f *fleet) broadcastStrikes(list []strike.Record) {
	for _, e := range f.entries {
		e.MergeStrikes(list)
	}
}

func (f *fleet) hosts(t core.Target) []entry.Host {
	if f.hidden.Load() {
		return nil
	}
	var out []entry.Host
	for _, h := range f.agents {
		if (h.plain != nil) == (t.Model == "") {
			out = append(out, h.Host)
		}
	}
	return out
}

func (f *fleet) find(name core.HostName) (entry.Host, bool) {
	h, ok := f.agents[name]
	if !ok {
		return entry.Host{}, false
	}
	return h.Host, true
}

type unreachableError struct{}

func (unreachableError) Error() string { return "unreached" }

func (f *fleet) probe(_ context.Context, h entry.Host, names []core.ModelName) (*wire.HostLoad, error) {
	if f.cut.Load() {
		return nil, unreachableError{}
	}
	return f.agents[h.Name].agent.HostLoad(names), nil
}

func (f *fleet) seal(ctx context.Context, h entry.Host, c *wire.SealCall) (*wire.SealReply, error) {
	if f.cut.Load() {
		return nil, unreachableError{}
	}
	return f.agents[h.Name].agent.Seal(ctx, c), nil
}

// claim records a claim in a journal that is always available.
func (f *fleet) claim(_ context.Context, a claims.Submission) claims.Answer {
	f.mu.Lock()
	defer f.mu.Unlock()
	key := string(a.Claim.ID[:])
	have, ok := f.journal[key]
	if ok && a.Claim.Attempt != have.Attempt+1 {
		return claims.Answer{Result: claims.Held, Holder: have}
	}
	f.journal[key] = a.Claim
	return claims.Answer{Result: claims.Won, Holder: a.Claim}
}

// entryHost adds an entry and returns its URL for callers.
func (f *fleet) entryHost() string {
	f.t.Helper()
	e := &entry.Entry{
		Name: core.HostName("entry-" + strconv.Itoa(len(f.entries))), DataCentre: "dc", Clock: realClock{}, Meter: meter.New(),
		Rand: rand.New(rand.NewPCG(1, uint64(len(f.entries)))), Snapshot: f.snapshot, Hosts: f.hosts, Find: f.find,
		Share:     func() admit.Share { return admit.Share{Entries: 1} },
		OnContact: func(member.Contact) {}, Probe: f.probe, Seal: f.seal, Claim: f.claim,
		KeyAge: time.Hour, Relay: &entry.Relay{}, BroadcastStrikes: f.broadcastStrikes,
		SendStrikes: func(h core.HostName, list []strike.Record) { f.agents[h].agent.MergeStrikes(list) },
	}
	e.Init()
	f.entries = append(f.entries, e)
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- e.Run(ctx) }()
	var n int
	srv := httptest.NewServer(&front.Handler{
		Clock: realClock{}, Snapshot: f.snapshot, Serve: e.Serve, MaxBody: core.MiB,
		Refused:  func(core.RequestID, *core.Refusal) {},
		Deadline: func(_ core.Class, at time.Time) time.Time { return at.Add(20 * time.Second) },
		NewID: func() core.RequestID {
			f.mu.Lock()
			defer f.mu.Unlock()
			n++
			return core.RequestID(fmt.Sprintf("%s-%d", e.Name, n))
		},
	})
	f.t.Cleanup(func() {
		srv.CloseClientConnections()
		srv.Close()
		stop()
		<-ended
		e.Relay.Close()
	})
	return srv.URL
}

// answer is what a caller received.
type answer struct {
	status  int
	header  http.Header
	trailer http.Header
	framing core.Framing
	body    string
}

func (a answer) outcome() string {
	if o := a.trailer.Get(front.HeaderOutcome); o != "" {
		return o
	}
	return a.header.Get(front.HeaderOutcome)
}

func send(t testing.TB, method, url, body string, pairs ...string) answer {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
	assert.NilError(t, err)
	req.Header.Set("Authorization", "Bearer "+callerKey)
	req.Header.Set("Content-Type", "application/json")
	for i := 0; i+1 < len(pairs); i += 2 {
		req.Header.Set(pairs[i], pairs[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return answer{status: resp.StatusCode, header: resp.Header, trailer: resp.Trailer, framing: reply.Framing(resp), body: string(raw)}
}

func chat(t testing.TB, url, model, prompt string, stream bool, tokens int) answer {
	t.Helper()
	body, err := json.Marshal(map[string]any{
		"model": model, "stream": stream, "max_tokens": tokens,
		"messages": []map[string]string{{"role": "user", "content": prompt}},
	})
	assert.NilError(t, err)
	return send(t, http.MethodPost, url+"/v1/chat/completions", string(body))
}

func assertDone(t testing.TB, a answer) {
	t.Helper()
	assert.Equal(t, a.status, http.StatusOK, a.body)
	assert.Equal(t, a.outcome(), "done")
}

func assertRefused(t *testing.T, a answer, code core.Code, outcome core.Outcome) {
	t.Helper()
	var doc struct {
		Error struct {
			Code core.Code `json:"code"`
		} `json:"error"`
	}
	assert.NilError(t, json.Unmarshal([]byte(a.body), &doc), a.body)
	assert.Equal(t, doc.Error.Code, code, a.body)
	assert.Equal(t, a.outcome(), outcome.String())
	assert.Equal(t, a.status, code.Info().Status)
}

// text joins the tokens of a streamed chat answer.
func text(t *testing.T, a answer) string {
	t.Helper()
	var out strings.Builder
	for line := range strings.SplitSeq(a.body, "\n") {
		raw, ok := strings.CutPrefix(line, "data: ")
		if !ok || raw == "[DONE]" {
			continue
		}
		var chunk struct {
			Choices []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
			} `json:"choices"`
		}
		assert.NilError(t, json.Unmarshal([]byte(raw), &chunk))
		for _, c := range chunk.Choices {
			out.WriteString(c.Delta.Content)
		}
	}
	return out.String()
}
