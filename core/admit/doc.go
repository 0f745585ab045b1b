// Package admit enforces the limits of the catalogue: the rate, concurrency,
// queue length and queue bytes of an owner, of a caller within its owner, of a
// model or adapter, and of a service.
//
// Without it a burst of one owner fills the shared queue, and all other owners
// wait behind work that exceeds that owner's own limits.
//
// A request is checked on arrival (Check and Take, or Offer for both), again
// when it could start (CanStart and Start), and is released once (Done). Its
// record is found by the request's ID, so a second Done does nothing.
//
// Entries share no counter for the limits of the catalogue. Each entry enforces
// its own share of a limit (Share). The shares of all entries add up to the
// limit, or to one per entry if the limit is smaller than the number of
// entries.
//
// The allowances of a managed platform's customers are counted over all
// entries. Each entry delegates its shares to one entry, the keeper, which
// counts them in a Keeper. All entries choose the keeper in the same way
// (Chooser). An entry that reaches no keeper counts its shares itself. The
// keeper also gives out the reservations at upstreams that set a rate limit.
package admit
