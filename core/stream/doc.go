// Package stream splits streams of server-sent events, and tells whether one ends between two
// events. One that ends inside an event was broken off, however its response was framed. The same
// holds for a JSON document that ends inside its object.
package stream
