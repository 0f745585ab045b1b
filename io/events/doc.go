// Package events writes the log. It consists of numbered events, each with a name, a
// severity, a sentence and advice for operators. docs/EVENTS.md is generated from the same
// table.
//
// Events that a caller can cause at any rate, such as a refused request or a refused peer,
// are sampled: only a bounded number per second of each is written, with the number of
// those left out, so that a flood of requests does not cause a flood of log lines.
package events
