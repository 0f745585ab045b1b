package queue_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/core"
	"radishwell/core/queue"
)

// Guards against requests that are refused for a wait many times as long as theirs would be: the
// time until an engine that runs many requests at once had finished its first one was taken for
// the time between two finishes.
func TestBurstAtWideEngineIsServed(t *testing.T) {
	const requests, perStep, step = 300, 3, time.Millisecond
	for _, slots := range []int{8, 16, 64, 128} {
		for _, service := range []time.Duration{10 * time.Millisecond, 30 * time.Millisecond, 60 * time.Millisecond, 90 * time.Millisecond} {
			t.Run(fmt.Sprint(slots, " slots, ", service), func(t *testing.T) {
				// The whole burst takes less than a third of the time that its requests have.
				deadline := 3 * service * (requests/time.Duration(slots) + 2)
				q := &queue.Queue{}
				ends := map[core.RequestID]time.Time{}
				sent, refused, late := 0, 0, 0
				for now := t0; sent < requests || len(ends) > 0; now = now.Add(step) {
					for id, end := range ends {
						if !end.After(now) {
							delete(ends, id)
							q.Finish(now, id, queue.Served)
						}
					}
					for range perStep {
						if sent == requests {
							break
						}
						i := item(fmt.Sprint(sent), core.Interactive, "a", now.Sub(t0)+deadline)
						i.Cost = int64(5 + sent%7)
						sent++
						if q.Push(now, i).Refusal != nil {
							refused++
						}
					}
					for {
						i, ok := q.Pop(now, func(string) int { return slots - len(ends) })
						if !ok {
							break
						}
						ends[i.ID] = now.Add(service)
						if ends[i.ID].After(i.Deadline) {
							late++
						}
					}
				}
				assert.Equal(t, refused+late, 0, "%d refused, %d late", refused, late)
			})
		}
	}
}
