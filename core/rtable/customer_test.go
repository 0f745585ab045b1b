package rtable_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"radishwell/core"
	"radishwell/core/rtable"
)

func ranked(name string, rank int) *rtable.Route {
	r := route(name, "a.example", "/"+name+"/", "s")
	r.Rank = rank
	return r
}

func customer(name core.OwnerName, rank int, keys ...string) *rtable.Customer {
	c := &rtable.Customer{Name: name, Rank: &rank}
	for _, k := range keys {
		c.Keys = append(c.Keys, core.DigestOf(k))
	}
	return c
}

func buildFor(t *testing.T, version int64, routes []*rtable.Route, customers ...*rtable.Customer) *rtable.Table {
	t.Helper()
	table, err := rtable.Build(version, rtable.Limits{}, []*rtable.Service{{Name: "s"}}, routes, customers)
	assert.NilError(t, err)
	return table
}

// Guards against the rank of a route taking precedence over that of a customer.
func TestCustomerRankTakesPrecedence(t *testing.T) {
	high, low := ranked("high", 0), ranked("low", 2)
	first, last := customer("first", 0), customer("last", 1)
	unranked := &rtable.Customer{Name: "unranked"}
	table := buildFor(t, 1, []*rtable.Route{high, low}, first, last, unranked)
	rank := func(c *rtable.Customer, r *rtable.Route) int { return table.Rank(c, r, core.PriorityLevels) }
	order := []int{rank(first, high), rank(first, low), rank(last, high), rank(last, low)}
	assert.DeepEqual(t, order, []int{0, 1, 2, 3})
	t.Run("the route's rank is used if the customer has none", func(t *testing.T) {
		assert.Equal(t, rank(unranked, high), rank(nil, high))
		assert.Assert(t, rank(unranked, high) < rank(unranked, low))
	})
	t.Run("adjacent ranks share a number if there are more ranks than numbers", func(t *testing.T) {
		assert.Equal(t, table.Rank(first, high, 2), 0)
		assert.Equal(t, table.Rank(unranked, low, 2), 1)
	})
	t.Run("without customers, routes keep their order", func(t *testing.T) {
		table := buildFor(t, 1, []*rtable.Route{high, low})
		assert.Assert(t, table.Rank(nil, high, core.PriorityLevels) < table.Rank(nil, low, core.PriorityLevels))
	})
}

// Guards against a removed key that an older table restores.
func TestRemovedKeysStayRemoved(t *testing.T) {
	routes := []*rtable.Route{ranked("r", 0)}
	var k rtable.Keeper
	k.Offer(buildFor(t, 1, routes, customer("c", 0, "old", "kept")))
	k.Offer(buildFor(t, 2, routes, customer("c", 0, "kept", "new")))
	assert.Assert(t, !k.Offer(buildFor(t, 1, routes, customer("c", 0, "old", "kept"))))
	assert.Assert(t, k.Table().KeyHolder(core.DigestOf("old")) == nil)
	assert.Assert(t, k.Removed(core.DigestOf("old")))
	assert.Assert(t, !k.Removed(core.DigestOf("kept")) && !k.Removed(core.DigestOf("unknown")))
}
