// Package objapi implements core.Platform as a client of the platform's object API,
// which follows the Kubernetes resource conventions with JSON over HTTP. A client for
// another protocol would be a package of its own.
//
// The client limits the rate of its calls, repeats calls that are safe to repeat,
// detects silent connections, and never repeats a write whose answer was lost. A
// ConditionalWriter reads the object back to determine the state of such a write.
package objapi
