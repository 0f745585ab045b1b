package bench

import (
	"encoding/json"
	"math"
	"os"
	"slices"
	"strconv"
	"time"

	"github.com/samber/oops"

	"radishwell/core/strict"
)

// Load reads and checks an experiment. Its error wraps either strict.Problems or
// the error of reading the file.
func Load(path string) (*Plan, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, oops.In("bench").Wrapf(err, "read experiment")
	}
	p, problems := Parse(path, text)
	if err := problems.Err(); err != nil {
		return nil, oops.In("bench").Wrap(err)
	}
	return p, nil
}

// Parse decodes and checks the text of an experiment. The name of the file is used
// only in problems.
func Parse(file string, text []byte) (*Plan, strict.Problems) {
	var p Plan
	doc, problems := strict.DecodeObject(file, text, &p)
	if doc == nil {
		return nil, problems
	}
	c := checker{doc: doc, problems: problems}
	c.plan(&p)
	if len(c.problems) > 0 {
		c.problems.Sort()
		return nil, c.problems
	}
	return &p, nil
}

// checker checks the rules that the tags of the fields of Plan can't express.
type checker struct {
	doc      *strict.Document
	problems strict.Problems
}

func (c *checker) fault(key, reason string) {
	c.problems = append(c.problems, c.doc.Problem(key, reason))
}

func (c *checker) plan(p *Plan) {
	if len(p.Phases) == 0 && p.Pair.Model == "" {
		c.fault("phases", "an experiment needs phases with calls, or a pair")
	}
	if len(p.Phases) > 0 && len(p.Calls) == 0 {
		c.fault("calls", "phases need calls to make")
	}
	if p.Pair.Model != "" && len(p.Pair.Direct) == 0 {
		c.fault("pair.direct", "name the engines to call directly")
	}
	names := map[string]bool{}
	for i := range p.Calls {
		key := "calls[" + strconv.Itoa(i) + "]"
		if names[p.Calls[i].Name] {
			c.fault(key+".name", "is the name of another call too")
		}
		names[p.Calls[i].Name] = true
		c.call(key, &p.Calls[i])
	}
	for i := range p.Phases {
		c.phase("phases["+strconv.Itoa(i)+"]", &p.Phases[i], names)
	}
	for i, f := range p.Faults {
		if !json.Valid([]byte(f.Set)) {
			c.fault("faults["+strconv.Itoa(i)+"].set", "is no JSON document")
		}
	}
}

func (c *checker) call(key string, call *Call) {
	if (len(call.Models) == 0) == (call.Service == "") {
		c.fault(key, "needs either models or a service")
	}
	if len(call.Weights) > 0 && len(call.Weights) != len(call.Models) {
		c.fault(key+".weights", "has to hold one weight for each model")
	}
	if slices.ContainsFunc(call.Weights, func(w float64) bool { return w < 0 }) || len(call.Weights) > 0 && sum(call.Weights) <= 0 {
		c.fault(key+".weights", "weights are not negative, and one is more than zero")
	}
	if call.Service == "" && call.Keyed > 0 {
		c.fault(key+".keyed", "only calls of a service are keyed")
	}
	if call.Path == "" || call.Path[0] != '/' {
		c.fault(key+".path", "has to start with /")
	}
	if call.Prompt.Max < call.Prompt.Min {
		c.fault(key+".prompt.max", "is below min")
	}
	if call.Tokens.Max < call.Tokens.Min {
		c.fault(key+".tokens.max", "is below min")
	}
}

func (c *checker) phase(key string, p *Phase, calls map[string]bool) {
	for i, name := range p.Calls {
		if !calls[name] {
			c.fault(key+".calls["+strconv.Itoa(i)+"]", strconv.Quote(name)+" is no call of this experiment")
		}
	}
	if (p.Shape == Bursts) != (p.Burst > 0) {
		c.fault(key+".burst", "goes with the shape bursts")
	}
	if p.Shape == Bursts && p.Spread > p.Period {
		c.fault(key+".spread", "is longer than period")
	}
	if p.Rate == 0 && p.Burst == 0 {
		c.fault(key+".rate", "a phase needs a rate or bursts")
	}
	if p.Shape == Bursts && p.Rate+float64(p.Burst)/p.Period.Seconds() > maxRate {
		c.fault(key+".burst", "is more than "+strconv.Itoa(maxRate)+" a second on average")
	}
}

// maxRate is the maximum mean rate, in requests per second.
const maxRate = 2000

func sum(list []float64) float64 {
	total := 0.0
	for _, v := range list {
		total += v
	}
	return total
}

// shares returns the cumulative distribution of the popularity of the call's
// models.
func (c *Call) shares() []float64 {
	weights := c.Weights
	if len(weights) == 0 {
		for i := range c.Models {
			weights = append(weights, math.Pow(float64(i+1), -c.Zipf))
		}
	}
	return cumulative(weights)
}

// cumulative returns the cumulative sums of weights, scaled so that the last is 1.
func cumulative(weights []float64) []float64 {
	total, at := sum(weights), 0.0
	out := make([]float64, len(weights))
	for i, w := range weights {
		at += w
		out[i] = at / total
	}
	return out
}

// Stretch changes the total length of the phases to d. It repeats the phases as
// often as necessary and cuts the last one.
func (p *Plan) Stretch(d time.Duration) {
	if len(p.Phases) == 0 {
		return
	}
	var out []Phase
	for i := 0; d > 0; i++ {
		phase := p.Phases[i%len(p.Phases)]
		phase.For = min(phase.For, d)
		d -= phase.For
		out = append(out, phase)
	}
	p.Phases = out
}
