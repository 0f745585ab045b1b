// Package objapi is the client of the platform's object API: the Kubernetes
// resource conventions as JSON over HTTP, behind core.Platform. Another
// protocol would be one more package like it.
//
// It keeps a budget on the rate of its calls, repeats what is safe to repeat,
// finds connections that have gone silent, and never repeats a write whose
// answer was lost. A Settler finds out by reading back what became of such a
// write.
package objapi
