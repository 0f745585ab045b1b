// Package room judges which room an engine has for a prompt beside the streams that it runs.
//
// The load that it answers: requests with long prompts arrive at engines that run streams
// whose callers accept only short pauses. While an engine reads prompts, each event of its
// streams takes longer. A quick engine still makes events in time; a slow one does so only
// if it reads for less than the accepted pause without a break. Slots and memory are free
// all the while, so counts of requests show nothing.
//
// An engine whose prompt memory runs out puts requests back that it has begun, and reads their
// prompts again, so a request goes where it fits at its foreseen length (see core/length).
//
// The pace of each engine is measured beside it (see core/pace).
package room
