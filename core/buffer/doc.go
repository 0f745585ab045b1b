// Package buffer accounts for the bytes that a process holds for callers and upstreams.
//
// The load that it answers: hundreds of callers read their answers slowly, or send their bodies
// slowly, and a process with little memory holds bodies, whole answers and events for each of
// them, until the platform ends it for its memory and everybody loses.
//
// One Account holds all of it against one bound. As the bound comes nearer the process first
// buffers no more answers but passes them on as they arrive, so that upstreams wait; then it
// refuses new requests; and as long as it has to, or holds more than the bound, it ends the
// caller that holds most of those that have not taken anything for a while.
package buffer
