package fleet_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/core"
	"radishwell/core/cached"
	"radishwell/core/fleet"
)

// cachedView returns a view of two hosts whose agents report what they keep, and the book of that.
func cachedView() (*fleet.View, *cached.Book) {
	v, book := freeHosts(1<<20, 1<<20), &cached.Book{}
	v.UseCached(book)
	for _, h := range v.Hosts("") {
		book.Apply(cached.Update{Engine: engineOf(h), Delta: cached.Delta{Whole: true}})
	}
	return v, book
}

func engineOf(h *fleet.Host) cached.Engine {
	return cached.Engine{Address: h.Address, ID: h.ID, Born: h.Born}
}

func docKey() uint32 { return cached.Key(cached.Hash("m", "", "doc")) }

func TestHostThatKeepsIsChosen(t *testing.T) {
	for _, id := range []core.HostName{"i-1", "i-2"} {
		v, book := cachedView()
		book.Apply(cached.Update{Engine: engineOf(v.Host(id)), Delta: cached.Delta{Added: []uint32{docKey()}}})
		c := v.Pick(t0, prompt("doc", "own"))
		assert.Equal(t, c.Host.ID, id)
		assert.Equal(t, c.Host.PrefillTokens(t0, prompt("doc", "own")), 3000)
	}
}

// TestPartWasLetGo: an engine has let a part go that this entry sent it. It has to be read again, so
// the host must not be preferred for it.
func TestPartWasLetGo(t *testing.T) {
	v, _ := cachedView()
	h := v.Host("i-1")
	h.NoteSent(t0, prompt("doc", "own"))
	at := func(d time.Duration) int {
		v.Report(fleet.Report{Taken: t0.Add(d), ID: "i-1", Models: entry("", "m").Models})
		return h.PrefillTokens(t0.Add(d), prompt("doc", "other"))
	}
	assert.Equal(t, at(time.Second), 3000) // its agent may not have told yet
	assert.Equal(t, at(4*time.Second), 9000)
	v.UseCached(nil)
	assert.Equal(t, at(5*time.Second), 3000, "without reports of what is kept, a part counts for a minute")
}

// TestCachedOfSilentAgent: an agent is frozen or cut off. What it reported is out of date, and this
// entry goes by its own requests.
func TestCachedOfSilentAgent(t *testing.T) {
	v, book := cachedView()
	h := v.Host("i-1")
	book.Apply(cached.Update{Engine: engineOf(h), Delta: cached.Delta{Added: []uint32{docKey()}}})
	assert.Equal(t, h.PrefillTokens(t0.Add(5*time.Second), prompt("doc", "own")), 9000)
}

// TestCachedOfReusedID: a host starts again under its id. What the incarnation before kept is gone.
func TestCachedOfReusedID(t *testing.T) {
	v, book := cachedView()
	book.Apply(cached.Update{Engine: engineOf(v.Host("i-1")), Delta: cached.Delta{Added: []uint32{docKey()}}})
	e := entry("i-1", "m")
	e.Born = 77
	v.Apply(e)
	v.Report(fleet.Report{Taken: t0, ID: "i-1", Models: e.Models})
	assert.Equal(t, v.Host("i-1").PrefillTokens(t0, prompt("doc", "own")), 9000)
}
