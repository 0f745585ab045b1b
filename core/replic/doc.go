// Package replic keeps the replica of one kind of platform objects.
//
// A replica is fed with deltas: the platform's lists and watch events and what
// peers send are all put into that one form. It joins them by the maximum
// version of each name, so that the order and number of arrivals do not
// matter and no object goes back. Deletions are kept as tombstones, bounded in
// number; a "through" mark says up to which version nothing is missing, and a
// horizon below which a requester needs everything instead of the changes.
package replic
