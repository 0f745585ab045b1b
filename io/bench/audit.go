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

// callGroup counts the outcomes of the requests with the same body: a request and
// its repetitions with the same idempotency key. unknown counts those that may have
// run but have none of the three outcomes, or the wrong answer.
type callGroup struct {
	call             string
	done, mayRun     int
	refused, unknown int
}

// audit collects outcomes, to compare them with the counts of runs of the
// stand-ins.
type audit struct {
	// groups holds the calls of plain services, by body. Calls without a body are
	// left out.
	groups map[string]*callGroup
	// refused holds the requests to models that were refused as not run, with the
	// codes of the refusals.
	refused map[core.RequestID]core.Code
}

func newAudit() *audit {
	return &audit{groups: map[string]*callGroup{}, refused: map[core.RequestID]core.Code{}}
}

// add adds the outcome of one request.
func (a *audit) add(r result) {
	if r.request.call.Service == "" {
		if r.fate == refused && r.id != "" {
			a.refused[r.id] = r.code
		}
		return
	}
	if len(r.request.body) == 0 {
		return
	}
	g := a.groups[string(r.request.body)]
	if g == nil {
		g = &callGroup{call: r.request.call.Name}
		a.groups[string(r.request.body)] = g
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

// Audit is the comparison of the outcomes that callers received with what the
// stand-ins ran.
type Audit struct {
	// Services reports whether the counts of all plain services could be read,
	// Engines whether those of all engines could.
	Services bool `json:"services"`
	Engines  bool `json:"engines"`
	// Calls is the number of different calls of services that were sent.
	Calls int `json:"calls"`
	// Ran is the number of these calls that ran.
	Ran int `json:"ran"`
	// RanTwice counts calls that ran more than once.
	RanTwice int `json:"ran-twice"`
	// RanThoughRefused counts calls that ran although each of their requests was
	// refused as not run or never sent, and model requests that an engine started
	// although they were refused as not run.
	RanThoughRefused int `json:"ran-though-refused"`
	// DoneWithoutRun counts calls with the outcome done that no service ran.
	DoneWithoutRun int `json:"done-without-run"`
	// Reruns counts model requests that one engine started more than once.
	Reruns int `json:"model-reruns"`
	// Examples describes some of the breaches.
	Examples []string `json:"examples,omitempty"`
	// Problems describes the failures to read counts of stand-ins.
	Problems []string `json:"problems,omitempty"`
}

// Breaches returns the number of runs and outcomes that must never occur.
func (a Audit) Breaches() int { return a.RanTwice + a.RanThoughRefused + a.DoneWithoutRun }

// maxExamples is the maximum number of examples in a report.
const maxExamples = 20

func (a *Audit) addExample(text string) {
	if len(a.Examples) < maxExamples {
		a.Examples = append(a.Examples, text)
	}
}

// compare reads the counts of the stand-ins and returns the comparison.
func (a *audit) compare(ctx context.Context, p *Plan) Audit {
	var out Audit
	out.Calls = len(a.groups)
	if len(p.Services) > 0 {
		runs, ok := a.readCounts(ctx, &out, p.Services, "/runs")
		out.Services = ok
		if ok {
			a.checkServices(&out, runs)
		}
	}
	if len(p.Engines) > 0 {
		runs, ok := a.readCounts(ctx, &out, p.Engines, "/started")
		out.Engines = ok
		a.checkEngines(&out, runs)
	}
	return out
}

// readCounts returns the counts of several stand-ins and whether all of them could
// be read.
func (a *audit) readCounts(ctx context.Context, out *Audit, at []config.Origin, path string) ([]map[string]int, bool) {
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
			out.addExample("ran more than once: " + body)
		case runs == 1 && g.done+g.mayRun+g.unknown == 0:
			out.RanThoughRefused++
			out.addExample("ran though refused: " + body)
		case runs == 0 && g.done > 0:
			out.DoneWithoutRun++
			out.addExample("done without a run: " + body)
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
				out.addExample("started though refused with " + string(code) + ": " + id)
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

// standinTimeout is the timeout of a request to a stand-in's own paths.
const standinTimeout = 10 * time.Second

// getJSON decodes the JSON document at url into to.
func getJSON(ctx context.Context, url string, to any) error {
	ctx, stop := context.WithTimeout(ctx, standinTimeout)
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
