// Package replic keeps a replica of the platform objects of one kind.
//
// A replica is updated with deltas: the platform's lists and watch events and the messages
// of peers are all converted to that form. Deltas are merged by the maximum version of each
// name, so neither the order nor the number of arrivals matters, and no object returns to
// an older version. Deletions are kept as a bounded number of tombstones. The "through"
// mark is the version up to which nothing is missing. A requester below the horizon gets
// the complete state instead of the changes.
package replic
