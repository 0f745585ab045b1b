package ledger

import (
	"slices"
	"time"

	"radishwell/core"
)

// Info describes one item with reserved memory.
type Info struct {
	Name         core.ModelName
	Base         core.ModelName
	State        core.ItemState
	Accelerators []int
	Bytes        core.Bytes
	Users        int
	// LastUsed is the end of the last use, Since the time at which the item entered
	// State.
	LastUsed time.Time
	Since    time.Time
}

// Items returns all items by name. Absent marks an item that is kept only because
// an order in flight may still load it.
func (l *Ledger) Items() []Info {
	list := make([]Info, 0, len(l.items))
	for _, it := range l.sortedItems() {
		list = append(list, it.info())
	}
	return list
}

// Item returns the item of a name. If there is none, State is Absent and Name is
// empty.
func (l *Ledger) Item(name core.ModelName) Info {
	if it := l.items[name]; it != nil {
		return it.info()
	}
	return Info{}
}

func (it *item) info() Info {
	state := core.Loading
	switch it.phase {
	case loaded:
		state = core.Loaded
	case unloading:
		state = core.Unloading
	case uncertain:
		state = core.Absent
	}
	return Info{
		Name: it.name, Base: it.base, State: state, Accelerators: slices.Clone(it.accelerators),
		Bytes: it.bytes, Users: it.users, LastUsed: it.lastUsed, Since: it.since,
	}
}
