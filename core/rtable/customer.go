package rtable

import (
	"cmp"
	"slices"

	"radishwell/core"
	"radishwell/core/admit"
)

// Customer is a customer, whose requests are identified by keys.
type Customer struct {
	Name core.OwnerName
	Keys []core.KeyDigest
	// Rank is the urgency of the customer's requests and takes precedence over the rank of
	// their routes. Zero is the most urgent. If it is nil, the rank of the route is used.
	Rank      *int
	Allowance admit.Allowance
}

// CustomerError reports an invalid customer.
type CustomerError struct {
	Customer core.OwnerName
	Reason   string
}

// Error implements error.
func (e *CustomerError) Error() string { return "customer " + string(e.Customer) + ": " + e.Reason }

// addCustomers validates the customers and adds them to the table. Its error is a
// CustomerError.
func (t *Table) addCustomers(customers []*Customer) error {
	if customers == nil {
		return nil
	}
	t.keys, t.byName = map[core.KeyDigest]*Customer{}, map[core.OwnerName]*Customer{}
	for _, c := range customers {
		a := c.Allowance
		switch {
		case c.Name == "":
			return &CustomerError{Customer: c.Name, Reason: "it has no name"}
		case t.byName[c.Name] != nil:
			return &CustomerError{Customer: c.Name, Reason: "it is listed twice"}
		case a.Rate < 0 || a.Burst < 0 || a.DefaultUnits < 0:
			return &CustomerError{Customer: c.Name, Reason: "its allowance is negative"}
		}
		t.byName[c.Name] = c
		for _, key := range c.Keys {
			if other := t.keys[key]; other != nil && other != c {
				return &CustomerError{Customer: c.Name, Reason: "it has a key of customer " + string(other.Name)}
			}
			t.keys[key] = c
		}
	}
	return nil
}

// Keyed reports whether callers need keys, except on open routes.
func (t *Table) Keyed() bool { return t.keys != nil }

// KeyHolder returns the customer that holds a key, nil if none does.
func (t *Table) KeyHolder(key core.KeyDigest) *Customer { return t.keys[key] }

// Customer returns a customer by its name, nil if there is none. A nil table has none.
func (t *Table) Customer(name core.OwnerName) *Customer {
	if t == nil {
		return nil
	}
	return t.byName[name]
}

// Limited reports whether any customer has a limited allowance. It is false for a nil
// table.
func (t *Table) Limited() bool {
	if t == nil {
		return false
	}
	for _, c := range t.byName {
		if c.Allowance.Limited() {
			return true
		}
	}
	return false
}

// urgency is the combined rank of a customer and a route. The customer's rank is compared
// first.
type urgency struct{ customer, route int }

func urgencyOf(c *Customer, r *Route) urgency {
	if c == nil || c.Rank == nil {
		return urgency{r.Rank, r.Rank}
	}
	return urgency{*c.Rank, r.Rank}
}

// ranks are the distinct urgencies of a table in descending order of urgency.
type ranks []urgency

func newRanks(routes []*Route, customers []*Customer) ranks {
	// Ranks are collected first because thousands of routes and customers share a few.
	ofRoutes, ofCustomers := map[int]bool{}, map[int]bool{}
	for _, r := range routes {
		ofRoutes[r.Rank] = true
	}
	for _, c := range customers {
		if c.Rank != nil {
			ofCustomers[*c.Rank] = true
		}
	}
	var out ranks
	for route := range ofRoutes {
		out = append(out, urgency{route, route})
		for customer := range ofCustomers {
			out = append(out, urgency{customer, route})
		}
	}
	slices.SortFunc(out, compareUrgency)
	return slices.Compact(out)
}

func compareUrgency(a, b urgency) int {
	return cmp.Or(cmp.Compare(a.customer, b.customer), cmp.Compare(a.route, b.route))
}

// Rank maps the urgency of a customer's requests on a route to a number from 0, the most
// urgent, to count-1. If the table has more than count urgencies, neighbouring ones share a
// number. The customer may be nil.
func (t *Table) Rank(c *Customer, r *Route, count int) int {
	at, _ := slices.BinarySearchFunc(t.ranks, urgencyOf(c, r), compareUrgency)
	if n := len(t.ranks); n > count {
		return at * count / n
	}
	return min(at, count-1)
}
