// Package hosted is the command line of the binary for managed platforms. It has no code
// that hosts of such platforms do not need: the product's own platform interface, the demo
// with its stand-ins, and the load tests with their charts. The full binary adds these.
package hosted
