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

// request is one request of the load.
type request struct {
	number int
	// at is the time at which the request is to be sent. Latencies count from it.
	at time.Time
	// due is the deadline of the request.
	due   time.Time
	phase int
	call  *Call
	model core.ModelName
	// prompt and tokens determine the answer of a model stand-in, which repeats the
	// words of the prompt until it has written this many tokens.
	prompt []string
	tokens int
	stream bool
	// key is the idempotency key, or "" for none.
	key  string
	body []byte
	// repeat is set if the request repeats the key and body of an earlier one.
	repeat bool
}

// arrivals generates the requests of an experiment in the order of their times.
// Equal plans, runs and starts give equal requests.
type arrivals struct {
	plan *Plan
	// run makes keys and bodies distinct from those of all other runs.
	run string
	// timeRand generates times, contentRand the contents of requests.
	timeRand    *rand.Rand
	contentRand *rand.Rand
	mixes       []mix
	// repeats holds the repetitions that are still to be sent.
	repeats requestHeap
	// phase is the index of the current phase, which started at begin.
	phase int
	begin time.Time
	// burst holds the remaining times of the current burst; next is the time of the
	// next Poisson arrival.
	burst     []time.Time
	nextBurst time.Time
	next      time.Time
	number    int
}

// mix is the distribution of the requests of a phase among its calls. shares is
// cumulative, and models holds the cumulative popularity of the models of each call.
type mix struct {
	calls  []*Call
	shares []float64
	models map[*Call][]float64
}

// Streams of random numbers. Times and contents have a stream each, so that a
// change of lengths doesn't change the times.
const (
	streamTimes    = 1
	streamContents = 2
)

func newArrivals(p *Plan, run string, start time.Time) *arrivals {
	a := &arrivals{
		plan: p, run: run, begin: start,
		timeRand:    rand.New(rand.NewPCG(uint64(p.Seed), streamTimes)),
		contentRand: rand.New(rand.NewPCG(uint64(p.Seed), streamContents)),
	}
	for i := range p.Phases {
		a.mixes = append(a.mixes, newMix(p, &p.Phases[i]))
	}
	if len(p.Phases) > 0 {
		a.startPhase()
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
	m.shares = cumulative(weights)
	return m
}

// startPhase starts the current phase.
func (a *arrivals) startPhase() {
	p := &a.plan.Phases[a.phase]
	a.burst, a.nextBurst = nil, a.begin
	a.next = a.nextPoisson(p, a.begin)
}

// nextPoisson draws the next Poisson arrival after t, or returns the end of the
// phase. It uses thinning: candidates arrive at the peak rate, and each is accepted
// with the ratio of the rate at its time to the peak rate.
func (a *arrivals) nextPoisson(p *Phase, t time.Time) time.Time {
	end := a.begin.Add(p.For)
	if p.Rate == 0 {
		return end
	}
	peak := p.Rate
	if p.Shape == Wave {
		peak *= 1 + p.Swing
	}
	for t.Before(end) {
		t = t.Add(time.Duration(a.timeRand.ExpFloat64() / peak * float64(time.Second)))
		if a.timeRand.Float64()*peak < rateAt(p, t.Sub(a.begin)) {
			return t
		}
	}
	return end
}

// rateAt returns the rate of a phase at a time after its beginning. A wave starts
// at its minimum.
func rateAt(p *Phase, since time.Duration) float64 {
	if p.Shape != Wave {
		return p.Rate
	}
	turn := 2 * math.Pi * since.Seconds() / p.Period.Seconds()
	return p.Rate * (1 - p.Swing*math.Cos(turn))
}

// pull returns the next request, or nil after the last one.
func (a *arrivals) pull() *request {
	for a.phase < len(a.plan.Phases) && a.number < a.plan.MaxRequests {
		p := &a.plan.Phases[a.phase]
		end := a.begin.Add(p.For)
		at := a.candidate(p, end)
		if len(a.repeats) > 0 && !at.Before(a.repeats[0].at) {
			return a.popRepeat()
		}
		if !at.Before(end) {
			a.begin, a.phase = end, a.phase+1
			if a.phase < len(a.plan.Phases) {
				a.startPhase()
			}
			continue
		}
		a.consume(p, at)
		return a.makeRequest(at)
	}
	if len(a.repeats) > 0 && a.number < a.plan.MaxRequests {
		return a.popRepeat()
	}
	return nil
}

// candidate returns the time of the next request of the phase that isn't a
// repetition.
func (a *arrivals) candidate(p *Phase, end time.Time) time.Time {
	if p.Shape == Bursts && len(a.burst) == 0 && a.nextBurst.Before(end) {
		a.burst = a.drawBurst(p)
		a.nextBurst = a.nextBurst.Add(p.Period)
	}
	if len(a.burst) > 0 && a.burst[0].Before(a.next) {
		return a.burst[0]
	}
	return a.next
}

// drawBurst returns the times of the requests of the next burst.
func (a *arrivals) drawBurst(p *Phase) []time.Time {
	times := make([]time.Time, p.Burst)
	for i := range times {
		times[i] = a.nextBurst.Add(time.Duration(a.timeRand.Float64() * float64(p.Spread)))
	}
	slices.SortFunc(times, time.Time.Compare)
	return times
}

// consume removes the candidate at the given time.
func (a *arrivals) consume(p *Phase, at time.Time) {
	if len(a.burst) > 0 && a.burst[0].Equal(at) {
		a.burst = a.burst[1:]
		return
	}
	a.next = a.nextPoisson(p, at)
}

func (a *arrivals) popRepeat() *request {
	s := heap.Pop(&a.repeats).(*request)
	s.number = a.number
	a.number++
	return s
}

// makeRequest draws the call and the contents of a request to be sent at the given
// time.
func (a *arrivals) makeRequest(at time.Time) *request {
	m := &a.mixes[a.phase]
	c := m.calls[pick(a.contentRand, m.shares)]
	s := &request{number: a.number, at: at, due: at.Add(c.Deadline), phase: a.phase, call: c}
	a.number++
	if c.Service == "" {
		a.fillChat(s, m.models[c])
	} else {
		a.fillService(s)
	}
	return s
}

// pick draws an index from a cumulative distribution.
func pick(r *rand.Rand, shares []float64) int {
	return min(sort.SearchFloat64s(shares, r.Float64()), len(shares)-1)
}

func (s Span) draw(r *rand.Rand) int { return s.Min + r.IntN(s.Max-s.Min+1) }

// chatBody is the body of a chat request.
type chatBody struct {
	Model     core.ModelName `json:"model"`
	Stream    bool           `json:"stream,omitempty"`
	MaxTokens int            `json:"max_tokens"`
	Messages  []message      `json:"messages"`
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// fillChat draws a chat request. The first word of its prompt is unique, so that an
// answer to another request is recognised.
func (a *arrivals) fillChat(s *request, shares []float64) {
	c := s.call
	s.model = c.Models[pick(a.contentRand, shares)]
	s.stream = a.contentRand.Float64() < c.Stream
	s.tokens = c.Tokens.draw(a.contentRand)
	s.prompt = []string{fmt.Sprintf("%s-%d", a.run, s.number)}
	for range c.Prompt.draw(a.contentRand) - 1 {
		s.prompt = append(s.prompt, "w"+strconv.Itoa(a.contentRand.IntN(1000)))
	}
	s.body = mustJSON(chatBody{
		Model: s.model, Stream: s.stream, MaxTokens: s.tokens,
		Messages: []message{{Role: "user", Content: strings.Join(s.prompt, " ")}},
	})
}

// fillService draws a call of a service with a unique body. It may schedule a
// repetition of the call.
func (a *arrivals) fillService(s *request) {
	c := s.call
	if c.Method != http.MethodGet {
		s.body = fmt.Appendf(nil, `{"call":%q,"run":%q,"number":%d}`, c.Name, a.run, s.number)
	}
	if a.contentRand.Float64() >= c.Keyed {
		return
	}
	s.key = fmt.Sprintf("%s-%d", a.run, s.number)
	if a.contentRand.Float64() < c.Repeat {
		again := *s
		again.at, again.repeat = s.at.Add(c.RepeatAfter), true
		again.due = again.at.Add(c.Deadline)
		heap.Push(&a.repeats, &again)
	}
}

// mustJSON encodes a type of this package, which can't fail.
func mustJSON(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}

// requestHeap is a heap of requests ordered by time.
type requestHeap []*request

// Len implements sort.Interface.
func (h requestHeap) Len() int { return len(h) }

// Less implements sort.Interface.
func (h requestHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }

// Swap implements sort.Interface.
func (h requestHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *requestHeap) Push(x any) { *h = append(*h, x.(*request)) }

// Pop implements heap.Interface.
func (h *requestHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
