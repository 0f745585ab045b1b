// Package claims decides which attempt of a keyed request may run, and records
// the decision in journals stored in the platform. Together with package dedupe
// it ensures that keyed requests are executed at most once.
//
// A keyed request is one that may not be repeated and carries an idempotency
// key. It is handed over to an agent only after its claim is durable. A claim
// names the key, the attempt's number, the agent that is to run it and the
// claimant's random number. Claim n+1 of a key is recorded only while claim n is
// the latest, and an entry submits it only after the agent of claim n has
// confirmed that it sealed that attempt (see package dedupe). So at most one
// attempt of a key ever runs, until the key expires and as long as the
// platform's conditional updates are reliable.
//
// Keys are distributed over a few journals by hash. A journal is a ring of slots.
// Each slot is an object that holds a numbered segment and is changed by
// conditional update only. Only the newest segment is open. Its successor
// overwrites the slot of the oldest segment, whose claims must all have expired.
// Objects are never deleted, so a paused entry can't append to a segment that
// was overwritten: its update is conditional on a version that no longer exists.
//
// Any entry may append to any journal. Normally the entry chosen by rendezvous
// hashing (Rank) does it for all, so that claims are written in groups and the
// number of writes per second doesn't grow with the number of claims. Entries
// that disagree on the choice cause update conflicts, but the result is still
// correct.
//
// Journal is the state machine of one journal, Call that of a single request.
package claims
