package bench

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"radishwell/io/config"
)

// Entry is an entry host as its balancer sees it.
type Entry struct {
	// At is where callers are served.
	At config.Origin
	// Ready is the operators' address whose /ready is asked; without one the
	// entry always counts as ready.
	Ready config.Origin
}

// Constants of the balancer.
const (
	readyEvery  = 100 * time.Millisecond
	readyTime   = time.Second
	dialTime    = 2 * time.Second
	redialPause = 50 * time.Millisecond
	idlePerHost = 4096
)

// balancer chooses entries in turn among those that say they are ready, as the
// platform's balancer does before real entries.
type balancer struct {
	entries []Entry
	clients []*http.Client
	down    []atomic.Bool
	turn    atomic.Uint64
	probe   *http.Client
}

func newBalancer(entries []Entry, conf *tls.Config) *balancer {
	b := &balancer{entries: entries, down: make([]atomic.Bool, len(entries)), probe: &http.Client{Timeout: readyTime}}
	for range entries {
		b.clients = append(b.clients, newClient(conf))
	}
	return b
}

// newClient returns a client that keeps its connections, follows no redirect
// and sends nothing twice: without a body that can be rewound, net/http does
// not repeat a request on another connection by itself.
func newClient(conf *tls.Config) *http.Client {
	return &http.Client{
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		Transport: &http.Transport{
			DialContext: (&net.Dialer{Timeout: dialTime}).DialContext, TLSClientConfig: conf, DisableCompression: true,
			MaxIdleConns: idlePerHost, MaxIdleConnsPerHost: idlePerHost, IdleConnTimeout: time.Minute,
		},
	}
}

// watch asks each entry whether it is ready until the context ends.
func (b *balancer) watch(ctx context.Context) {
	ended := make(chan struct{})
	for i := range b.entries {
		go func() {
			b.watchOne(ctx, i)
			ended <- struct{}{}
		}()
	}
	for range b.entries {
		<-ended
	}
}

func (b *balancer) watchOne(ctx context.Context, i int) {
	if !b.entries[i].Ready.IsSet() {
		return
	}
	tick := time.NewTicker(readyEvery)
	defer tick.Stop()
	for ctx.Err() == nil {
		b.down[i].Store(!b.ready(ctx, i))
		select {
		case <-tick.C:
		case <-ctx.Done():
		}
	}
}

func (b *balancer) ready(ctx context.Context, i int) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, b.entries[i].Ready.String()+"/ready", nil)
	if err != nil {
		return false
	}
	resp, err := b.probe.Do(req)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// order returns the entries in the order in which to try them: those that are
// ready first, beginning at the next in turn. A repetition begins one further,
// so that it reaches another entry than the first sending where it can.
func (b *balancer) order(s *shot) []int {
	n := len(b.entries)
	from := int(b.turn.Add(1))
	if s.key != "" {
		from = len(s.key) + int(s.key[len(s.key)-1])
		if s.repeat {
			from++
		}
	}
	var up, down []int
	for i := range n {
		at := (from + i) % n
		if b.down[at].Load() {
			down = append(down, at)
		} else {
			up = append(up, at)
		}
	}
	return append(up, down...)
}
