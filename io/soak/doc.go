// Package soak runs the real programs of a managed platform as separate processes on
// one machine, has faults strike them from outside, and checks what callers and
// upstreams see: that nothing that may run once runs twice, that a refusal is true,
// that an answer is whole and one run's, and that the system recovers.
//
// The faults are drawn from a seed (Draw): processes that are killed, stopped, paused
// and told to read their settings again; connections that are delayed, reset, cut in
// one way or both, or silent for good; a store that is down, silent, loses answers or
// forgets its history; upstreams that fail, spoil or lose answers and start again.
// They come in series and overlap. Which requests meet which fault depends on the
// machine's timing, so a seed repeats the schedule and not the run.
//
// Only processes that the soak started are ever signalled.
package soak
