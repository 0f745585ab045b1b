package queue_test

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"radishwell/core"
	"radishwell/core/queue"
)

// t0 is the start of all simulations.
var t0 = time.Date(2030, 1, 1, 20, 0, 0, 0, time.UTC)

// waitQueue is a queue of waiting requests: Queue, or the FIFO queue that it is
// compared with.
type waitQueue interface {
	push(now time.Time, i queue.Item) (refused []queue.Item)
	pop(now time.Time) (queue.Item, bool)
	finish(now time.Time, id core.RequestID)
	expire(now time.Time) []queue.Item
	next() time.Time
	// setFree sets the function that returns the number of free slots of the
	// upstream.
	setFree(free func() int)
}

// fairQueue adapts Queue to waitQueue.
type fairQueue struct {
	q    queue.Queue
	free func() int
}

func (f *fairQueue) setFree(free func() int) { f.free = free }

func (f *fairQueue) push(now time.Time, i queue.Item) []queue.Item {
	p := f.q.Push(now, i)
	out := items(p.Displaced)
	if p.Refusal != nil {
		out = append(out, i)
	}
	return out
}

func (f *fairQueue) pop(now time.Time) (queue.Item, bool) {
	return f.q.Pop(now, func(string) int { return f.free() })
}

func (f *fairQueue) finish(now time.Time, id core.RequestID) { f.q.Finish(now, id, queue.Served) }
func (f *fairQueue) expire(now time.Time) []queue.Item       { return items(f.q.Expire(now)) }
func (f *fairQueue) next() time.Time                         { return f.q.Next() }

func items(list []queue.Refused) []queue.Item {
	var out []queue.Item
	for _, r := range list {
		out = append(out, r.Item)
	}
	return out
}

// fifoQueue serves requests in order of arrival and refuses none.
type fifoQueue struct{ list []queue.Item }

func (n *fifoQueue) push(_ time.Time, i queue.Item) []queue.Item {
	n.list = append(n.list, i)
	return nil
}

func (n *fifoQueue) pop(time.Time) (queue.Item, bool) {
	if len(n.list) == 0 {
		return queue.Item{}, false
	}
	i := n.list[0]
	n.list = n.list[1:]
	return i, true
}

func (n *fifoQueue) setFree(func() int) {}

func (n *fifoQueue) finish(time.Time, core.RequestID)  {}
func (n *fifoQueue) expire(now time.Time) []queue.Item { return nil }
func (n *fifoQueue) next() time.Time                   { return time.Time{} }

// simRequest is one request of a simulation.
type simRequest struct {
	at time.Time
	queue.Item
}

// workload describes a Poisson stream of requests.
type workload struct {
	owner, caller string
	class         core.Class
	// rate is in requests per second. Each request has the given cost, and its
	// deadline is patience after its arrival.
	rate     float64
	cost     int64
	patience time.Duration
}

func generate(seed uint64, span time.Duration, loads ...workload) []simRequest {
	var out []simRequest
	for n, l := range loads {
		rng := rand.New(rand.NewPCG(seed, uint64(n)))
		at := t0
		for i := 0; ; i++ {
			at = at.Add(time.Duration(rng.ExpFloat64() / l.rate * float64(time.Second)))
			if at.Sub(t0) > span {
				break
			}
			out = append(out, simRequest{at: at, Item: queue.Item{
				ID: core.RequestID(strconv.Itoa(n) + "-" + strconv.Itoa(i)), Lane: "qalam",
				Owner: core.OwnerName(l.owner), Caller: core.CallerName(l.caller), Class: l.class,
				Deadline: at.Add(l.patience), Cost: l.cost, Size: 100,
			}})
		}
	}
	slices.SortStableFunc(out, func(a, b simRequest) int { return a.at.Compare(b.at) })
	return out
}

// upstreamModel is a number of slots and the service time of a unit of cost,
// which varies by up to half in either direction.
type upstreamModel struct {
	slots       int
	serviceTime func(at time.Time) time.Duration
}

func steady(d time.Duration) func(time.Time) time.Duration {
	return func(time.Time) time.Duration { return d }
}

// result counts the outcomes of one group of requests.
type result struct {
	sent, good, late, refused int
	// cost is the work of the good requests, and inSpan counts those that ended
	// before the last request arrived.
	cost   int64
	inSpan int
	// latencies are the times from arrival to the end of the answer, of good and
	// late requests.
	latencies []time.Duration
	// slowestRefusal is the longest time from arrival to refusal, as a fraction
	// of the request's patience.
	slowestRefusal float64
}

func (r *result) p99() time.Duration {
	if len(r.latencies) == 0 {
		return 0
	}
	slices.Sort(r.latencies)
	return r.latencies[len(r.latencies)*99/100]
}

type completion struct {
	at time.Time
	queue.Item
}

type completions []completion

func (e completions) Len() int           { return len(e) }
func (e completions) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e completions) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *completions) Push(x any)        { *e = append(*e, x.(completion)) }
func (e *completions) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}

// simulation runs requests through a queue and counts the outcomes by group.
type simulation struct {
	queue       waitQueue
	upstream    upstreamModel
	group       func(queue.Item) string
	results     map[string]*result
	arrived     map[core.RequestID]time.Time
	running     completions
	rng         *rand.Rand
	lastArrival time.Time
}

func byOwner(i queue.Item) string { return string(i.Owner) }

func run(q waitQueue, upstream upstreamModel, requests []simRequest, group func(queue.Item) string) map[string]*result {
	p := &simulation{queue: q, upstream: upstream, group: group, results: make(map[string]*result)}
	p.arrived = make(map[core.RequestID]time.Time)
	p.rng = rand.New(rand.NewPCG(7, 7))
	p.lastArrival = requests[len(requests)-1].at
	q.setFree(func() int { return upstream.slots - len(p.running) })
	for len(requests) > 0 || len(p.running) > 0 || !q.next().IsZero() {
		now := p.nextEvent(requests)
		if len(requests) > 0 && requests[0].at.Equal(now) {
			p.arrive(now, requests[0])
			requests = requests[1:]
		}
		for len(p.running) > 0 && p.running[0].at.Equal(now) {
			p.finish(now, heap.Pop(&p.running).(completion).Item)
		}
		p.start(now)
		p.refuse(now, q.expire(now))
	}
	return p.results
}

func (p *simulation) nextEvent(requests []simRequest) time.Time {
	var now time.Time
	earlier := func(t time.Time) {
		if !t.IsZero() && (now.IsZero() || t.Before(now)) {
			now = t
		}
	}
	earlier(p.queue.next())
	if len(requests) > 0 {
		earlier(requests[0].at)
	}
	if len(p.running) > 0 {
		earlier(p.running[0].at)
	}
	return now
}

func (p *simulation) resultFor(i queue.Item) *result {
	k := p.group(i)
	if p.results[k] == nil {
		p.results[k] = &result{}
	}
	return p.results[k]
}

func (p *simulation) arrive(now time.Time, a simRequest) {
	p.resultFor(a.Item).sent++
	p.arrived[a.ID] = now
	p.refuse(now, p.queue.push(now, a.Item))
}

func (p *simulation) refuse(now time.Time, list []queue.Item) {
	for _, i := range list {
		r := p.resultFor(i)
		r.refused++
		arrived := p.arrived[i.ID]
		r.slowestRefusal = max(r.slowestRefusal, float64(now.Sub(arrived))/float64(i.Deadline.Sub(arrived)))
	}
}

func (p *simulation) start(now time.Time) {
	for len(p.running) < p.upstream.slots {
		i, ok := p.queue.pop(now)
		if !ok {
			return
		}
		took := float64(p.upstream.serviceTime(now)) * float64(i.Cost) * (0.5 + p.rng.Float64())
		heap.Push(&p.running, completion{at: now.Add(time.Duration(took)), Item: i})
	}
}

func (p *simulation) finish(now time.Time, i queue.Item) {
	p.queue.finish(now, i.ID)
	r := p.resultFor(i)
	r.latencies = append(r.latencies, now.Sub(p.arrived[i.ID]))
	if now.After(i.Deadline) {
		r.late++
		return
	}
	r.good++
	r.cost += i.Cost
	if !now.After(p.lastArrival) {
		r.inSpan++
	}
}
