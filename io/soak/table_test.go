package soak

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestLateTables(t *testing.T) {
	probe := func(entry int, at time.Duration, status int) Result {
		return Result{ID: fmt.Sprint(probePrefix, entry, at), Path: "/version-7/x", Entry: entry, Began: at, Ended: at, Status: status}
	}
	late := func(steps []Step, results ...Result) int {
		return len((&signalChecker{steps: steps}).lateTables(results))
	}
	has := probe(0, time.Second, http.StatusOK)
	lacks := probe(1, time.Second+applyTime+time.Millisecond, http.StatusNotFound)
	t.Run("an entry lacks a table that another has", func(t *testing.T) { assert.Equal(t, late(nil, has, lacks), 1) })
	t.Run("the store is out meanwhile", func(t *testing.T) {
		assert.Equal(t, late([]Step{{Kind: StoreDown, Begin: time.Second, End: 3 * time.Second}}, has, lacks), 1)
	})
	t.Run("for a short time", func(t *testing.T) {
		assert.Equal(t, late(nil, has, probe(1, time.Second+applyTime, http.StatusNotFound)), 0)
	})
	t.Run("as long as no entry has it", func(t *testing.T) { assert.Equal(t, late(nil, lacks), 0) })
	t.Run("as it says with 503", func(t *testing.T) {
		assert.Equal(t, late(nil, has, probe(1, time.Second+2*applyTime, http.StatusServiceUnavailable)), 0)
	})
	t.Run("after it was killed", func(t *testing.T) {
		assert.Equal(t, late([]Step{{Kind: KillEntry, Target: 1, Begin: 2 * time.Second, End: 2 * time.Second}}, has, lacks), 0)
	})
	t.Run("after the store has lost the table", func(t *testing.T) {
		assert.Equal(t, late([]Step{{Kind: RestoreStore, Begin: 2 * time.Second, End: 3 * time.Second}}, has, lacks), 0)
	})
}
