package ledger

import (
	"slices"
	"time"

	"radishwell/core"
)

// Info describes one promise.
type Info struct {
	Name         core.ModelName
	Base         core.ModelName
	State        core.ItemState
	Accelerators []int
	Bytes        core.Bytes
	Users        int
	// Used is the last use's end, Since when State was entered.
	Used  time.Time
	Since time.Time
}

// Items lists all promises by name. Absent marks one that is kept only because
// an order that may bring the item is still about.
func (l *Ledger) Items() []Info {
	list := make([]Info, 0, len(l.items))
	for _, it := range l.sorted() {
		list = append(list, it.info())
	}
	return list
}

// Item returns one promise, with State Absent and no Name if there is none.
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
	case leaving:
		state = core.Unloading
	case unsettled:
		state = core.Absent
	}
	return Info{
		Name: it.name, Base: it.base, State: state, Accelerators: slices.Clone(it.accs),
		Bytes: it.bytes, Users: it.users, Used: it.used, Since: it.since,
	}
}
