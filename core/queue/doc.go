// Package queue holds requests that wait, at an entry for a host and at an agent
// for its engine. It decides who goes next, who is turned away, and when.
//
// Order. Three levels of start-time fair queueing: classes by weight, owners
// inside a class, callers inside an owner, each charged by cost; inside a caller
// the earliest deadline goes first. It answers few callers with most of the
// load and long work among short: what one of them piles up delays mainly
// itself. Without it, in one list by arrival, a burst of one caller makes all
// others wait until it is through, and overnight reviews stand in front of
// checks that somebody waits for.
//
// Lanes. A request waits in the lane of what it needs, such as a model. A lane
// that cannot start work does not hold up the others.
//
// Early refusal. A lane measures how long a unit of cost takes to leave it. A
// request whose foreseen end is past its deadline is refused on arrival, and one
// that waits is given up at the last moment at which it could still have
// finished. It answers saturation: without it a full queue spends the upstreams
// on answers that nobody waits for any more, and goodput falls as load rises.
//
// Bounds. Count and bytes are bounded, overall and in each lane. When a bound is
// reached the least valuable request goes: of a lower class than the one that
// arrives, or of an owner who holds more than a fair part of the queue.
package queue
