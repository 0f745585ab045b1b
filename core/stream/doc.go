// Package stream tells whether a stream of server-sent events ends between two events. One
// that ends inside an event was broken off, however its response was framed.
package stream
