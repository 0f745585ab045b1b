// Package queue orders and bounds the requests that wait, in an entry for a
// host and in an agent for its engine. It decides which request starts next,
// which are refused, and when.
//
// Order. Three levels of start-time fair queueing apply: classes by weight,
// owners within a class, callers within an owner. Each is charged by cost. The
// items of one caller start in order of their deadlines. A backlog therefore
// delays mainly the caller that caused it, and long requests do not block short
// ones. In a single FIFO queue a burst of one caller would delay all others
// until it has been served, and overnight work would stand in front of
// interactive requests.
//
// A strict queue, as that of an entry on a managed platform, starts nothing while a more
// urgent item may start, and shares only within a class. It answers the load in which
// urgent and patient requests compete for the engines of the same models.
//
// Lanes. A request waits in the lane of the resource it needs, such as a model.
// A lane that cannot start work does not block the others.
//
// Early refusal. A lane measures how long it takes to serve a unit of cost. A
// request that is expected to finish after its deadline is refused on arrival,
// and a waiting one is refused at the last time at which it could still finish.
// Without this a saturated queue spends the upstreams on answers that nobody
// waits for any more, and goodput falls as load rises.
//
// Bounds. The number of items and their bytes are bounded, in total and per
// lane. When a bound is reached, the queue displaces the least valuable item:
// one of a less urgent class than the arriving item, or one of an owner that
// holds more than a fair part of the queue.
package queue
