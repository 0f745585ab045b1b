package fleet

import (
	"slices"

	"radishwell/core"
)

// index finds the hosts that may take a request. Without it each decision would look at all
// hosts, of which one in a hundred holds a rarely used model.
type index struct {
	// services holds the hosts of each service, and all hosts under the empty name.
	services map[core.ServiceName][]*Host
	// holders holds, by model, the hosts whose report or registry entry lists it. Which of the
	// two counts depends on the report's age.
	holders map[core.ModelName][]*Host
}

// indexed is under what a host is in the index.
type indexed struct {
	service core.ServiceName
	models  []core.ModelName
}

// update brings a host's place in the index up to date after a change of its entry or report.
func (x *index) update(h *Host) {
	if h.indexed.service == h.Service && h.listsModels(h.indexed.models) {
		return
	}
	x.remove(h)
	x.add(h)
}

func (x *index) add(h *Host) {
	h.indexed.service = h.Service
	x.services[""] = append(x.services[""], h)
	if h.Service != "" {
		x.services[h.Service] = append(x.services[h.Service], h)
	}
	h.indexed.models = h.indexed.models[:0]
	for _, list := range [][]core.HeldModel{h.Report.Models, h.Models} {
		for _, m := range list {
			if !slices.Contains(h.indexed.models, m.Model) {
				x.holders[m.Model] = append(x.holders[m.Model], h)
			}
			h.indexed.models = append(h.indexed.models, m.Model)
		}
	}
}

func (x *index) remove(h *Host) {
	dropHost(x.services, "", h)
	if h.indexed.service != "" {
		dropHost(x.services, h.indexed.service, h)
	}
	for _, m := range h.indexed.models {
		dropHost(x.holders, m, h)
	}
}

// dropHost removes a host from a list, and a list that is empty then.
func dropHost[K comparable](lists map[K][]*Host, key K, h *Host) {
	left := slices.DeleteFunc(lists[key], func(o *Host) bool { return o == h })
	if len(left) == 0 {
		delete(lists, key)
		return
	}
	lists[key] = left
}

// listsModels reports whether the host's report and entry list just the given models in order.
func (h *Host) listsModels(models []core.ModelName) bool {
	reported := h.Report.Models
	if len(models) != len(reported)+len(h.Models) {
		return false
	}
	same := func(a core.HeldModel, b core.ModelName) bool { return a.Model == b }
	return slices.EqualFunc(reported, models[:len(reported)], same) && slices.EqualFunc(h.Models, models[len(reported):], same)
}
