// Package length foresees how many tokens answers get.
//
// The load that it answers: what an engine has room for depends on how long the answers run
// that it has begun. Callers name only a maximum, which few answers reach, and some send an
// estimate, which is too high with some callers, too low with others and of no use with the
// rest. A maximum taken at its word keeps prompts away from engines that have room for them.
//
// A Tracker is fed with the lengths that answers turned out to have. It corrects callers'
// estimates by what became of earlier ones, and goes by earlier answers alone where the
// estimates say less than these.
package length
