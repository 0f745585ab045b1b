package claims

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/core"
	"radishwell/core/dedupe"
)

// submitAtRate submits claims to journals at a constant rate for some seconds. It returns
// the writes and bytes per second at the platform and the longest wait of a claim.
func submitAtRate(journals int, interval time.Duration, segment core.Bytes, rate, seconds, agents int) (writes, bytes float64, maxWait time.Duration) {
	all := make([]*direct, journals)
	submitted := make(map[uint64]time.Time)
	for i := range all {
		all[i] = newDirect(&Journal{Number: i, Slots: 256, SegmentBytes: segment, MaxWaiting: 100_000, interval: interval})
		all[i].token = uint64(i) << 32
	}
	due := make([]time.Time, journals)
	claim := 0
	for now := start; now.Before(start.Add(time.Duration(seconds) * time.Second)); now = now.Add(time.Millisecond) {
		for until := int(now.Sub(start).Seconds() * float64(rate)); claim < until; claim++ {
			c := claimOf(claim, 1, uint64(claim), now)
			c.Host = core.HostName(fmt.Sprintf("upstream-%04d", claim%agents))
			d := all[journalOf(c.ID, journals)]
			submitted[d.token+1] = now
			d.submit(now, c)
		}
		for i, d := range all {
			if !now.Before(due[i]) {
				d.tick(now)
				due[i] = d.j.NextTick()
			}
			for token := range d.answers {
				maxWait = max(maxWait, now.Sub(submitted[token]))
				delete(d.answers, token)
			}
		}
	}
	for _, d := range all {
		writes += float64(d.j.Counts().Writes) / float64(seconds)
		bytes += float64(d.bytes) / float64(seconds)
	}
	return writes, bytes, maxWait
}

// TestWritesDontGrowWithClaims checks that claims are written in groups. Keyed
// requests arrive at 50, 500 and 5,400 per second. At 5,400, one write each would
// exceed the several hundred writes per second that the platform accepts.
func TestWritesDontGrowWithClaims(t *testing.T) {
	for _, rate := range []int{50, 500, 5400} {
		writes, bytes, worst := submitAtRate(4, GroupInterval, 128*core.KiB, rate, 2, 18)
		t.Logf("%d claims/s: %.0f writes/s, %.0f KiB/s, longest wait %v", rate, writes, bytes/1024, worst)
		const perSegment = 1500 // lower bound of the claims in 128 KiB
		assert.Assert(t, writes <= 4*float64(time.Second/GroupInterval)+float64(rate)/perSegment+1)
		assert.Assert(t, worst <= GroupInterval+time.Millisecond)
	}
}

func BenchmarkWrites(b *testing.B) {
	for _, journals := range []int{2, 4, 8} {
		for _, interval := range []time.Duration{20 * time.Millisecond, GroupInterval, 100 * time.Millisecond} {
			for _, segment := range []core.Bytes{64 * core.KiB, 128 * core.KiB, 512 * core.KiB} {
				for _, rate := range []int{500, 5400} {
					name := fmt.Sprintf("journals=%d/interval=%v/segment=%v/claims=%d", journals, interval, segment, rate)
					b.Run(name, func(b *testing.B) {
						for b.Loop() {
							writes, bytes, worst := submitAtRate(journals, interval, segment, rate, 20, 18)
							b.ReportMetric(writes, "writes/s")
							b.ReportMetric(bytes/1024, "KiB/s")
							b.ReportMetric(float64(worst.Milliseconds()), "ms-wait")
						}
					})
				}
			}
		}
	}
}

// BenchmarkClaim measures the cost of a claim at an entry, in groups of 25.
func BenchmarkClaim(b *testing.B) {
	d := newDirect(&Journal{Slots: 256, SegmentBytes: 128 * core.KiB, MaxWaiting: 1000})
	now := start
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		c := claimOf(i, 1, 1, now)
		c.Expires = ExpiryOf(now, time.Minute)
		d.submit(now, c)
		if i%25 == 0 {
			now = now.Add(GroupInterval)
			d.tick(now)
		}
		clear(d.answers)
	}
}

// BenchmarkKeys measures an entry's memory per key.
func BenchmarkKeys(b *testing.B) {
	for b.Loop() {
		var x index
		before := heapInUse()
		const keys = 500_000
		for i := range keys {
			c := claimOf(0, 1, uint64(i), start)
			c.ID = dedupe.KeyOf("owner", fmt.Sprint(i))
			x.apply(c, 1)
		}
		b.ReportMetric(float64(heapInUse()-before)/keys, "B/key")
		runtime.KeepAlive(&x)
	}
}

func heapInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
