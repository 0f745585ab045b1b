// Package relay carries answers from an agent to an entry. An answer is a stream of
// length-prefixed protobuf messages, called frames, in the body of an HTTP/2 response.
// The agent keeps a bounded part of it in a Spool, so that an entry whose connection was
// lost can resume the answer at an offset. The package is unrelated to the relays of
// package feed, which are entries.
package relay
