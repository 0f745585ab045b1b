// Package losses classifies requests that were not served, or were served late,
// by their cause, from the data that the log has about each request. If several
// causes apply to a request, only the one that took most of its time counts, so
// that the counts of all causes add up to the number of requests that were lost or
// late.
package losses
