// Package hosted is the command line of the binary that managed platforms run. It
// leaves out what such hosts do not need: the product's own platform interface,
// the demo with its stand-ins, and load tests with their charts.
package hosted
