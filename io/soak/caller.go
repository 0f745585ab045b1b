package soak

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"syscall"
	"time"

	"radishwell/core"
	plat "radishwell/platform"
)

// Route is a kind of request that callers send.
type Route uint8

// Routes.
const (
	Once Route = iota
	Again
	Stream
	Resumed
	routeCount
)

var routePaths = [routeCount]string{"/once/x", "/again/x", "/stream/x", "/resumed/x"}

// Result is what a caller saw of one request.
type Result struct {
	ID    string
	Route Route
	// Path is what is asked for, the route's own where it is empty.
	Path string
	// Key is the caller's, and Customer who holds it; none for a key in no table.
	Key, Customer string
	// Entry is the index of the entry that was asked.
	Entry int
	// Began and Ended are times from the start of the run.
	Began, Ended time.Duration
	// Status is zero where no head of an answer came.
	Status int
	// Signer is the upstream that the answer bears the signature of.
	Signer string
	// Body is what came of the answer, Whole whether it ended in good order.
	Body  []byte
	Whole bool
	// Unsent tells that no connection was made, so that nothing was sent.
	Unsent bool
}

// customers are who calls: mostly one without a limit, so that enough is served.
var customers = []struct{ key, name string }{
	{"key-free", "free"}, {"key-free", "free"}, {"key-free", "free"}, {"key-free", "free"}, {"key-limited", "limited"}, {"key-nobody", ""},
}

// deadline is how long callers wait.
const deadline = 4 * time.Second

// callers send requests until their context ends.
type callers struct {
	fronts []netip.AddrPort
	start  time.Time

	mu      sync.Mutex
	results []Result
	wait    sync.WaitGroup
}

func (c *callers) run(ctx context.Context, n int, seed uint64) {
	for i := range n {
		c.wait.Add(1)
		go func() {
			defer c.wait.Done()
			c.call(ctx, i, rand.New(rand.NewPCG(seed, uint64(i))))
		}()
	}
}

// call is one caller: it keeps its connection to an entry while that serves it.
func (c *callers) call(ctx context.Context, i int, rng *rand.Rand) {
	transport := &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 1}
	defer transport.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		entry := (i + rng.IntN(2)*rng.IntN(len(c.fronts))) % len(c.fronts)
		who := customers[rng.IntN(len(customers))]
		r := c.ask(transport, Result{
			ID: fmt.Sprintf("%d-%d-%d", i, n, rng.Uint32()), Route: Route(rng.IntN(int(routeCount))), Entry: entry,
			Key: who.key, Customer: who.name,
		}, "m-"+strconv.Itoa(1+rng.IntN(2)))
		c.mu.Lock()
		c.results = append(c.results, r)
		c.mu.Unlock()
		time.Sleep(time.Duration(rng.IntN(60)) * time.Millisecond)
	}
}

// onceBody is a body whose reader net/http cannot read again, so that its transport
// never sends a request a second time by itself.
type onceBody struct{ io.Reader }

// ask sends one request and fills in what came of it.
func (c *callers) ask(transport *http.Transport, q Result, model string) (r Result) {
	r = q
	ctx, stop := context.WithTimeout(context.Background(), deadline)
	defer stop()
	r.Began = time.Since(c.start)
	defer func() { r.Ended = time.Since(c.start) }()
	text := "body of " + r.ID
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.fronts[r.Entry].String()+cmp.Or(r.Path, routePaths[r.Route]), onceBody{bytes.NewReader([]byte(text))})
	if err != nil {
		r.Unsent = true
		return r
	}
	req.ContentLength = int64(len(text))
	req.Host = "a.example"
	now := time.Now()
	req.Header = plat.RequestHeader(askOf(r, model, now.Add(deadline)), now)
	req.Header.Set("Authorization", "Bearer "+r.Key)
	resp, err := transport.RoundTrip(req)
	if err != nil {
		r.Unsent = errors.Is(err, syscall.ECONNREFUSED)
		return r
	}
	defer resp.Body.Close()
	r.Status, r.Signer = resp.StatusCode, plat.Signature(resp.Header)
	r.Body, err = io.ReadAll(resp.Body)
	r.Whole = err == nil
	return r
}

// askOf returns what a caller asks for.
func askOf(r Result, model string, by time.Time) core.RequestHead {
	ask := core.RequestHead{ID: core.RequestID(r.ID), Deadline: by}
	if r.Route == Stream || r.Route == Resumed {
		ask.Model, ask.Prompt, ask.Answer = core.ModelName(model), 100, 50
		ask.Parts = []core.PromptPart{{ID: "aa", Tokens: 60}, {ID: "bb", Tokens: 40}}
	}
	return ask
}

// served tells whether an entry serves a request of each route, and one of a route that only the
// newest table has, before a time.
func (c *callers) served(entry int, seed uint64, newest string, until time.Time) bool {
	asked := []Result{{Route: Again, Path: newest}}
	for route := range routeCount {
		asked = append(asked, Result{Route: route})
	}
	transport := &http.Transport{DisableCompression: true, DisableKeepAlives: true}
	for i, q := range asked {
		q.Entry, q.Key, q.Customer = entry, "key-free", "free"
		for n := 0; ; n++ {
			q.ID = fmt.Sprintf("probe-%d-%d-%d-%d", seed, entry, i, n)
			if r := c.ask(transport, q, "m-1"); r.Status == http.StatusOK && r.Whole {
				break
			}
			if time.Now().After(until) {
				return false
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return true
}
