package retry_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/core/retry"
)

// Guards against requests that were sent while a process stood still and count as sent when they are
// read, in a later window than the platform counts them in.
func TestRequestsAfterStandstillAreOlder(t *testing.T) {
	var s retry.Standstill
	at := func(ms int) time.Time { return t0.Add(time.Duration(ms) * time.Millisecond) }
	assert.Equal(t, s.SentSince(at(0)), at(0), "before it has run")
	for ms := 0; ms <= 1000; ms += 200 {
		s.Run(at(ms))
		assert.Equal(t, s.SentSince(at(ms+100)), at(ms+100))
	}
	assert.Equal(t, s.SentSince(at(4000)), at(1000), "read before it is known that the process stood still")
	s.Run(at(4000))
	assert.Equal(t, s.SentSince(at(4100)), at(1000))
	s.Run(at(4200))
	s.Run(at(4600))
	assert.Equal(t, s.SentSince(at(4700)), at(1000), "stood still again before it had read what there was")
	for ms := 5000; ms <= 20000; ms += 400 {
		s.Run(at(ms))
	}
	assert.Equal(t, s.SentSince(at(20100)), at(14800), "stands still again and again")
	for ms := 20200; ms <= 20600; ms += 200 {
		s.Run(at(ms))
	}
	assert.Equal(t, s.SentSince(at(20700)), at(20700))
}
