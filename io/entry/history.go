package entry

import (
	"time"

	"radishwell/core"
)

// maxHistories bounds the requests whose steps are remembered, maxSteps the steps of
// one request. Operators who ask for them do so within minutes.
const (
	maxHistories = 4096
	maxSteps     = 32
)

// step is one event in the history of a request.
type step struct {
	at   time.Time
	text string
}

// histories holds the steps of the latest requests, for explain.
type histories struct {
	steps map[core.RequestID][]step
	order []core.RequestID
	next  int
}

func (t *histories) add(id core.RequestID, at time.Time, text string) {
	if t.steps == nil {
		t.steps = map[core.RequestID][]step{}
		t.order = make([]core.RequestID, maxHistories)
	}
	list, known := t.steps[id]
	if !known {
		delete(t.steps, t.order[t.next])
		t.order[t.next] = id
		t.next = (t.next + 1) % maxHistories
	}
	if len(list) < maxSteps {
		t.steps[id] = append(list, step{at, text})
	}
}

// recordStep adds a step to a request's history.
func (e *Entry) recordStep(id core.RequestID, at time.Time, text string) {
	e.historyMu.Lock()
	defer e.historyMu.Unlock()
	e.histories.add(id, at, text)
}

// ExplainRequest describes what happened to a request, with a line for each step.
func (e *Entry) ExplainRequest(id core.RequestID) []string {
	e.historyMu.Lock()
	defer e.historyMu.Unlock()
	var lines []string
	for _, s := range e.histories.steps[id] {
		lines = append(lines, s.at.UTC().Format(time.RFC3339Nano)+" "+s.text)
	}
	return lines
}
