package strike

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/core"
)

// companyWay is a way to tell a request that crashes upstreams from its neighbours. tries reports
// whether it runs in a trial if one is to be had, and must whether it may run in no other way.
type companyWay struct {
	name                 string
	refuses, tries, must func(Finding) bool
}

func never(Finding) bool { return false }

func early(f Finding) uint32 { return f.Count - f.Late }

var companyWays = []companyWay{
	{"trials, two crashes are proof", func(f Finding) bool { return f.Standing == Quarantined }, func(f Finding) bool { return f.MayTry }, func(f Finding) bool { return f.Standing == Suspect }},
	{"trials, one crash is proof", func(f Finding) bool { return early(f) >= 3 && f.Alone > 0 }, func(f Finding) bool { return f.MayTry }, func(f Finding) bool { return early(f) >= 3 }},
	{"three crashes, before the answer began", func(f Finding) bool { return early(f) >= 3 }, never, never},
	{"three crashes", func(f Finding) bool { return f.Count >= 3 }, never, never},
}

// companyPlay is a fleet in fake time: entries send requests to the two hosts of their model, hosts
// fall by themselves, and one request crashes the host where it begins.
type companyPlay struct {
	rng     *rand.Rand
	way     *companyWay
	now     time.Time
	entries []*companyEntry
	hosts   []companyHost
	trials  Trials
	falls   float64
	waiting []*companyRequest

	crashes                      int
	thirdCrash                   time.Time
	late, proper, denied, served int
}

type companyEntry struct {
	Book
	Sharer
	nextSync time.Time
	news     bool
}

type companyHost struct {
	run      int
	downTill time.Time
	inFlight []*companyRequest
}

type companyRequest struct {
	fingerprint      core.Fingerprint
	entry, model     int
	deadly, tried    bool
	left             int
	at, begins, ends time.Time
	leaves, trialBy  time.Time
}

const (
	copiesOfModel   = 2
	companyPatience = 12 * time.Second
	companyStep     = 10 * time.Millisecond
	companyEnd      = 25 * time.Second
	lateStage       = 500 * time.Millisecond
)

func newCompanyPlay(seed uint64, machines int, falls float64, way *companyWay) *companyPlay {
	p := &companyPlay{rng: rand.New(rand.NewPCG(seed, 2)), way: way, now: start, falls: falls, trials: Trials{MaxTrials: 256}}
	for i := range max(3, machines*36/100) {
		p.entries = append(p.entries, &companyEntry{
			Book: Book{Self: core.HostName(fmt.Sprint("edge-", i)), MaxRecords: 4096, Incarnations: true}, nextSync: start,
		})
	}
	p.hosts = make([]companyHost, machines-len(p.entries))
	return p
}

func (p *companyPlay) since() time.Duration { return p.now.Sub(start) }

func (p *companyPlay) name(host int) core.HostName {
	return core.HostName(fmt.Sprint("i-", host, "-", p.hosts[host].run))
}

func (p *companyPlay) arrive() {
	for model := range len(p.hosts) / copiesOfModel {
		if p.rng.Float64() < 2*copiesOfModel*companyStep.Seconds() {
			p.proper++
			p.wait(&companyRequest{fingerprint: core.Fingerprint(p.rng.Uint64()), model: model, left: 6})
		}
	}
	// The caller of the crashing request repeats it at once and often, at any entry.
	if p.since() >= 5*time.Second && p.since()%time.Second == 0 {
		for range 4 {
			p.wait(&companyRequest{fingerprint: 1, deadly: true, left: 1})
		}
	}
}

// wait has a request come to any entry at once.
func (p *companyPlay) wait(r *companyRequest) {
	r.at, r.leaves, r.entry, r.trialBy = p.now, p.now.Add(companyPatience), p.rng.IntN(len(p.entries)), time.Time{}
	p.waiting = append(p.waiting, r)
}

// dispatch sends the requests that wait.
func (p *companyPlay) dispatch() {
	p.waiting = slices.DeleteFunc(p.waiting, func(r *companyRequest) bool {
		found := p.entries[r.entry].Find(p.now, r.fingerprint)
		if p.way.refuses(found) {
			if !r.deadly {
				p.denied++
			}
			return true
		}
		host := copiesOfModel*r.model + p.rng.IntN(copiesOfModel)
		if r.at.After(p.now) || p.hosts[host].downTill.After(p.now) {
			return !p.now.Before(r.leaves)
		}
		if p.way.tries(found) {
			// The entry that grants trials goes by what it knows itself.
			granting := p.entries[0].Find(p.now, r.fingerprint)
			r.tried = !p.now.Before(core.Later(found.TryAt, granting.TryAt)) && p.trials.Begin(p.now, []string{r.fingerprint.String()}, []string{r.fingerprint.String()}, p.name(host), p.now.Add(maxTrialTime))
			if r.tried && granting.Standing == Suspect {
				p.entries[0].RecordTrial(p.now, r.fingerprint, p.name(host))
			}
			if !r.tried && p.way.must(found) {
				if r.trialBy.IsZero() {
					r.trialBy = p.now.Add(time.Second)
				}
				return !p.now.Before(r.trialBy)
			}
		}
		p.send(r, host)
		return true
	})
}

func (p *companyPlay) send(r *companyRequest, host int) {
	if r.deadly && !p.thirdCrash.IsZero() && p.now.After(p.thirdCrash.Add(3*time.Second)) {
		p.late++
	}
	r.begins = p.now.Add(time.Duration(50+p.rng.IntN(250)) * time.Millisecond)
	r.ends = r.begins.Add(time.Duration(1000+p.rng.IntN(2000)) * time.Millisecond)
	if r.deadly {
		r.ends = r.begins.Add(time.Duration(40+p.rng.IntN(200)) * time.Millisecond)
	}
	p.hosts[host].inFlight = append(p.hosts[host].inFlight, r)
}

func (p *companyPlay) run(host int) {
	h := &p.hosts[host]
	fatal := false
	h.inFlight = slices.DeleteFunc(h.inFlight, func(r *companyRequest) bool {
		if r.tried && p.now.Sub(r.begins) >= lateStage {
			p.endTrial(r, host)
		}
		if p.now.Before(r.ends) {
			return false
		}
		if r.deadly {
			fatal = true
			return false
		}
		p.served++
		p.endTrial(r, host)
		if e := p.entries[r.entry]; e.Find(p.now, r.fingerprint).Count > 0 {
			e.Clear(p.now, r.fingerprint)
			e.news = true
		}
		return true
	})
	if fatal {
		if p.crashes++; p.crashes == 3 {
			p.thirdCrash = p.now
		}
	}
	if fatal || p.rng.Float64() < p.falls*companyStep.Seconds() {
		p.fall(host)
	}
}

func (p *companyPlay) endTrial(r *companyRequest, host int) {
	if r.tried {
		p.trials.End([]string{r.fingerprint.String()}, p.name(host))
	}
	r.tried = false
}

// fall ends a host. The callers of the requests there send them again.
func (p *companyPlay) fall(host int) {
	h := &p.hosts[host]
	byEntry := map[int][]Attempt{}
	for _, r := range h.inFlight {
		byEntry[r.entry] = append(byEntry[r.entry], Attempt{Fingerprint: r.fingerprint, Late: p.now.Sub(r.begins) >= lateStage, Alone: r.tried})
	}
	for entry, list := range byEntry {
		p.entries[entry].RecordIncarnationCrash(p.now, p.name(host), list)
		p.entries[entry].news = true
	}
	for _, r := range h.inFlight {
		if r.tried {
			// The end of a trial tells the entry that grants them of the crash.
			p.entries[0].Merge(p.now, p.entries[r.entry].RecordsOf(p.now, r.fingerprint))
		}
		p.endTrial(r, host)
		if r.left--; r.left > 0 {
			p.wait(r)
			r.at = p.now.Add(time.Duration(p.rng.IntN(100)) * time.Millisecond)
		}
	}
	h.inFlight, h.downTill = nil, p.now.Add(3*time.Second)
	h.run++
}

func (p *companyPlay) gossip() {
	for i, e := range p.entries {
		due := e.nextSync
		if e.news {
			due = due.Add(-800 * time.Millisecond)
		}
		if p.now.Before(due) {
			continue
		}
		e.nextSync, e.news = p.now.Add(time.Second), false
		for range 2 {
			o := p.entries[p.rng.IntN(len(p.entries))]
			if o == p.entries[i] {
				continue
			}
			mine, theirs := e.Next(p.now, &e.Book), o.Next(p.now, &o.Book)
			o.news = len(o.Merge(p.now, mine)) > 0 || o.news
			e.news = len(e.Merge(p.now, theirs)) > 0 || e.news
		}
	}
}

func (p *companyPlay) play() {
	for ; p.since() < companyEnd; p.now = p.now.Add(companyStep) {
		p.arrive()
		p.dispatch()
		for host := range p.hosts {
			p.run(host)
		}
		p.gossip()
	}
}

// TestCompany plays fleets whose hosts fall for two reasons at once: by themselves, and under one
// request that comes again and again.
func TestCompany(t *testing.T) { playCompanies(t, companyWays[:1], []int{14, 30}) }

// TestLargeCompany also plays the other ways and larger fleets, and prints a table. It runs with
// RADISHWELL_SCHEDULES set, since it takes minutes.
func TestLargeCompany(t *testing.T) {
	if os.Getenv("RADISHWELL_SCHEDULES") == "" {
		t.Skip("RADISHWELL_SCHEDULES is not set")
	}
	playCompanies(t, companyWays, []int{30, 100, 300})
}

// playCompanies plays fleets of some sizes with each way, and checks the first way.
func playCompanies(t *testing.T, ways []companyWay, sizes []int) {
	t.Helper()
	for _, falls := range []float64{0, 0.02, 0.1} {
		for _, machines := range sizes {
			for w := range ways {
				for seed := range uint64(2) {
					p := newCompanyPlay(seed, machines, falls, &ways[w])
					p.play()
					t.Logf("| %v | %d | %s | %d | %d | %d | %.2f |", falls, machines, ways[w].name, p.crashes, p.late, p.denied, float64(p.served)/float64(p.proper))
					if w > 0 {
						continue
					}
					assert.Check(t, float64(p.denied) <= 5+float64(p.proper)/500, "%v, %d machines, seed %d: %d of %d refused for good", falls, machines, seed, p.denied, p.proper)
					assert.Check(t, p.late <= 3, "%v, %d machines, seed %d: %d sent late", falls, machines, seed, p.late)
				}
			}
		}
	}
}
