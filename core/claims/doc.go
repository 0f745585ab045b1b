// Package claims records which attempt of a keyed request may run, in journals
// kept in the platform.
//
// A request that may not be repeated and carries an idempotency key is handed
// to an agent only after its claim is durable. A claim names the key, the
// attempt's number, the agent that is to run it and the claimant's own number.
// Claim n+1 of a key is recorded only while claim n is the latest, and an entry
// asks for it only after the agent of claim n has said that it sealed that
// attempt (see package dedupe). So at most one attempt of a key ever runs, as
// long as the platform's conditional updates hold and until the key ages out.
//
// Keys hash to a few journals. A journal is a ring of segment objects that are
// changed by conditional update only. The segments are numbered; only the
// newest is open, and its successor is opened by overwriting the slot of the
// oldest, whose claims have all aged out. Objects are never deleted, so a
// paused entry can't append to a segment that has left the journal: its update
// names a version that is gone.
//
// Any entry may append to any journal. The entry that rendezvous hashing gives
// for a journal (Rank) does it for all, so that claims are written in groups
// and the number of writes a second doesn't grow with the number of claims.
// Entries that disagree on who that is cost conflicts but no correctness.
//
// Journal is one journal's state machine, Call that of a single request.
package claims
