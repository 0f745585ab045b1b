package resume_test

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/core"
	"radishwell/core/follow"
	"radishwell/core/origin"
	"radishwell/io/peer"
	"radishwell/io/resume"
)

// connected are entries that call each other over loopback.
type connected struct {
	*entry
	client *peer.Client
}

func connect(b *testing.B, n int) (out []*connected) {
	b.Helper()
	var members []follow.Member
	for i := range n {
		e := &connected{entry: &entry{}, client: &peer.Client{}}
		name := core.HostName(fmt.Sprint("edge-", i))
		others := func() (list []follow.Member) {
			for _, m := range members {
				if m.Name != name {
					list = append(list, m)
				}
			}
			return list
		}
		e.Exchange = &resume.Exchange{Clock: realClock{}, Caller: e.client, Records: &e.records, Members: others}
		e.Start()
		srv := &peer.Server{Address: netip.MustParseAddrPort("127.0.0.1:0"), Handler: &peer.Handler{Keep: e.ServeKeep, Find: e.ServeFind}}
		assert.NilError(b, srv.Listen())
		ctx, stop := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- srv.Run(ctx) }()
		b.Cleanup(func() {
			e.client.Close()
			stop()
			<-ended
		})
		members = append(members, follow.Member{Name: name, Control: srv.Address})
		out = append(out, e)
	}
	return out
}

// BenchmarkFind measures the question where a stream began, and the bytes that all entries asked
// send and receive for it.
func BenchmarkFind(b *testing.B) {
	for _, n := range []int{11, 36, 107} { // of 30, 100 and 300 hosts
		b.Run(fmt.Sprint(n, " entries"), func(b *testing.B) {
			all := connect(b, n)
			until := time.Now().Add(time.Hour)
			for i := range 256 {
				r := origin.Record{Key: origin.KeyOf(core.RequestID(fmt.Sprint(i))), Origin: began, Until: until}
				for _, e := range all[1:] {
					e.KeepOrigins([]origin.Record{r})
				}
			}
			asking := all[0]
			b.ResetTimer()
			for i := range b.N {
				a := asking.Find(b.Context(), core.RequestID(fmt.Sprint(i%256)), "llm")
				assert.Assert(b, a.Found)
			}
			sent, received := asking.client.Traffic()
			b.ReportMetric(float64(sent+received)/float64(b.N), "bytes/op")
		})
	}
}

// BenchmarkShare measures the time from the beginning of a stream until its record has been sent to
// all holders, one stream at a time, and the bytes.
func BenchmarkShare(b *testing.B) {
	for _, n := range []int{11, 36, 107} {
		b.Run(fmt.Sprint(n, " entries"), func(b *testing.B) {
			all := connect(b, n)
			first := all[0]
			ctx, stop := context.WithCancel(context.Background())
			ended := make(chan error, 1)
			go func() { ended <- first.Run(ctx) }()
			b.ResetTimer()
			for i := range b.N {
				attempt := core.RequestID(fmt.Sprint("q-", i))
				first.mu.Lock()
				first.table.PutOwn(time.Now(), origin.Record{Key: origin.KeyOf(attempt), Origin: began, Until: time.Now().Add(time.Minute)})
				first.mu.Unlock()
				first.Share()
				for copies := 0; copies < 4; {
					copies = 0
					for _, e := range all[1:] {
						if e.has(attempt) {
							copies++
						}
					}
				}
			}
			b.StopTimer()
			stop()
			<-ended
			sent, received := first.client.Traffic()
			b.ReportMetric(float64(sent+received)/float64(b.N), "bytes/op")
		})
	}
}
