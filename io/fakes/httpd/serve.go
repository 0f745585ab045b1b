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
	// A write fails only if the client has disconnected, so the error is ignored.
	_ = json.NewEncoder(w).Encode(v)
}

// ServeFaults answers with the faults of a stand-in. A PUT first replaces them by those
// in its body. mu guards faults.
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
