// Package stall bounds calls by inactivity instead of by total duration. A fixed total
// would end every attempt to read a long response over a slow link at the same point.
package stall
