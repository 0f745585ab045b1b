// Package slots shares the weight store's limits over the fleet.
//
// The store starts only so many loads a second and moves only so many at full
// speed; beyond that each takes proportionally longer. If all hosts read at once
// after an evening wake-up, every transfer takes as long as all of them
// together, and nobody is served until nearly everybody is.
//
// The deciding entry has a Pool for models and one for adapters. An agent asks
// it for a slot before it reads from the store, renews the slot while it reads
// and releases it with the time taken. The pool lets in no more than helps: it
// finds out from the times where the store's knee lies. A slot that isn't
// renewed expires, so a host that died holds none for long.
//
// An agent that can't reach the decider goes by Local: its share of the limits,
// adapted to the transfer times it sees.
package slots
