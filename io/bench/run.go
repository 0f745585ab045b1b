package bench

import (
	"context"
	"crypto/tls"
	"runtime"
	"strconv"
	"time"
)

// Bench runs one experiment. Set the exported fields before Run.
type Bench struct {
	Plan    *Plan
	Entries []Entry
	// Keys are bearer keys by the callers' names; the unnamed one is under "".
	Keys map[string]string
	// TLS is the configuration towards entries that are served over TLS.
	TLS *tls.Config
	// Kills returns the kills of entries during the run, asked after the load;
	// nil for none.
	Kills func() ([]Kill, error)
}

// leadTime is how long after the start the first request may be due: entries
// and engines have been looked at by then.
const leadTime = 500 * time.Millisecond

// buckets is about how many points a plot over time has.
const buckets = 120

// Run drives the load and returns the report. When the context ends, no more
// is sent, and what is in progress is awaited.
func (b *Bench) Run(ctx context.Context) (Report, error) {
	start := time.Now().Add(leadTime)
	bal := newBalancer(b.Entries, b.TLS)
	look := &loads{engines: b.Plan.Engines}
	// Stand-ins and balancer go on until every request has its end.
	beside, stop := context.WithCancel(context.WithoutCancel(ctx))
	ended := make(chan struct{}, 2)
	go func() { bal.watch(beside); ended <- struct{}{} }()
	go func() { look.watch(beside); ended <- struct{}{} }()
	faults, faulted := context.WithCancel(ctx)
	switched := make(chan []Switched, 1)
	go func() { switched <- switchFaults(faults, b.Plan.Faults, start) }()

	t := newTally(start, b.width())
	s := &sender{bal: bal, keys: b.Keys, grace: b.Plan.Grace}
	b.drive(ctx, start, s, t, look)

	faulted()
	report := Report{Name: b.Plan.Name, Seed: b.Plan.Seed, Start: start, Switched: <-switched}
	if b.Plan.Pair.Model != "" {
		pair, err := b.pair(ctx, bal)
		if err != nil {
			stop()
			<-ended
			<-ended
			return report, err
		}
		report.Pair = pair
	}
	stop()
	<-ended
	<-ended
	return report, b.finish(ctx, &report, t, look)
}

// finish fills the report from the tally and the stand-ins' counts.
func (b *Bench) finish(ctx context.Context, r *Report, t *tally, look *loads) error {
	if b.Kills != nil {
		kills, err := b.Kills()
		if err != nil {
			return err
		}
		t.excuse(kills, func(i int) string { return b.Entries[i].At.Addr.String() })
	}
	r.Seconds = time.Since(r.Start).Seconds()
	r.Processors = runtime.NumCPU()
	r.fill(t, b)
	r.Held = look.sum()
	r.Audit = t.audit.compare(context.WithoutCancel(ctx), b.Plan)
	return nil
}

func (b *Bench) width() time.Duration {
	total := time.Duration(0)
	for _, p := range b.Plan.Phases {
		total += p.For
	}
	return max(total/buckets, 250*time.Millisecond)
}

// drive sends each request at its time and waits for all answers.
func (b *Bench) drive(ctx context.Context, start time.Time, s *sender, t *tally, look *loads) {
	list := newArrivals(b.Plan, strconv.FormatInt(start.UnixNano(), 36), start)
	// A request takes a token, and gives it back at its end.
	free := make(chan struct{}, b.Plan.MaxInFlight)
	for range b.Plan.MaxInFlight {
		free <- struct{}{}
	}
	// A request's own context outlives an interrupt: its answer is awaited.
	inner := context.WithoutCancel(ctx)
	for sh := list.pull(); sh != nil; sh = list.pull() {
		pause(ctx, time.Until(sh.at))
		if ctx.Err() != nil {
			break
		}
		select {
		case <-free:
		default:
			t.leaveOut()
			continue
		}
		cold, known := look.cold(sh.model)
		go func() {
			r := s.send(inner, sh)
			r.cold, r.known = cold, known
			t.add(r)
			free <- struct{}{}
		}()
	}
	for range b.Plan.MaxInFlight {
		<-free
	}
}
