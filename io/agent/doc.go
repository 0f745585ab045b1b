// Package agent implements the agent role: one process per upstream host, which
// alone decides what that upstream runs and loads.
//
// An agent accepts requests from entries, queues them, orders the engine to
// load and unload models within the memory that its ledger accounts for, and
// relays the answers. The decisions are made in core/ledger, core/queue and
// core/dedupe; this package guards them with one mutex and carries them out as
// calls. An item is a model or an adapter. On a managed platform, package
// driver takes the place of this one.
package agent
