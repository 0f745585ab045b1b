package strike

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/core"
	"radishwell/core/eventq"
)

const poison core.Fingerprint = 1

// fleet is sixteen agents with engines and three entries on a simulated clock. A
// request with the poison fingerprint crashes its engine 100 ms after its start.
type fleet struct {
	rng       *rand.Rand
	now       time.Time
	queue     eventq.Queue[func()]
	naive     bool    // strikes are disabled
	loss      float64 // fraction of lost messages between processes
	agents    []*upstream
	entries   []*Book
	copies    []*Copies
	crashes   int
	outcomes  map[string]int
	durations []time.Duration // from arrival to end, of innocent requests
	repeats   int
}

type upstream struct {
	name    core.HostName
	gate    *Gate
	waiting []*job
	running []*job
	epoch   int
	down    bool
	wakeAt  time.Time
}

type job struct {
	fingerprint core.Fingerprint
	entry       int
	tries       int
	arrived     time.Time
	trial       bool
	alone       bool
}

func newFleet(seed uint64) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, 9)), now: start, outcomes: make(map[string]int)}
	for i := range 16 {
		name := core.HostName(fmt.Sprintf("upstream-%02d", i))
		f.agents = append(f.agents, &upstream{name: name, gate: &Gate{Book: &Book{Self: name, MaxRecords: 1000}}})
	}
	for i := range 3 {
		f.entries = append(f.entries, &Book{Self: core.HostName(fmt.Sprintf("entry-%d", i)), MaxRecords: 1000})
		f.copies = append(f.copies, &Copies{MaxProven: 100})
	}
	f.schedule(time.Second, f.gossip)
	return f
}

func (f *fleet) schedule(d time.Duration, do func()) {
	f.queue.Push(f.now.Add(d), do)
}

func (f *fleet) run(d time.Duration) {
	end := f.now.Add(d)
	for next, ok := f.queue.NextTime(); ok && !next.After(end); next, ok = f.queue.NextTime() {
		var do func()
		f.now, do = f.queue.Pop()
		do()
	}
	f.now = end
}

func (f *fleet) randomDelay(low, high time.Duration) time.Duration {
	return low + time.Duration(f.rng.Int64N(int64(high-low)))
}

// gossip makes every process exchange records with one other, once a second.
func (f *fleet) gossip() {
	books := slices.Clone(f.entries)
	for _, a := range f.agents {
		books = append(books, a.gate.Book)
	}
	for _, b := range books {
		peer := books[f.rng.IntN(len(books))]
		if f.rng.Float64() < f.loss {
			continue
		}
		peer.Merge(f.now, b.Records(f.now))
		b.Merge(f.now, peer.Records(f.now))
	}
	f.schedule(time.Second, f.gossip)
}

// arrive processes a request at an entry, which refuses or routes it.
func (f *fleet) arrive(j *job) {
	book := f.entries[j.entry]
	if !f.naive && book.Refuse(f.now, j.fingerprint) != nil {
		f.finish(j, "refused")
		return
	}
	if trialTime := book.TrialTime(f.now, j.fingerprint); !f.naive && f.now.Before(trialTime) {
		f.schedule(trialTime.Sub(f.now), func() { f.arrive(j) })
		return
	}
	if j.tries > 8 {
		f.finish(j, "given up")
		return
	}
	j.tries++
	hosts := make([]core.HostName, 0, len(f.agents))
	for _, a := range f.agents {
		if !a.down {
			hosts = append(hosts, a.name)
		}
	}
	if len(hosts) == 0 {
		f.schedule(100*time.Millisecond, func() { f.arrive(j) })
		return
	}
	to := hosts[f.rng.IntN(len(hosts))]
	if required := f.copies[j.entry].RequiredHost(j.fingerprint); !f.naive && slices.Contains(hosts, required) {
		to = required
	}
	j.trial = book.Find(f.now, j.fingerprint).Standing == Suspect
	if j.trial && !f.naive {
		to = TrialHost(j.fingerprint, hosts)
	}
	f.copies[j.entry].Start(j.fingerprint, to)
	records := book.RecordsOf(f.now, j.fingerprint)
	a := f.agents[slices.IndexFunc(f.agents, func(a *upstream) bool { return a.name == to })]
	f.schedule(f.randomDelay(time.Millisecond, 5*time.Millisecond), func() {
		a.gate.Book.Merge(f.now, records)
		a.waiting = append(a.waiting, j)
		f.startWaiting(a)
	})
}

// startWaiting starts the waiting requests of an agent that may run, up to 8 at
// once.
func (f *fleet) startWaiting(a *upstream) {
	if a.down {
		return
	}
	for i := 0; i < len(a.waiting) && len(a.running) < 8; i++ {
		j := a.waiting[i]
		v := Verdict{Action: Run}
		if !f.naive {
			v = a.gate.MayRun(f.now, j.fingerprint, j.trial, fingerprints(a.running))
		}
		if v.Action == Wait {
			f.wake(a, v.At)
			continue
		}
		a.waiting = slices.Delete(a.waiting, i, i+1)
		i--
		if v.Action == Deny {
			f.copies[j.entry].End(f.now, j.fingerprint, false)
			f.arrive(j)
			continue
		}
		j.alone = v.Alone
		a.running = append(a.running, j)
		f.start(a, j)
	}
}

// wake schedules another check of an agent's queue, with one timer for all waiting
// requests.
func (f *fleet) wake(a *upstream, at time.Time) {
	if !at.After(f.now) || (a.wakeAt.After(f.now) && !at.Before(a.wakeAt)) {
		return
	}
	a.wakeAt = at
	f.schedule(at.Sub(f.now), func() { f.startWaiting(a) })
}

func (f *fleet) start(a *upstream, j *job) {
	epoch := a.epoch
	duration := f.randomDelay(200*time.Millisecond, 2*time.Second)
	if j.fingerprint == poison {
		duration = 100 * time.Millisecond
	}
	f.schedule(duration, func() {
		if a.epoch != epoch {
			return
		}
		if j.fingerprint == poison {
			f.crash(a)
			return
		}
		a.running = slices.DeleteFunc(a.running, func(o *job) bool { return o == j })
		a.gate.RecordEnd(f.now, j.fingerprint, j.alone)
		f.copies[j.entry].End(f.now, j.fingerprint, true)
		f.finish(j, "done")
		f.startWaiting(a)
	})
}

// crash crashes an engine. The agent sends the records to all entries, repeatedly
// until they acknowledge. It reports the loss of the requests when all have
// acknowledged, or after a second.
func (f *fleet) crash(a *upstream) {
	f.crashes++
	a.epoch++
	a.down = true
	victims := a.running
	a.running = nil
	records := a.gate.Book.RecordCrash(f.now, fingerprints(victims))
	unacknowledged := len(f.entries)
	reported := false
	reportLoss := func() {
		if reported {
			return
		}
		reported = true
		for _, j := range victims {
			f.schedule(f.randomDelay(time.Millisecond, 5*time.Millisecond), func() {
				f.copies[j.entry].End(f.now, j.fingerprint, false)
				f.arrive(j)
			})
		}
	}
	for i := range f.entries {
		f.notifyEntry(i, records, func() {
			unacknowledged--
			if unacknowledged == 0 {
				reportLoss()
			}
		})
	}
	f.schedule(time.Second, reportLoss)
	f.schedule(5*time.Second, func() {
		a.down = false
		f.startWaiting(a)
	})
}

// notifyEntry sends records to an entry, which forwards them to the host where it
// has such a request.
func (f *fleet) notifyEntry(i int, records []Record, acknowledged func()) {
	if f.rng.Float64() < f.loss {
		f.schedule(100*time.Millisecond, func() { f.notifyEntry(i, records, acknowledged) })
		return
	}
	f.schedule(f.randomDelay(time.Millisecond, 20*time.Millisecond), func() {
		for _, fingerprint := range f.entries[i].Merge(f.now, records) {
			f.forwardToHost(i, fingerprint)
		}
		acknowledged()
	})
}

func (f *fleet) forwardToHost(i int, fingerprint core.Fingerprint) {
	if f.copies[i].TakeProven(f.now, fingerprint) {
		f.entries[i].RecordKnownGood(f.now, fingerprint)
	}
	at := f.copies[i].HostOf(fingerprint)
	records := f.entries[i].RecordsOf(f.now, fingerprint)
	for _, a := range f.agents {
		if a.name == at && f.rng.Float64() >= f.loss {
			f.schedule(f.randomDelay(time.Millisecond, 5*time.Millisecond), func() { a.gate.Book.Merge(f.now, records) })
		}
	}
}

// finish counts an outcome. The caller of the poison request repeats it through a
// random entry.
func (f *fleet) finish(j *job, outcome string) {
	if j.fingerprint != poison {
		f.outcomes[outcome]++
		f.durations = append(f.durations, f.now.Sub(j.arrived))
		return
	}
	if f.repeats > 0 {
		f.repeats--
		f.schedule(f.randomDelay(time.Millisecond, time.Second), func() {
			f.arrive(&job{fingerprint: poison, entry: f.rng.IntN(3)})
		})
	}
}

func fingerprints(jobs []*job) []core.Fingerprint {
	out := make([]core.Fingerprint, 0, len(jobs))
	for _, j := range jobs {
		out = append(out, j.fingerprint)
	}
	return out
}

// sendInnocent sends innocent requests for a time, 40 a second over the fleet, one
// in ten of them identical.
func (f *fleet) sendInnocent(d time.Duration) int {
	n := int(d.Seconds() * 40)
	for i := range n {
		f.schedule(time.Duration(f.rng.Int64N(int64(d))), func() {
			fingerprint := core.Fingerprint(1000 + i)
			if i%10 == 0 {
				fingerprint = 500
			}
			f.arrive(&job{fingerprint: fingerprint, entry: f.rng.IntN(3), arrived: f.now})
		})
	}
	return n
}

// runPoisoned simulates 90 s with a request that crashes each engine it runs on.
// It is sent atOnce times at the same time through the entries, and repeated
// thirty times.
func runPoisoned(seed uint64, atOnce int, loss float64, naive bool) (*fleet, int) {
	f := newFleet(seed)
	f.naive, f.loss, f.repeats = naive, loss, 30
	n := f.sendInnocent(20 * time.Second)
	f.schedule(5*time.Second, func() {
		for i := range atOnce {
			f.arrive(&job{fingerprint: poison, entry: i % 3})
		}
	})
	f.run(90 * time.Second)
	return f, n
}

// A caller's request crashes the engine that runs it, again and again, together
// with the other requests in the batch. It must be refused everywhere after one crash
// for each entry that had a copy before the first was known, and that of its trial. The
// other requests, which are repeatable, must complete.
func TestCrashingRequestLosesMoreThanItsTrial(t *testing.T) {
	for _, atOnce := range []int{1, 2, 3, 12} {
		for _, loss := range []float64{0, 0.2} {
			t.Run(fmt.Sprintf("at-once=%d loss=%v", atOnce, loss), func(t *testing.T) {
				lost := make(map[int]int)
				var durations []time.Duration
				for seed := range uint64(schedules(t, 2)) {
					f, n := runPoisoned(seed, atOnce, loss, false)
					lost[f.crashes]++
					durations = append(durations, f.durations...)
					most := min(atOnce, len(f.entries)) + 1
					assert.Assert(t, f.crashes <= most, "seed %d: %d engines lost", seed, f.crashes)
					assert.Equal(t, f.outcomes["done"], n, "seed %d: %v", seed, f.outcomes)
					for _, e := range f.entries {
						assert.Equal(t, e.Find(f.now, poison).Standing, Quarantined)
						assert.Assert(t, e.Find(f.now, 500).Standing != Quarantined)
						assert.Equal(t, e.Find(f.now.Add(TTL), 500).Standing, Clean)
					}
				}
				slices.Sort(durations)
				t.Logf("engines lost: schedules %v; others took p50 %v, p99 %v, max %v", lost,
					durations[len(durations)/2].Round(time.Millisecond), durations[len(durations)*99/100].Round(time.Millisecond), durations[len(durations)-1].Round(time.Millisecond))
			})
		}
	}
}

// schedules returns the number of random schedules of a test run, which
// RADISHWELL_SCHEDULES overrides for a long run.
func schedules(t *testing.T, defaultCount int) int {
	t.Helper()
	text := os.Getenv("RADISHWELL_SCHEDULES")
	if text == "" {
		return defaultCount
	}
	n, err := strconv.Atoi(text)
	assert.NilError(t, err)
	return n
}

// Without strikes the same request crashes engines as long as it is repeated.
func TestNaiveLosesEnginesWithoutEnd(t *testing.T) {
	f, n := runPoisoned(1, 1, 0, true)
	slices.Sort(f.durations)
	t.Logf("%d engines lost, %v of %d others; p99 %v", f.crashes, f.outcomes, n, f.durations[len(f.durations)*99/100].Round(time.Millisecond))
	assert.Assert(t, f.crashes > 30)
}
