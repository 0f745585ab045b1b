package retry

import "time"

const (
	// loanSize is how many retries a process borrows at once.
	loanSize = 8
	// loanPause is the time after an ask that brought nothing in which a process does not ask again.
	loanPause = 200 * time.Millisecond
)

// Loans are the retries that other processes lent this one from their parts of a budget. The zero value
// is ready for use. It is not safe for concurrent use.
type Loans struct {
	left int
	// until is when the loan ends, and askAgain when the next one may be asked for.
	until, askAgain time.Time
}

// Left returns the number of retries that are left of the loan.
func (l *Loans) Left(now time.Time) int {
	if !now.Before(l.until) {
		return 0
	}
	return l.left
}

// Take takes one retry from the loan and reports whether there was one.
func (l *Loans) Take(now time.Time) bool {
	if l.Left(now) == 0 {
		return false
	}
	l.left--
	return true
}

// Until returns when the loan ends.
func (l *Loans) Until() time.Time { return l.until }

// Ask returns for how many retries to ask another process now, zero if this one is not to ask.
func (l *Loans) Ask(now time.Time) int {
	if now.Before(l.askAgain) {
		return 0
	}
	return loanSize
}

// Add adds the retries that another process lent, which may be none. until is LoanTime after this one
// asked.
func (l *Loans) Add(now time.Time, lent int, until time.Time) {
	if lent <= 0 {
		l.askAgain = now.Add(loanPause)
		return
	}
	l.left = l.Left(now)
	if l.left == 0 || until.Before(l.until) {
		l.until = until
	}
	l.left += lent
}
