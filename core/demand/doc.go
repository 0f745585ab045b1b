// Package demand counts what models are asked for: rates and work as moving averages,
// and the requests that wait.
//
// An entry counts its own requests in a Book. In a large fleet it tells a relay what
// has come since it last told, and relays tell each other, so that each relay holds the
// demand of all callers in a Fleet and any of them can plan at once when the planner is
// lost. What has come is told once, as counts; averages would have to be told again and
// again as they fade, of each model by each entry.
package demand
