package admit_test

import (
	"fmt"
	"testing"
	"time"

	"radishwell/core"
	"radishwell/core/admit"
)

// BenchmarkTake measures the admission of one request at a keeper that holds
// the shares of all entries.
func BenchmarkTake(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n, " entries"), func(b *testing.B) {
			now := time.Unix(1000, 0)
			k := &admit.Keeper{Tolerance: tolerance, Since: now}
			for i := 1; i < n; i++ {
				k.Renew(now, core.HostName(fmt.Sprintf("e-%03d", i)), now.Add(time.Hour))
			}
			limit := allowanceOf(1e12)
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Microsecond)
				k.Take(now, "c", limit, n, 100)
			}
		})
	}
}
