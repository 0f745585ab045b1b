package origin_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/core"
	"radishwell/core/origin"
)

var start = time.Unix(1000, 0)

func record(n int, until time.Time) origin.Record {
	o := core.StreamOrigin{Service: "llm", Software: "v1", Host: core.HostName(fmt.Sprint("i-", n))}
	return origin.Record{Key: origin.KeyOf(core.RequestID(fmt.Sprint("q-", n))), Origin: o, Until: until}
}

func wantFound(t *testing.T, table *origin.Table, now time.Time, n int, found bool) {
	t.Helper()
	r := record(n, start)
	got, ok := table.Find(now, r.Key)
	assert.Equal(t, ok, found, "record %d", n)
	if found {
		assert.Equal(t, got, r.Origin)
	}
}

func TestTable(t *testing.T) {
	t.Run("a record is kept until its time", func(t *testing.T) {
		var table origin.Table
		table.Put(start, record(1, start.Add(time.Second)))
		wantFound(t, &table, start, 1, true)
		wantFound(t, &table, start.Add(time.Second), 1, false)
		wantFound(t, &table, start, 2, false)
	})
	t.Run("expired records are dropped", func(t *testing.T) {
		var table origin.Table
		for n := range 10_000 {
			now := start.Add(time.Duration(n) * time.Millisecond)
			table.Put(now, record(n, now.Add(100*time.Millisecond)))
		}
		assert.Assert(t, table.Len() <= 512, table.Len())
	})
	t.Run("beyond its bound the records that expire first are dropped", func(t *testing.T) {
		table := origin.Table{MaxRecords: 2}
		table.Put(start, record(1, start.Add(2*time.Second)))
		table.Put(start, record(2, start.Add(time.Second)))
		table.Put(start, record(3, start.Add(3*time.Second)))
		wantFound(t, &table, start, 1, true)
		wantFound(t, &table, start, 2, false)
		wantFound(t, &table, start, 3, true)
	})
	t.Run("own records are shared once, and only while their streams run", func(t *testing.T) {
		var table origin.Table
		until := start.Add(time.Second)
		table.Put(start, record(1, until))
		for n := 2; n <= 3; n++ {
			table.PutOwn(start, record(n, until))
		}
		table.MarkEnded(record(3, until).Key)
		none := func(core.ServiceName) bool { return false }
		all := func(core.ServiceName) bool { return true }
		assert.Equal(t, len(table.TakeUnshared(start, none)), 0)
		assert.DeepEqual(t, table.TakeUnshared(start, all), []origin.Record{record(2, until)})
		assert.Equal(t, len(table.TakeUnshared(start, all)), 0)
		wantFound(t, &table, start, 3, true)
	})
}

func names(n int) (out []core.HostName) {
	for i := range n {
		out = append(out, core.HostName(fmt.Sprint("edge-", i)))
	}
	return out
}

func TestHolders(t *testing.T) {
	key := origin.KeyOf("q")
	t.Run("do not depend on the order of members", func(t *testing.T) {
		all := names(9)
		want := origin.Holders(key, all, 4)
		slices.Reverse(all)
		assert.DeepEqual(t, origin.Holders(key, all, 4), want)
	})
	t.Run("are all members where there are few", func(t *testing.T) {
		assert.Equal(t, len(origin.Holders(key, names(3), 4)), 3)
		assert.Equal(t, len(origin.Holders(key, nil, 4)), 0)
	})
	t.Run("without one of them are the others and the next", func(t *testing.T) {
		all := names(40)
		want := origin.Holders(key, all, 5)
		without := slices.DeleteFunc(slices.Clone(all), func(n core.HostName) bool { return n == want[1] })
		assert.DeepEqual(t, origin.Holders(key, without, 4), slices.Delete(want, 1, 2))
	})
	t.Run("are spread over the members", func(t *testing.T) {
		load := map[core.HostName]int{}
		for i := range 4000 {
			for _, n := range origin.Holders(origin.KeyOf(core.RequestID(fmt.Sprint(i))), names(40), 4) {
				load[n]++
			}
		}
		for n, records := range load {
			assert.Assert(t, records > 300 && records < 500, "%s: %d of 400", n, records)
		}
		assert.Equal(t, len(load), 40)
	})
}
