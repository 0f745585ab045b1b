// Package relay carries answers from an agent to an entry: a stream of framed
// messages on an HTTP/2 response, and the bounded buffer from which an answer
// is resumed at an offset after a connection was lost.
package relay
