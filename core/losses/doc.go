// Package losses tells by which cause callers were not served, or late, from what the
// log says of each request. Where one request had several, the one that took most of
// its time counts, so that the causes add up to all that was lost.
package losses
