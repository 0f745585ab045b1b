package node

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"radishwell/core"
)

// link answers every update with one fault, or takes it.
type link struct {
	core.Platform
	fault core.PlatformFault
	fails bool
	calls int
}

func (l *link) Update(_ context.Context, o core.Object) (core.Object, error) {
	l.calls++
	if l.fails {
		return core.Object{}, &core.PlatformError{Fault: l.fault}
	}
	return o, nil
}

func TestChain(t *testing.T) {
	t.Run("an address that took nothing is passed over and stays so", func(t *testing.T) {
		dead, good := &link{fails: true, fault: core.Unavailable}, &link{}
		c := &chain{links: []core.Platform{dead, good}}
		for range 3 {
			_, err := c.Update(t.Context(), core.Object{})
			assert.NilError(t, err)
		}
		assert.Equal(t, dead.calls, 1)
		assert.Equal(t, good.calls, 3)
	})
	// The answer to a write is lost after the write took effect. Sent again
	// through another address it would be refused for the version it has itself
	// moved on, or be carried out twice.
	t.Run("a write that may have taken effect is not sent again", func(t *testing.T) {
		unsure, other := &link{fails: true, fault: core.Unknown}, &link{}
		c := &chain{links: []core.Platform{unsure, other}}
		_, err := c.Update(t.Context(), core.Object{})
		assert.Equal(t, faultOf(err), core.Unknown)
		assert.Equal(t, other.calls, 0)
	})
}
