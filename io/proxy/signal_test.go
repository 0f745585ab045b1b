package proxy

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/core"
	"radishwell/core/fleet"
)

// Guards against logging the same unknown field for each answer.
func TestUnknownFieldIsLoggedOnce(t *testing.T) {
	p := &Proxy{Clock: &stepClock{}}
	p.Start()
	assert.DeepEqual(t, p.newFields([]string{"a", "b"}), []string{"a", "b"})
	assert.DeepEqual(t, p.newFields([]string{"b", "c"}), []string{"c"})
	for i := range 1000 {
		p.newFields([]string{fmt.Sprint(i)})
	}
	assert.Equal(t, len(p.unknownFields), maxUnknownFields)
}

// Guards against telling other entries that a rate limit has ended when its host's
// registry entry has expired meanwhile.
func TestLimitOfUnlistedHostIsKept(t *testing.T) {
	clock := &stepClock{now: time.Unix(1000, 0)}
	var limits []core.RateLimit
	p := &Proxy{Clock: clock, OnRateLimit: func(_ fleet.Life, l core.RateLimit) { limits = append(limits, l) }}
	p.Start()
	p.view.Apply(fleet.Entry{ID: "i-1", Usable: true})
	c := &call{proxy: p, ask: core.RequestHead{ID: "q"}}
	host := &target{id: "i-1", host: p.view.Host("i-1")}
	p.view.Remove(clock.now, "i-1")
	one := core.RateLimit{Limited: true, Rate: 1}
	c.applySignals(host, core.AnswerHead{ID: "q", Limit: one}, clock.now)
	assert.DeepEqual(t, limits, []core.RateLimit{one})
}
