package peer

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"syscall"
	"testing"
	"time"

	"radishwell/core"
	"radishwell/io/fakes/apisrv"
	"radishwell/io/objapi"
	"radishwell/wire"
)

// totalTraffic returns the number of bytes that all processes have sent and received.
func totalTraffic(processes []*process) int64 {
	n := int64(0)
	for _, p := range processes {
		for _, count := range []interface{ Traffic() (int64, int64) }{p.client, p.server} {
			sent, received := count.Traffic()
			n += sent + received
		}
	}
	return n
}

// cpuTime returns the processor time of this test program, including the fake platform.
func cpuTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// oldestFreshAge returns the age of the oldest replica of any kind at any process.
func oldestFreshAge(processes []*process) time.Duration {
	oldest := time.Duration(0)
	for _, p := range processes {
		for _, kind := range p.Kinds {
			oldest = max(oldest, time.Since(p.Status(kind).FreshAt))
		}
	}
	return oldest
}

// benchFleet starts n processes with the kinds of a real one, and waits until all have
// the catalogue.
func benchFleet(b *testing.B, n int, edit func(*Store)) (*fleet, []*process) {
	seed := []core.Object{model("qalam")}
	for i := range 170 {
		seed = append(seed, core.Object{Kind: core.KindAdapter, Name: fmt.Sprintf("adapter-%d", i), Spec: []byte(`{"base":"qalam"}`)})
	}
	f := startFleet(b, &apisrv.Server{Seed: seed})
	var all []*process
	for range n {
		all = append(all, f.start(func(s *Store) {
			s.Kinds = append(core.CatalogueKinds(), core.KindHost, core.KindGrant, core.KindLease)
			if edit != nil {
				edit(s)
			}
		}))
	}
	for _, p := range all {
		p.until(func() bool { return len(p.All(core.KindAdapter)) == 170 })
	}
	return f, all
}

// BenchmarkRest measures the control traffic of a process and the calls to the platform
// while nothing changes but a lease that is renewed each second. One iteration takes one
// second: use -benchtime 10x.
func BenchmarkRest(b *testing.B) {
	for _, n := range []int{5, 10, 25, 50, 100, 300} {
		b.Run(fmt.Sprintf("processes=%d", n), func(b *testing.B) {
			f, all := benchFleet(b, n, nil)
			platform := &objapi.Client{Address: f.addr}
			lease, err := platform.Create(context.Background(), core.Object{Kind: core.KindLease, Name: "decider", Spec: []byte(`0`)})
			if err != nil {
				b.Fatal(err)
			}
			tick := time.NewTicker(time.Second)
			defer tick.Stop()
			for range 5 {
				<-tick.C
			}
			calls, bytes, cpu := f.srv.Calls(), totalTraffic(all), cpuTime(b)
			oldest := time.Duration(0)
			b.ResetTimer()
			for i := range b.N {
				lease.Spec, _ = json.Marshal(i + 1)
				if lease, err = platform.Update(context.Background(), lease); err != nil {
					b.Fatal(err)
				}
				<-tick.C
				oldest = max(oldest, oldestFreshAge(all))
			}
			seconds := b.Elapsed().Seconds()
			after := f.srv.Calls()
			b.ReportMetric(float64(totalTraffic(all)-bytes)/seconds/float64(n), "bytes/s/process")
			b.ReportMetric(float64((cpuTime(b)-cpu).Microseconds())/seconds/float64(n), "cpu-us/s/process")
			b.ReportMetric(float64(after["list"]+after["watch"]-calls["list"]-calls["watch"])/seconds, "platform-reads/s")
			b.ReportMetric(float64(oldest.Milliseconds()), "oldest-word-ms")
			b.ReportMetric(float64(after["watch"]), "watches-since-start")
			b.ReportMetric(float64(after["list"]), "lists-since-start")
		})
	}
}

// BenchmarkConverge measures the time from the platform's acceptance of an edit until all
// processes have it, and the control traffic per process and edit, including the traffic
// without edits during that time. Use -benchtime 20x.
func BenchmarkConverge(b *testing.B) {
	small := func(edit int) []byte { return fmt.Appendf(nil, `{"edit":%d}`, edit) }
	for _, n := range []int{10, 50, 100, 300} {
		for _, watchers := range []int{1, defaultWatchers} {
			b.Run(fmt.Sprintf("processes=%d/watchers=%d", n, watchers), func(b *testing.B) {
				benchConverge(b, n, watchers, small)
			})
		}
	}
}

// BenchmarkConvergeLarge is BenchmarkConverge with a document as large as a routing table
// of 1,450 routes.
func BenchmarkConvergeLarge(b *testing.B) {
	for _, n := range []int{24, 103, 400} {
		b.Run(fmt.Sprintf("processes=%d", n), func(b *testing.B) { benchConverge(b, n, 8, routes) })
	}
}

// routes returns a document that is as large and as compressible as a routing table.
func routes(edit int) []byte {
	r := rand.New(rand.NewPCG(1, uint64(edit)))
	var out []byte
	for i := range 1450 {
		out = fmt.Appendf(out, `,{"name":"r-%06x","host":"%05x.example","path_prefix":"/%07x/","route_kind":"idempotent","service":"sijill","timeout_ms":800,"target_latency_ms":300,"max_attempts":2,"priority":2,"gap_aim_ms":0,"resumable":false,"weighted_services":[]}`,
			i, r.Uint32()>>12, r.Uint32()>>4)
	}
	return append(append([]byte(`{"routes":[`), out[1:]...), "]}"...)
}

func benchConverge(b *testing.B, n, watchers int, spec func(edit int) []byte) {
	f, all := benchFleet(b, n, func(s *Store) { s.Watchers = watchers })
	platform := &objapi.Client{Address: f.addr, Writes: objapi.Budget{PerSecond: 1000, Burst: 1000}}
	o, err := platform.Get(context.Background(), core.KindModel, "qalam")
	if err != nil {
		b.Fatal(err)
	}
	var took []time.Duration
	bytes := totalTraffic(all)
	b.ResetTimer()
	for i := range b.N {
		o.Spec = spec(i)
		if o, err = platform.Update(context.Background(), o); err != nil {
			b.Fatal(err)
		}
		start := time.Now()
		for _, p := range all {
			p.until(func() bool {
				got, _ := p.Get(core.KindModel, "qalam")
				return got.Version >= o.Version
			})
		}
		took = append(took, time.Since(start))
	}
	slices.Sort(took)
	b.ReportMetric(float64(took[len(took)/2].Milliseconds()), "p50-ms")
	b.ReportMetric(float64(took[len(took)-1].Milliseconds()), "max-ms")
	b.ReportMetric(float64(totalTraffic(all)-bytes)/float64(b.N)/float64(n), "bytes/edit/process")
}

// BenchmarkBoot measures how long a process that starts during an outage of the platform
// takes to get 3,470 models and adapters from its peers.
func BenchmarkBoot(b *testing.B) {
	var seed []core.Object
	for i := range 3470 {
		spec := []byte(fmt.Sprintf(`{"base":"qalam","owner":"nadi","padding":"%0200d"}`, i))
		seed = append(seed, core.Object{Kind: core.KindAdapter, Name: fmt.Sprintf("adapter-%d", i), Spec: spec})
	}
	f := startFleet(b, &apisrv.Server{Seed: seed})
	kinds := func(s *Store) { s.Kinds = []core.Kind{core.KindAdapter} }
	full := func(p *process) func() bool {
		return func() bool { return len(p.All(core.KindAdapter)) == len(seed) }
	}
	for range 3 {
		p := f.start(kinds)
		p.until(full(p))
	}
	f.srv.SetFaults(apisrv.Faults{Down: apisrv.Failing})
	b.ResetTimer()
	for range b.N {
		p := f.start(kinds)
		p.until(full(p))
		b.StopTimer()
		p.stop()
		f.mu.Lock()
		f.targets = f.targets[:len(f.targets)-1]
		f.mu.Unlock()
		b.StartTimer()
	}
}

// BenchmarkRoomCall is the cost of one ask for room, at both ends together.
func BenchmarkRoomCall(b *testing.B) {
	s := &Server{Address: netip.MustParseAddrPort("127.0.0.1:0"), Handler: &Handler{
		Room: func(*wire.RoomCall) (*wire.RoomReply, error) { return &wire.RoomReply{Granted: true}, nil },
	}}
	if err := s.Listen(); err != nil {
		b.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- s.Run(ctx) }()
	c := &Client{}
	ask := &wire.RoomCall{Rank: 2, Customer: "customer-12", Tokens: 9000, Reading: 240e6, Ahead: 500e6, Wait: 300e6}
	before := cpuTime(b)
	for b.Loop() {
		if _, err := c.Room(context.Background(), Target{Address: s.Address}, ask); err != nil {
			b.Fatal(err)
		}
	}
	sent, received := c.Traffic()
	b.ReportMetric(float64(sent+received)/float64(b.N), "bytes/op")
	b.ReportMetric(float64(cpuTime(b)-before)/float64(b.N), "cpu-ns/op")
	c.Close()
	stop()
	<-ended
}
