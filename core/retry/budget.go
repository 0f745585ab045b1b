package retry

import "radishwell/core"

const (
	// share is what one first attempt pays into its set's budget: retries add a
	// tenth to the load when they go on and on. At two hops that both retry it is
	// a fifth.
	share = 0.1
	// reserve is what a budget holds at the most and begins with, so that a set
	// with few requests can still retry: ten are a burst that any set bears.
	reserve = 10.0
	// mostSets bounds the budgets kept. A set whose budget is whole is dropped.
	mostSets = 4096
)

// Budgets are the retry budgets of sets of upstream hosts. The zero value is
// ready for use; it needs no lock of its own.
type Budgets struct {
	// spent is what is missing from the reserve of each set.
	spent map[core.ServiceName]float64
}

// First pays in for the first attempt of a request.
func (b *Budgets) First(set core.ServiceName) {
	missing, ok := b.spent[set]
	if !ok {
		return
	}
	if missing <= share {
		delete(b.spent, set)
		return
	}
	b.spent[set] = missing - share
}

// Left returns how many retries the set can pay for at present.
func (b *Budgets) Left(set core.ServiceName) int { return int(reserve - b.spent[set]) }

// draw takes one retry out and reports whether there was one.
func (b *Budgets) draw(set core.ServiceName) bool {
	missing, ok := b.spent[set]
	if missing+1 > reserve || !ok && len(b.spent) >= mostSets {
		return false
	}
	if b.spent == nil {
		b.spent = make(map[core.ServiceName]float64)
	}
	b.spent[set] = missing + 1
	return true
}
