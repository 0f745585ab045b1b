package bench

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"

	"radishwell/core"
)

// shot is one request to be sent.
type shot struct {
	number int
	// at is when the request should be sent; latencies count from it.
	at    time.Time
	due   time.Time
	phase int
	call  *Call
	model core.ModelName
	// prompt and tokens make a model's answer, which the stand-in echoes.
	prompt []string
	tokens int
	stream bool
	key    string
	body   []byte
	// repeat marks a second sending of an earlier request's key and body.
	repeat bool
}

// arrivals yields an experiment's requests in the order of their times. Two
// with the same seed, run and start yield the same.
type arrivals struct {
	plan *Plan
	// run tells this run's keys and bodies from those of every other.
	run   string
	moves *rand.Rand
	picks *rand.Rand
	mixes []mix
	// repeats are requests to be sent again.
	repeats shotHeap
	phase   int
	begin   time.Time
	// burst are the times left of a burst; next is the next Poisson arrival.
	burst     []time.Time
	nextBurst time.Time
	next      time.Time
	number    int
}

// mix is the choice among a phase's calls.
type mix struct {
	calls  []*Call
	shares []float64
	models map[*Call][]float64
}

// Streams of random numbers; each has its own so that a change of lengths does
// not move the arrivals.
const (
	streamMoves = 1
	streamPicks = 2
)

func newArrivals(p *Plan, run string, start time.Time) *arrivals {
	a := &arrivals{
		plan: p, run: run, begin: start,
		moves: rand.New(rand.NewPCG(uint64(p.Seed), streamMoves)),
		picks: rand.New(rand.NewPCG(uint64(p.Seed), streamPicks)),
	}
	for i := range p.Phases {
		a.mixes = append(a.mixes, newMix(p, &p.Phases[i]))
	}
	if len(p.Phases) > 0 {
		a.enter()
	}
	return a
}

func newMix(p *Plan, phase *Phase) mix {
	m := mix{models: map[*Call][]float64{}}
	var weights []float64
	for i := range p.Calls {
		c := &p.Calls[i]
		if len(phase.Calls) > 0 && !slices.Contains(phase.Calls, c.Name) {
			continue
		}
		m.calls = append(m.calls, c)
		weights = append(weights, c.Weight)
		m.models[c] = c.shares()
	}
	m.shares = running(weights)
	return m
}

// enter starts the present phase.
func (a *arrivals) enter() {
	p := &a.plan.Phases[a.phase]
	a.burst, a.nextBurst = nil, a.begin
	a.next = a.after(p, a.begin)
}

// after draws the next Poisson arrival behind t, by thinning: candidates come
// at the peak rate, and each stays with the share of the rate at its time.
func (a *arrivals) after(p *Phase, t time.Time) time.Time {
	end := a.begin.Add(p.For)
	if p.Rate == 0 {
		return end
	}
	peak := p.Rate
	if p.Shape == Wave {
		peak *= 1 + p.Swing
	}
	for t.Before(end) {
		t = t.Add(time.Duration(a.moves.ExpFloat64() / peak * float64(time.Second)))
		if a.moves.Float64()*peak < rateAt(p, t.Sub(a.begin)) {
			return t
		}
	}
	return end
}

// rateAt is a phase's rate at a time after its beginning: a wave starts in its
// trough.
func rateAt(p *Phase, since time.Duration) float64 {
	if p.Shape != Wave {
		return p.Rate
	}
	turn := 2 * math.Pi * since.Seconds() / p.Period.Seconds()
	return p.Rate * (1 - p.Swing*math.Cos(turn))
}

// pull returns the next request, or nil at the end.
func (a *arrivals) pull() *shot {
	for a.phase < len(a.plan.Phases) && a.number < a.plan.MaxRequests {
		p := &a.plan.Phases[a.phase]
		end := a.begin.Add(p.For)
		at := a.candidate(p, end)
		if len(a.repeats) > 0 && !at.Before(a.repeats[0].at) {
			return a.repetition()
		}
		if !at.Before(end) {
			a.begin, a.phase = end, a.phase+1
			if a.phase < len(a.plan.Phases) {
				a.enter()
			}
			continue
		}
		a.take(p, at)
		return a.shoot(at)
	}
	if len(a.repeats) > 0 && a.number < a.plan.MaxRequests {
		return a.repetition()
	}
	return nil
}

// candidate is the time of the next fresh request of the phase.
func (a *arrivals) candidate(p *Phase, end time.Time) time.Time {
	if p.Shape == Bursts && len(a.burst) == 0 && a.nextBurst.Before(end) {
		a.burst = a.spread(p)
		a.nextBurst = a.nextBurst.Add(p.Period)
	}
	if len(a.burst) > 0 && a.burst[0].Before(a.next) {
		return a.burst[0]
	}
	return a.next
}

func (a *arrivals) spread(p *Phase) []time.Time {
	times := make([]time.Time, p.Burst)
	for i := range times {
		times[i] = a.nextBurst.Add(time.Duration(a.moves.Float64() * float64(p.Spread)))
	}
	slices.SortFunc(times, time.Time.Compare)
	return times
}

func (a *arrivals) take(p *Phase, at time.Time) {
	if len(a.burst) > 0 && a.burst[0].Equal(at) {
		a.burst = a.burst[1:]
		return
	}
	a.next = a.after(p, at)
}

func (a *arrivals) repetition() *shot {
	s := heap.Pop(&a.repeats).(*shot)
	s.number = a.number
	a.number++
	return s
}

// shoot draws what a request asks for.
func (a *arrivals) shoot(at time.Time) *shot {
	m := &a.mixes[a.phase]
	c := m.calls[pick(a.picks, m.shares)]
	s := &shot{number: a.number, at: at, due: at.Add(c.Deadline), phase: a.phase, call: c}
	a.number++
	if c.Service == "" {
		a.ask(s, m.models[c])
	} else {
		a.post(s)
	}
	return s
}

func pick(r *rand.Rand, shares []float64) int {
	return min(sort.SearchFloat64s(shares, r.Float64()), len(shares)-1)
}

func (s Span) draw(r *rand.Rand) int { return s.Min + r.IntN(s.Max-s.Min+1) }

// askBody is the part of a chat request that the tool sends.
type askBody struct {
	Model     core.ModelName `json:"model"`
	Stream    bool           `json:"stream,omitempty"`
	MaxTokens int            `json:"max_tokens"`
	Messages  []message      `json:"messages"`
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// ask makes a chat request. The first word of its prompt is its own, so that
// an answer to another request is recognised.
func (a *arrivals) ask(s *shot, shares []float64) {
	c := s.call
	s.model = c.Models[pick(a.picks, shares)]
	s.stream = a.picks.Float64() < c.Stream
	s.tokens = c.Tokens.draw(a.picks)
	s.prompt = []string{fmt.Sprintf("%s-%d", a.run, s.number)}
	for range c.Prompt.draw(a.picks) - 1 {
		s.prompt = append(s.prompt, "w"+strconv.Itoa(a.picks.IntN(1000)))
	}
	s.body = mustJSON(askBody{
		Model: s.model, Stream: s.stream, MaxTokens: s.tokens,
		Messages: []message{{Role: "user", Content: strings.Join(s.prompt, " ")}},
	})
}

// post makes a call of a service, with a body of its own, and its repetition.
func (a *arrivals) post(s *shot) {
	c := s.call
	if c.Method != http.MethodGet {
		s.body = fmt.Appendf(nil, `{"call":%q,"run":%q,"number":%d}`, c.Name, a.run, s.number)
	}
	if a.picks.Float64() >= c.Keyed {
		return
	}
	s.key = fmt.Sprintf("%s-%d", a.run, s.number)
	if a.picks.Float64() < c.Repeat {
		again := *s
		again.at, again.repeat = s.at.Add(c.RepeatAfter), true
		again.due = again.at.Add(c.Deadline)
		heap.Push(&a.repeats, &again)
	}
}

// mustJSON encodes one of the package's own types, which cannot fail.
func mustJSON(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}

// shotHeap orders requests by time.
type shotHeap []*shot

// Len implements sort.Interface.
func (h shotHeap) Len() int { return len(h) }

// Less implements sort.Interface.
func (h shotHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }

// Swap implements sort.Interface.
func (h shotHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *shotHeap) Push(x any) { *h = append(*h, x.(*shot)) }

// Pop implements heap.Interface.
func (h *shotHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
