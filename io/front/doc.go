// Package front implements the HTTP interface that an entry offers to callers.
//
// It serves models under the paths of the OpenAI API and plain services under
// /services/. It authenticates callers by their bearer keys, checks requests,
// deadlines and idempotency keys, and writes whole or streamed answers with
// their outcomes and typed errors. Handler.Serve, which the entry sets, runs the
// requests in between.
package front
