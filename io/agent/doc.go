// Package agent is the agent role: one process in the slot beside an upstream,
// the sole authority for that host.
//
// It takes requests from entries, queues them, has models loaded and unloaded by
// order to the engine within the memory its ledger promises, and relays answers.
// Decisions are those of core/ledger, core/queue and core/dedupe; this package
// holds one lock around them and turns their answers into calls.
package agent
