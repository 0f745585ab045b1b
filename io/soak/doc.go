// Package soak runs the programs of a managed platform as separate processes on one
// machine, injects faults from outside, and checks what callers and upstreams
// observe: requests that may run only once don't run twice, refused requests didn't
// run, an answer is complete and comes from a single run, and the system recovers.
//
// The faults are drawn from a seed (Draw). Processes are killed, stopped, paused or
// made to reload their settings. Connections are delayed, reset, cut in one or both
// directions, or become permanently silent. The store is down, silent, loses answers or
// drops its history. Upstreams fail, corrupt or lose answers, and restart. Faults may
// follow one another closely and overlap. Which requests are affected by which fault
// depends on the timing of the machine, so a seed determines the schedule but not the
// whole run.
//
// An entry follows an agent if it polls the agent itself; see package core/follow.
//
// The package signals only processes that it has started.
package soak
