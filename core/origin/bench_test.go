package origin_test

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"radishwell/core"
	"radishwell/core/origin"
)

// BenchmarkTable reports the memory of a record that came from another entry, whose names are
// strings of its own.
func BenchmarkTable(b *testing.B) {
	const records = 20_000
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		var table origin.Table
		for n := range records {
			r := record(n, start.Add(time.Minute))
			r.Origin = core.StreamOrigin{
				Service: core.ServiceName(strings.Clone("yego40a")), Software: core.SoftwareVersion(strings.Clone("v1.1")),
				Host: core.HostName(fmt.Sprintf("i-%010x", n)),
			}
			table.Put(start, r)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/records, "bytes/record")
		runtime.KeepAlive(&table)
	}
}
