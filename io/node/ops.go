package node

import (
	"encoding/json"
	"net/http"
	"strings"

	"radishwell/wire"
)

// operatorRoute handles one of a role's own paths for operators.
type operatorRoute func(w http.ResponseWriter, r *http.Request)

// operators returns the handler of the operators' interface: metrics, health,
// readiness and explanations.
func (n *Node) operators() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", n.meter.Handler())
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { writeText(w, http.StatusOK, "ok") })
	mux.HandleFunc("GET /ready", n.serveReady)
	mux.HandleFunc("GET /explain/{subject}/{name}", n.serveExplainHTTP)
	for pattern, serve := range n.role.routes {
		mux.HandleFunc(pattern, serve)
	}
	return mux
}

// serveReady answers a load balancer's check whether to send requests. A leaving
// process reports that it is not ready before it stops accepting requests.
func (n *Node) serveReady(w http.ResponseWriter, _ *http.Request) {
	switch {
	case n.state.isLeaving():
		writeText(w, http.StatusServiceUnavailable, "leaving")
	case !n.role.ready():
		writeText(w, http.StatusServiceUnavailable, "starting")
	default:
		writeText(w, http.StatusOK, "ready")
	}
}

func (n *Node) serveExplainHTTP(w http.ResponseWriter, r *http.Request) {
	lines := n.role.explain(r.PathValue("subject"), r.PathValue("name"))
	if len(lines) == 0 {
		writeText(w, http.StatusNotFound, "nothing is known here")
		return
	}
	writeText(w, http.StatusOK, strings.Join(lines, "\n"))
}

func (n *Node) serveExplain(c *wire.ExplainCall) (*wire.ExplainReply, error) {
	return &wire.ExplainReply{Lines: n.role.explain(c.GetSubject(), c.GetName())}, nil
}

func writeText(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	// A write fails only if the operator has closed the connection.
	_, _ = w.Write([]byte(text + "\n"))
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
