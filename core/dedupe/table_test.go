package dedupe

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/core"
)

var start = time.Date(2026, 3, 1, 20, 0, 0, 0, time.UTC)

func newTable() *Table { return &Table{Incarnation: 5, MaxBytes: 100, MaxRecords: 3} }

func call(key string, attempt uint64) Call {
	return Call{
		ID: KeyOf("owner", key), Attempt: attempt, Incarnation: 5, Fingerprint: 7,
		Expires: start.Add(time.Hour), Deadline: start.Add(time.Minute),
	}
}

func assertRefused(t *testing.T, v Verdict, code core.Code, outcome core.Outcome) {
	t.Helper()
	assert.Assert(t, v.Refusal != nil)
	assert.Assert(t, !v.Start)
	assert.Equal(t, v.Refusal.Code, code)
	assert.Equal(t, v.Refusal.Outcome, outcome)
}

func run(t *testing.T, table *Table, c Call, text string, end End) {
	t.Helper()
	assert.Assert(t, table.Begin(start, c).Start)
	for _, b := range []byte(text) {
		table.Append(c.ID, c.Attempt, []byte{b})
	}
	table.Finish(start, c.ID, c.Attempt, end)
}

func read(t *testing.T, table *Table, c Call, offset int64) (string, *End) {
	t.Helper()
	v, ok := table.Read(c.ID, c.Attempt, offset)
	assert.Assert(t, ok)
	return string(bytes.Join(v.Chunks, nil)), v.End
}

func TestKeysOfOwnersDiffer(t *testing.T) {
	assert.Assert(t, KeyOf("ab", "c") != KeyOf("a", "bc"))
	assert.Equal(t, KeyOf("ab", "c"), KeyOf("ab", "c"))
}

// TestLateAttacherReadsWholeAnswer checks that a repeated request that arrives
// while the first one is running reads the answer from its first byte.
func TestLateAttacherReadsWholeAnswer(t *testing.T) {
	table := newTable()
	c := call("k", 1)
	assert.Assert(t, table.Begin(start, c).Start)
	table.Append(c.ID, 1, []byte("hel"))
	again := table.Begin(start, c)
	assert.Assert(t, !again.Start && again.Refusal == nil)
	text, end := read(t, table, c, 0)
	assert.Equal(t, text, "hel")
	assert.Assert(t, end == nil)
	table.Append(c.ID, 1, []byte("lo"))
	table.Finish(start, c.ID, 1, End{})
	text, end = read(t, table, c, 2)
	assert.Equal(t, text, "llo")
	assert.Assert(t, end != nil && end.Refusal == nil)
	assert.Equal(t, table.Seal(start, c), Done)
}

// TestSealedAttemptNeverRuns guards against a second run. An entry pauses between
// claim and hand-over, and its caller repeats the request through another entry,
// which seals the attempt. The hand-over of the paused entry must not run.
func TestSealedAttemptNeverRuns(t *testing.T) {
	table := newTable()
	assert.Equal(t, table.Seal(start, call("k", 2)), Sealed)
	assertRefused(t, table.Begin(start, call("k", 2)), core.CodeSealed, core.NotRun)
	assertRefused(t, table.Begin(start, call("k", 1)), core.CodeSealed, core.NotRun)
	assert.Assert(t, table.Begin(start, call("k", 3)).Start)
	assert.Equal(t, table.Seal(start, call("k", 3)), Running)
	assert.Equal(t, table.Seal(start, call("k", 2)), Sealed)
}

func TestRefusedAttemptIsSealed(t *testing.T) {
	table := newTable()
	c := call("k", 1)
	run(t, table, c, "", End{Refusal: core.Refuse(core.CodeQueueFull, "full")})
	assert.Equal(t, table.Seal(start, c), Sealed)
	assertRefused(t, table.Begin(start, c), core.CodeSealed, core.NotRun)
	assertRefused(t, table.Attach(start, c), core.CodeQueueFull, core.NotRun)
}

func TestOtherIncarnation(t *testing.T) {
	table := newTable()
	c := call("k", 1)
	c.Incarnation = 4
	assertRefused(t, table.Begin(start, c), core.CodeSealed, core.NotRun)
	assert.Equal(t, table.Seal(start, c), Lost)
	assertRefused(t, table.Attach(start, c), core.CodeAnswerLost, core.MayHaveRun)
}

func TestOtherBody(t *testing.T) {
	table := newTable()
	run(t, table, call("k", 1), "x", End{})
	c := call("k", 1)
	c.Fingerprint = 8
	assertRefused(t, table.Begin(start, c), core.CodeKeyReused, core.NotRun)
	assertRefused(t, table.Attach(start, c), core.CodeKeyReused, core.NotRun)
}

// TestSealedThenLate checks that a sealed attempt that arrives after its deadline
// is refused as sealed. With CodeDeadline, the caller would learn that its request
// did not run, although the next attempt may have run since.
func TestSealedThenLate(t *testing.T) {
	table := newTable()
	table.Seal(start, call("k", 1))
	assertRefused(t, table.Begin(start.Add(time.Minute), call("k", 1)), core.CodeSealed, core.NotRun)
}

func TestDeadlinePassed(t *testing.T) {
	table := newTable()
	assertRefused(t, table.Begin(start.Add(time.Minute), call("k", 1)), core.CodeDeadline, core.NotRun)
	assert.Equal(t, table.Len(), 0)
}

func TestAttachNeverStarts(t *testing.T) {
	assertRefused(t, newTable().Attach(start, call("k", 1)), core.CodeAnswerLost, core.MayHaveRun)
}

// TestEvictedAnswersAreLostNotUnseen checks that a repeated request whose answer
// was evicted by other answers is refused as lost and doesn't run again.
func TestEvictedAnswersAreLostNotUnseen(t *testing.T) {
	table := newTable()
	run(t, table, call("a", 1), string(make([]byte, 60)), End{})
	run(t, table, call("b", 1), string(make([]byte, 60)), End{})
	assert.Equal(t, table.Bytes(), core.Bytes(60))
	assert.Equal(t, table.Seal(start, call("a", 1)), Lost)
	assertRefused(t, table.Begin(start, call("a", 1)), core.CodeAnswerLost, core.MayHaveRun)
	assert.Equal(t, table.Seal(start, call("b", 1)), Done)
}

func TestAnswerLargerThanTheBound(t *testing.T) {
	table := newTable()
	c := call("a", 1)
	run(t, table, c, string(make([]byte, 150)), End{})
	assert.Equal(t, table.Bytes(), core.Bytes(0))
	assert.Equal(t, table.Seal(start, c), Lost)
	_, ok := table.Read(c.ID, 1, 0)
	assert.Assert(t, !ok)
}

func TestFullTableRefuses(t *testing.T) {
	table := newTable()
	for i := range 3 {
		run(t, table, call(fmt.Sprint(i), 1), "x", End{})
	}
	v := table.Begin(start, call("more", 1))
	assertRefused(t, v, core.CodeOverload, core.NotRun)
	assert.Equal(t, v.Refusal.RetryAt, start.Add(time.Hour))
	assert.Equal(t, table.Seal(start, call("more", 1)), Lost)
	assert.Assert(t, table.Begin(start.Add(time.Hour), Call{
		ID: KeyOf("o", "later"), Attempt: 1, Incarnation: 5, Expires: start.Add(3 * time.Hour), Deadline: start.Add(2 * time.Hour),
	}).Start)
	assert.Equal(t, table.Len(), 1)
}

// TestDroppedRecordIsNotUnseen checks that an agent whose clock is ahead, and
// which dropped a record before entries regard its claim as expired, doesn't
// treat the attempt as one that it has never seen.
func TestDroppedRecordIsNotUnseen(t *testing.T) {
	table := newTable()
	run(t, table, call("k", 1), "x", End{})
	later := start.Add(time.Hour)
	table.Expire(later)
	assert.Equal(t, table.Len(), 0)
	c := call("k", 1)
	c.Deadline = later.Add(time.Hour)
	assert.Equal(t, table.Seal(later, c), Lost)
	assertRefused(t, table.Begin(later, c), core.CodeAnswerLost, core.MayHaveRun)
	c.Expires = later.Add(2 * time.Hour)
	assert.Assert(t, table.Begin(later, c).Start)
}

func TestRunningOutlivesItsClaim(t *testing.T) {
	table := newTable()
	c := call("k", 1)
	assert.Assert(t, table.Begin(start, c).Start)
	table.Expire(start.Add(2 * time.Hour))
	assert.Equal(t, table.Len(), 1)
	table.Finish(start.Add(2*time.Hour), c.ID, 1, End{})
	assert.Equal(t, table.Len(), 0)
}

// naive is a reference table that keeps every answer.
type naive map[KeyID]map[uint64]string

// TestTableAgainstNaive compares the table with the reference over random events:
// answers that the table still holds are equal, and the others are reported as lost.
func TestTableAgainstNaive(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	table := &Table{Incarnation: 5, MaxBytes: 400, MaxRecords: 1000}
	reference := make(naive)
	ran := make(map[KeyID]int)
	kept, lost := 0, 0
	for step := range 20_000 {
		c := call(fmt.Sprint(rng.IntN(200)), uint64(1+rng.IntN(3)))
		text := fmt.Sprintf("answer-%d", step)
		switch rng.IntN(3) {
		case 0:
			table.Seal(start, c)
		case 1:
			if table.Begin(start, c).Start {
				ran[c.ID]++
				table.Append(c.ID, c.Attempt, []byte(text))
				table.Finish(start, c.ID, c.Attempt, End{})
				reference[c.ID] = map[uint64]string{c.Attempt: text}
			}
		case 2:
			want, ok := reference[c.ID][c.Attempt]
			if v := table.Attach(start, c); v.State == Done {
				got, _ := read(t, table, c, 0)
				assert.Equal(t, got, want)
				kept++
			} else if ok {
				assertRefused(t, v, core.CodeAnswerLost, core.MayHaveRun)
				lost++
			}
		}
		assert.Assert(t, ran[c.ID] <= 1)
		assert.Assert(t, table.Bytes() <= table.MaxBytes)
	}
	assert.Assert(t, kept > 100 && lost > 100, "%d kept, %d lost", kept, lost)
}

func BenchmarkBegin(b *testing.B) {
	table := &Table{Incarnation: 5, MaxBytes: 64 * core.MiB, MaxRecords: 1 << 20}
	b.ReportAllocs()
	answer := make([]byte, 1000)
	for i := 0; b.Loop(); i++ {
		now := start.Add(time.Duration(i) * 2 * time.Millisecond)
		c := call("k", 1)
		c.ID = KeyOf("owner", fmt.Sprint(i))
		c.Deadline, c.Expires = now.Add(time.Second), now.Add(time.Minute)
		table.Begin(now, c)
		table.Append(c.ID, 1, answer)
		table.Finish(now, c.ID, 1, End{})
	}
}

// BenchmarkRecords measures an agent's memory per key, without the answer.
func BenchmarkRecords(b *testing.B) {
	for b.Loop() {
		const keys = 200_000
		table := &Table{Incarnation: 5, MaxBytes: core.MiB, MaxRecords: keys}
		before := heapInUse()
		for i := range keys {
			c := call("k", 1)
			c.ID = KeyOf("owner", fmt.Sprint(i))
			table.Begin(start, c)
			table.Finish(start, c.ID, 1, End{})
		}
		b.ReportMetric(float64(heapInUse()-before)/keys, "B/key")
		runtime.KeepAlive(table)
	}
}

func heapInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
