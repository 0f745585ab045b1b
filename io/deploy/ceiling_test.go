package deploy_test

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"radishwell/platform/stand"
)

// Guards against an entry that becomes the planner and orders loads from the weight store at once, though
// its predecessors may have ordered all that the store allows.
func TestNewPlannerOrdersNoLoadFromStoreAtOnce(t *testing.T) {
	for name, maxDirect := range map[string]int{"that polls agents itself": 64, "that has them polled by a relay": 0} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t)
			f.maxDirect = maxDirect
			// The upstream has the weights of "cool" and "warm" near. A planner that may load m-2
			// from the store orders it before "warm".
			f.store.Put("config", "main", `{"version":2,"routes":[],
			 "services":[{"name":"llm","engine":{"slots":64,"weights_mb":200,"adapter_slots":2,"loads_per_s":0.01,"models":[
			  {"name":"cool","weights_mb":40,"load_s":0.1,"warm_s":0.1,"disk_s":0.1},
			  {"name":"m-1","weights_mb":40,"load_s":0.1,"warm_s":0.1,"disk_s":0.1},
			  {"name":"m-2","weights_mb":40,"load_s":0.1,"warm_s":0.1,"disk_s":0.1},
			  {"name":"warm","weights_mb":40,"load_s":0.1,"warm_s":0.1,"disk_s":0.1}]}}]}`)
			w := f.addUpstream(t, 1, stand.Held{Name: "m-1"})
			f.addEntry(t, "edge-1")
			until(t, "the models whose weights are near are ordered", func() bool { return slices.Contains(w.Orders(), "load warm") })
			assert.DeepEqual(t, w.Orders(), []string{"load cool", "load warm"})
		})
	}
}
