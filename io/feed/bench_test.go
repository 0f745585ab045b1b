package feed

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"radishwell/core"
	"radishwell/core/digest"
	"radishwell/core/fleet"
	"radishwell/core/follow"
	"radishwell/io/events"
	"radishwell/io/proxy"
	"radishwell/wire"
)

func TestMain(m *testing.M) {
	events.Discard()
	m.Run()
}

type wallClock struct{}

func (wallClock) Now() time.Time { return time.Now() }

// benchFeed returns a relay that knows a number of hosts, each with three models and
// eight adapters.
func benchFeed(hosts int) *Feed {
	p := &proxy.Proxy{Clock: wallClock{}}
	p.Start()
	f := &Feed{Self: follow.Member{Name: "relay"}, Clock: wallClock{}, Proxy: p}
	f.Start()
	f.choice = follow.Choice{Scope: follow.Centres}
	for i := range hosts {
		f.Put(benchHost(i, 0))
	}
	return f
}

func benchHost(i, waiting int) digest.Host {
	h := digest.Host{
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 80),
		Report: fleet.Report{
			ID: core.HostName(fmt.Sprintf("i-%08x", i)), Taken: time.Now(), Reachable: true, Waiting: waiting,
			Running: 12, Reading: 5000, Active: map[core.ModelName]int{},
		},
	}
	for m := range 3 {
		held := core.HeldModel{Model: core.ModelName(fmt.Sprintf("model-%04d", (i+m)%430)), Version: 1}
		if m == 0 {
			held.Adapters = []string{"a1", "a2", "a3", "a4", "a5", "a6", "a7", "a8"}
		}
		h.Report.Models = append(h.Report.Models, held)
		h.Report.Active[held.Model] = 4
	}
	return h
}

// BenchmarkAnswer measures one reply of a relay in which the figures of half of the hosts
// have changed, its size, and its processing by the entry that polls. The numbers of
// hosts are those of the largest fleet in use and of the one that the system is designed
// for.
func BenchmarkAnswer(b *testing.B) {
	for _, hosts := range []int{180, 640} {
		b.Run(fmt.Sprint(hosts), func(b *testing.B) {
			f := benchFeed(hosts)
			entry := benchFeed(0)
			entry.choice = follow.Choice{Scope: follow.None}
			r := &relay{member: f.Self}
			entry.relays[f.Self.Name] = r
			call := &wire.DigestCall{Entry: "poller"}
			f.recordCall(call)
			bytes := 0
			for i := 0; b.Loop(); i++ {
				for h := range hosts / 2 {
					f.Put(benchHost(h, i%7))
				}
				reply := f.buildReply(call)
				call.Epoch, call.Seen = reply.GetEpoch(), reply.GetChange()
				out, err := proto.Marshal(reply)
				if err != nil {
					b.Fatal(err)
				}
				bytes += len(out)
				entry.mu.Lock()
				entry.applyReply(time.Now(), r, call, sentOnce{}, reply)
				entry.mu.Unlock()
			}
			b.ReportMetric(float64(bytes)/float64(b.N), "B/answer")
		})
	}
}
