package strict

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
)

// Problem is one fault in a document.
type Problem struct {
	// File is the file name passed to Parse; it may be empty.
	File string
	// Line and Column count from one; both are zero if the position is unknown.
	Line   int
	Column int
	// Key is the path of keys, as in "limits.stop-grace" or "keys[2].digest".
	Key string
	// Reason describes the fault to an operator.
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

// Problems is a list of faults. An empty list is not an error: use Err to return the
// list as an error.
type Problems []Problem

// Error implements error. It returns one line for each problem.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns the list as an error, or nil if it is empty.
func (p Problems) Err() error {
	if len(p) == 0 {
		return nil
	}
	return p
}

// Sort sorts the list by file and position.
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
