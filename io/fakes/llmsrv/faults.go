package llmsrv

import (
	"net/http"
	"strings"
	"time"

	"radishwell/io/fakes/httpd"
)

// Faults are what can be made to go wrong while the stand-in runs. The zero
// value is a healthy engine.
type Faults struct {
	// LoadFactor multiplies the time of loads; zero and one change nothing.
	LoadFactor float64 `json:"load-factor"`
	// LoadFails makes loads end without the item.
	LoadFails bool `json:"load-fails"`
	// UnloadHangs keeps items in the unloading state.
	UnloadHangs bool `json:"unload-hangs"`
	// TokenFactor multiplies the time between tokens.
	TokenFactor float64 `json:"token-factor"`
	// Silent makes connections that are streaming go silent: nothing more is
	// written, and they stay open. New connections work.
	Silent bool `json:"silent"`
	// EndsEarly makes connections that are answering end in good order midway, as
	// a server does that is told to stop. New connections work.
	EndsEarly bool `json:"ends-early"`
	// OrderAnswersLost carries orders out and drops the connection.
	OrderAnswersLost bool `json:"order-answers-lost"`
	// CrashMark is a text; a prompt that holds it crashes the engine.
	CrashMark string `json:"crash-mark"`
	// DownFor is how many milliseconds the engine is away after a crash.
	DownFor int `json:"down-for"`
	// IgnoreFence makes the engine obey orders with an old fencing number.
	IgnoreFence bool `json:"ignore-fence"`
	// Down makes the engine drop every connection.
	Down bool `json:"down"`
}

const defaultDownFor = 500 * time.Millisecond

func (f Faults) downFor() time.Duration {
	if f.DownFor <= 0 {
		return defaultDownFor
	}
	return time.Duration(f.DownFor) * time.Millisecond
}

func (f Faults) crashes(body []byte) bool {
	return f.CrashMark != "" && strings.Contains(string(body), f.CrashMark)
}

func scale(d time.Duration, factor float64) time.Duration {
	if factor <= 0 {
		return d
	}
	return time.Duration(float64(d) * factor)
}

func (s *Server) serveFaults(w http.ResponseWriter, r *http.Request) {
	httpd.ServeFaults(w, r, &s.mu, &s.faults)
}

// drop ends the connection without an answer, as a dead process would.
func drop(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	conn.Close()
}
