// Package admit holds requests to the limits in the catalogue: rate,
// concurrency, queue length and queue bytes of an owner, of a caller within its
// owner, of a model or adapter, and of a service.
//
// It answers bursts and callers that take most of the load. Without it one
// owner's backlog fills the shared queue, and every other owner waits behind
// work that its own owner's limits would never have let run.
//
// A request is checked once on arrival (Check, then Take, or both as Offer),
// again when it could start (CanStart, Start), and released once (Done). What
// is held for it is found by its id, so that a second Done does nothing.
//
// The limits of the catalogue have no counter shared between entries. Each entry holds
// its own part of a limit (Share); the parts of all entries add up to the limit, or to
// one for each entry where the limit is smaller than their number.
//
// The allowances of a managed platform's customers are counted over all entries: each
// leaves its parts with one Keeper, which all choose alike (Chooser), and has them back
// when it reaches none.
package admit
