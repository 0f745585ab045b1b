package llmsrv

import (
	"net/http"
	"strings"
	"time"

	"radishwell/io/fakes/httpd"
)

// Faults are the faults that can be set while the stand-in runs. The zero value describes
// a healthy engine.
type Faults struct {
	// LoadFactor multiplies the time of loads; zero means one.
	LoadFactor float64 `json:"load-factor"`
	// LoadFails makes loads fail after their time.
	LoadFails bool `json:"load-fails"`
	// UnloadHangs keeps items in the unloading state.
	UnloadHangs bool `json:"unload-hangs"`
	// TokenFactor multiplies the time between tokens; zero means one.
	TokenFactor float64 `json:"token-factor"`
	// Silent makes connections with an answer in progress silent: they stay open, but
	// nothing more is written. Connections that resume an answer work.
	Silent bool `json:"silent"`
	// EndsEarly makes connections with an answer in progress end midway without an error,
	// as those of a server that is stopped. Connections that resume an answer work.
	EndsEarly bool `json:"ends-early"`
	// OrderAnswersLost makes the engine carry out orders and drop their connections
	// without an answer.
	OrderAnswersLost bool `json:"order-answers-lost"`
	// CrashMark is a text. A request body that contains it crashes the engine.
	CrashMark string `json:"crash-mark"`
	// DownFor is the time for which the engine is down after a crash, in milliseconds;
	// zero means the default.
	DownFor int `json:"down-for"`
	// IgnoreFence makes the engine carry out orders with an outdated fencing number.
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

// drop closes the connection without an answer, as if the process had died.
func drop(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	conn.Close()
}
