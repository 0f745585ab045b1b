package strict

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
)

// Problem is one fault in a document.
type Problem struct {
	// File is the name the document was parsed under; it may be empty.
	File string
	// Line and Column count from one; zero where the place is unknown.
	Line   int
	Column int
	// Key is the path of keys, as in "limits.stop-grace" or "keys[2].digest".
	Key string
	// Reason tells what is wrong, in words for an operator.
	Reason string
}

// String returns file:line:column: key: reason.
func (p Problem) String() string {
	var b strings.Builder
	if p.File != "" {
		b.WriteString(p.File + ":")
	}
	if p.Line > 0 {
		b.WriteString(strconv.Itoa(p.Line) + ":" + strconv.Itoa(p.Column) + ":")
	}
	if b.Len() > 0 {
		b.WriteByte(' ')
	}
	if p.Key != "" {
		b.WriteString(p.Key + ": ")
	}
	b.WriteString(p.Reason)
	return b.String()
}

// Problems is a list of faults. It is an error when it is not empty; use Err to
// return it as one.
type Problems []Problem

// Error implements error: a line for each problem.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, one := range p {
		lines[i] = one.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns the list as an error, or nil where it is empty.
func (p Problems) Err() error {
	if len(p) == 0 {
		return nil
	}
	return p
}

// Sort orders the list by file and place.
func (p Problems) Sort() {
	slices.SortStableFunc(p, func(a, b Problem) int {
		return cmp.Or(
			cmp.Compare(a.File, b.File),
			cmp.Compare(a.Line, b.Line),
			cmp.Compare(a.Column, b.Column),
			cmp.Compare(a.Key, b.Key),
			cmp.Compare(a.Reason, b.Reason),
		)
	})
}
