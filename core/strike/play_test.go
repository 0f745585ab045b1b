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

// fleet is sixteen agents with engines and three entries in fake time. A
// request with the poison fingerprint kills its engine 100 ms after its start.
type fleet struct {
	rng     *rand.Rand
	now     time.Time
	queue   eventq.Queue[func()]
	naive   bool    // no strikes at all
	loss    float64 // of messages between processes
	agents  []*upstream
	entries []*Book
	copies  []*Copies
	killed  int
	done    map[string]int
	took    []time.Duration // from arrival to end, of the others' requests
	repeats int
}

type upstream struct {
	name    core.HostName
	gate    *Gate
	waiting []*job
	running []*job
	epoch   int
	down    bool
	wakes   time.Time
}

type job struct {
	finger core.Fingerprint
	entry  int
	tries  int
	since  time.Time
	trial  bool
	alone  bool
}

func newFleet(seed uint64) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, 9)), now: start, done: make(map[string]int)}
	for i := range 16 {
		name := core.HostName(fmt.Sprintf("upstream-%02d", i))
		f.agents = append(f.agents, &upstream{name: name, gate: &Gate{Book: &Book{Self: name, MaxRecords: 1000}}})
	}
	for i := range 3 {
		f.entries = append(f.entries, &Book{Self: core.HostName(fmt.Sprintf("entry-%d", i)), MaxRecords: 1000})
		f.copies = append(f.copies, &Copies{MaxProven: 100})
	}
	f.after(time.Second, f.gossip)
	return f
}

func (f *fleet) after(d time.Duration, do func()) {
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

func (f *fleet) between(low, high time.Duration) time.Duration {
	return low + time.Duration(f.rng.Int64N(int64(high-low)))
}

// gossip has every process exchange with one other, once a second.
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
	f.after(time.Second, f.gossip)
}

// arrive takes a request at an entry, which refuses or routes it.
func (f *fleet) arrive(j *job) {
	book := f.entries[j.entry]
	if !f.naive && book.Refuse(f.now, j.finger) != nil {
		f.end(j, "refused")
		return
	}
	if settled := book.Settled(f.now, j.finger); !f.naive && f.now.Before(settled) {
		f.after(settled.Sub(f.now), func() { f.arrive(j) })
		return
	}
	if j.tries > 8 {
		f.end(j, "given up")
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
		f.after(100*time.Millisecond, func() { f.arrive(j) })
		return
	}
	to := hosts[f.rng.IntN(len(hosts))]
	if flying := f.copies[j.entry].Host(j.finger); !f.naive && slices.Contains(hosts, flying) {
		to = flying
	}
	j.trial = book.Find(f.now, j.finger).Standing == Suspect
	if j.trial && !f.naive {
		to = Trial(j.finger, hosts)
	}
	f.copies[j.entry].Start(j.finger, to)
	records := book.Against(f.now, j.finger)
	a := f.agents[slices.IndexFunc(f.agents, func(a *upstream) bool { return a.name == to })]
	f.after(f.between(time.Millisecond, 5*time.Millisecond), func() {
		a.gate.Book.Merge(f.now, records)
		a.waiting = append(a.waiting, j)
		f.advance(a)
	})
}

// advance starts what may start at an agent, up to 8 requests at once.
func (f *fleet) advance(a *upstream) {
	if a.down {
		return
	}
	for i := 0; i < len(a.waiting) && len(a.running) < 8; i++ {
		j := a.waiting[i]
		v := Verdict{Action: Run}
		if !f.naive {
			v = a.gate.MayRun(f.now, j.finger, j.trial, fingerprints(a.running))
		}
		if v.Action == Wait {
			f.wake(a, v.At)
			continue
		}
		a.waiting = slices.Delete(a.waiting, i, i+1)
		i--
		if v.Action == Deny {
			f.copies[j.entry].End(f.now, j.finger, false)
			f.arrive(j)
			continue
		}
		j.alone = v.Alone
		a.running = append(a.running, j)
		f.begin(a, j)
	}
}

// wake has an agent look at its queue again; one timer for all that wait.
func (f *fleet) wake(a *upstream, at time.Time) {
	if !at.After(f.now) || (a.wakes.After(f.now) && !at.Before(a.wakes)) {
		return
	}
	a.wakes = at
	f.after(at.Sub(f.now), func() { f.advance(a) })
}

func (f *fleet) begin(a *upstream, j *job) {
	epoch := a.epoch
	takes := f.between(200*time.Millisecond, 2*time.Second)
	if j.finger == poison {
		takes = 100 * time.Millisecond
	}
	f.after(takes, func() {
		if a.epoch != epoch {
			return
		}
		if j.finger == poison {
			f.crash(a)
			return
		}
		a.running = slices.DeleteFunc(a.running, func(o *job) bool { return o == j })
		a.gate.Ended(f.now, j.finger, j.alone)
		f.copies[j.entry].End(f.now, j.finger, true)
		f.end(j, "done")
		f.advance(a)
	})
}

// crash kills an engine. The agent tells all entries, again and again until
// they acknowledge, and answers the requests when all have, or after a second.
func (f *fleet) crash(a *upstream) {
	f.killed++
	a.epoch++
	a.down = true
	victims := a.running
	a.running = nil
	records := a.gate.Book.Crashed(f.now, fingerprints(victims))
	missing := len(f.entries)
	answered := false
	answer := func() {
		if answered {
			return
		}
		answered = true
		for _, j := range victims {
			f.after(f.between(time.Millisecond, 5*time.Millisecond), func() {
				f.copies[j.entry].End(f.now, j.finger, false)
				f.arrive(j)
			})
		}
	}
	for i := range f.entries {
		f.push(i, records, func() {
			missing--
			if missing == 0 {
				answer()
			}
		})
	}
	f.after(time.Second, answer)
	f.after(5*time.Second, func() {
		a.down = false
		f.advance(a)
	})
}

// push tells an entry, which tells the hosts where it has such a request.
func (f *fleet) push(i int, records []Record, acknowledged func()) {
	if f.rng.Float64() < f.loss {
		f.after(100*time.Millisecond, func() { f.push(i, records, acknowledged) })
		return
	}
	f.after(f.between(time.Millisecond, 20*time.Millisecond), func() {
		for _, finger := range f.entries[i].Merge(f.now, records) {
			f.forward(i, finger)
		}
		acknowledged()
	})
}

func (f *fleet) forward(i int, finger core.Fingerprint) {
	if f.copies[i].Take(f.now, finger) {
		f.entries[i].Known(f.now, finger)
	}
	at := f.copies[i].At(finger)
	known := f.entries[i].Against(f.now, finger)
	for _, a := range f.agents {
		if a.name == at && f.rng.Float64() >= f.loss {
			f.after(f.between(time.Millisecond, 5*time.Millisecond), func() { a.gate.Book.Merge(f.now, known) })
		}
	}
}

// end counts an outcome. The poison's caller sends it again, through any entry.
func (f *fleet) end(j *job, outcome string) {
	if j.finger != poison {
		f.done[outcome]++
		f.took = append(f.took, f.now.Sub(j.since))
		return
	}
	if f.repeats > 0 {
		f.repeats--
		f.after(f.between(time.Millisecond, time.Second), func() {
			f.arrive(&job{finger: poison, entry: f.rng.IntN(3)})
		})
	}
}

func fingerprints(jobs []*job) []core.Fingerprint {
	out := make([]core.Fingerprint, 0, len(jobs))
	for _, j := range jobs {
		out = append(out, j.finger)
	}
	return out
}

// load sends innocent requests for a time, 40 a second over the fleet, some of
// them alike.
func (f *fleet) load(d time.Duration) int {
	n := int(d.Seconds() * 40)
	for i := range n {
		f.after(time.Duration(f.rng.Int64N(int64(d))), func() {
			finger := core.Fingerprint(1000 + i)
			if i%10 == 0 {
				finger = 500
			}
			f.arrive(&job{finger: finger, entry: f.rng.IntN(3), since: f.now})
		})
	}
	return n
}

// poisoned plays 90 s with a request that crashes each engine it runs on,
// sent at once through some entries and again thirty times.
func poisoned(seed uint64, atOnce int, loss float64, naive bool) (*fleet, int) {
	f := newFleet(seed)
	f.naive, f.loss, f.repeats = naive, loss, 30
	n := f.load(20 * time.Second)
	f.after(5*time.Second, func() {
		for i := range atOnce {
			f.arrive(&job{finger: poison, entry: i % 3})
		}
	})
	f.run(90 * time.Second)
	return f, n
}

// A caller's request kills the engine that runs it, again and again, with the
// work of others in the same batch. It must be refused everywhere after three
// engines at most; the others' work, which is repeatable, must be done.
func TestCrashingRequestLosesThreeEnginesAtMost(t *testing.T) {
	for _, atOnce := range []int{1, 2, 3, 12} {
		for _, loss := range []float64{0, 0.2} {
			t.Run(fmt.Sprintf("at-once=%d loss=%v", atOnce, loss), func(t *testing.T) {
				lost := make(map[int]int)
				var took []time.Duration
				for seed := range uint64(schedules(t, 2)) {
					f, n := poisoned(seed, atOnce, loss, false)
					lost[f.killed]++
					took = append(took, f.took...)
					assert.Assert(t, f.killed <= 3, "seed %d: %d engines lost", seed, f.killed)
					assert.Equal(t, f.done["done"], n, "seed %d: %v", seed, f.done)
					for _, e := range f.entries {
						assert.Equal(t, e.Find(f.now, poison).Standing, Quarantined)
						assert.Assert(t, e.Find(f.now, 500).Standing != Quarantined)
						assert.Equal(t, e.Find(f.now.Add(TTL), 500).Standing, Clean)
					}
				}
				slices.Sort(took)
				t.Logf("engines lost: schedules %v; others took p50 %v, p99 %v, max %v", lost,
					took[len(took)/2].Round(time.Millisecond), took[len(took)*99/100].Round(time.Millisecond), took[len(took)-1].Round(time.Millisecond))
			})
		}
	}
}

// schedules is the number of random schedules of a test run; RADISHWELL_SCHEDULES
// sets another for a long run.
func schedules(t *testing.T, usual int) int {
	t.Helper()
	text := os.Getenv("RADISHWELL_SCHEDULES")
	if text == "" {
		return usual
	}
	n, err := strconv.Atoi(text)
	assert.NilError(t, err)
	return n
}

// Without strikes the same request kills engines as long as it is repeated.
func TestNaiveLosesEnginesWithoutEnd(t *testing.T) {
	f, n := poisoned(1, 1, 0, true)
	slices.Sort(f.took)
	t.Logf("%d engines lost, %v of %d others; p99 %v", f.killed, f.done, n, f.took[len(f.took)*99/100].Round(time.Millisecond))
	assert.Assert(t, f.killed > 30)
}
