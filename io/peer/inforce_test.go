package peer

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/core"
)

var (
	inForceSeeds = flag.Int("in-force-seeds", 3, "number of seeds that TestChangeIsInForceInTime plays")
	inForceHosts = flag.Int("in-force-hosts", 25, "number of hosts in TestChangeIsInForceInTime")
)

// The time within which the platform wants a change to be in force in fleets like that of
// TestChangeIsInForceInTime, and the time without trouble after which it counts a process as in
// touch.
const (
	applyTime   = 3 * time.Second
	contactTime = 4 * time.Second
)

// newWorld returns a fleet of which a quarter has wide links. Of the others, some have processors
// that are full.
func newWorld(seed uint64, hosts int) *world {
	w := &world{
		rand: rand.New(rand.NewPCG(seed, 1)), byAt: map[netip.AddrPort]*worldHost{}, failed: make(chan error, 2*hosts),
		store: &worldStore{objects: map[core.Kind]map[string]core.Object{}, changed: make(chan struct{}), version: 100},
	}
	for i := range hosts {
		at := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 9000)
		h := &worldHost{world: w, self: Target{Host: core.HostName(fmt.Sprintf("edge-%d", i)), Address: at}, rate: 25e6}
		if i%4 != 0 {
			h.rate = 1.25e6
			if w.intN(2) == 0 {
				h.delay = w.within(0, 450*time.Millisecond)
			}
		}
		w.hosts = append(w.hosts, h)
		w.byAt[at] = h
	}
	return w
}

// trouble has one thing happen to the fleet or the store.
func (w *world) trouble() {
	host := w.hosts[w.intN(int64(len(w.hosts)))]
	for_ := w.within(500*time.Millisecond, 4*time.Second)
	until := time.Now().Add(for_)
	s := w.store
	switch w.intN(8) {
	case 0, 1:
		host.freeze(for_)
	case 2:
		host.cut(for_)
	case 3:
		if !host.stop() {
			return
		}
		time.Sleep(for_ / 4)
		host.mu.Lock()
		host.disturb(0)
		host.mu.Unlock()
		host.start()
	case 4:
		host.mu.Lock()
		host.cutFromStore = until
		host.mu.Unlock()
	case 5:
		s.mu.Lock()
		s.slow = until
		s.mu.Unlock()
	case 6:
		s.mu.Lock()
		s.lossy = until
		s.mu.Unlock()
	case 7:
		s.mu.Lock()
		s.stale, s.staleFrom, s.silent = until, s.version, time.Now().Add(for_/4)
		s.dropped = s.version
		s.mu.Unlock()
	}
}

// play changes the table and the registry while things happen, and returns what was seen.
func (w *world) play(length time.Duration) *inForceCheck {
	table := make(tableRoutes, 60)
	w.store.write(core.KindTable, "main", table.spec())
	for i := range 2 * len(w.hosts) {
		w.store.write(core.KindRegistry, fmt.Sprintf("host-%d", i), make([]byte, 300))
	}
	for _, h := range w.hosts {
		h.start()
	}
	time.Sleep(8 * time.Second)
	table = append(table, make(tableRoutes, 1400)...)
	ends := time.Now().Add(length)
	watch := &inForceCheck{world: w, began: time.Now()}
	nextChange, nextTrouble := time.Now(), time.Now().Add(w.within(0, 2*time.Second))
	for time.Now().Before(ends) {
		time.Sleep(50 * time.Millisecond)
		if !time.Now().Before(nextChange) {
			table[w.intN(int64(len(table)))]++
			w.store.write(core.KindTable, "main", table.spec())
			nextChange = time.Now().Add(w.within(200*time.Millisecond, 3*time.Second))
		}
		for range 2 {
			w.store.write(core.KindRegistry, fmt.Sprintf("host-%d", w.intN(int64(2*len(w.hosts)))), make([]byte, 300))
		}
		if !time.Now().Before(nextTrouble) {
			go w.trouble()
			nextTrouble = time.Now().Add(w.within(0, 2*time.Second))
		}
		watch.step()
	}
	time.Sleep(5 * time.Second)
	for _, h := range w.hosts {
		h.stop()
	}
	time.Sleep(time.Minute)
	return watch
}

// inForceCheck checks at each step that each process in touch has in force what another process in
// touch has had in force for applyTime.
type inForceCheck struct {
	*world
	began  time.Time
	broken []string
	// worst is the longest time that a process in touch lacked a change after another one in touch
	// had it.
	worst time.Duration
}

func (c *inForceCheck) step() {
	now := time.Now()
	inTouch := map[*worldHost][]heldTable{}
	for _, h := range c.hosts {
		h.mu.Lock()
		p, well := h.process, h.process != nil && now.Sub(h.disturbed) >= contactTime
		h.mu.Unlock()
		if well {
			p.mu.Lock()
			inTouch[h] = slices.Clone(p.held)
			p.mu.Unlock()
		}
	}
	for h, held := range inTouch {
		newest := newestOf(held)
		for other, tables := range inTouch {
			for _, t := range tables {
				if t.version <= newest {
					continue
				}
				late := now.Sub(t.at)
				c.worst = max(c.worst, late)
				if late > applyTime {
					c.broken = append(c.broken, fmt.Sprintf("at %v %s has version %d, and %s version %d for %v: %s",
						now.Sub(c.began), h.self.Host, newest, other.self.Host, t.version, late, h.waitsFor()))
				}
			}
		}
	}
}

// newestOf returns the newest version among tables.
func newestOf(tables []heldTable) core.Version {
	var newest core.Version
	for _, t := range tables {
		newest = max(newest, t.version)
	}
	return newest
}

// waitsFor tells what a process that is behind waits for.
func (h *worldHost) waitsFor() string {
	h.mu.Lock()
	p := h.process
	h.mu.Unlock()
	if p == nil {
		return "its process has ended"
	}
	missing, lag := p.store.Missing(core.KindTable)
	s := p.store
	s.mu.Lock()
	defer s.mu.Unlock()
	text := fmt.Sprintf("%.0f bytes a second, messages wait for %v; it lacks %d since %v, exchanged %v ago, %d exchanges failed since",
		h.rate, h.delay, missing, lag, time.Since(s.exchangedAt), s.failedExchanges)
	if d := s.kinds[core.KindTable].downloading; d != nil {
		text += fmt.Sprintf(", downloads %s for %v: %d of %d bytes", d.id, time.Since(d.began), len(d.data), d.total)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return fmt.Sprintf("%s; last failure: %v", text, p.failure)
}

// TestChangeIsInForceInTime guards against entries that go on with an old table although they can
// reach one that has the new one: their links are slow, their processors full, or peers and the
// store are slow, silent, stale, or lose answers.
func TestChangeIsInForceInTime(t *testing.T) {
	for seed := range uint64(*inForceSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(seed, *inForceHosts)
				check := w.play(40 * time.Second)
				broken := check.broken
				t.Logf("a process in touch lacked a change for %v at most", check.worst)
				assert.Equal(t, len(broken), 0, "%d times, first: %v", len(broken), broken[:min(3, len(broken))])
				select {
				case err := <-w.failed:
					t.Fatal(err)
				default:
				}
			})
		})
	}
}

// TestChangeInCalmFleet tells how long a change takes from the first process to the last, and how
// many bytes each process receives for it, if it is of all routes or of one.
func TestChangeInCalmFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(1, *inForceHosts)
		table := make(tableRoutes, 1450)
		w.store.write(core.KindTable, "main", table.spec())
		for _, h := range w.hosts {
			h.start()
		}
		defer func() {
			for _, h := range w.hosts {
				h.stop()
			}
			time.Sleep(time.Minute)
		}()
		time.Sleep(12 * time.Second)
		const span = 4 * time.Second
		atRest := w.received(span)
		for name, change := range map[string]func(){
			"one route": func() { table[700]++ },
			"all routes": func() {
				for i := range table {
					table[i]++
				}
			},
		} {
			change()
			version := w.store.write(core.KindTable, "main", table.spec())
			bytes := w.received(span)
			first, last := w.inForce(version)
			t.Logf("%d processes, %s: %v from the first to the last; each receives %d bytes for it, watchers from peers as well",
				len(w.hosts), name, last.Sub(first), (bytes-atRest)/len(w.hosts))
			assert.Assert(t, last.Sub(first) < applyTime)
		}
	})
}

// received returns the number of bytes that all processes receive from others within a time.
func (w *world) received(d time.Duration) int {
	count := func() (n int) {
		for _, h := range w.hosts {
			_, replies := h.process.client.Traffic()
			_, calls := h.process.server.Traffic()
			n += int(replies + calls)
		}
		return n
	}
	before := count()
	time.Sleep(d)
	return count() - before
}

// inForce returns when a version came into force at the first and at the last process; the last is
// never if one lacks it.
func (w *world) inForce(version core.Version) (first, last time.Time) {
	for _, h := range w.hosts {
		h.process.mu.Lock()
		held := slices.Clone(h.process.held)
		h.process.mu.Unlock()
		i := slices.IndexFunc(held, func(t heldTable) bool { return t.version >= version })
		if i < 0 {
			return first, time.Now().Add(time.Hour)
		}
		at := held[i].at
		if first.IsZero() || at.Before(first) {
			first = at
		}
		if at.After(last) {
			last = at
		}
	}
	return first, last
}
