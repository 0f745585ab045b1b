package entry

import (
	"time"

	"radishwell/core"
)

// maxTrails bounds the requests whose way is remembered, maxSteps the steps of
// one. An operator who asks does so within minutes.
const (
	maxTrails = 4096
	maxSteps  = 32
)

// step is one thing that happened to a request.
type step struct {
	at   time.Time
	text string
}

// trails remembers what happened to the latest requests, for explain.
type trails struct {
	steps map[core.RequestID][]step
	order []core.RequestID
	next  int
}

func (t *trails) add(id core.RequestID, at time.Time, text string) {
	if t.steps == nil {
		t.steps = map[core.RequestID][]step{}
		t.order = make([]core.RequestID, maxTrails)
	}
	list, known := t.steps[id]
	if !known {
		delete(t.steps, t.order[t.next])
		t.order[t.next] = id
		t.next = (t.next + 1) % maxTrails
	}
	if len(list) < maxSteps {
		t.steps[id] = append(list, step{at, text})
	}
}

// trail notes a step of a request's way.
func (e *Entry) trail(id core.RequestID, at time.Time, text string) {
	e.trailLock.Lock()
	defer e.trailLock.Unlock()
	e.trails.add(id, at, text)
}

// ExplainRequest tells what happened to a request, a line for each step.
func (e *Entry) ExplainRequest(id core.RequestID) []string {
	e.trailLock.Lock()
	defer e.trailLock.Unlock()
	var lines []string
	for _, s := range e.trails.steps[id] {
		lines = append(lines, s.at.UTC().Format(time.RFC3339Nano)+" "+s.text)
	}
	return lines
}
