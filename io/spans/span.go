package spans

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"radishwell/core"
	"radishwell/io/meter"
)

// Span is a running span of a request. The zero Span does nothing. Spans are small and are
// passed by value.
type Span struct {
	tracer *Tracer
	// span is nil if the process creates no traces.
	span trace.Span
	// parent is the traceparent received, which is passed on if span is nil.
	parent string
}

var w3c propagation.TraceContext

// Request starts the span of a request in this process. traceparent is that received from
// the caller or from the previous process; if it is empty or malformed, a new trace is
// started.
func (t *Tracer) Request(traceparent string, r core.Request, began time.Time) Span {
	if t == nil || t.tracer == nil {
		return Span{parent: validTraceparent(traceparent)}
	}
	ctx := w3c.Extract(context.Background(), propagation.MapCarrier{"traceparent": traceparent})
	_, span := t.tracer.Start(ctx, "request",
		trace.WithTimestamp(began),
		trace.WithSpanKind(trace.SpanKindServer),
	)
	if span.IsRecording() {
		span.SetAttributes(
			attribute.String("radishwell.request-id", string(r.ID)),
			attribute.String("radishwell.target", r.Target.Name()),
			attribute.String("radishwell.service", string(r.Target.Service)),
			attribute.String("radishwell.owner", string(r.Owner)),
			attribute.String("radishwell.class", r.Class.String()),
		)
	}
	return Span{tracer: t, span: span}
}

// validTraceparent returns a traceparent if it is well-formed, and "" otherwise. A
// malformed one from a caller is not passed on, so that engines need not handle it.
func validTraceparent(traceparent string) string {
	if traceparent == "" {
		return ""
	}
	ctx := w3c.Extract(context.Background(), propagation.MapCarrier{"traceparent": traceparent})
	if !trace.SpanContextFromContext(ctx).IsValid() {
		return ""
	}
	return traceparent
}

// Hop records a hop that has ended as a child of the span.
func (s Span) Hop(h meter.Hop, began, ended time.Time) {
	if s.span == nil || !s.span.IsRecording() {
		return
	}
	ctx := trace.ContextWithSpan(context.Background(), s.span)
	_, child := s.tracer.tracer.Start(ctx, h.String(), trace.WithTimestamp(began))
	child.End(trace.WithTimestamp(ended))
}

// Upstream adds the host to which the request was forwarded, and whether the request
// waited for a load, to the span.
func (s Span) Upstream(host core.HostName, cold bool) {
	if s.span == nil || !s.span.IsRecording() {
		return
	}
	s.span.SetAttributes(
		attribute.String("radishwell.upstream", string(host)),
		attribute.Bool("radishwell.cold", cold),
	)
}

// End ends the span. r is nil if the outcome of the request is done.
func (s Span) End(r *core.Refusal, at time.Time) {
	if s.span == nil {
		return
	}
	if s.span.IsRecording() {
		s.setOutcome(r)
	}
	s.span.End(trace.WithTimestamp(at))
}

func (s Span) setOutcome(r *core.Refusal) {
	if r == nil {
		s.span.SetAttributes(attribute.String("radishwell.outcome", core.Done.String()))
		return
	}
	s.span.SetAttributes(
		attribute.String("radishwell.outcome", r.Outcome.String()),
		attribute.String("radishwell.code", string(r.Code)),
	)
	s.span.SetStatus(codes.Error, r.Reason)
}

// Traceparent returns the value of the W3C traceparent field for the next process. It is
// empty if there is no trace.
func (s Span) Traceparent() string {
	if s.span == nil {
		return s.parent
	}
	carrier := propagation.MapCarrier{}
	w3c.Inject(trace.ContextWithSpan(context.Background(), s.span), carrier)
	return carrier["traceparent"]
}
