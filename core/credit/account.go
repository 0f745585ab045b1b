package credit

import (
	"cmp"
	"slices"
	"time"

	"radishwell/core"
)

const (
	// transit is how long after its grant a prompt may not yet be in the engine's reports.
	transit = 80 * time.Millisecond
	// servedHalfLife is the time after which the time granted to a customer counts half; after
	// twice as long it counts a third.
	servedHalfLife = 5 * time.Second
	// maxAsks bounds the asks that wait. Those beyond are refused, and entries go by what they
	// know themselves.
	maxAsks = 4096
	// maxReading bounds the time that an ask may state for its prompt.
	maxReading = time.Minute
	// maxTokens bounds the reported number of tokens.
	maxTokens = 1 << 24
	// meanWeight is the weight of each new sample in the average length of prompts.
	meanWeight = 0.1
	// contention is how long after an ask entries have to ask for requests as urgent.
	contention = time.Second
)

// Ask is a request for a credit.
type Ask struct {
	// ID is unique among the asks of an account.
	ID uint64
	// Rank is the request's urgency, zero first.
	Rank     int
	Customer core.OwnerName
	// Tokens is the number of prompt tokens to be read, and Reading the time that this should
	// take at the engine.
	Tokens  int
	Reading time.Duration
	// Ahead is how much work the engine may have before this request.
	Ahead time.Duration
	// Until is when the ask ends.
	Until time.Time
}

// grant is a credit of which the engine's reports may not tell yet.
type grant struct {
	at      time.Time
	reading time.Duration
}

// Account holds the asks for one incarnation of an engine. The zero Account is ready for use. It
// is not safe for concurrent use.
type Account struct {
	asks []Ask
	// reported is the number of prompt tokens that the engine read as of reportedAt, and perToken
	// the time that it takes to read one, by what the latest ask states.
	reported   int64
	reportedAt time.Time
	perToken   time.Duration
	// meanTokens is a moving average of the asks' tokens.
	meanTokens float64
	grants     []grant
	// askedAt is when an ask of each rank last came.
	askedAt [core.PriorityLevels]time.Time
	served  map[core.OwnerName]served
}

// served is the decayed time granted to a customer.
type served struct {
	amount float64
	at     time.Time
}

// Observe records the prompt tokens that the engine reads and the number of requests that wait in
// it, by a report that was requested at the given time. Those are assumed to be as long as the
// ones that entries ask for.
func (a *Account) Observe(at time.Time, tokens, waiting int64) {
	tokens = min(max(0, tokens), maxTokens) + min(max(0, waiting), maxAsks)*int64(a.meanTokens)
	a.reported, a.reportedAt = min(tokens, maxTokens), at
	a.grants = slices.DeleteFunc(a.grants, func(g grant) bool { return g.at.Add(transit).Before(at) })
}

// Put adds an ask. It reports false if there are too many.
func (a *Account) Put(now time.Time, ask Ask) bool {
	if len(a.asks) >= maxAsks {
		return false
	}
	ask.Reading = min(max(0, ask.Reading), maxReading)
	if ask.Tokens > 0 && ask.Reading > 0 {
		a.perToken = ask.Reading / time.Duration(ask.Tokens)
		a.meanTokens += meanWeight * (float64(min(ask.Tokens, maxTokens)) - a.meanTokens)
	}
	ask.Rank = min(max(0, ask.Rank), core.PriorityLevels-1)
	a.askedAt[ask.Rank] = now
	a.asks = append(a.asks, ask)
	return true
}

// Drop removes an ask that waits no longer.
func (a *Account) Drop(id uint64) {
	a.asks = slices.DeleteFunc(a.asks, func(q Ask) bool { return q.ID == id })
}

// Len returns the number of asks that wait.
func (a *Account) Len() int { return len(a.asks) }

// MostUrgent returns the most urgent rank of the asks that have come of late, one beyond the last
// rank if there are none. Entries have to ask for requests that are no more urgent: what each of
// them knows of the engine is too old to share its room by.
func (a *Account) MostUrgent(now time.Time) int {
	for rank, at := range a.askedAt {
		if now.Sub(at) < contention {
			return rank
		}
	}
	return core.PriorityLevels
}

// Busy returns how long the engine needs to read the prompts that it has and those for which
// credits were granted.
func (a *Account) Busy(now time.Time) time.Duration {
	busy := max(0, time.Duration(a.reported)*a.perToken-now.Sub(a.reportedAt))
	for _, g := range a.grants {
		busy += max(0, g.reading-max(0, now.Sub(g.at)-transit))
	}
	return busy
}

// Grant grants the credits for which there is room now and returns the asks that get one. Those
// that have ended are dropped.
func (a *Account) Grant(now time.Time) (granted []uint64) {
	a.asks = slices.DeleteFunc(a.asks, func(q Ask) bool { return !now.Before(q.Until) })
	for len(a.asks) > 0 {
		i := a.first(now)
		q := a.asks[i]
		if a.Busy(now) > q.Ahead {
			return granted // what is less urgent must not overtake it
		}
		a.asks = slices.Delete(a.asks, i, i+1)
		a.grants = append(a.grants, grant{at: now, reading: q.Reading})
		a.charge(now, q)
		granted = append(granted, q.ID)
	}
	return granted
}

// first returns the index of the ask that is granted next.
func (a *Account) first(now time.Time) int {
	best := 0
	for i := 1; i < len(a.asks); i++ {
		q, b := a.asks[i], a.asks[best]
		if cmp.Or(cmp.Compare(q.Rank, b.Rank), cmp.Compare(a.amount(now, q.Customer), a.amount(now, b.Customer)), cmp.Compare(q.ID, b.ID)) < 0 {
			best = i
		}
	}
	return best
}

// amount returns the decayed time granted to a customer, in seconds. It falls more slowly the
// older it is: a customer that was granted much stays behind for longer than with core.Decay.
func (a *Account) amount(now time.Time, customer core.OwnerName) float64 {
	s := a.served[customer]
	age := float64(now.Sub(s.at)) / float64(servedHalfLife)
	if s.amount == 0 || age > 20 {
		return 0
	}
	return s.amount / (1 + age)
}

func (a *Account) charge(now time.Time, q Ask) {
	if a.served == nil || len(a.served) >= maxAsks {
		a.served = map[core.OwnerName]served{}
	}
	a.served[q.Customer] = served{amount: a.amount(now, q.Customer) + q.Reading.Seconds(), at: now}
}
