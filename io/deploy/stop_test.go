package deploy_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/platform/stand"
)

// Guards against streams that are taken during a planned stop, run, and are cut when the process ends.
func TestStopCutsNoStreamTakenLate(t *testing.T) {
	for name, test := range map[string]struct {
		known int
		gap   time.Duration
		taken bool
	}{
		"known lengths, too long":  {16, 700 * time.Millisecond, false},
		"known lengths, short":     {16, 50 * time.Millisecond, true},
		"nothing of them is known": {0, 700 * time.Millisecond, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t)
			e := f.addEntry(t, "edge-1")
			w := f.addEngine(t, 1, stand.Held{Name: "m-1", Version: 1})
			w.Gap = test.gap
			e.waitReady(t)
			until(t, "a stream is served", func() bool {
				status, _ := sendChat(t, e, fmt.Sprint("first-", time.Now().UnixNano()), "m-1")
				return status == http.StatusOK || test.known == 0
			})
			var callers sync.WaitGroup
			for i := range test.known {
				callers.Go(func() { sendChat(t, e, fmt.Sprint("before-", i), "m-1") })
			}
			callers.Wait()
			stopped := make(chan struct{})
			go func() {
				e.stop()
				close(stopped)
			}()
			var mu sync.Mutex
			taken := 0
			for i := range 20 {
				time.Sleep(100 * time.Millisecond)
				callers.Go(func() {
					id := fmt.Sprint("q-", i)
					status, body := sendChat(t, e, id, "m-1")
					mu.Lock()
					defer mu.Unlock()
					switch status {
					case http.StatusOK:
						assert.Check(t, strings.Contains(body, "event 5"), "%s was cut: %q", id, body)
						taken++
					case http.StatusServiceUnavailable:
						assert.Check(t, w.Ran(id) == 0, "%s was refused and ran", id)
					default:
						assert.Check(t, w.Ran(id) == 0, "%s has status %d and ran", id, status)
					}
				})
			}
			callers.Wait()
			<-stopped
			if test.taken {
				assert.Assert(t, taken >= 18, "%d of 20 were served", taken)
			}
		})
	}
}
