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

// Entry is an entry host to which load is sent.
type Entry struct {
	// At is the address for callers.
	At config.Origin
	// Ready is the address for operators, whose /ready is polled. Without one the
	// entry always counts as ready.
	Ready config.Origin
}

// Times and limits of the balancer.
const (
	readyInterval  = 100 * time.Millisecond
	readyTimeout   = time.Second
	dialTimeout    = 2 * time.Second
	redialPause    = 50 * time.Millisecond
	maxIdlePerHost = 4096
)

// balancer distributes requests round-robin over the entries that report that they
// are ready, as the load balancer of a platform does in front of entries.
type balancer struct {
	entries []Entry
	clients []*http.Client
	// down is set for entries that were not ready at the last poll.
	down []atomic.Bool
	turn atomic.Uint64
	// probe is the client that polls /ready.
	probe *http.Client
}

func newBalancer(entries []Entry, conf *tls.Config) *balancer {
	b := &balancer{entries: entries, down: make([]atomic.Bool, len(entries)), probe: &http.Client{Timeout: readyTimeout}}
	for range entries {
		b.clients = append(b.clients, newClient(conf))
	}
	return b
}

// newClient returns a client that keeps connections open, follows no redirects and
// sends nothing twice: net/http doesn't repeat a request on another connection if
// its body can't be rewound.
func newClient(conf *tls.Config) *http.Client {
	return &http.Client{
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		Transport: &http.Transport{
			DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext, TLSClientConfig: conf, DisableCompression: true,
			MaxIdleConns: maxIdlePerHost, MaxIdleConnsPerHost: maxIdlePerHost, IdleConnTimeout: time.Minute,
		},
	}
}

// watch polls whether the entries are ready until ctx ends.
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
	tick := time.NewTicker(readyInterval)
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

// order returns the indexes of the entries in the order in which to try them. The
// ready ones come first, starting with the next in turn. For a request with a key,
// the start depends on the key, and a repetition starts with the entry after it, so
// that it reaches another entry than the first request if possible.
func (b *balancer) order(s *request) []int {
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
