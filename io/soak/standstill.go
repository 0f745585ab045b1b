package soak

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"time"

	"radishwell/io/fakes/midbox"
	"radishwell/io/loop"
	"radishwell/platform/stand"
)

// Span is a time from one point of a run to another, both since its start.
type Span struct{ From, Until time.Duration }

// Standstill is a run in which upstreams stand still under load and read what they were sent once they run
// again, when the load has fallen. The exported fields have to be set before Execute.
type Standstill struct {
	// Program and Dir are as in Run.
	Program []string
	Dir     string
	Seed    uint64
	// Entries, Engines and Services are the numbers of entries, engines and upstreams of the plain service.
	Entries, Engines, Services int
	// Ratio and Spare are the retry budget of 10 seconds.
	Ratio, Spare float64
	// Plain is set if callers send requests for the plain service, which may be repeated, instead of
	// streams that may be resumed.
	Plain bool
	// Rate is the number of requests a second during Load, and Rest the number outside of it.
	Rate, Rest float64
	Load       []Span
	// Stopped is the number of upstreams of the service that stand still during Stops. If Links is set, the
	// relays before them do instead.
	Stopped int
	Links   bool
	Stops   []Span
	// Shed are the times in which the other upstreams of the service reject all requests, and Resets those at
	// which all connections are reset.
	Shed   []Span
	Resets []time.Duration
	// Breaks are the times in which upstreams of the service answer BreakShare of the requests that they read as
	// BreakFault has it; they close the connection if it is NoFault.
	Breaks     []Span
	BreakShare float64
	BreakFault stand.WorkerFault
	// Holds are the times in which the links between callers and entries hold what callers send. Squeezes are those
	// in which these links together carry SqueezeRate bytes a second to the entries.
	Holds       []Span
	Squeezes    []Span
	SqueezeRate float64
	// Work is the time from when an upstream reads a request until it begins to answer.
	Work time.Duration
	// Kept is set if callers keep their connections for further requests; else each request has its own.
	Kept bool
	// Kills are the times at which all entries are killed.
	Kills []time.Duration
	// Length is the time until callers send no more.
	Length time.Duration
}

// StandstillReport holds the results of a Standstill.
type StandstillReport struct {
	Requests, Served int
	// Unserved are the times at which callers sent the requests that were not served.
	Unserved []time.Duration
	// Worst is the window in which most repeats were over the bound.
	Worst  RepeatWindow
	Panics []string
	// Starts is the number of times that entries were started, and PeakMemory the most memory in bytes that one of them
	// had at the end of the run since it was started.
	Starts     int
	PeakMemory int64
}

// String describes the results in one line.
func (r *StandstillReport) String() string {
	return fmt.Sprintf("%d requests, %d served, %d repeats; %d in the worst window, from %v on, of %.1f that are allowed", r.Requests, r.Served, r.Worst.All, r.Worst.Repeats, r.Worst.From.Round(time.Millisecond), r.Worst.Allowed)
}

// Bounds of what DrawStandstill draws.
const (
	maxLoads, maxStops, maxShed, maxKills, maxResets = 3, 3, 2, 4, 2
	// longestStop is longer than what a host is waited for by any part of the system.
	longestStop = 70 * time.Second
	// maxHolds and longestHold bound the times in which links hold what callers send.
	maxHolds, longestHold = 3, 14 * time.Second
	// restTime is how long the load has fallen at the end of a drawn run.
	restTime = 4 * time.Second
)

// DrawStandstill returns a run at the size and the retry budget of a small deployment, with loads, standstills,
// kills, resets, rejections, and links to entries that hold requests, which are drawn from a seed and overlap.
func DrawStandstill(seed uint64) *Standstill {
	rng := rand.New(rand.NewPCG(seed, 5))
	upTo := func(most time.Duration) time.Duration { return time.Duration(rng.Float64() * float64(most)) }
	s := &Standstill{
		Seed: seed, Entries: 5, Engines: 9, Services: 3, Ratio: 0.2, Spare: 56, Plain: rng.IntN(3) == 0, Links: rng.IntN(3) == 0,
		Rate: 20 + 180*rng.Float64(), Rest: 2,
	}
	s.Stopped = 1 + rng.IntN(s.Engines-1)
	if s.Plain {
		s.Engines, s.Services = 2, 9
	}
	at := time.Duration(0)
	for range 1 + rng.IntN(maxLoads) {
		load := Span{From: at, Until: at + 5*time.Second + upTo(10*time.Second)}
		s.Load = append(s.Load, load)
		at = load.Until + upTo(10*time.Second)
	}
	from := 2*time.Second + upTo(8*time.Second)
	for range 1 + rng.IntN(maxStops) {
		stop := Span{From: from, Until: from + time.Second + upTo(upTo(longestStop))}
		s.Stops = append(s.Stops, stop)
		from = stop.Until + upTo(8*time.Second)
	}
	s.Length = max(at, from) + restTime
	for range rng.IntN(maxShed + 1) {
		begin := upTo(at)
		s.Shed = append(s.Shed, Span{From: begin, Until: begin + upTo(4*time.Second)})
	}
	for range rng.IntN(maxKills + 1) {
		s.Kills = append(s.Kills, upTo(at))
	}
	for range rng.IntN(maxResets + 1) {
		s.Resets = append(s.Resets, upTo(at))
	}
	s.drawLinks(rng, at)
	return s
}

// drawLinks draws what happens to the links between callers and entries until a time, and how many requests fail
// afterwards.
func (s *Standstill) drawLinks(rng *rand.Rand, until time.Duration) {
	upTo := func(most time.Duration) time.Duration { return time.Duration(rng.Float64() * float64(most)) }
	s.Kept, s.BreakShare, s.SqueezeRate = rng.IntN(2) == 0, 0.3+0.5*rng.Float64(), 5_000+30_000*rng.Float64()
	for range rng.IntN(maxHolds + 1) {
		from := upTo(until)
		span := Span{From: from, Until: from + time.Second + upTo(longestHold)}
		if rng.IntN(3) == 0 {
			s.Squeezes = append(s.Squeezes, span)
		} else {
			s.Holds = append(s.Holds, span)
		}
		breaks := span.Until + upTo(6*time.Second)
		s.Breaks = append(s.Breaks, Span{From: breaks, Until: breaks + 2*time.Second + upTo(10*time.Second)})
		s.Length = max(s.Length, breaks+restTime)
	}
}

// wideMemory is an entry's memory where it is not to be short.
const wideMemory = "256MiB"

// Variants of faults that happen to processes or links alone: see cut and killEntries.
const cutToServer, cutBoth, killOnly = 0, 2, 0

// maxKept bounds the connections to each entry that callers keep while they do not use them.
const maxKept = 256

// settleStart is the time without load in which the processes start and their parts of the budget apply.
const settleStart = 20 * time.Second

// Execute runs the play and returns the results. Its error is a StartError.
func (s *Standstill) Execute() (*StandstillReport, error) {
	t := &testbed{
		dir: s.Dir, program: s.Program, maxDirect: allDirect, gap: eventGap,
		size:   size{entries: s.Entries, engines: s.Engines, services: s.Services},
		budget: repeatBudget{ratio: s.Ratio, spare: s.Spare, span: soakBudget.span}, memory: wideMemory, work: s.Work,
	}
	defer t.close()
	if err := t.build(); err != nil {
		return nil, err
	}
	links, err := s.linkCallers(t)
	if err != nil {
		return nil, err
	}
	c := &callers{entryAddrs: t.entryAddrs, start: time.Now().Add(settleStart), preferred: preference{entry: -1}}
	time.Sleep(settleStart)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		t.playFaults(c.start, append(s.faults(t), s.linkFaults(links)...))
	}()
	s.sendAll(ctx, c)
	<-ended
	c.wait.Wait()
	time.Sleep(time.Second) // for what upstreams read last
	report := &StandstillReport{Requests: len(c.results)}
	for _, e := range t.entries {
		report.Starts += e.Starts()
		report.PeakMemory = max(report.PeakMemory, e.peakMemory())
	}
	for _, r := range c.results {
		if r.Status == 200 && r.Complete {
			report.Served++
		} else {
			report.Unserved = append(report.Unserved, r.Began)
		}
	}
	windows := t.repeatWindows(c.start, c.results)
	report.Worst = windows[0]
	if s.Plain {
		report.Worst = windows[1]
	}
	report.Panics, err = panics(s.Dir)
	return report, err
}

// timedFault is a fault at one moment of a run.
type timedFault struct {
	at time.Duration
	do func()
}

// faults returns what happens to the processes, in no particular order.
func (s *Standstill) faults(t *testbed) []timedFault {
	upstreams := t.upstreams[:s.Engines]
	if s.Plain {
		upstreams = t.upstreams[s.Engines:]
	}
	var out []timedFault
	for _, u := range upstreams {
		for _, span := range s.Breaks {
			out = append(
				out, timedFault{span.From, func() { u.SetFaultOfShare(cmp.Or(s.BreakFault, stand.NoResponse), s.BreakShare) }},
				timedFault{span.Until, func() { u.SetFault(stand.NoFault) }},
			)
		}
	}
	for _, u := range upstreams[:s.Stopped] {
		stop, run := u.process.Stop, u.process.Continue
		if s.Links {
			stop, run = func() { cut(u.box, cutBoth) }, u.box.Heal
		}
		for _, span := range s.Stops {
			out = append(out, timedFault{span.From, stop}, timedFault{span.Until, run})
		}
	}
	for _, u := range upstreams[s.Stopped:] {
		for _, span := range s.Shed {
			out = append(out, timedFault{span.From, func() { u.SetFault(stand.Shed) }}, timedFault{span.Until, func() { u.SetFault(stand.NoFault) }})
		}
	}
	for _, at := range s.Resets {
		out = append(out, timedFault{at, func() { t.eachBox((*midbox.Box).Reset) }})
	}
	for _, at := range s.Kills {
		out = append(out, timedFault{at, func() { t.killEntries(killOnly) }})
	}
	return out
}

// linkCallers puts a relay before each entry, if faults happen to the links between callers and entries, and
// returns the relays.
func (s *Standstill) linkCallers(t *testbed) ([]*midbox.Box, error) {
	if len(s.Holds)+len(s.Squeezes) == 0 {
		return nil, nil
	}
	var links []*midbox.Box
	for i, at := range t.entryAddrs {
		box, err := t.newBox(netip.AddrPortFrom(at.Addr(), 0), at)
		if err != nil {
			return nil, err
		}
		links, t.entryAddrs[i] = append(links, box), box.At()
	}
	return links, nil
}

// linkFaults returns what happens to the links between callers and entries, in no particular order.
func (s *Standstill) linkFaults(links []*midbox.Box) []timedFault {
	var out []timedFault
	narrow := &midbox.Link{Rate: s.SqueezeRate}
	for _, box := range links {
		for _, span := range s.Holds {
			out = append(out, timedFault{span.From, func() { cut(box, cutToServer) }}, timedFault{span.Until, box.Heal})
		}
		for _, span := range s.Squeezes {
			out = append(
				out, timedFault{span.From, func() { box.Limit(midbox.ToServer, narrow) }},
				timedFault{span.Until, func() { box.Limit(midbox.ToServer, nil) }},
			)
		}
	}
	return out
}

// playFaults has each fault happen at its time, and returns after the last one.
func (t *testbed) playFaults(start time.Time, faults []timedFault) {
	ended := make(chan struct{}, len(faults))
	for _, f := range faults {
		go func() {
			time.Sleep(time.Until(start.Add(f.at)))
			f.do()
			ended <- struct{}{}
		}()
	}
	for range faults {
		<-ended
	}
}

// rateAt returns the number of requests a second at a time.
func (s *Standstill) rateAt(at time.Duration) float64 {
	for _, span := range s.Load {
		if at >= span.From && at < span.Until {
			return s.Rate
		}
	}
	return s.Rest
}

// sendAll has callers send requests at the rates of the run.
func (s *Standstill) sendAll(ctx context.Context, c *callers) {
	rng := rand.New(rand.NewPCG(s.Seed, 3))
	route := Resumed
	if s.Plain {
		route = Again
	}
	kept := &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: maxKept}
	defer kept.CloseIdleConnections()
	for n := 0; ; n++ {
		now := time.Since(c.start)
		if now >= s.Length || !loop.Sleep(ctx, time.Duration(rng.ExpFloat64()/s.rateAt(now)*float64(time.Second))) {
			return
		}
		q := Result{ID: fmt.Sprint("still-", s.Seed, "-", n), Route: route, Entry: rng.IntN(s.Entries), Key: "key-free", Customer: "free"}
		model := fmt.Sprint("m-", 1+rng.IntN(2))
		c.wait.Go(func() {
			if s.Kept {
				c.add(c.send(kept, q, model))
				return
			}
			c.add(c.sendNew(q, model))
		})
	}
}
