package peer

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"radishwell/core"
	"radishwell/core/parts"
	"radishwell/wire"
)

func partRecords(n, crashes int) (out []parts.Record) {
	at := time.Unix(1_760_000_000, 123)
	for i := range n {
		r := parts.Record{Part: parts.Name(fmt.Sprintf("qalam/%08x", i))}
		if i%2 == 0 {
			r.ServedAt = at
		}
		for c := range crashes {
			r.Crashes = append(r.Crashes, parts.Crash{Upstream: core.HostName(fmt.Sprintf("i-%08x@%d", c, 10+c)), At: at.Add(time.Duration(c)), Tried: c%2 == 0, Requests: c, Ran: time.Duration(i)})
			r.Answers = append(r.Answers, parts.Answer{At: at.Add(time.Duration(c)), Tried: c%2 == 1})
			r.Tries = append(r.Tries, parts.Try{At: at.Add(time.Duration(c)), Void: c%2 == 0})
		}
		out = append(out, r)
	}
	return out
}

func TestPartsKeepTheirWireForm(t *testing.T) {
	for _, n := range []int{1, 3} {
		list := partRecords(n, n)
		assert.DeepEqual(t, DecodeParts(EncodeParts(list)), list)
	}
}

// BenchmarkEncodeParts reports the size of the records in one message.
func BenchmarkEncodeParts(b *testing.B) {
	for _, n := range []int{1, 8, 32} {
		b.Run(fmt.Sprint(n, " records"), func(b *testing.B) {
			list := partRecords(n, 8)
			size := 0
			for range b.N {
				size = proto.Size(&wire.SyncCall{Parts: EncodeParts(list)})
			}
			b.ReportMetric(float64(size), "bytes/message")
		})
	}
}
