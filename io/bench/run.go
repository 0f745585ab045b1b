package bench

import (
	"context"
	"crypto/tls"
	"runtime"
	"strconv"
	"time"
)

// Bench runs one experiment. The exported fields have to be set before Run.
type Bench struct {
	Plan    *Plan
	Entries []Entry
	// Keys maps the names of callers to their bearer keys. The key without a name
	// is under "".
	Keys map[string]string
	// TLS is the client configuration for entries that use TLS.
	TLS *tls.Config
	// Kills returns the kills of entries during the run. It is called after the
	// load and may be nil.
	Kills func() ([]Kill, error)
}

// leadTime is the time between the call of Run and the start of the load, in which
// entries and engines are polled for the first time.
const leadTime = 500 * time.Millisecond

// buckets is the approximate number of points of a plot over time.
const buckets = 120

// Run sends the load and returns the report. When ctx ends, Run sends no more
// requests and waits for those in progress.
func (b *Bench) Run(ctx context.Context) (Report, error) {
	start := time.Now().Add(leadTime)
	bal := newBalancer(b.Entries, b.TLS)
	poller := &enginePoller{engines: b.Plan.Engines}
	// Polling of entries and engines continues until all requests have ended, also
	// after ctx has ended.
	pollCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	ended := make(chan struct{}, 2)
	go func() { bal.watch(pollCtx); ended <- struct{}{} }()
	go func() { poller.watch(pollCtx); ended <- struct{}{} }()
	faultCtx, stopFaults := context.WithCancel(ctx)
	switched := make(chan []Switched, 1)
	go func() { switched <- switchFaults(faultCtx, b.Plan.Faults, start) }()

	t := newTally(start, b.width())
	s := &sender{bal: bal, keys: b.Keys, grace: b.Plan.Grace}
	b.drive(ctx, start, s, t, poller)

	stopFaults()
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
	return report, b.finish(ctx, &report, t, poller)
}

// finish fills the report from the tally and the counts of the stand-ins.
func (b *Bench) finish(ctx context.Context, r *Report, t *tally, poller *enginePoller) error {
	if b.Kills != nil {
		kills, err := b.Kills()
		if err != nil {
			return err
		}
		t.attributeKills(kills, func(i int) string { return b.Entries[i].At.Addr.String() })
	}
	r.Seconds = time.Since(r.Start).Seconds()
	r.Processors = runtime.NumCPU()
	r.fill(t, b)
	r.Held = poller.total()
	r.Audit = t.audit.compare(context.WithoutCancel(ctx), b.Plan)
	return nil
}

// width returns the length of a bucket of time.
func (b *Bench) width() time.Duration {
	total := time.Duration(0)
	for _, p := range b.Plan.Phases {
		total += p.For
	}
	return max(total/buckets, 250*time.Millisecond)
}

// drive sends each request when it is due and waits for all answers.
func (b *Bench) drive(ctx context.Context, start time.Time, s *sender, t *tally, poller *enginePoller) {
	list := newArrivals(b.Plan, strconv.FormatInt(start.UnixNano(), 36), start)
	// free holds a token for each further request that may be in flight.
	free := make(chan struct{}, b.Plan.MaxInFlight)
	for range b.Plan.MaxInFlight {
		free <- struct{}{}
	}
	// The context of requests outlives ctx, so that an interrupt doesn't cancel
	// those in flight.
	inner := context.WithoutCancel(ctx)
	for q := list.pull(); q != nil; q = list.pull() {
		pause(ctx, time.Until(q.at))
		if ctx.Err() != nil {
			break
		}
		select {
		case <-free:
		default:
			t.countUnsent()
			continue
		}
		cold, known := poller.cold(q.model)
		go func() {
			r := s.send(inner, q)
			r.cold, r.known = cold, known
			t.add(r)
			free <- struct{}{}
		}()
	}
	for range b.Plan.MaxInFlight {
		<-free
	}
}
