package retry

import "radishwell/core"

const (
	// perRetry is how many first attempts pay for one retry: retries add a tenth
	// to the load when they go on and on. At two hops that both retry it is a
	// fifth.
	perRetry = 10
	// reserve is how many retries a budget holds at the most and begins with, so
	// that a set with few requests can still retry: ten are a burst that any set
	// bears.
	reserve = 10
	// mostSets bounds the budgets kept. A set whose budget is whole is dropped.
	mostSets = 4096
)

// Budgets are the retry budgets of sets of upstream hosts. The zero value is
// ready for use; it needs no lock of its own.
type Budgets struct {
	// owed is how many first attempts each set is short of a whole reserve.
	owed map[core.ServiceName]int
}

// First pays in for the first attempt of a request.
func (b *Budgets) First(set core.ServiceName) {
	owed, ok := b.owed[set]
	if !ok {
		return
	}
	if owed == 1 {
		delete(b.owed, set)
		return
	}
	b.owed[set] = owed - 1
}

// Left returns how many retries the set can pay for at present.
func (b *Budgets) Left(set core.ServiceName) int {
	return (reserve*perRetry - b.owed[set]) / perRetry
}

// draw takes one retry out and reports whether there was one.
func (b *Budgets) draw(set core.ServiceName) bool {
	_, known := b.owed[set]
	if b.Left(set) == 0 || !known && len(b.owed) >= mostSets {
		return false
	}
	if b.owed == nil {
		b.owed = make(map[core.ServiceName]int)
	}
	b.owed[set] += perRetry
	return true
}
