package entry_test

import (
	"context"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/core"
	"radishwell/core/claims"
	"radishwell/core/dedupe"
	"radishwell/io/entry"
	"radishwell/io/fakes/apisrv"
	"radishwell/io/objapi"
	"radishwell/wire"
)

// journals starts the journals of n entries on one platform. They call each other
// directly.
func journals(t *testing.T, n int) []*entry.Journals {
	t.Helper()
	web := httptest.NewServer(&apisrv.Server{History: 1000})
	t.Cleanup(web.Close)
	at := addrOf(t, web.Listener)
	var names []core.HostName
	for i := range n {
		names = append(names, core.HostName("entry-"+strconv.Itoa(i)))
	}
	list := make([]*entry.Journals, n)
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, n)
	for i := range n {
		list[i] = &entry.Journals{
			Self: names[i], Clock: realClock{}, Known: func() bool { return true },
			Platform: &objapi.Client{Address: at, Reads: objapi.Budget{PerSecond: 200, Burst: 200}, Writes: objapi.Budget{PerSecond: 200, Burst: 200}},
			Entries:  func() []core.HostName { return names },
			Ask: func(ctx context.Context, to core.HostName, c *wire.ClaimCall) (*wire.ClaimReply, error) {
				for j, name := range names {
					if name == to {
						return list[j].Serve(ctx, c), nil
					}
				}
				return nil, unreachableError{}
			},
		}
		list[i].Init()
	}
	for _, s := range list {
		go func() { ended <- s.Run(ctx) }()
	}
	t.Cleanup(func() {
		stop()
		for range n {
			<-ended
		}
	})
	return list
}

func claimOf(key string, claimant uint64) claims.Submission {
	now := time.Now()
	return claims.Submission{GiveUp: now.Add(10 * time.Second), Claim: claims.Claim{
		ID: dedupe.KeyOf("guild", key), Fingerprint: 7, Host: "up-1", Incarnation: 5, Claimant: claimant,
		Attempt: 1, Expires: claims.ExpiryOf(now, time.Hour),
	}}
}

// The same key is claimed through several entries at once. Guards against two claims that
// win, and against answers that name different holders.
func TestOneClaimWins(t *testing.T) {
	t.Parallel()
	list := journals(t, 3)
	answers := make([]claims.Answer, 24)
	var all sync.WaitGroup
	for i := range answers {
		all.Go(func() { answers[i] = list[i%3].Claim(t.Context(), claimOf("order-1", uint64(i+1))) })
	}
	all.Wait()
	won := 0
	for _, a := range answers {
		assert.Assert(t, a.Result != claims.Unsure)
		assert.Equal(t, a.Holder.Claimant, answers[0].Holder.Claimant)
		if a.Result == claims.Won {
			won++
		}
	}
	assert.Equal(t, won, 1)
}

// claimUntilSure makes a claim again while it is not known whether it is recorded, as an entry
// does, until its claimant gives up.
func claimUntilSure(ctx context.Context, s *entry.Journals, c claims.Submission) (a claims.Answer) {
	for {
		a = s.Claim(ctx, c)
		if a.Result != claims.Unsure || !time.Now().Before(c.GiveUp) {
			return a
		}
	}
}

// Guards against claims that are not recorded while many wait for one journal, and against a
// claim made again that does not recognize its own record.
func TestManyClaims(t *testing.T) {
	t.Parallel()
	list := journals(t, 2)
	began := time.Now()
	var all sync.WaitGroup
	for i := range 200 {
		all.Go(func() {
			c := claimOf("key-"+strconv.Itoa(i), uint64(i+1))
			a := claimUntilSure(t.Context(), list[i%2], c)
			assert.Equal(t, a.Result, claims.Won)
			assert.Equal(t, a.Holder.Claimant, c.Claim.Claimant)
		})
	}
	all.Wait()
	t.Logf("200 claims took %s", time.Since(began))
}
