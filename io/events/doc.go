// Package events writes the log: numbered events, each with a name, a severity,
// a sentence and advice for operators. docs/EVENTS.md is made from the same
// table.
//
// Events that a caller can cause at will (a refused request, a refused peer) are
// sampled: at most a few a second of each are written, with the count of those
// left out, so that a flood of requests is no flood of log lines.
package events
