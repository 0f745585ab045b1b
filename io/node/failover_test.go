package node

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"radishwell/core"
)

// fakePlatform accepts every update or, if fails is set, returns fault for it.
type fakePlatform struct {
	core.Platform
	fault core.PlatformFault
	fails bool
	calls int
}

func (p *fakePlatform) Update(_ context.Context, o core.Object) (core.Object, error) {
	p.calls++
	if p.fails {
		return core.Object{}, &core.PlatformError{Fault: p.fault}
	}
	return o, nil
}

func TestFailoverPlatform(t *testing.T) {
	t.Run("an unavailable address is skipped from then on", func(t *testing.T) {
		dead, good := &fakePlatform{fails: true, fault: core.Unavailable}, &fakePlatform{}
		c := &failoverPlatform{clients: []core.Platform{dead, good}}
		for range 3 {
			_, err := c.Update(t.Context(), core.Object{})
			assert.NilError(t, err)
		}
		assert.Equal(t, dead.calls, 1)
		assert.Equal(t, good.calls, 3)
	})
	// If the response to a write is lost after the write took effect, sending it again to
	// another address would conflict with the version that it has itself written, or
	// carry it out twice.
	t.Run("a write that may have taken effect is not sent again", func(t *testing.T) {
		uncertain, other := &fakePlatform{fails: true, fault: core.Unknown}, &fakePlatform{}
		c := &failoverPlatform{clients: []core.Platform{uncertain, other}}
		_, err := c.Update(t.Context(), core.Object{})
		assert.Equal(t, faultOf(err), core.Unknown)
		assert.Equal(t, other.calls, 0)
	})
}
