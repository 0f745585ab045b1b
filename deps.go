//go:build deps

// Package deps names modules that are about to be used.
package deps

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/VictoriaMetrics/metrics"
	_ "github.com/alecthomas/kong"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/go-kratos/kratos/v2"
	_ "github.com/go-kratos/kratos/v2/transport/http"
	_ "github.com/goccy/go-yaml"
	_ "github.com/goccy/go-yaml/ast"
	_ "github.com/openai/openai-go"
	_ "github.com/rogpeppe/go-internal/testscript"
	_ "github.com/samber/oops"
	_ "go.opentelemetry.io/otel"
	_ "go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	_ "go.opentelemetry.io/otel/sdk/trace"
	_ "golang.org/x/sync/errgroup"
	_ "golang.org/x/time/rate"
	_ "google.golang.org/protobuf/proto"
	_ "gotest.tools/v3/assert"
	_ "k8s.io/klog/v2"
	_ "pgregory.net/rapid"
)
