package entry_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/core"
	"radishwell/io/fakes/llmsrv"
)

func TestColdRequest(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.engineHost("up-1", &llmsrv.Server{LoadTimes: [3]time.Duration{time.Millisecond, time.Millisecond, 20 * time.Millisecond}})
	url := f.entryHost()
	t.Run("whole", func(t *testing.T) {
		a := chat(t, url, "alpha", "one two three", false, 6)
		assertDone(t, a)
		assert.Assert(t, strings.Contains(a.body, "one two three one two three"), a.body)
	})
	t.Run("streamed", func(t *testing.T) {
		a := chat(t, url, "alpha", "four five", true, 4)
		assertDone(t, a)
		assert.Equal(t, text(t, a), "four five four five ")
	})
	t.Run("adapter on its base", func(t *testing.T) {
		a := chat(t, url, "alpha-dues", "dues", false, 2)
		assertDone(t, a)
	})
	t.Run("unknown model", func(t *testing.T) {
		assertRefused(t, chat(t, url, "nothing", "x", false, 1), core.CodeUnknownModel, core.NotRun)
	})
}

func TestPlainService(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	h := f.plainHost("up-1")
	url := f.entryHost()
	t.Run("relayed", func(t *testing.T) {
		a := send(t, http.MethodPut, url+"/services/ledger/entries/7?year=2026", "posting", "X-Mark", "7")
		assertDone(t, a)
		assert.Assert(t, strings.Contains(a.body, `"path":"/entries/7"`), a.body)
		assert.Assert(t, strings.Contains(a.body, `"query":"year=2026"`), a.body)
		assert.Assert(t, !strings.Contains(a.body, callerKey), "the caller's key went upstream")
	})
	t.Run("keyed call runs once", func(t *testing.T) {
		first := send(t, http.MethodPost, url+"/services/ledger/post", "amount 12", "Idempotency-Key", "k-1")
		second := send(t, http.MethodPost, url+"/services/ledger/post", "amount 12", "Idempotency-Key", "k-1")
		assertDone(t, first)
		assertDone(t, second)
		assert.Equal(t, first.body, second.body)
		assert.Equal(t, h.plain.Runs()["amount 12"], 1)
	})
	t.Run("key with another body", func(t *testing.T) {
		a := send(t, http.MethodPost, url+"/services/ledger/post", "amount 13", "Idempotency-Key", "k-1")
		assertRefused(t, a, core.CodeKeyReused, core.NotRun)
	})
}

// Guards against requests in progress that are counted as waiting, so that their gauge
// stays zero. It is one while a stream runs and zero after.
func TestRunningIsShown(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.engineHost("up-1", &llmsrv.Server{LoadTimes: quickLoads, TokenTime: 20 * time.Millisecond})
	url := f.entryHost()
	gaugeIs := func(n int) func() bool {
		return func() bool {
			var b strings.Builder
			f.entries[0].Meter.Write(&b)
			return strings.Contains(b.String(), fmt.Sprintf("radishwell_requests_in_progress{class=\"interactive\"} %d\n", n))
		}
	}
	ended := make(chan answer, 1)
	go func() { ended <- chat(t, url, "alpha", "x", true, 50) }()
	waitFor(t, "the request is not shown", gaugeIs(1))
	assertDone(t, <-ended)
	waitFor(t, "the request is shown after its end", gaugeIs(0))
}
