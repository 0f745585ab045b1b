package meter_test

import (
	"bytes"
	"fmt"
	"net/http/httptest"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"radishwell/core"
	"radishwell/io/meter"
)

const pageHead = `# Metrics

A process serves its metrics in the Prometheus text format under ` + "`/metrics`" + ` at
` + "`listen.operators`" + `, together with those of the Go runtime and the process (` + "`go_*`" + `,
` + "`process_*`" + `). No metric is labelled by model, adapter, owner or caller; use
` + "`radishwell explain`" + ` for a single one.

This page is generated from the table in io/meter/table.go, and tests compare it with that
table and with the metrics that a process serves;
` + "`go test ./io/meter -run TestPage -update`" + ` regenerates it.

| metric | kind | labels | unit | meaning |
| --- | --- | --- | --- | --- |
`

func TestPage(t *testing.T) {
	var b strings.Builder
	b.WriteString(pageHead)
	for _, r := range meter.Rows() {
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s |\n", r.Name, r.Kind, strings.Join(r.Labels, ", "), r.Unit, r.Text)
	}
	golden.Assert(t, b.String(), "../../../docs/METRICS.md")
}

var began = time.Unix(1_800_000_000, 0)

func after(d time.Duration) time.Time { return began.Add(d) }

// used returns a Meter after calls of all its methods.
func used() *meter.Meter {
	m := meter.New()
	refusal := core.Refuse(core.CodeQueueFull, "full")
	m.Request(core.Interactive, nil, began, after(time.Second), after(2*time.Second), true)
	m.Request(core.Evening, refusal, began, time.Time{}, after(time.Millisecond), false)
	m.Hop(meter.AgentQueue, began, after(300*time.Microsecond))
	m.Load(core.TierStore, true, began, after(20*time.Second))
	m.Load(core.TierDisk, false, began, after(time.Second))
	m.Unload(meter.UnloadIdle)
	m.Accelerators(4, false, began, after(90*time.Second))
	m.Accelerators(2, true, began, after(30*time.Second))
	m.Retry(true)
	m.Retry(false)
	m.SentDespiteSignal(meter.SignalLimited)
	m.LimitedUpstreams(func() int { return 1 })
	m.Waiting(func() int { return 4 })
	m.RoomAsked(true)
	m.HeldBytes(func() core.Bytes { return 5 })
	m.SpareRetries(func() float64 { return 1 })
	m.SlowCallerEnded()
	m.Send(true)
	m.RetriesBorrowed(3)
	m.Turn(meter.TurnHeld, 200*time.Millisecond)
	m.Foresight(time.Second, 1200*time.Millisecond)
	m.AnswerLength(200, 150)
	m.PromptTokens(9000, 3000)
	m.CachedParts(func() int { return 7 })
	m.EnginePace(func() core.Pace { return core.Pace{Event: 30 * time.Millisecond, ReadingEvent: time.Second} })
	m.RefusedParts(func() int { return 1 })
	m.ConnectionRefused("busy")
	m.ReplicaLag(core.KindTable, func() time.Duration { return 2 * time.Second })
	m.ReplicaAge(core.KindTable, func() time.Duration { return time.Second })
	m.ReplicaArrival(core.KindTable, "download", began, after(2*time.Second))
	m.UpstreamAnswer(core.Unframed, false)
	m.StreamContinued(true, core.SoftwareSame)
	m.AnswerBytes(120)
	m.Platform(meter.UpdateStatus, &core.PlatformError{Fault: core.Conflict}, began, after(5*time.Millisecond))
	m.Peer("Sync", true)
	m.Traffic(100, 2000)
	m.SilentConnection()
	m.Strike(true)
	m.Trial(true)
	m.Claim(meter.ClaimHeld)
	m.Queue(core.Overnight, func() int { return 3 })
	m.Running(core.Overnight, func() int { return 2 })
	m.Memory(meter.MemoryFree, func() core.Bytes { return core.GiB })
	m.Entries("pending", func() int { return 1 })
	m.Revision(func() uint64 { return 9 })
	m.Decider(func() bool { return true })
	return m
}

func text(m *meter.Meter) string {
	var b bytes.Buffer
	m.Write(&b)
	return b.String()
}

func TestValues(t *testing.T) {
	got := text(used())
	for _, line := range []string{
		`radishwell_requests_total{class="interactive",outcome="done",code="none"} 1`,
		`radishwell_requests_total{class="evening",outcome="not-run",code="queue-full"} 1`,
		`radishwell_cold_start_seconds_sum{class="interactive"} 1`,
		`radishwell_hop_seconds_bucket{hop="agent-queue",le="0.0005"} 1`,
		`radishwell_loads_total{source="store",result="ok"} 1`,
		`radishwell_loads_total{source="disk",result="failed"} 1`,
		`radishwell_accelerator_idle_seconds_total 360`,
		`radishwell_accelerator_busy_seconds_total 60`,
		`radishwell_platform_calls_total{verb="update-status",result="conflict"} 1`,
		`radishwell_peer_bytes_total{direction="received"} 2000`,
		`radishwell_queue_length{class="overnight"} 3`,
		`radishwell_accelerator_memory_bytes{state="free"} 1073741824`,
		`radishwell_decider 1`,
		`radishwell_turns_total{outcome="held"} 1`,
		`radishwell_held_seconds_sum 0.2`,
		`radishwell_waiting_requests 4`,
		`radishwell_foresight_error_seconds_sum{direction="later"} 0.2`,
		`radishwell_engine_event_seconds{while="reading"} 1`,
	} {
		assert.Assert(t, strings.Contains(got, line+"\n"), "%s is not in\n%s", line, got)
	}
}

// TestTableIsComplete guards against metrics that are served but missing in the table,
// or listed but never served, or that have other labels than listed.
func TestTableIsComplete(t *testing.T) {
	series := regexp.MustCompile(`(?m)^(radishwell_\w+?)(_bucket|_sum|_count)?(?:\{(.*)\})? `)
	label := regexp.MustCompile(`(\w+)="`)
	served := map[string]string{}
	for _, m := range series.FindAllStringSubmatch(text(used()), -1) {
		var labels []string
		for _, l := range label.FindAllStringSubmatch(m[3], -1) {
			if l[1] != "le" {
				labels = append(labels, l[1])
			}
		}
		served[m[1]] = strings.Join(labels, ",")
	}
	listed := map[string]string{}
	for _, r := range meter.Rows() {
		listed[r.Name] = strings.Join(r.Labels, ",")
	}
	assert.DeepEqual(t, served, listed)
}

func TestHandler(t *testing.T) {
	w := httptest.NewRecorder()
	used().Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	assert.Equal(t, w.Code, 200)
	assert.Assert(t, strings.Contains(w.Body.String(), "radishwell_decider 1"))
	assert.Assert(t, strings.Contains(w.Body.String(), "go_goroutines"))
}

func TestNilCountsNothing(t *testing.T) {
	var m *meter.Meter
	m.Request(core.Evening, nil, began, began, began, true)
	m.Queue(core.Evening, func() int { return 0 })
	m.SilentConnection()
	assert.Equal(t, text(m), "")
}

func TestMetersAreApart(t *testing.T) {
	one, two := meter.New(), meter.New()
	one.Strike(false)
	assert.Equal(t, text(two), "")
}

// TestNegativeTimesAreLeftOut guards against negative values if times are out of order,
// as with a caller whose clock is ahead.
func TestNegativeTimesAreLeftOut(t *testing.T) {
	m := meter.New()
	m.Accelerators(1, true, after(time.Second), began)
	m.Hop(meter.Stream, after(time.Second), began)
	assert.Assert(t, !slices.ContainsFunc(strings.Split(text(m), "\n"), func(l string) bool {
		return strings.Contains(l, " -")
	}))
}

func BenchmarkRequest(b *testing.B) {
	m := meter.New()
	for b.Loop() {
		m.Request(core.Interactive, nil, began, after(time.Second), after(2*time.Second), false)
	}
}

func BenchmarkHop(b *testing.B) {
	m := meter.New()
	for b.Loop() {
		m.Hop(meter.Stream, began, after(time.Second))
	}
}
