// Package quota counts the use of customers' allowances, and of the rate limits that
// upstreams name, over all entries.
//
// core/admit has the rules. Each entry owns an equal part of every allowance and
// delegates its parts to one entry, the keeper, for a short time that it renews. All
// entries choose the keeper alike and ask it before they let a request use an
// allowance. An entry that reaches no keeper counts by its own parts only.
// docs/design/allowances.md compares the alternatives.
package quota
