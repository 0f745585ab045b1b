package httpd

import (
	"encoding/json"
	"net/http"
	"sync"
)

// WriteJSON answers with a status and a JSON document.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error here is the client's going away; there is nobody left to tell.
	_ = json.NewEncoder(w).Encode(v)
}

// ServeFaults shows a stand-in's faults, which lie under mu, and replaces them
// on a PUT.
func ServeFaults[F any](w http.ResponseWriter, r *http.Request, mu sync.Locker, faults *F) {
	if r.Method == http.MethodPut {
		var f F
		if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		mu.Lock()
		*faults = f
		mu.Unlock()
	}
	mu.Lock()
	f := *faults
	mu.Unlock()
	WriteJSON(w, http.StatusOK, f)
}
