package proxy_test

import (
	"bytes"
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"radishwell/core"
	"radishwell/core/fleet"
	"radishwell/io/meter"
)

// TestAnswersShorterThanMaximum: answers of a route never reach the maximum that callers name. If
// that were taken for their length, hosts with room for them would seem full.
func TestAnswersShorterThanMaximum(t *testing.T) {
	const most, made, learned = 50, 2 * 4, 8
	h := newHeldRig(t)
	h.Meter = meter.New()
	for i := range learned + 2 {
		h.Update(func(v *fleet.View, now time.Time) {
			v.Report(fleet.Report{
				Taken: now, ID: "i-1", Reachable: true, Models: []core.HeldModel{{Model: "m"}}, Pace: core.Pace{EventTokens: 4},
			})
		})
		wantStatus(t, do(t, h.stream(t, "/urgent/x", fmt.Sprint("q-", i))), http.StatusOK)
	}
	var text bytes.Buffer
	h.Meter.Write(&text)
	want := fmt.Sprintf(`radishwell_answer_tokens_total{kind="foreseen"} %d`, learned*most+2*made)
	assert.Check(t, cmp.Contains(text.String(), want))
	want = fmt.Sprintf(`radishwell_answer_tokens_total{kind="generated"} %d`, (learned+2)*made)
	assert.Check(t, cmp.Contains(text.String(), want))
}
