// Package driver implements the agent on a managed platform. A Driver orders one
// upstream to load and unload models and adapters.
//
// Entries poll the driver for the state of its upstream. The driver follows one entry,
// the planner: it carries out the planner's goals and no others. It loads adapters at the
// request of any entry.
//
// The driver is the only sender of orders to its upstream, so orders of two senders never
// conflict. Each order is checked against the upstream's latest report and is conditional
// on the number of orders in that report: an order that was lost and arrives late meets
// another number and is refused.
package driver
