package script

// weightedDirective is a directive of random schedules.
type weightedDirective struct {
	// weight is proportional to the probability of the directive.
	weight int
	name   string
	// args has the choices for each argument, separated by spaces.
	args []string
}

// profile is a kind of random schedule. Each profile emphasizes other faults, so
// that the sequences that matter are frequent.
type profile struct {
	name string
	// opening holds the directives that every schedule starts with.
	opening string
	kinds   []weightedDirective
}

const (
	someHost    = "h1 h2 h3 h4"
	someDecider = "d1 d2 d3"
	someProcess = "h1 h2 h3 h4 d1 d2 d3"
	someModel   = "m1 m2 m3 a1 a2"
	someNumber  = "0 0 1 2 3 4 5 6 7"
	someHolder  = "h1 h2"
	someItem    = "m1 m3 m4 a1"
)

var profiles = []profile{
	{"everything", everything, everythingKinds},
	{"memory", memory, memoryKinds},
	{"deciders", everything, deciderKinds},
}

const everything = `owner nadi 300
host h1 charguia r1 2 80
host h2 lac-deux r1 2 80 ignores
host h3 ariana r1 1 80
host h4 charguia r2 2 80 ignores
model m1 nadi 30 1 2
model m2 kopa 50 2 1
model m3 nadi 60 1 3
adapter a1 m1 nadi 1 2
adapter a2 m1 kopa 15 1
decider d1
decider d2 1.08
decider d3 0.95
settle 20s`

var everythingKinds = []weightedDirective{
	{60, "deliver", []string{someNumber}},
	{45, "step", []string{someProcess}},
	{20, "work", []string{someHost, someNumber}},
	{15, "sync", []string{someProcess}},
	{10, "copy", []string{someProcess, "0 1 2 3 5 8 13 21 34"}},
	{15, "tick", []string{"100ms 500ms 1s 3s 5s 12s"}},
	{6, "lose", []string{someNumber}},
	{8, "late", []string{someNumber}},
	{8, "abandon", []string{someHost}},
	{8, "arrive", []string{someHost}},
	{5, "effect", []string{someHost}},
	{12, "want", []string{someHost, someModel}},
	{6, "unwant", []string{someHost, someModel}},
	{8, "use", []string{someHost, someModel}},
	{8, "done", []string{someHost, someNumber}},
	{5, "evict", []string{someHost, someModel}},
	{2, "outage", []string{"on off off"}},
	{2, "pause", []string{someProcess}},
	{2, "part", []string{someProcess, "on off off"}},
	{6, "resume", []string{someProcess}},
	{3, "crash", []string{someProcess, "keep keep no"}},
	{8, "start", []string{someProcess}},
	{2, "reboot", []string{someHost}},
	{2, "hang", []string{someHost, "on off off"}},
	{1, "mute", []string{someHost}},
	{1, "leave", []string{someHost}},
	{1, "kill", []string{someHost}},
	{4, "delist", []string{someHost}},
	{4, "join", []string{someHost}},
	{1, "unlease", nil},
	{2, "overrun", []string{someDecider}},
	{2, "demand", []string{someModel, "0 0.5 1.5 4"}},
	{1, "model m1 nadi 30", []string{"1 1 2", "1 2 3"}},
	{1, "model m2 kopa 50 2", []string{"1 2"}},
	{1, "model m3 nadi 60 1", []string{"1 2 3 4"}},
	{1, "adapter a1 m1 nadi 1", []string{"1 2"}},
	{1, "drop", []string{someModel}},
	{1, "settle", []string{"3s 20s"}},
}

// memory sets up two hosts whose memory is too small for all models.
const memory = `host h1 charguia r1 1 80
host h2 lac-deux r1 1 80 ignores
model m1 nadi 30 1 2
model m3 nadi 60 1 2
model m4 kopa 50 1 2
adapter a1 m1 nadi 20 2
decider d1
settle 30s`

var memoryKinds = []weightedDirective{
	{60, "turn", []string{"h1 h2 h2 d1"}},
	{40, "deliver", []string{"0 0 1"}},
	{40, "work", []string{someHolder, "0 1"}},
	{15, "sync", []string{"h1 h2 d1"}},
	{30, "tick", []string{"500ms 1s 2s 3s"}},
	{25, "only", []string{someHolder, someItem}},
	{8, "want", []string{someHolder, someItem}},
	{10, "evict", []string{someHolder, someItem}},
	{10, "abandon", []string{someHolder}},
	{14, "arrive", []string{someHolder}},
	{5, "effect", []string{someHolder}},
	{6, "use", []string{someHolder, someItem}},
	{9, "done", []string{someHolder, someNumber}},
	{3, "lose", []string{"0 1"}},
	{4, "crash", []string{someHolder, "keep"}},
	{10, "start", []string{someHolder}},
	{1, "pause", []string{someHolder}},
	{4, "resume", []string{someHolder}},
	{3, "reboot", []string{someHolder}},
	{1, "hang", []string{someHolder, "on off off"}},
	{3, "drop", []string{"m1 m3 m4"}},
	{2, "model m1 nadi 30 1", []string{"1 2"}},
	{2, "model m3 nadi 60 1", []string{"1 2"}},
	{2, "model m4 kopa 50 1", []string{"1 2"}},
}

// deciderKinds injects faults into deciders, but not into engines.
var deciderKinds = []weightedDirective{
	{50, "turn", []string{someProcess}},
	{20, "step", []string{someDecider}},
	{50, "deliver", []string{someNumber}},
	{15, "sync", []string{someProcess}},
	{15, "copy", []string{someDecider, "0 1 2 3 5 8 13 21 34"}},
	{40, "tick", []string{"50ms 100ms 500ms 1s 2s"}},
	{6, "lose", []string{someNumber}},
	{10, "late", []string{someNumber}},
	{6, "pause", []string{someDecider}},
	{4, "part", []string{someDecider, "on off off"}},
	{6, "resume", []string{someDecider}},
	{6, "overrun", []string{someDecider}},
	{3, "crash", []string{someDecider, "keep"}},
	{5, "start", []string{someDecider}},
	{2, "outage", []string{"on off off"}},
	{1, "unlease", nil},
	{2, "leave", []string{someHost}},
	{2, "kill", []string{someHost}},
	{4, "delist", []string{someHost}},
	{4, "join", []string{someHost}},
	{4, "start", []string{someHost}},
	{4, "demand", []string{someModel, "0 0.5 1.5 4"}},
	{2, "model m1 nadi 30 1", []string{"1 2 3"}},
	{2, "model m3 nadi 60 1", []string{"1 2 3 4"}},
	{1, "adapter a1 m1 nadi 1", []string{"1 2"}},
	{1, "drop", []string{someModel}},
}
