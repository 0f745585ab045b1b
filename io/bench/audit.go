package bench

import (
	"cmp"
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/samber/oops"

	"radishwell/core"
	"radishwell/io/config"
)

// group is what the callers of one body were told: a request and its
// repetitions under the same idempotency key.
type group struct {
	call             string
	done, mayRun     int
	refused, unknown int
}

// audit keeps what is to be compared with the stand-ins' counts of runs.
type audit struct {
	// groups are calls of plain services that have a body, by the body.
	groups map[string]*group
	// refused are requests to models that were refused as not run.
	refused map[core.RequestID]core.Code
}

func newAudit() *audit {
	return &audit{groups: map[string]*group{}, refused: map[core.RequestID]core.Code{}}
}

// add notes what a caller was told.
func (a *audit) add(r result) {
	if r.shot.call.Service == "" {
		if r.fate == refused && r.id != "" {
			a.refused[r.id] = r.code
		}
		return
	}
	if len(r.shot.body) == 0 {
		return
	}
	g := a.groups[string(r.shot.body)]
	if g == nil {
		g = &group{call: r.shot.call.Name}
		a.groups[string(r.shot.body)] = g
	}
	switch {
	case r.fate == done:
		g.done++
	case r.fate == refused || r.fate == unreached:
		g.refused++
	case r.fate == mayHaveRun:
		g.mayRun++
	default:
		g.unknown++
	}
}

// Audit compares what callers were told with what the stand-ins ran.
type Audit struct {
	// Services tells that the plain services' counts were read, Engines that the
	// engines' were.
	Services bool `json:"services"`
	Engines  bool `json:"engines"`
	// Calls is how many different calls of services were sent.
	Calls int `json:"calls"`
	// Ran is how many of them ran.
	Ran int `json:"ran"`
	// RanTwice counts calls that ran more than once.
	RanTwice int `json:"ran-twice"`
	// RanThoughRefused counts calls that ran although every sending was
	// answered not-run, and model requests started under a refused id.
	RanThoughRefused int `json:"ran-though-refused"`
	// DoneWithoutRun counts calls answered done that the service knows nothing of.
	DoneWithoutRun int `json:"done-without-run"`
	// Reruns counts model requests that one engine started more than once.
	Reruns int `json:"model-reruns"`
	// Examples names some of the breaches.
	Examples []string `json:"examples,omitempty"`
	// Problems are stand-ins that could not be asked.
	Problems []string `json:"problems,omitempty"`
}

// Breaches counts what must never happen.
func (a Audit) Breaches() int { return a.RanTwice + a.RanThoughRefused + a.DoneWithoutRun }

// maxExamples bounds the examples of a report.
const maxExamples = 20

func (a *Audit) example(text string) {
	if len(a.Examples) < maxExamples {
		a.Examples = append(a.Examples, text)
	}
}

// compare asks the stand-ins and returns the comparison.
func (a *audit) compare(ctx context.Context, p *Plan) Audit {
	var out Audit
	out.Calls = len(a.groups)
	if len(p.Services) > 0 {
		runs, ok := a.ask(ctx, &out, p.Services, "/runs")
		out.Services = ok
		if ok {
			a.checkServices(&out, runs)
		}
	}
	if len(p.Engines) > 0 {
		runs, ok := a.ask(ctx, &out, p.Engines, "/started")
		out.Engines = ok
		a.checkEngines(&out, runs)
	}
	return out
}

// ask reads the counts of several stand-ins, and whether all of them answered.
func (a *audit) ask(ctx context.Context, out *Audit, at []config.Origin, path string) ([]map[string]int, bool) {
	var all []map[string]int
	for _, o := range at {
		counts := map[string]int{}
		if err := getJSON(ctx, o.String()+path, &counts); err != nil {
			out.Problems = append(out.Problems, o.String()+path+": "+err.Error())
			continue
		}
		all = append(all, counts)
	}
	return all, len(all) == len(at)
}

func (a *audit) checkServices(out *Audit, all []map[string]int) {
	for _, body := range sortedKeys(a.groups) {
		g, runs := a.groups[body], 0
		for _, counts := range all {
			runs += counts[body]
		}
		if runs > 0 {
			out.Ran++
		}
		switch {
		case runs > 1:
			out.RanTwice++
			out.example("ran more than once: " + body)
		case runs == 1 && g.done+g.mayRun+g.unknown == 0:
			out.RanThoughRefused++
			out.example("ran though refused: " + body)
		case runs == 0 && g.done > 0:
			out.DoneWithoutRun++
			out.example("done without a run: " + body)
		}
	}
}

func (a *audit) checkEngines(out *Audit, all []map[string]int) {
	for _, counts := range all {
		for _, id := range sortedKeys(counts) {
			if counts[id] > 1 {
				out.Reruns++
			}
			if code, ok := a.refused[core.RequestID(id)]; ok {
				out.RanThoughRefused++
				out.example("started though refused with " + string(code) + ": " + id)
			}
		}
	}
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// askTime bounds a question to a stand-in.
const askTime = 10 * time.Second

// getJSON reads a JSON document.
func getJSON(ctx context.Context, url string, to any) error {
	ctx, stop := context.WithTimeout(ctx, askTime)
	defer stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return oops.Wrap(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return oops.Wrap(err)
	}
	defer resp.Body.Close()
	return oops.Wrap(json.NewDecoder(resp.Body).Decode(to))
}
