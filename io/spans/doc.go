// Package spans makes traces: a span for each hop of a request, sent to an
// OTLP/HTTP collector where one is set. Trace context travels in the W3C
// traceparent field, from the caller through entry and agent to the engine, also
// where no collector is set.
//
// Sending never holds a request up: spans wait in a bounded queue, and those that
// do not fit are dropped.
package spans
