package node

import "radishwell/core/catlog"

// registerGauges registers functions that read the catalogue's revision and its
// entries by state as gauges.
func (n *Node) registerGauges() {
	n.meter.Revision(func() uint64 { return uint64(n.fleet.snapshot().Revision()) })
	for _, state := range []catlog.State{catlog.Accepted, catlog.Pending, catlog.Rejected} {
		n.meter.Entries(string(state), func() int { return n.fleet.countEntries(state) })
	}
}

func (f *fleetView) countEntries(state catlog.State) int {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.view.Count(state)
}
