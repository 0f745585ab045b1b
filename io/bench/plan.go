package bench

import (
	"time"

	"radishwell/core"
	"radishwell/io/config"
)

// Plan is an experiment, as read from a YAML file.
type Plan struct {
	Name        string          `yaml:"name" required:"true" doc:"Name of the experiment."`
	Seed        int64           `yaml:"seed" default:"1" min:"0" doc:"Seed of arrivals, targets, lengths and keys."`
	MaxRequests int             `yaml:"max-requests" default:"20000" min:"1" max:"4000000" doc:"The load ends after this many requests."`
	MaxInFlight int             `yaml:"max-in-flight" default:"4000" min:"1" max:"20000" doc:"Requests in progress beyond which the tool sends no more; those left out are counted."`
	Grace       time.Duration   `yaml:"grace" default:"5s" min:"100ms" max:"10m" doc:"How long after its deadline an answer is awaited before the request counts as unanswered."`
	Phases      []Phase         `yaml:"phases"`
	Calls       []Call          `yaml:"calls"`
	Faults      []Fault         `yaml:"faults"`
	Engines     []config.Origin `yaml:"engines" doc:"Engine stand-ins, asked for their state during the run and for the requests they started at its end."`
	Services    []config.Origin `yaml:"services" doc:"Plain-service stand-ins, asked at the end how often each call ran."`
	Pair        Pair            `yaml:"pair"`
}

// Phase is an interval of time with one pattern of arrivals.
type Phase struct {
	Name   string        `yaml:"name" required:"true" doc:"Name of the phase."`
	For    time.Duration `yaml:"for" required:"true" min:"100ms" max:"24h" doc:"Length of the phase."`
	Shape  Shape         `yaml:"shape" default:"constant" doc:"Either constant, wave (a sine round the rate) or bursts (many at once each period, over the rate)."`
	Rate   float64       `yaml:"rate" min:"0" max:"2000" doc:"Mean arrivals a second, at random moments (Poisson)."`
	Swing  float64       `yaml:"swing" default:"0.8" min:"0" max:"1" doc:"Height of a wave as a share of the rate."`
	Period time.Duration `yaml:"period" default:"10s" min:"100ms" max:"24h" doc:"Time from crest to crest, or from burst to burst."`
	Burst  int           `yaml:"burst" min:"0" max:"2000" doc:"Requests in a burst."`
	Spread time.Duration `yaml:"spread" min:"0s" max:"1h" doc:"Time over which a burst's requests are spread."`
	Calls  []string      `yaml:"calls" doc:"Names of the calls made in this phase; all where empty."`
}

// Shape is a pattern of arrivals.
type Shape string

// Shapes.
const (
	Constant Shape = "constant"
	Wave     Shape = "wave"
	Bursts   Shape = "bursts"
)

// UnmarshalText implements encoding.TextUnmarshaler. Its error is a
// core.NameError.
func (s *Shape) UnmarshalText(text []byte) error {
	switch known := Shape(text); known {
	case Constant, Wave, Bursts:
		*s = known
		return nil
	}
	return &core.NameError{Kind: "shape", Text: string(text), Known: []string{string(Constant), string(Wave), string(Bursts)}}
}

// Call is one kind of request: either to models, chosen by popularity, or to a
// plain service.
type Call struct {
	Name     string        `yaml:"name" required:"true" doc:"Name of the call in the report."`
	Caller   string        `yaml:"caller" doc:"Name of the bearer key to use, as given on the command line; the unnamed key where empty."`
	Weight   float64       `yaml:"weight" default:"1" min:"0" doc:"Share of the requests, relative to the other calls of a phase."`
	Class    core.Class    `yaml:"class" doc:"Service class of the targets, for the report."`
	Deadline time.Duration `yaml:"deadline" default:"30s" min:"10ms" max:"24h" doc:"Time callers wait, sent as an absolute deadline."`

	Models  []core.ModelName `yaml:"models" doc:"Models and adapters to ask, the most popular first."`
	Zipf    float64          `yaml:"zipf" min:"0" max:"10" doc:"Popularity falls with the rank to this power; 0 is even."`
	Weights []float64        `yaml:"weights" doc:"Popularity of each model, in place of zipf."`
	Prompt  Span             `yaml:"prompt"`
	Tokens  Span             `yaml:"tokens"`
	Stream  float64          `yaml:"stream" default:"1" min:"0" max:"1" doc:"Share of the requests that are streamed."`

	Service     core.ServiceName `yaml:"service" doc:"Plain service to call, in place of models."`
	Method      string           `yaml:"method" default:"POST" doc:"HTTP method of calls to a service."`
	Path        string           `yaml:"path" default:"/" doc:"Path below the service."`
	Keyed       float64          `yaml:"keyed" min:"0" max:"1" doc:"Share of the requests that carry an idempotency key."`
	Repeat      float64          `yaml:"repeat" min:"0" max:"1" doc:"Share of the keyed requests that are sent again through another entry."`
	RepeatAfter time.Duration    `yaml:"repeat-after" default:"50ms" min:"0s" max:"1h" doc:"How long after the first the repetition is sent."`
}

// Span is a range of lengths, both ends included. Lengths are drawn from it with
// equal probability.
type Span struct {
	Min int `yaml:"min" default:"8" min:"1" max:"100000" doc:"Least length."`
	Max int `yaml:"max" default:"32" min:"1" max:"100000" doc:"Greatest length."`
}

// Fault sets the faults of a stand-in at a time.
type Fault struct {
	At  time.Duration `yaml:"at" min:"0s" max:"24h" doc:"When, from the start of the load."`
	To  config.Origin `yaml:"to" required:"true" doc:"Base address of the stand-in that serves /faults."`
	Set string        `yaml:"set" required:"true" doc:"The JSON document to put there."`
}

// Pair describes a measurement of one model in pairs of requests: through the
// system and directly at its engine. Without a model it is skipped.
type Pair struct {
	Model    core.ModelName  `yaml:"model" doc:"Model to ask; without one no pairs are measured."`
	Caller   string          `yaml:"caller" doc:"Name of the bearer key to use."`
	Direct   []config.Origin `yaml:"direct" doc:"Engines; the first that has the model loaded is called directly."`
	Requests int             `yaml:"requests" default:"1000" min:"10" max:"100000" doc:"Number of pairs."`
	Pause    time.Duration   `yaml:"pause" default:"2ms" min:"0s" max:"10s" doc:"Pause after each request."`
}
