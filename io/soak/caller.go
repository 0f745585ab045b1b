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
	"radishwell/io/reply"
	plat "radishwell/platform"
)

// Route is a route of the routing table, by which callers send requests.
type Route uint8

// Routes. Requests to Once and Stream may run only once. Requests to Again may be
// repeated, and those to Resumed are streams that another upstream may continue.
const (
	Once Route = iota
	Again
	Stream
	Resumed
	routeCount
)

var routePaths = [routeCount]string{"/once/x", "/again/x", "/stream/x", "/resumed/x"}

// Result is one request and its result from the point of view of the caller.
type Result struct {
	ID    string
	Route Route
	// Path is the requested path; if it is empty, the path of Route is used.
	Path string
	// Text is the body of the request; if it is empty, it depends on the ID.
	Text string
	// After is the number of the last event of a stream that the caller resumes, and First
	// the ID of the attempt that brought its first event. If LeaveAfter is not zero, the caller
	// leaves after so many events.
	After, LeaveAfter int
	First             string
	// Key is the caller's key and Customer its owner, which is empty for a key that
	// no routing table has.
	Key, Customer string
	// Parts are the IDs of the parts of the prompt that other requests share, nil for sound ones.
	Parts []string
	// Entry is the index of the entry to which the request was sent.
	Entry int
	// Began and Ended are times from the start of the run.
	Began, Ended time.Duration
	// Status is the HTTP status, or zero if no header of an answer arrived.
	Status int
	// Signer is the server signature of the answer, which names the upstream.
	Signer string
	// Body is the part of the body that arrived. Complete reports whether the framing of the
	// answer said that it was complete. Unframed reports whether it had no framing and ended
	// without an error of the connection.
	Body     []byte
	Complete bool
	Unframed bool
	// released, if not nil, is closed when the caller begins to read the body of the answer.
	released <-chan struct{}
	// Unsent is set if the connection was refused, so that nothing was sent.
	Unsent bool
}

// customers lists the keys from which callers choose at random. Most belong to a
// customer without a limit, so that enough requests are served.
var customers = []struct{ key, name string }{
	{"key-free", "free"}, {"key-free", "free"}, {"key-free", "free"}, {"key-free", "free"}, {"key-limited", "limited"}, {"key-nobody", ""},
}

// callerTimeout is how long a caller waits for an answer.
const callerTimeout = 4 * time.Second

// callers sends requests from several callers at the same time.
type callers struct {
	entryAddrs []netip.AddrPort
	start      time.Time
	// preferred is the entry to which new connections go.
	preferred preference

	mu      sync.Mutex
	results []Result
	wait    sync.WaitGroup
}

// run starts n callers, which send requests until ctx ends.
func (c *callers) run(ctx context.Context, n int, seed uint64) {
	for i := range n {
		c.wait.Add(1)
		go func() {
			defer c.wait.Done()
			c.call(ctx, i, rand.New(rand.NewPCG(seed, uint64(i))))
		}()
	}
}

// call runs one caller. It keeps its connection to an entry open for further requests.
func (c *callers) call(ctx context.Context, i int, rng *rand.Rand) {
	transport := &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 1}
	defer transport.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		entry := (i + rng.IntN(2)*rng.IntN(len(c.entryAddrs))) % len(c.entryAddrs)
		customer := customers[rng.IntN(len(customers))]
		q := Result{
			ID: fmt.Sprintf("%d-%d-%d", i, n, rng.Uint32()), Route: Route(rng.IntN(int(routeCount))), Entry: entry,
			Key: customer.key, Customer: customer.name,
		}
		if q.Route == Resumed && rng.Float64() < leaveShare {
			q.LeaveAfter = 1 + rng.IntN(streamEvents-1)
		}
		model := "m-" + strconv.Itoa(1+rng.IntN(2))
		r := c.sendKept(transport, q, model)
		c.add(r)
		c.takeUp(ctx, transport, r, model, rng)
		time.Sleep(time.Duration(rng.IntN(60)) * time.Millisecond)
	}
}

// sendKept sends a request on a connection that is kept open, or on a new one to the entry that is
// preferred.
func (c *callers) sendKept(transport *http.Transport, q Result, model string) Result {
	entry, preferred := c.preferred.get(q.Entry)
	if !preferred {
		return c.send(transport, q, model)
	}
	q.Entry = entry
	return c.sendNew(q, model)
}

// sendNew sends a request on a connection of its own.
func (c *callers) sendNew(q Result, model string) Result {
	return c.send(&http.Transport{DisableCompression: true, DisableKeepAlives: true}, q, model)
}

func (c *callers) add(r Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.results = append(c.results, r)
}

// onceBody is a body that can't be rewound, so that the transport of net/http never
// sends a request twice.
type onceBody struct{ io.Reader }

// send sends the request in q and returns it with its result.
func (c *callers) send(transport *http.Transport, q Result, model string) (r Result) {
	r = q
	ctx, stop := context.WithTimeout(context.Background(), callerTimeout)
	defer stop()
	r.Began = time.Since(c.start)
	defer func() { r.Ended = time.Since(c.start) }()
	text := cmp.Or(r.Text, "body of "+r.ID)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.entryAddrs[r.Entry].String()+cmp.Or(r.Path, routePaths[r.Route]), onceBody{bytes.NewReader([]byte(text))})
	if err != nil {
		r.Unsent = true
		return r
	}
	req.ContentLength = int64(len(text))
	req.Host = "a.example"
	now := time.Now()
	req.Header = plat.RequestHeader(requestHead(r, model, now.Add(callerTimeout)), now)
	req.Header.Set("Authorization", "Bearer "+r.Key)
	resp, err := transport.RoundTrip(req)
	if err != nil {
		r.Unsent = errors.Is(err, syscall.ECONNREFUSED)
		return r
	}
	defer resp.Body.Close()
	r.Status, r.Signer = resp.StatusCode, plat.Signature(resp.Header)
	if r.released != nil {
		<-r.released
	}
	r.Body, err = readEvents(resp.Body, r.LeaveAfter)
	hasEnd := reply.Framing(resp) != core.Unframed
	r.Complete, r.Unframed = err == nil && hasEnd, err == nil && !hasEnd
	return r
}

// requestHead returns the head of a request, which describes its prompt and answer.
func requestHead(r Result, model string, by time.Time) core.RequestHead {
	head := core.RequestHead{ID: core.RequestID(r.ID), Deadline: by, FirstAttempt: core.RequestID(r.First)}
	if r.After > 0 {
		head.LastEventID = strconv.Itoa(r.After)
	}
	if r.Route == Stream || r.Route == Resumed {
		head.Model, head.Prompt, head.Answer = core.ModelName(model), 4*partTokens, 50
		for _, id := range r.requestParts() {
			head.Parts = append(head.Parts, core.PromptPart{ID: id, Tokens: partTokens})
		}
	}
	return head
}

// served reports whether an entry serves a request of each route, and one of a route
// that only the newest table has, before a time. It retries until then.
func (c *callers) served(entry int, seed uint64, newest string, until time.Time) bool {
	probes := []Result{{Route: Again, Path: newest}}
	for route := range routeCount {
		probes = append(probes, Result{Route: route})
	}
	transport := &http.Transport{DisableCompression: true, DisableKeepAlives: true}
	for i, q := range probes {
		q.Entry, q.Key, q.Customer = entry, "key-free", "free"
		for n := 0; ; n++ {
			q.ID = fmt.Sprintf("probe-%d-%d-%d-%d", seed, entry, i, n)
			if r := c.send(transport, q, "m-1"); r.Status == http.StatusOK && r.Complete {
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
