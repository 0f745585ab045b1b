package retry

import "radishwell/core"

const (
	// attemptsPerRetry is how many first attempts pay for one retry. Sustained
	// retries then add a tenth to the load, or about a fifth over two hops that
	// both retry.
	attemptsPerRetry = 10
	// maxRetries is how many retries a budget holds at most and starts with, so
	// that a set with few requests can still retry. Any set can bear a burst of
	// ten.
	maxRetries = 10
	// maxSets bounds the number of budgets kept. A set whose budget is full is
	// dropped.
	maxSets = 4096
)

// Budgets holds the retry budgets of sets of upstream hosts; a set is the hosts
// of one service. The zero value is ready for use. It is not safe for
// concurrent use.
type Budgets struct {
	// debt is how many first attempts each set lacks for a full budget.
	debt map[core.ServiceName]int
}

// RecordFirst adds the first attempt of a request to the budget of its set.
func (b *Budgets) RecordFirst(set core.ServiceName) {
	debt, ok := b.debt[set]
	if !ok {
		return
	}
	if debt == 1 {
		delete(b.debt, set)
		return
	}
	b.debt[set] = debt - 1
}

// Remaining returns how many retries the budget of a set still allows.
func (b *Budgets) Remaining(set core.ServiceName) int {
	return (maxRetries*attemptsPerRetry - b.debt[set]) / attemptsPerRetry
}

// spend takes one retry from the budget and reports whether there was one.
func (b *Budgets) spend(set core.ServiceName) bool {
	_, known := b.debt[set]
	if b.Remaining(set) == 0 || !known && len(b.debt) >= maxSets {
		return false
	}
	if b.debt == nil {
		b.debt = make(map[core.ServiceName]int)
	}
	b.debt[set] += attemptsPerRetry
	return true
}
