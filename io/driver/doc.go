// Package driver implements the agent on a managed platform. A Driver orders one
// upstream to load and unload models and adapters.
//
// It is the only sender of orders to that upstream, so orders of two senders
// never conflict. It carries out the goals of one entry, the planner, and loads
// adapters at the request of any entry. Each order is checked against the
// upstream's latest report and is conditional on the number of orders in that
// report: an order that was lost and arrives late meets another number and is
// refused.
package driver
