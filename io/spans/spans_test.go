package spans_test

import (
	"context"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	sdk "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"
	"gotest.tools/v3/assert"

	"radishwell/core"
	"radishwell/io/config"
	"radishwell/io/meter"
	"radishwell/io/spans"
)

const parent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"

var began = time.Unix(1_800_000_000, 0)

var request = core.Request{
	ID:     "r-1",
	Target: core.Target{Service: "qalam", Model: "ledger"},
	Owner:  "nadi",
	Class:  core.Evening,
}

// traced runs a function with a Tracer and returns the exported spans.
func traced(t *testing.T, ratio float64, run func(*spans.Tracer)) tracetest.SpanStubs {
	t.Helper()
	exporter := &memoryExporter{}
	tracer := &spans.Tracer{Ratio: ratio, Role: config.Entry, Host: "entry-1", Exporter: exporter}
	assert.NilError(t, tracer.Start(t.Context()))
	run(tracer)
	assert.NilError(t, tracer.Stop(t.Context()))
	return exporter.spans
}

// memoryExporter is an exporter that retains its spans after Shutdown.
type memoryExporter struct{ spans tracetest.SpanStubs }

func (e *memoryExporter) ExportSpans(_ context.Context, all []sdk.ReadOnlySpan) error {
	e.spans = append(e.spans, tracetest.SpanStubsFromReadOnlySpans(all)...)
	return nil
}

func (e *memoryExporter) Shutdown(context.Context) error { return nil }

func TestRequestAndHops(t *testing.T) {
	var next string
	got := traced(t, 0, func(tr *spans.Tracer) {
		s := tr.Request(parent, request, began)
		s.Hop(meter.EntryQueue, began.Add(time.Millisecond), began.Add(3*time.Millisecond))
		s.Upstream("agent-1", true)
		next = s.Traceparent()
		s.End(core.Refuse(core.CodeNoHost, "none"), began.Add(time.Second))
	})
	assert.Equal(t, len(got), 2)
	hop, whole := got[0], got[1]
	assert.Equal(t, hop.Name, "entry-queue")
	assert.Equal(t, hop.EndTime.Sub(hop.StartTime), 2*time.Millisecond)
	assert.Equal(t, hop.Parent.SpanID(), whole.SpanContext.SpanID())
	assert.Equal(t, whole.SpanContext.TraceID().String(), parent[3:35])
	assert.Equal(t, whole.Parent.SpanID().String(), parent[36:52])
	assert.Equal(t, next[3:35], parent[3:35])
	assert.Equal(t, next[36:52], whole.SpanContext.SpanID().String())
	assert.Equal(t, whole.EndTime, began.Add(time.Second))
	attributes := ""
	for _, a := range whole.Attributes {
		attributes += string(a.Key) + "=" + a.Value.String() + " "
	}
	assert.Assert(t, strings.Contains(attributes, "radishwell.request-id=r-1"), attributes)
	assert.Assert(t, strings.Contains(attributes, "radishwell.outcome=not-run radishwell.code=no-host"), attributes)
}

func TestSampling(t *testing.T) {
	run := func(traceparent string) func(*spans.Tracer) {
		return func(tr *spans.Tracer) {
			s := tr.Request(traceparent, request, began)
			s.Hop(meter.Stream, began, began)
			s.End(nil, began)
		}
	}
	unsampled := strings.TrimSuffix(parent, "01") + "00"
	assert.Equal(t, len(traced(t, 0, run(""))), 0)
	assert.Equal(t, len(traced(t, 1, run(""))), 2)
	assert.Equal(t, len(traced(t, 1, run(unsampled))), 0, "the caller's decision takes precedence")
	assert.Equal(t, len(traced(t, 1, run("garbage"))), 2)
}

func TestOffPassesContextOn(t *testing.T) {
	tracer := &spans.Tracer{}
	assert.NilError(t, tracer.Start(t.Context()))
	for given, want := range map[string]string{parent: parent, "": "", "garbage": "", strings.Repeat("0", 9000): ""} {
		s := tracer.Request(given, request, began)
		s.Hop(meter.Stream, began, began)
		s.End(nil, began)
		assert.Equal(t, s.Traceparent(), want)
	}
	assert.NilError(t, tracer.Stop(t.Context()))
	perRun := testing.AllocsPerRun(100, func() {
		s := tracer.Request("", request, began)
		s.Hop(meter.Stream, began, began)
		s.End(nil, began)
	})
	assert.Equal(t, perRun, 0.0)
}

// TestSilentCollector guards against requests that wait for a collector which accepts
// connections and never responds. Stop must return when its context ends.
func TestSilentCollector(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	tracer := &spans.Tracer{
		Ratio:     1,
		Collector: config.Origin{Addr: netip.MustParseAddrPort(listener.Addr().String())},
	}
	assert.NilError(t, tracer.Start(t.Context()))
	for range 20_000 {
		tracer.Request("", request, began).End(nil, began)
	}
	stopping, cancel := context.WithCancel(t.Context())
	cancel()
	assert.Assert(t, tracer.Stop(stopping) != nil)
}

func BenchmarkOff(b *testing.B) {
	tracer := &spans.Tracer{}
	for b.Loop() {
		s := tracer.Request(parent, request, began)
		s.Hop(meter.Stream, began, began)
		s.End(nil, began)
	}
}
