// Package awake bounds calls by the time in which this process ran. A process that was
// stopped, or that got no processor, has not listened; when it runs again, what it waits for
// may have arrived long ago.
package awake
