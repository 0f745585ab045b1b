// Package pace measures how fast an engine advances the streams that it runs.
//
// The load that it answers: long prompts and streams share engines of uneven speed. An
// engine reads a prompt in pieces between the tokens of its streams, so that each token
// takes many times longer while it reads. On a slow engine, or one that has turned slow,
// the events of a stream then come later than its callers accept, though the engine
// reports no failure and answers new requests in time.
//
// A Meter is fed with the reports of one incarnation of an engine, by the agent beside it.
// It compares the numbers of events that streams had made in two consecutive reports,
// apart for the time in which the engine read prompts and the time in which it did not.
// The room that a slow engine has for prompts follows from both (see core/room).
package pace
