package spans

import (
	"context"
	"time"

	"github.com/samber/oops"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/sdk/resource"
	sdk "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"

	"radishwell/core"
	"radishwell/io/config"
	"radishwell/io/events"
)

const (
	// queueSize is the number of spans that wait for export. It holds the spans of a few
	// seconds on the busiest process; if the collector is slower, spans are lost.
	queueSize     = 8192
	batchSize     = 512
	exportTimeout = 5 * time.Second
)

// Tracer creates the spans of one process. Its fields must be set before Start. A Tracer
// without a Collector creates no spans and passes on the callers' trace context.
type Tracer struct {
	// Collector is the OTLP/HTTP collector; the zero value means none.
	Collector config.Origin
	// Ratio is the fraction of requests that are traced if the caller does not decide it.
	Ratio float64
	Role  config.Role
	Host  core.HostName
	// Exporter, if set, replaces the Collector; it is for tests.
	Exporter sdk.SpanExporter

	provider *sdk.TracerProvider
	tracer   trace.Tracer
}

// Start prepares the export. It does not connect to the collector, so that it returns at
// once and succeeds while the collector is down.
func (t *Tracer) Start(ctx context.Context) error {
	exporter := t.Exporter
	if exporter == nil {
		if !t.Collector.IsSet() {
			return nil
		}
		otlp, err := t.newExporter(ctx)
		if err != nil {
			return oops.In("spans").Wrapf(err, "prepare trace export")
		}
		exporter = otlp
	}
	otel.SetErrorHandler(otel.ErrorHandlerFunc(func(err error) {
		events.Fail(events.TraceExportFailed, err)
	}))
	t.provider = sdk.NewTracerProvider(
		sdk.WithBatcher(exporter,
			sdk.WithMaxQueueSize(queueSize),
			sdk.WithMaxExportBatchSize(batchSize),
			sdk.WithExportTimeout(exportTimeout),
		),
		sdk.WithSampler(sdk.ParentBased(sdk.TraceIDRatioBased(t.Ratio))),
		sdk.WithResource(resource.NewSchemaless(
			attribute.String("service.name", "radishwell-"+string(t.Role)),
			attribute.String("host.name", string(t.Host)),
		)),
	)
	t.tracer = t.provider.Tracer("radishwell")
	return nil
}

func (t *Tracer) newExporter(ctx context.Context) (sdk.SpanExporter, error) {
	options := []otlptracehttp.Option{
		otlptracehttp.WithEndpoint(t.Collector.Addr.String()),
		otlptracehttp.WithTimeout(exportTimeout),
	}
	if !t.Collector.TLS {
		options = append(options, otlptracehttp.WithInsecure())
	}
	return otlptracehttp.New(ctx, options...)
}

// Stop exports the waiting spans and stops the export. It returns an error if ctx ends
// first.
func (t *Tracer) Stop(ctx context.Context) error {
	if t.provider == nil {
		return nil
	}
	return oops.In("spans").Wrapf(t.provider.Shutdown(ctx), "stop trace export")
}
