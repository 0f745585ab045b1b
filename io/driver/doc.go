// Package driver is the agent on a managed platform: it drives the one upstream
// beside it.
//
// It alone orders that upstream, so no order meets one of another holder. It
// follows the goals of one entry, the planner, and loads adapters when entries
// ask for them. Each order is checked against the upstream's own report first:
// what it holds, and the count of orders on which the new one is conditional. An
// order that was lost and comes late then finds another count and is refused.
package driver
