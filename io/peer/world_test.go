package peer

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"

	"radishwell/core"
)

// world is a fleet of processes, the links between them, and a platform, all in the fake time of
// a test.
type world struct {
	randMu sync.Mutex
	rand   *rand.Rand
	store  *worldStore
	hosts  []*worldHost
	byAt   map[netip.AddrPort]*worldHost
	// failed receives the errors of processes.
	failed chan error
}

// intN returns a random number below n.
func (w *world) intN(n int64) int64 {
	w.randMu.Lock()
	defer w.randMu.Unlock()
	return w.rand.Int64N(n)
}

// within returns a random duration between two.
func (w *world) within(least, most time.Duration) time.Duration {
	return least + time.Duration(w.intN(int64(most-least)+1))
}

// worldHost is a host with one process. Its fields are guarded by mu.
type worldHost struct {
	*world
	self Target
	// rate is that of the link in bytes per second, each way. delay is how long a message waits
	// until the process reads it, because its processor is full.
	rate  float64
	delay time.Duration

	mu sync.Mutex
	// sent and received are until when the link is busy in each direction.
	sent, received time.Time
	// thaws is until when the host stands still, heals until when it is cut off from all others,
	// and disturbed until when it was one of these, had no process, or was cut from the store.
	thaws, heals, disturbed time.Time
	// cutFromStore is until when the store does not answer the host.
	cutFromStore time.Time
	listener     *worldListener
	process      *worldProcess
}

// worldProcess is a process of the fleet, until the host is restarted.
type worldProcess struct {
	store  *Store
	server *Server
	client *Client
	cancel context.CancelFunc
	ended  chan error
	mu     sync.Mutex
	// held are the versions of the table that came into force, with the times of that.
	held []heldTable
	// failure is the last failed call.
	failure error
}

type heldTable struct {
	version core.Version
	at      time.Time
}

// worldListener accepts connections within the test.
type worldListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
	at     netip.AddrPort
}

// Accept implements net.Listener.
func (l *worldListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *worldListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *worldListener) Addr() net.Addr { return net.TCPAddrFromAddrPort(l.at) }

// decodeTime is how long a table takes to be read and come into force at a small host.
const decodeTime = 100 * time.Millisecond

// start starts the host's process.
func (h *worldHost) start() {
	l := &worldListener{conns: make(chan net.Conn), closed: make(chan struct{}), at: h.self.Address}
	p := &worldProcess{ended: make(chan error, 2)}
	p.client = &Client{Dial: h.dial}
	p.store = &Store{
		Self: h.self, Kinds: []core.Kind{core.KindTable, core.KindRegistry}, Confirm: []core.Kind{core.KindTable, core.KindRegistry},
		Urgent:   []core.Kind{core.KindTable},
		Platform: &worldClient{host: h}, Client: p.client, Peers: h.peers, Watchers: 8, Seed: uint64(h.intN(1 << 62)), MaxRetry: 500 * time.Millisecond,
		OnChange: func(objects []core.Object) {
			for _, o := range objects {
				if o.Kind == core.KindTable {
					time.Sleep(decodeTime)
					h.awaitThaw()
					p.mu.Lock()
					p.held = append(p.held, heldTable{version: o.Version, at: time.Now()})
					p.mu.Unlock()
				}
			}
		},
	}
	p.store.OnError = func(err error) {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.failure = err
	}
	p.server = &Server{Listener: l, Handler: &Handler{Sync: p.store.ServeSync, Fetch: p.store.ServeFetch}}
	_ = p.server.Listen() // does not fail with a listener
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	go func() { p.ended <- p.server.Run(ctx) }()
	go func() { p.ended <- p.store.Run(ctx) }()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.listener, h.process = l, p
}

// stop kills the host's process, and reports whether there was one.
func (h *worldHost) stop() bool {
	h.mu.Lock()
	p := h.process
	h.process, h.listener = nil, nil
	h.mu.Unlock()
	if p == nil {
		return false
	}
	p.cancel()
	for range 2 {
		if err := <-p.ended; err != nil {
			h.failed <- err
		}
	}
	p.server.closeConns()
	p.client.Close()
	return true
}

// peers returns all hosts, which a process knows from its records.
func (h *worldHost) peers() []Target {
	all := make([]Target, 0, len(h.hosts))
	for _, o := range h.hosts {
		all = append(all, o.self)
	}
	return all
}

// disturb notes that the host is not well for a time from now on.
func (h *worldHost) disturb(d time.Duration) {
	if at := time.Now().Add(d); at.After(h.disturbed) {
		h.disturbed = at
	}
}

func (h *worldHost) freeze(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.thaws = time.Now().Add(d)
	h.disturb(d)
}

func (h *worldHost) cut(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.heals = time.Now().Add(d)
	h.disturb(d)
}

// awaitThaw waits while the host stands still.
func (h *worldHost) awaitThaw() {
	for {
		h.mu.Lock()
		left := time.Until(h.thaws)
		h.mu.Unlock()
		if left <= 0 {
			return
		}
		time.Sleep(left)
	}
}

// awaitHeal waits while the host is cut off.
func (h *worldHost) awaitHeal() {
	for {
		h.mu.Lock()
		left := time.Until(h.heals)
		h.mu.Unlock()
		if left <= 0 {
			return
		}
		time.Sleep(left)
	}
}

// latency is the time of one way between two hosts.
const latency = time.Millisecond

// occupy reserves a direction of a link for some bytes and returns when they have passed.
func occupy(busy *time.Time, from time.Time, n int, rate float64) time.Time {
	if busy.Before(from) {
		*busy = from
	}
	*busy = busy.Add(time.Duration(float64(n) / rate * float64(time.Second)))
	return *busy
}

// transit returns when the process of another host reads bytes that are sent now.
func (h *worldHost) transit(to *worldHost, n int) time.Time {
	now := time.Now()
	h.mu.Lock()
	due := occupy(&h.sent, now, n, h.rate)
	if due.Before(h.thaws) {
		due = h.thaws
	}
	h.mu.Unlock()
	to.mu.Lock()
	defer to.mu.Unlock()
	if received := occupy(&to.received, now, n, to.rate); received.After(due) {
		due = received
	}
	return due.Add(latency + to.delay)
}

// dial opens a connection to another host.
func (h *worldHost) dial(ctx context.Context, to Target) (net.Conn, error) {
	h.awaitThaw()
	peer := h.byAt[to.Address]
	sleep(ctx, 2*latency)
	for _, end := range []*worldHost{h, peer} {
		end.mu.Lock()
		heals := end.heals
		end.mu.Unlock()
		if time.Now().Before(heals) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
	}
	peer.mu.Lock()
	l := peer.listener
	peer.mu.Unlock()
	if l == nil {
		return nil, net.ErrClosed
	}
	near, far := connect(h, peer)
	select {
	case l.conns <- far:
		return near, nil
	case <-l.closed:
		near.Close()
		return nil, net.ErrClosed
	case <-ctx.Done():
		near.Close()
		return nil, ctx.Err()
	}
}

// worldStore is the platform's store.
type worldStore struct {
	mu      sync.Mutex
	version core.Version
	objects map[core.Kind]map[string]core.Object
	// log are all changes. Watches from before dropped fail.
	log     []core.Object
	dropped core.Version
	// changed is closed by the next change.
	changed chan struct{}
	// Until these times: the store answers slowly, loses answers, lists what it held before
	// staleFrom, and tells watches nothing.
	slow, lossy, stale, silent time.Time
	staleFrom                  core.Version
}

// write changes an object.
func (s *worldStore) write(kind core.Kind, name string, spec []byte) core.Version {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	o := core.Object{Kind: kind, Name: name, Version: s.version, Spec: spec}
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]core.Object{}
	}
	s.objects[kind][name] = o
	s.log = append(s.log, o)
	close(s.changed)
	s.changed = make(chan struct{})
	return s.version
}

// worldClient is a host's client of the store. Methods that are not used here panic.
type worldClient struct {
	core.Platform
	host *worldHost
}

func unknown(kind core.Kind) error {
	return &core.PlatformError{Fault: core.Unknown, Kind: kind, Cause: io.ErrUnexpectedEOF}
}

// call takes as long as one call of the store with an answer of n bytes.
func (c *worldClient) call(ctx context.Context, kind core.Kind, n int) error {
	c.host.awaitThaw()
	s := c.host.store
	now := time.Now()
	s.mu.Lock()
	slow, lossy := now.Before(s.slow), now.Before(s.lossy) && c.host.intN(3) == 0
	s.mu.Unlock()
	c.host.mu.Lock()
	cut := now.Before(c.host.cutFromStore) || now.Before(c.host.heals)
	due := occupy(&c.host.received, now.Add(4*time.Millisecond), n, c.host.rate)
	c.host.mu.Unlock()
	if cut || lossy {
		sleep(ctx, 1500*time.Millisecond)
		return unknown(kind)
	}
	if slow {
		due = due.Add(240 * time.Millisecond)
	}
	sleep(ctx, time.Until(due)+c.host.delay)
	c.host.awaitThaw()
	return ctx.Err()
}

// List implements core.Platform.
func (c *worldClient) List(ctx context.Context, kind core.Kind) (core.Listing, error) {
	s := c.host.store
	s.mu.Lock()
	l := core.Listing{Version: s.version}
	size := 0
	if time.Now().Before(s.stale) {
		l.Version = s.staleFrom
	}
	held := map[string]core.Object{}
	for _, o := range s.log {
		if o.Kind == kind && o.Version <= l.Version {
			held[o.Name] = o
		}
	}
	for _, o := range held {
		l.Objects = append(l.Objects, o)
		size += len(o.Spec)
	}
	s.mu.Unlock()
	return l, c.call(ctx, kind, size)
}

// Watch implements core.Platform.
func (c *worldClient) Watch(_ context.Context, kind core.Kind, from core.Version) (core.Watch, error) {
	return &worldWatch{worldClient: c, kind: kind, from: from}, nil
}

// worldWatch polls like the client of the managed platform's store.
type worldWatch struct {
	*worldClient
	kind    core.Kind
	from    core.Version
	pending []core.Change
}

// Close implements core.Watch.
func (w *worldWatch) Close() {}

// Next implements core.Watch.
func (w *worldWatch) Next(ctx context.Context) (core.Change, error) {
	wait := time.Now().Add(time.Second + w.host.within(0, time.Second))
	for len(w.pending) == 0 {
		if ctx.Err() != nil {
			return core.Change{}, ctx.Err()
		}
		s := w.host.store
		s.mu.Lock()
		if w.from < s.dropped {
			s.mu.Unlock()
			return core.Change{}, &core.PlatformError{Fault: core.Gone, Kind: w.kind}
		}
		size, silent := 0, time.Now().Before(s.silent)
		at, changed := s.version, s.changed
		if silent {
			at = w.from
		}
		for _, o := range s.log {
			if o.Kind == w.kind && o.Version > w.from && o.Version <= at {
				w.pending = append(w.pending, core.Change{Object: o})
				size += len(o.Spec)
			}
		}
		s.mu.Unlock()
		if len(w.pending) == 0 && time.Now().Before(wait) {
			timer := time.NewTimer(min(time.Until(wait), 100*time.Millisecond))
			select {
			case <-changed:
			case <-timer.C:
			case <-ctx.Done():
			}
			timer.Stop()
			continue
		}
		if err := w.call(ctx, w.kind, size); err != nil {
			w.pending = nil
			return core.Change{}, err
		}
		w.from = at
		w.pending = append(w.pending, core.Change{Bookmark: true, Object: core.Object{Kind: w.kind, Version: at}})
	}
	c := w.pending[0]
	w.pending = w.pending[1:]
	return c, nil
}

// tableRoutes is a routing table. Each route has the version at which it changed last.
type tableRoutes []int

func (r tableRoutes) spec() []byte {
	var b strings.Builder
	b.WriteString(`{"routes":[`)
	for i, v := range r {
		if i > 0 {
			b.WriteByte(',')
		}
		x := uint64(i)*0x9e3779b97f4a7c15 + uint64(v)*0xd1b54a32d192ed03
		fmt.Fprintf(&b, `{"name":"r-%x","host":"h%x.example","path_prefix":"/%x/","route_kind":"idempotent","service":"s-%d",`+
			`"max_attempts":3,"timeout_ms":1500,"target_latency_ms":300,"gap_aim_ms":600,"priority":%d,"resumable":false}`,
			x>>40, (x>>20)&0xffff, x&0xffffff, v, i%3)
	}
	b.WriteString(`]}`)
	return []byte(b.String())
}
