package driver_test

import (
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/core"
	"radishwell/io/driver"
	"radishwell/wire"
)

// perSecond is the number of prompt tokens that an engine reads in a second.
const perSecond = 38_000

// askRoom asks for a credit for a tenth of a second of the engine's time, and waits for wait.
func askRoom(d *driver.Driver, instance string, wait time.Duration) bool {
	r, err := d.ServeRoom(&wire.RoomCall{
		Instance: instance, Tokens: perSecond / 10, Reading: int64(100 * time.Millisecond), Ahead: int64(275 * time.Millisecond), Wait: int64(wait),
	})
	return err == nil && r.GetGranted()
}

func setPrefill(e *fakeUpstream, tokens int64) { e.set(func() { e.state.PrefillTokens = tokens }) }

func TestRoom(t *testing.T) {
	t.Run("an idle engine has room, a busy one once it has read", func(t *testing.T) {
		e := newUpstream("a")
		runDriver(t, e, func(d *driver.Driver) {
			call(t, d, "entry-1")
			assert.Assert(t, askRoom(d, "i-1", 10*time.Millisecond))
			setPrefill(e, perSecond)
			time.Sleep(200 * time.Millisecond)
			assert.Assert(t, !askRoom(d, "i-1", 100*time.Millisecond))
			time.AfterFunc(150*time.Millisecond, func() { setPrefill(e, 0) })
			assert.Assert(t, askRoom(d, "i-1", 390*time.Millisecond))
		})
	})
	t.Run("a wave of asks gets no more than there is room for", func(t *testing.T) {
		e := newUpstream("a")
		runDriver(t, e, func(d *driver.Driver) {
			call(t, d, "entry-1")
			time.Sleep(200 * time.Millisecond)
			var granted atomic.Int64
			ended := make(chan struct{})
			for range 27 {
				go func() {
					if askRoom(d, "i-1", 50*time.Millisecond) {
						granted.Add(1)
					}
					ended <- struct{}{}
				}()
			}
			for range 27 {
				<-ended
			}
			assert.Assert(t, granted.Load() >= 3 && granted.Load() <= 4, granted.Load())
		})
	})
}

// Guards against credits for an incarnation of the engine that has ended, of which nothing is
// known to be true of the next.
func TestRoomEndsWithTheIncarnation(t *testing.T) {
	e := newUpstream("a")
	runDriver(t, e, func(d *driver.Driver) {
		call(t, d, "entry-1")
		setPrefill(e, 10*perSecond)
		time.Sleep(200 * time.Millisecond)
		assert.Assert(t, !askRoom(d, "i-1", 50*time.Millisecond))
		e.set(func() { e.state = core.UpstreamState{ID: "i-2", Born: 2, Models: e.state.Models} })
		time.Sleep(200 * time.Millisecond)
		assert.Assert(t, !askRoom(d, "i-1", 50*time.Millisecond))
		assert.Assert(t, askRoom(d, "i-2", 50*time.Millisecond))
	})
}

// Guards against credits by reports that have stopped coming: the room of an engine that its agent
// cannot reach is not known.
func TestNoRoomWithoutReports(t *testing.T) {
	e := newUpstream("a")
	runDriver(t, e, func(d *driver.Driver) {
		call(t, d, "entry-1")
		e.set(func() { e.down = true })
		time.Sleep(2 * time.Second)
		assert.Assert(t, !askRoom(d, "i-1", 50*time.Millisecond))
	})
}
