// Package share divides a fixed number among processes that join, die and lose touch with one another,
// such that the parts in use never sum to more than the whole.
//
// Each process takes the whole divided by the number of processes that it knows of. A process
// that joins therefore has no part until all others count it. It asks them; one that does not
// respond uses half of its part once its list of the processes is older than MaxAge, and the new
// process waits for twice as long and uses half of its own part then.
package share
