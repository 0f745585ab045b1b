// Package spans creates traces with a span for each hop of a request, and exports them to
// an OTLP/HTTP collector if one is set. The trace context is passed in the W3C traceparent
// header field from the caller through entry and agent to the engine, even if there is no
// collector.
//
// Exporting never delays a request: spans wait in a bounded queue, and those that do not
// fit are dropped.
package spans
