package llmsrv

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"radishwell/core"
	"radishwell/io/fakes/httpd"
)

func (s *Server) serveLoad(w http.ResponseWriter, r *http.Request) {
	var o core.LoadOrder
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		httpd.WriteJSON(w, http.StatusBadRequest, errorDocument("order"))
		return
	}
	s.answerOrder(w, s.load(o))
}

func (s *Server) serveUnload(w http.ResponseWriter, r *http.Request) {
	var o core.UnloadOrder
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		httpd.WriteJSON(w, http.StatusBadRequest, errorDocument("order"))
		return
	}
	s.answerOrder(w, s.unload(o))
}

// answerOrder writes the status of an order, or drops the connection if the fault
// OrderAnswersLost is set.
func (s *Server) answerOrder(w http.ResponseWriter, status int) {
	s.mu.Lock()
	lost := s.faults.OrderAnswersLost
	s.mu.Unlock()
	if lost {
		drop(w)
		return
	}
	w.WriteHeader(status)
}

// stale reports whether the fencing number of an order is outdated. Otherwise it records
// the number. The caller must hold mu.
func (s *Server) stale(f core.Fence) bool {
	if f < s.fence && !s.faults.IgnoreFence {
		return true
	}
	s.fence = max(s.fence, f)
	return false
}

func (s *Server) load(o core.LoadOrder) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stale(o.Fence) {
		return http.StatusPreconditionFailed
	}
	if i := s.find(o.Name); i >= 0 {
		if s.items[i].State == core.Unloading {
			return http.StatusConflict
		}
		return http.StatusAccepted
	}
	for _, a := range o.Accelerators {
		if a < 0 || a >= len(s.Capacity) || s.usedMemory(a)+o.Bytes > s.Capacity[a] {
			return http.StatusInsufficientStorage
		}
	}
	s.items = append(s.items, core.EngineItem{
		Name: o.Name, Base: o.Base, State: core.Loading, Fence: o.Fence,
		Accelerators: slices.Clone(o.Accelerators), Bytes: o.Bytes,
	})
	epoch := s.epoch
	time.AfterFunc(scale(s.loadTime(o), s.faults.LoadFactor), func() { s.loaded(epoch, o.Name) })
	return http.StatusAccepted
}

func (s *Server) loadTime(o core.LoadOrder) time.Duration {
	if o.Base != "" {
		return s.AdapterTime
	}
	return s.LoadTimes[min(int(o.Source), len(s.LoadTimes)-1)]
}

// usedMemory returns the memory of an accelerator that items occupy. The caller must hold
// mu.
func (s *Server) usedMemory(accelerator int) core.Bytes {
	var sum core.Bytes
	for _, i := range s.items {
		if slices.Contains(i.Accelerators, accelerator) {
			sum += i.Bytes
		}
	}
	return sum
}

func (s *Server) find(name core.ModelName) int {
	return slices.IndexFunc(s.items, func(i core.EngineItem) bool { return i.Name == name })
}

func (s *Server) loaded(epoch uint64, name core.ModelName) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := s.find(name)
	if epoch != s.epoch || i < 0 || s.items[i].State != core.Loading {
		return
	}
	if s.faults.LoadFails {
		s.items = slices.Delete(s.items, i, i+1)
		return
	}
	s.items[i].State = core.Loaded
	s.copies[name] = core.TierMemory
}

// unloadTime is the time that an unload takes.
const unloadTime = 5 * time.Millisecond

func (s *Server) unload(o core.UnloadOrder) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stale(o.Fence) {
		return http.StatusPreconditionFailed
	}
	i := s.find(o.Name)
	if i < 0 || s.items[i].State == core.Unloading {
		return http.StatusAccepted
	}
	s.items[i].State = core.Unloading
	epoch := s.epoch
	if !s.faults.UnloadHangs {
		time.AfterFunc(unloadTime, func() { s.unloaded(epoch, o.Name) })
	}
	return http.StatusAccepted
}

func (s *Server) unloaded(epoch uint64, name core.ModelName) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := s.find(name)
	if epoch != s.epoch || i < 0 || s.items[i].State != core.Unloading {
		return
	}
	s.items = slices.Delete(s.items, i, i+1)
}
