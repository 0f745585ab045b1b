package share_test

import (
	"math"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/core"
	"radishwell/core/share"
)

var t0 = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func newShare(self core.HostName, others ...core.HostName) *share.Share {
	s := &share.Share{Self: self, Whole: 60}
	for _, o := range others {
		s.Count(o)
	}
	return s
}

func TestPart(t *testing.T) {
	s := newShare("a", "a", "b", "c", "")
	assert.Equal(t, s.Part(t0), 0.0, "it may not be in the list")
	s.List(t0, false)
	assert.Equal(t, s.Part(t0), 0.0, "no other counts it")
	s.Confirm("b")
	assert.DeepEqual(t, s.Uncounted(), []core.HostName{"c"})
	assert.Equal(t, s.Part(t0), 0.0)
	s.Confirm("c")
	assert.Equal(t, s.Part(t0), 20.0)
	s.Count("d")
	assert.Equal(t, s.Part(t0), 15.0, "d joined later and has it in its list")
	s.Confirm("e")
	assert.Equal(t, s.Part(t0), 15.0, "one that it does not know")
}

// Guards against a part that rests on the word of a process that has ended: its successor reads the list
// before the asker's name is in it.
func TestConfirmationBeforeListDoesNotCount(t *testing.T) {
	s := newShare("a", "b")
	assert.Equal(t, len(s.Uncounted()), 0)
	s.Confirm("b")
	s.List(t0, false)
	assert.Equal(t, s.Part(t0), 0.0)
	assert.DeepEqual(t, s.Uncounted(), []core.HostName{"b"})
	s.Confirm("b")
	assert.Equal(t, s.Part(t0), 30.0)
}

// Guards against a process that has lost touch and uses its part of a whole that others have divided
// anew: those that joined meanwhile use the other half of theirs.
func TestOldListHalvesPart(t *testing.T) {
	s := newShare("a", "b")
	s.List(t0, false)
	s.Confirm("b")
	assert.Equal(t, s.Part(t0.Add(share.MaxAge)), 30.0)
	assert.Equal(t, s.Part(t0.Add(share.MaxAge+1)), 15.0)
	s.List(t0.Add(-time.Second), false)
	assert.Equal(t, s.Part(t0.Add(share.MaxAge+1)), 15.0, "an older list")
	s.List(t0.Add(time.Minute), false)
	assert.Equal(t, s.Part(t0.Add(time.Minute)), 30.0)
}

// Guards against a process that is gone for good and keeps those that start later from any part, and against
// one that is only out of touch and uses a part together with that of one that it does not count.
func TestGoneProcessDelaysPart(t *testing.T) {
	s := newShare("a", "gone")
	s.List(t0, false)
	at := t0.Add(2 * share.MaxAge)
	s.List(at, false)
	assert.Equal(t, s.Part(at), 0.0)
	assert.Equal(t, s.Part(at.Add(1)), 15.0)
	s.Confirm("gone")
	assert.Equal(t, s.Part(at.Add(1)), 30.0, "it was out of touch")
}

// Guards against parts that together are more than the whole. With a tenth for each process, 28 of
// them had three times as much as they share.
func TestPartsSumToWhole(t *testing.T) {
	for _, processes := range []int{1, 5, 28, 400} {
		names := make([]core.HostName, processes)
		for i := range names {
			names[i] = core.HostName(strconv.Itoa(i))
		}
		sum := 0.0
		for _, self := range names {
			s := newShare(self, names...)
			s.List(t0, false)
			for _, other := range names {
				s.Confirm(other)
			}
			sum += s.Part(t0)
		}
		assert.Assert(t, math.Abs(sum-60) < 1e-6, "%d processes: %v", processes, sum)
	}
	assert.Equal(t, newShare("a").Part(t0), 0.0, "while their number is unknown")
}
