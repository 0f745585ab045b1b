package script

import (
	"maps"
	"slices"

	"radishwell/core"
	"radishwell/core/ledger"
)

// engine is a simulated model engine. It accepts loads beyond its memory, and
// unloads a base model even if adapters on it are loaded, so that the checks see
// such errors.
type engine struct {
	epoch        uint64
	fence        core.Fence
	checksFence  bool // the engine refuses stale fencing numbers
	forgetsFence bool // the engine doesn't record fencing numbers
	hangs        bool // loads and unloads don't complete
	capacity     []core.Bytes
	items        map[core.ModelName]core.EngineItem
}

func (e *engine) restart() {
	e.epoch++
	e.fence = 0
	e.items = map[core.ModelName]core.EngineItem{}
}

func fault(f core.EngineFault) ledger.Reply { return ledger.Reply{Failed: true, Fault: f} }

func (e *engine) order(o ledger.Order) ledger.Reply {
	fence := o.Load.Fence
	if o.Kind == ledger.UnloadItem {
		fence = o.Unload.Fence
	}
	if e.checksFence && fence < e.fence {
		return fault(core.EngineStale)
	}
	if !e.forgetsFence {
		e.fence = max(e.fence, fence)
	}
	if o.Kind == ledger.UnloadItem {
		return e.unload(o.Unload)
	}
	return e.load(o.Load)
}

func (e *engine) load(o core.LoadOrder) ledger.Reply {
	if it, ok := e.items[o.Name]; ok {
		if it.State == core.Unloading {
			return fault(core.EngineRejected)
		}
		return ledger.Reply{}
	}
	if o.Base != "" && e.items[o.Base].State != core.Loaded {
		return fault(core.EngineRejected)
	}
	e.items[o.Name] = core.EngineItem{
		Name: o.Name, Base: o.Base, State: core.Loading, Fence: o.Fence,
		Accelerators: o.Accelerators, Bytes: o.Bytes,
	}
	return ledger.Reply{}
}

func (e *engine) unload(o core.UnloadOrder) ledger.Reply {
	it, ok := e.items[o.Name]
	if !ok {
		return ledger.Reply{}
	}
	it.State = core.Unloading
	e.items[o.Name] = it
	return ledger.Reply{}
}

// work completes the load or unload of the n-th item that has one in progress.
func (e *engine) work(n int) {
	var busy []core.ModelName
	for _, name := range slices.Sorted(maps.Keys(e.items)) {
		if e.items[name].State != core.Loaded {
			busy = append(busy, name)
		}
	}
	if len(busy) == 0 || e.hangs {
		return
	}
	it := e.items[busy[n%len(busy)]]
	if it.State == core.Unloading {
		delete(e.items, it.Name)
		return
	}
	it.State = core.Loaded
	e.items[it.Name] = it
}

func (e *engine) state() core.EngineState {
	st := core.EngineState{Epoch: e.epoch, Fence: e.fence, Capacity: slices.Clone(e.capacity)}
	for _, name := range slices.Sorted(maps.Keys(e.items)) {
		st.Items = append(st.Items, e.items[name])
	}
	return st
}

// held returns the memory in use on each accelerator.
func (e *engine) held() []core.Bytes {
	sum := make([]core.Bytes, len(e.capacity))
	for _, it := range e.items {
		for _, a := range it.Accelerators {
			sum[a] += it.Bytes
		}
	}
	return sum
}
