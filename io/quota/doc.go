// Package quota has the use of customers' allowances counted over all entries.
//
// core/admit decides: each entry leaves its parts of the allowances with one entry, the
// keeper, which all choose alike, and asks it for what its callers want to use. An entry
// that reaches no keeper has its own parts only. docs/design/allowances.md has the ways
// that were weighed.
package quota
