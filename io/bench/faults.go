package bench

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/samber/oops"
)

// Switched is a setting of a stand-in's faults during a run. Problem is empty if
// it succeeded.
type Switched struct {
	At      time.Time `json:"at"`
	To      string    `json:"to"`
	Set     string    `json:"set"`
	Problem string    `json:"problem,omitempty"`
}

// StatusError reports an answer with an unexpected status.
type StatusError struct {
	URL    string
	Status int
}

// Error implements error.
func (e *StatusError) Error() string { return e.URL + " answered " + http.StatusText(e.Status) }

// switchFaults sets the faults of the experiment at their times until ctx ends, and
// returns those that it has set by then.
func switchFaults(ctx context.Context, faults []Fault, start time.Time) []Switched {
	faults = slices.Clone(faults)
	slices.SortStableFunc(faults, func(a, b Fault) int { return int(a.At - b.At) })
	var out []Switched
	for _, f := range faults {
		pause(ctx, time.Until(start.Add(f.At)))
		if ctx.Err() != nil {
			return out
		}
		s := Switched{At: time.Now(), To: f.To.String(), Set: f.Set}
		if err := putFaults(ctx, f); err != nil {
			s.Problem = err.Error()
		}
		out = append(out, s)
	}
	return out
}

func putFaults(ctx context.Context, f Fault) error {
	ctx, stop := context.WithTimeout(ctx, standinTimeout)
	defer stop()
	url := f.To.String() + "/faults"
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, url, strings.NewReader(f.Set))
	if err != nil {
		return oops.Wrap(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return oops.Wrap(err)
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return oops.Wrap(&StatusError{URL: url, Status: resp.StatusCode})
	}
	return nil
}
