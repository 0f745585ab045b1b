package proxy

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/core"
	"radishwell/core/fleet"
)

// Guards against a log that tells of the same unknown field with each answer.
func TestUnknownFieldIsToldOnce(t *testing.T) {
	p := &Proxy{Clock: &stepClock{}}
	p.Start()
	assert.DeepEqual(t, p.firstSeen([]string{"a", "b"}), []string{"a", "b"})
	assert.DeepEqual(t, p.firstSeen([]string{"b", "c"}), []string{"c"})
	for i := range 1000 {
		p.firstSeen([]string{fmt.Sprint(i)})
	}
	assert.Equal(t, len(p.unknown), mostUnknown)
}

// Guards against a rate limit that other entries are told has ended, when it was named for
// a host whose registry entry has lapsed meanwhile.
func TestLimitOfUnlistedHostIsTold(t *testing.T) {
	clock := &stepClock{now: time.Unix(1000, 0)}
	var told []core.RateLimit
	p := &Proxy{Clock: clock, HeardLimit: func(_ fleet.Incarnation, l core.RateLimit) { told = append(told, l) }}
	p.Start()
	p.view.Apply(fleet.Entry{ID: "i-1", Usable: true})
	c := &call{proxy: p, ask: core.Ask{ID: "q"}}
	host := &target{id: "i-1", host: p.view.Host("i-1")}
	p.view.Remove(clock.now, "i-1")
	one := core.RateLimit{Named: true, Rate: 1}
	c.noteSignals(host, core.AnswerHead{ID: "q", Limit: one}, clock.now)
	assert.DeepEqual(t, told, []core.RateLimit{one})
}
