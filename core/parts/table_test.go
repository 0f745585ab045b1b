package parts_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/core"
	"radishwell/core/parts"
)

var start = time.Date(2026, 3, 1, 20, 0, 0, 0, time.UTC)

func after(d time.Duration) time.Time { return start.Add(d) }

// answer records that requests with the given parts were answered whole, in order, a tenth of a second
// apart from a time on. It returns when the last was.
func answer(t *parts.Table, from time.Duration, n int, list ...parts.Name) time.Time {
	for i := range n {
		at := after(from + time.Duration(i)*100*time.Millisecond)
		t.NoteAnswered(at, at, list, nil)
	}
	return after(from + time.Duration(n-1)*100*time.Millisecond)
}

func newTable() *parts.Table { return &parts.Table{MaxRecords: 100, MaxServed: 100} }

// crash records that the nth upstream ended, a tenth of a second after the one before, while
// requests with the given parts had not begun.
func crash(t *parts.Table, n int, list ...parts.Name) {
	at := after(time.Duration(n) * 100 * time.Millisecond)
	t.NoteCrash(at, parts.Crash{Upstream: core.HostName(fmt.Sprint("i-", n)), At: at}, list)
}

// assertRefused checks whether requests with all of the given parts are refused.
func assertRefused(t *testing.T, table *parts.Table, now time.Time, refused bool, list ...parts.Name) {
	t.Helper()
	got := table.Check(now, list)
	assert.Equal(t, len(got.Parts) > 0, refused, "%s: %+v", list, got)
}

func TestShared(t *testing.T) {
	prompt := func(ids ...string) (out []core.PromptPart) {
		for _, id := range ids {
			out = append(out, core.PromptPart{ID: id})
		}
		return out
	}
	assert.Equal(t, len(parts.Shared("llm", prompt("own"))), 0)
	assert.DeepEqual(t, parts.Shared("llm", prompt("a", "b", "a", "own")), []parts.Name{"llm/a", "llm/b"})
}

// Guards against refusing parts that only share upstreams, or requests, with the one that
// crashes them.
func TestGuiltyPartIsTold(t *testing.T) {
	t.Run("from one that all requests have", func(t *testing.T) {
		for _, served := range []bool{false, true} {
			table := newTable()
			if served {
				answer(table, 0, 1, "all")
			}
			crash(table, 1, "all", "x")
			crash(table, 2, "all", "x", "y")
			assertRefused(t, table, after(time.Second), false, "x")
			crash(table, 3, "all", "x", "z")
			if !served {
				answer(table, time.Second, 1, "all")
			}
			assertRefused(t, table, after(time.Second), true, "x", "all")
			for _, name := range []parts.Name{"all", "y", "z"} {
				assertRefused(t, table, after(time.Second), false, name)
			}
		}
	})
	t.Run("from those that were in the same crashes", func(t *testing.T) {
		table := newTable()
		for n := range 3 {
			crash(table, n, "x", "y")
		}
		assertRefused(t, table, after(time.Second), true, "y", "z", "x")
		for _, name := range []parts.Name{"x", "y"} {
			assertRefused(t, table, after(time.Second), false, name, "z")
		}
		crash(table, 3, "x") // the one crash more may have another cause
		assertRefused(t, table, after(time.Second), true, "x", "y")
		assertRefused(t, table, after(time.Second), false, "y")
		crash(table, 4, "x")
		assertRefused(t, table, after(time.Second), true, "x")
		assertRefused(t, table, after(time.Second), false, "y")
	})
	t.Run("from another that crashes upstreams, too", func(t *testing.T) {
		table := newTable()
		for n := range 3 {
			crash(table, n, "x", "all", "y")
			crash(table, 10+n, "z", "all", "y")
		}
		now := answer(table, 2*time.Second, 12, "all", "y")
		for name, refused := range map[parts.Name]bool{"x": true, "z": true, "all": false, "y": false} {
			assertRefused(t, table, now, refused, name)
		}
	})
	t.Run("from one of many hosts that end together", func(t *testing.T) {
		table := newTable()
		answer(table, 0, 1, "all")
		for n := range 20 {
			crash(table, n, "all", parts.Name(fmt.Sprint("p-", n)))
		}
		now := answer(table, 2500*time.Millisecond, 12, "all")
		assertRefused(t, table, now, false, "all")
		assertRefused(t, table, after(time.Minute), false, "all")
	})
	t.Run("although requests with it were served before", func(t *testing.T) {
		table := newTable()
		answer(table, 0, 1, "x")
		for n := range 5 {
			crash(table, n+1, "x")
		}
		assertRefused(t, table, after(time.Second), false, "x")
		now := after(2500 * time.Millisecond)
		assertRefused(t, table, now, true, "x")
		assert.Assert(t, !table.Check(now.Add(time.Minute), []parts.Name{"x"}).Final)
	})
	t.Run("although answers to requests with it go on for some time", func(t *testing.T) {
		table := newTable()
		for n := range 5 {
			table.NoteBegun(after(time.Duration(n)*100*time.Millisecond), []parts.Name{"x"})
			crash(table, n+1, "x")
		}
		assertRefused(t, table, after(2500*time.Millisecond), true, "x")
	})
	t.Run("although another part explains its crashes, too", func(t *testing.T) {
		table := newTable()
		for n := range 7 {
			crash(table, n, []parts.Name{"x", "y"}[:1+min(1, n/2)]...)
		}
		now := after(3 * time.Second)
		assertRefused(t, table, now, true, "x")
		assertRefused(t, table, now, true, "y")
		answer(table, 3*time.Second, 1, "y")
		assertRefused(t, table, now, false, "y")
	})
	t.Run("although others fill its crashes with requests", func(t *testing.T) {
		table := newTable()
		for n := range 6 {
			at := after(time.Duration(n) * 100 * time.Millisecond)
			c := parts.Crash{Upstream: core.HostName(fmt.Sprint("i-", n)), At: at, Requests: 1}
			table.NoteCrash(at, c, []parts.Name{"x"})
			c.Requests = 5
			table.NoteCrash(at, c, []parts.Name{"all"})
		}
		now := after(3 * time.Second)
		assertRefused(t, table, now, true, "x")
		assertRefused(t, table, now, false, "all")
	})
}

// Guards against requests that are refused for good since a part of their prompts was in crashes
// that others caused.
func TestPartInCrashesIsQuarantined(t *testing.T) {
	refused := func(crashes, trials int) *parts.Table {
		table := newTable()
		for n := range crashes {
			crash(table, n, "x")
		}
		for n := range trials {
			at := after(100 * time.Millisecond)
			assert.Assert(t, table.Grant(at, []parts.Name{"x"}, false))
			table.NoteCrash(at, parts.Crash{Upstream: core.HostName(fmt.Sprint("trial-", n)), At: at, Tried: true}, []parts.Name{"x"})
		}
		return table
	}
	now, later := after(200*time.Millisecond), after(3*time.Second)
	for _, row := range []struct {
		crashes, trials int
		final           bool
	}{
		{3, 0, false}, {8, 0, false}, {3, 1, false}, {3, 2, true}, {1, 2, true},
	} {
		t.Run(fmt.Sprintf("%d crashes, %d trials", row.crashes, row.trials), func(t *testing.T) {
			table := refused(row.crashes, row.trials)
			first := table.Check(now, []parts.Name{"x"})
			assert.Assert(t, !first.Final && first.RetryAt.After(now))
			assert.Equal(t, len(table.Refused(now)), 1)
			got := table.Check(later, []parts.Name{"y", "x"})
			assert.Equal(t, got.Final, row.final)
			assert.Equal(t, got.MayTry, !row.final, "it may run in a trial until there is proof")
			assertRefused(t, table, after(parts.TTL+time.Second), false, "x")
			assert.Equal(t, len(table.Next(after(parts.TTL+time.Second))), 0)
		})
	}
	t.Run("a crash that others saw, too, is proof once", func(t *testing.T) {
		table := refused(3, 1)
		list := table.Refused(now)
		for n := range list {
			for i := range list[n].Crashes {
				list[n].Crashes[i].Tried = list[n].Crashes[i].Upstream == "i-0"
			}
		}
		assert.Assert(t, table.Merge(now, list), "what another process knows of it is new")
		assert.Assert(t, !table.Merge(now, list))
		table.Check(now, []parts.Name{"x"})
		assert.Assert(t, table.Check(later, []parts.Name{"x"}).Final)
	})
}

// Guards against crashes in trials that prove a part although other upstreams ended beside them.
func TestCrashBesideOthersProvesNoPart(t *testing.T) {
	for _, others := range []time.Duration{100 * time.Millisecond, 5 * time.Second} {
		table := newTable()
		for n := range 5 {
			at := after(time.Duration(n) * 100 * time.Millisecond)
			table.NoteCrash(at, parts.Crash{Upstream: core.HostName(fmt.Sprint("i-", n)), At: at, Tried: n > 2}, []parts.Name{"x"})
		}
		at := after(400*time.Millisecond + others)
		table.NoteCrash(at, parts.Crash{Upstream: "other", At: at}, []parts.Name{"y"})
		got := table.Check(after(10*time.Second), []parts.Name{"x"})
		assert.Assert(t, len(got.Parts) > 0)
		assert.Equal(t, got.Proven, others > time.Second)
	}
}

// Guards against a part that is refused until its crashes expire although it is well, and against
// trials without end.
func TestRefusedPartIsTriedAgain(t *testing.T) {
	list := []parts.Name{"x"}
	newSuspect := func(crashes int) *parts.Table {
		table := newTable()
		for n := range crashes {
			crash(table, n, "x")
		}
		return table
	}
	t.Run("until it has crashed five upstreams", func(t *testing.T) {
		table := newSuspect(3)
		for n := range 10 {
			assert.Assert(t, table.Grant(after(time.Duration(n+1)*time.Second), list, false))
		}
	})
	// grant grants the first n tries at the earliest times for tries that show nothing, and not sooner.
	grant := func(t *testing.T, table *parts.Table, n int) {
		t.Helper()
		for _, at := range []time.Duration{2 * time.Second, 5 * time.Second, 8 * time.Second}[:n] {
			assert.Assert(t, at == 2*time.Second || !table.Grant(after(at-time.Millisecond), list, false))
			assert.Assert(t, table.Grant(after(at), list, false))
		}
	}
	t.Run("then three times at most, the last after a pause", func(t *testing.T) {
		table := newSuspect(5)
		for n := range 2 {
			at := after(time.Duration(4*n+2) * time.Second)
			assert.Assert(t, table.Grant(at, list, false))
			table.NoteCrash(at, parts.Crash{Upstream: core.HostName(fmt.Sprint("trial-", n)), At: at.Add(time.Second), Tried: true}, list)
		}
		assert.Assert(t, !table.Grant(after(12*time.Second), list, false))
		assert.Assert(t, !table.Check(after(12*time.Second), list).MayTry)
		assert.Assert(t, table.Grant(after(38*time.Second), list, false))
		table.NoteCrash(after(39*time.Second), parts.Crash{Upstream: "trial-3", At: after(39 * time.Second), Tried: true}, list)
		for _, d := range []time.Duration{69 * time.Second, 10 * time.Minute, 29 * time.Minute} {
			assert.Assert(t, !table.Grant(after(d), list, false))
			assert.Assert(t, !table.Check(after(d), list).MayTry)
		}
	})
	t.Run("without the long pause after a crash outside its tries", func(t *testing.T) {
		table := newSuspect(5)
		grant(t, table, 2)
		table.NoteCrash(after(6*time.Second), parts.Crash{Upstream: "other", At: after(6 * time.Second)}, list)
		assert.Assert(t, !table.Grant(after(8*time.Second), list, false))
		assert.Assert(t, table.Grant(after(9*time.Second), list, false))
	})
	t.Run("without the long pause after a crash that others explain", func(t *testing.T) {
		table := newSuspect(5)
		grant(t, table, 2)
		at := after(6 * time.Second)
		table.NoteCrash(at, parts.Crash{Upstream: "trial", At: at, Tried: true}, list)
		table.NoteCrash(at, parts.Crash{Upstream: "other", At: at.Add(100 * time.Millisecond)}, []parts.Name{"y"})
		assert.Assert(t, !table.Grant(at.Add(500*time.Millisecond), list, false))
		assert.Assert(t, !table.Grant(at.Add(2900*time.Millisecond), list, false))
		assert.Assert(t, table.Grant(at.Add(3*time.Second), list, false))
	})
	t.Run("without a pause after a crash in a trial of another part", func(t *testing.T) {
		table := newSuspect(5)
		grant(t, table, 2)
		crashed := parts.Crash{Upstream: "trial", At: after(7 * time.Second)}
		table.NoteCrash(after(7*time.Second), crashed, list)
		crashed.Tried = true
		table.NoteCrash(after(7*time.Second), crashed, []parts.Name{"y"})
		assert.Assert(t, table.Grant(after(8*time.Second), list, false))
	})
	t.Run("not by requests with another part that may explain their crashes", func(t *testing.T) {
		table := newSuspect(3)
		for n := range 3 {
			crash(table, 3+n, "x", "y")
		}
		may := func(at time.Duration, list ...parts.Name) bool { return table.Check(after(at), list).MayTry }
		assert.Assert(t, may(2*time.Second, "x", "z"))
		assert.Assert(t, !may(3400*time.Millisecond, "x", "y", "z"))
		assert.Assert(t, may(3500*time.Millisecond, "x", "y", "z"))
		answer(table, 2*time.Second, 1, "y")
		assert.Assert(t, may(2100*time.Millisecond, "x", "y", "z"))
	})
	t.Run("not by requests that crash upstreams themselves", func(t *testing.T) {
		table := newSuspect(5)
		assert.Assert(t, !table.Grant(after(2*time.Second), list, true))
		assert.Assert(t, table.Grant(after(2*time.Second), list, false))
		assert.Assert(t, !table.Grant(after(31*time.Second), list, true))
		assert.Assert(t, table.Grant(after(33*time.Second), list, true))
	})
	t.Run("one that may have begun after the fifth crash counts", func(t *testing.T) {
		table := newSuspect(4)
		assert.Assert(t, table.Grant(after(350*time.Millisecond), list, false))
		crash(table, 4, "x")
		assert.Assert(t, table.Grant(after(3400*time.Millisecond), list, false))
		assert.Assert(t, table.Grant(after(6400*time.Millisecond), list, false))
		assert.Assert(t, !table.Grant(after(13*time.Second), list, false))
	})
	t.Run("with pauses if they show nothing", func(t *testing.T) {
		table := newSuspect(5)
		grant(t, table, 3)
		assert.Assert(t, !table.Grant(after(37*time.Second), list, false))
		assert.Assert(t, table.Grant(after(38*time.Second), list, false))
		assert.Assert(t, !table.Grant(after(2*time.Minute), list, false))
		assert.Assert(t, table.Grant(after(159*time.Second), list, false))
	})
	t.Run("three more times at once after a whole answer", func(t *testing.T) {
		table := newSuspect(9)
		grant(t, table, 3)
		assert.Assert(t, table.Grant(after(38*time.Second), list, false))
		assert.Assert(t, !table.MayShare(after(39*time.Second), "x"))
		table.NoteAnswered(after(39*time.Second), after(38*time.Second), list, list)
		assert.Assert(t, table.MayShare(after(39*time.Second), "x"))
		for n := range 3 {
			assert.Assert(t, table.Grant(after(40*time.Second+time.Duration(n)*time.Millisecond), list, false))
		}
		assert.Assert(t, !table.Grant(after(41*time.Second), list, false))
	})
	t.Run("one after the other once more after a crash", func(t *testing.T) {
		table := newSuspect(9)
		grant(t, table, 1)
		table.NoteAnswered(after(3*time.Second), after(2*time.Second), list, list)
		table.NoteCrash(after(4*time.Second), parts.Crash{Upstream: "other", At: after(4 * time.Second)}, list)
		assert.Assert(t, !table.MayShare(after(5*time.Second), "x"))
		assert.Assert(t, table.Grant(after(5*time.Second), list, false))
		assert.Assert(t, !table.Grant(after(7900*time.Millisecond), list, false))
	})
	t.Run("one that did not run does not count", func(t *testing.T) {
		table := newSuspect(5)
		for n := range 10 {
			at := after(time.Duration(n+2) * time.Second)
			assert.Assert(t, table.Grant(at, list, false))
			table.Void(at.Add(time.Millisecond), at, list)
		}
	})
	t.Run("other processes know of tries", func(t *testing.T) {
		table, peer := newSuspect(5), newTable()
		grant(t, table, 3)
		peer.Merge(after(9*time.Second), table.Next(after(9*time.Second)))
		assert.Assert(t, !peer.Grant(after(20*time.Second), list, false))
	})
	t.Run("one whole answer in a trial lifts the suspicion until the next crash", func(t *testing.T) {
		table := newSuspect(6)
		assertRefused(t, table, after(2*time.Second), true, "x")
		assert.Assert(t, table.Grant(after(2*time.Second), list, false))
		table.NoteAnswered(after(3*time.Second), after(2*time.Second), list, list)
		assertRefused(t, table, after(3*time.Second), false, "x")
		crash(table, 40, "x")
		assertRefused(t, table, after(6*time.Second), true, "x")
	})
	t.Run("three whole answers in trials clear it after a crash in one", func(t *testing.T) {
		table := newSuspect(5)
		assert.Assert(t, table.Grant(after(2*time.Second), list, false))
		at := after(3 * time.Second)
		table.NoteCrash(at, parts.Crash{Upstream: "trial", At: at, Tried: true}, list)
		for n := range 3 {
			at = after(time.Duration(33+n) * time.Second)
			assertRefused(t, table, at, true, "x")
			assert.Assert(t, table.Grant(at, list, false))
			table.NoteAnswered(at.Add(time.Millisecond), at, list, list)
		}
		assertRefused(t, table, after(36*time.Second), false, "x")
		crash(table, 370, "x")
		assertRefused(t, table, after(40*time.Second), false, "x")
	})
}

// Records reach processes in any order, repeated and late. All must come to the same decision.
func TestMergeIgnoresOrder(t *testing.T) {
	rng := rand.New(rand.NewPCG(7, 7))
	names := []parts.Name{"a", "b", "c", "d"}
	for range 200 {
		var all []parts.Record
		for n := range 12 {
			source := newTable()
			list := []parts.Name{names[rng.IntN(4)], names[rng.IntN(4)]}
			crash(source, n, list...)
			if rng.IntN(4) == 0 {
				at := after(time.Duration(rng.IntN(1200)) * time.Millisecond)
				source.NoteAnswered(at, at, list[:1], list[:rng.IntN(2)])
			}
			if rng.IntN(4) == 0 {
				source.Grant(after(time.Duration(rng.IntN(1200))*time.Millisecond), list[:1], false)
			}
			all = append(all, source.Next(after(2*time.Second))...)
		}
		x, y := newTable(), newTable()
		now := after(2 * time.Second)
		x.Merge(now, all)
		rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
		y.Merge(now, append(all, all[:3]...))
		for _, name := range names {
			assert.Equal(t, len(x.Check(now, []parts.Name{name}).Parts), len(y.Check(now, []parts.Name{name}).Parts))
		}
		assert.Assert(t, !x.Merge(now, y.Next(now)), "both know the same")
	}
}

// Guards against memory and messages that grow with the parts that callers name, and against a
// refused part that is lost among them.
func TestTableIsBounded(t *testing.T) {
	table, peer := newTable(), newTable()
	for n := range 3 {
		crash(table, n, "x")
	}
	for n := range 2000 {
		crash(table, 10+n, parts.Name(fmt.Sprint("p-", n)))
		table.NoteAnswered(start, start, []parts.Name{parts.Name(fmt.Sprint("s-", n))}, nil)
	}
	now := after(300 * time.Second)
	first := table.Next(now)
	assert.Assert(t, len(first) <= 40, "%d records", len(first))
	peer.Merge(now, first)
	assertRefused(t, peer, now, true, "x")
	known := map[parts.Name]bool{}
	for range 100 {
		for _, r := range table.Next(now) {
			known[r.Part] = true
		}
	}
	assert.Assert(t, len(known) > 40 && len(known) <= 100, "%d records in turn", len(known))
}

// Guards against a part whose crashes other processes do not learn of in time, since hundreds of parts
// were in one crash each beside it.
func TestPartWithMostCrashesIsSentFirst(t *testing.T) {
	table := &parts.Table{MaxRecords: 1024, MaxServed: 16384}
	for n := range 4 {
		table.NoteBegun(start, []parts.Name{"x"})
		crash(table, n, "x")
		for m := range 100 {
			crash(table, n, parts.Name(fmt.Sprint("p-", n, "-", m)))
		}
	}
	first := table.Next(after(time.Second))
	assert.Equal(t, first[0].Part, parts.Name("x"))
	assert.Equal(t, len(first[0].Crashes), 4)
}

// BenchmarkTable measures what a request costs: a check before it is sent, and a note once it is
// served, beside parts that were in crashes.
func BenchmarkTable(b *testing.B) {
	for _, records := range []int{0, 10, 1000} {
		table := &parts.Table{MaxRecords: 1024, MaxServed: 16384}
		for n := range records {
			for crashes := range 1 + n%4 {
				crash(table, 10*n+crashes, parts.Name(fmt.Sprint("p-", n)))
			}
		}
		list := []parts.Name{"all", "subject"}
		b.Run(fmt.Sprint(records, " records"), func(b *testing.B) {
			now := after(time.Hour / 4)
			for i := range b.N {
				now = now.Add(time.Millisecond)
				list[1] = parts.Name(fmt.Sprint("subject-", i%1000))
				table.Check(now, list)
				table.NoteAnswered(now, now, list, nil)
			}
		})
	}
}

// Guards against a common part that is refused since one request that has it crashes upstreams by itself.
func TestRepeatedRequestExplainsCrashesOfItsParts(t *testing.T) {
	var upstreams []core.HostName
	newSuspect := func(answered bool, crashes int) *parts.Table {
		table := newTable()
		table.Requests = func(time.Time) [][]core.HostName { return [][]core.HostName{{"other"}, upstreams} }
		if answered {
			table.NoteAnswered(start, start, []parts.Name{"x"}, nil)
		}
		for n := range crashes {
			crash(table, n, "x")
		}
		return table
	}
	for n := range 5 {
		upstreams = append(upstreams, core.HostName(fmt.Sprint("i-", n)))
	}
	for _, row := range []struct {
		name              string
		answered, refused bool
		crashes           int
	}{
		{"all of them", true, false, 5},
		{"but for two", true, false, 7},
		{"but for three", true, true, 8},
		{"of a part with which nobody was answered", false, true, 5},
	} {
		t.Run(row.name, func(t *testing.T) {
			assertRefused(t, newSuspect(row.answered, row.crashes), after(10*time.Second), row.refused, "x")
		})
	}
}

// Guards against crashes in trials that are proof once they come from the store, which lacks the crashes beside them.
func TestStoredCrashBesideOthersProvesNoPart(t *testing.T) {
	for _, beside := range []bool{false, true} {
		table := newTable()
		for n := range 4 {
			at := after(time.Duration(n) * 3 * time.Second)
			table.NoteCrash(at, parts.Crash{Upstream: core.HostName(fmt.Sprint("i-", n)), At: at, Tried: n > 1}, []parts.Name{"x"})
			if beside {
				table.NoteCrash(at, parts.Crash{Upstream: core.HostName(fmt.Sprint("other-", n)), At: at}, []parts.Name{"y"})
			}
		}
		now := after(20 * time.Second)
		stored := table.Crashed(now, 2)
		stored = slices.DeleteFunc(stored, func(r parts.Record) bool { return r.Part != "x" })
		restarted := newTable()
		restarted.Merge(now, stored)
		v := restarted.Check(now, []parts.Name{"x"})
		assert.Equal(t, v.Proven, !beside, "beside others: %v", beside)
	}
}
