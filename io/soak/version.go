package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"time"

	"radishwell/core"
)

const (
	// maxTakeUps is how often a caller resumes a stream that broke off, and maxUnanswered how many
	// further times it tries, since no entry answers. takeUpPause is the pause after an attempt
	// that was not answered with events.
	maxTakeUps    = 3
	maxUnanswered = 10
	takeUpPause   = 200 * time.Millisecond
	// leaveShare is the share of streams that their callers leave to resume them at once.
	leaveShare = 0.5
	// maxMixed is the number of streams of a run that may hold events of two versions.
	maxMixed = 2
	// minTakenUp is the number of streams from which the share that goes on counts, and
	// minContinued its least ratio to the share of new streams that begin.
	minTakenUp   = 12
	minContinued = 0.5
	// upstreamSettle is the time after a fault of an upstream during which it may not serve.
	upstreamSettle = time.Second
)

// softwareVersions are the versions of the engines' software, in the order of releases. At the
// start the first two serve side by side.
var softwareVersions = []string{"v1", "v1.1", "v2"}

// versionChange is the start of a run of an upstream at a version.
type versionChange struct {
	at      time.Time
	version string
}

// release starts a new incarnation of an engine at the next version.
func (t *testbed) release(u *upstream) {
	t.restartAs(u, softwareVersions[(slices.Index(softwareVersions, u.Software())+1)%len(softwareVersions)])
}

func (u *upstream) setVersion(version string) {
	u.SetSoftware(version)
	u.versions = append(u.versions, versionChange{at: time.Now(), version: version})
}

// versionAt returns the version of an upstream at a time.
func (u *upstream) versionAt(at time.Time) (version string) {
	for _, c := range u.versions {
		if !c.at.After(at) {
			version = c.version
		}
	}
	return version
}

// misstateVersion has the registry entry of an engine state no version, or one that is not text.
func (t *testbed) misstateVersion(u *upstream, variant int) func() {
	set := func(text string) {
		t.mu.Lock()
		defer t.mu.Unlock()
		u.statedVersion = text
		t.register(u)
	}
	set([]string{`null`, `7`, `""`, `{"major":1}`}[variant%4])
	return func() { set("") }
}

// takeUp resumes a stream that broke off after its first event, or that its caller left, at
// other entries until it is complete.
func (c *callers) takeUp(ctx context.Context, transport *http.Transport, r Result, model string, rng *rand.Rand) {
	first := r.ID
	answered := 0
	for n := 0; answered < maxTakeUps && n < maxTakeUps+maxUnanswered; n++ {
		last, _ := countEvents(r.Body, r.After)
		if ctx.Err() != nil || r.Route != Resumed || r.Complete || r.Unframed || last <= 0 || last >= streamEvents {
			return
		}
		r = c.send(transport, Result{
			ID: fmt.Sprintf("%s+%d", first, n), Route: Resumed, Entry: (r.Entry + 1 + rng.IntN(len(c.entryAddrs)-1)) % len(c.entryAddrs),
			Key: r.Key, Customer: r.Customer, Text: "body of " + first, After: last, First: first,
		}, model)
		c.add(r)
		answered += core.CountIf(r.Status != 0)
		if len(r.Body) == 0 {
			time.Sleep(takeUpPause)
		}
	}
}

// readEvents reads the body of a stream up to its nth event, or to its end if n is zero.
func readEvents(body io.Reader, n int) ([]byte, error) {
	if n == 0 {
		out, err := io.ReadAll(io.LimitReader(body, maxBody))
		if err == nil && len(out) == maxBody {
			return out, errLeft
		}
		return out, err
	}
	var out []byte
	buffer := make([]byte, 512)
	for {
		k, err := body.Read(buffer)
		out = append(out, buffer[:k]...)
		if err != nil {
			return out, err
		}
		if events, _ := countEvents(out, 0); events >= n {
			return out, errLeft
		}
	}
}

// maxBody is the size of a body in bytes, larger than that of any sound answer, at which a caller leaves.
const maxBody = 4 << 20

// leftError reports that the caller left a stream.
type leftError struct{}

// Error implements error.
func (leftError) Error() string { return "the caller left" }

var errLeft error = leftError{}

// versionsIn returns the versions that made the events of a body.
func versionsIn(body []byte) (out []string) {
	for _, m := range eventVersion.FindAllSubmatch(body, -1) {
		out = append(out, string(m[1]))
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// mixed returns the streams that hold events of several versions, in one answer or over the
// attempts of a caller.
func mixed(results []Result) (out []Result) {
	byFirst := map[string][]Result{}
	for _, r := range results {
		first := r.ID
		if r.First != "" {
			first = r.First
		}
		byFirst[first] = append(byFirst[first], r)
	}
	for _, attempts := range byFirst {
		var versions []string
		for _, r := range attempts {
			versions = append(versions, versionsIn(r.Body)...)
		}
		slices.Sort(versions)
		if len(slices.Compact(versions)) > 1 {
			out = append(out, attempts[len(attempts)-1])
		}
	}
	return out
}

// mixedVersions returns a breach if more streams than a few hold events of several versions.
func mixedVersions(results []Result) []Breach {
	found := mixed(results)
	if len(found) <= maxMixed {
		return nil
	}
	return []Breach{{Promise: "a stream goes on at the version that began it", Result: found[0], Ran: len(found)}}
}

// Resumptions counts the streams that callers took up again at entries in touch while two
// upstreams of their version served, and new streams at entries in touch.
type Resumptions struct{ TakenUp, WentOn, New, Begun int }

// lost returns a breach if too few of the streams that callers took up again went on.
func (n Resumptions) lost() []Breach {
	if n.TakenUp < minTakenUp || n.New == 0 {
		return nil
	}
	if float64(n.WentOn)/float64(n.TakenUp) >= minContinued*float64(n.Begun)/float64(n.New) {
		return nil
	}
	return []Breach{{Promise: "a stream that is taken up again goes on as new ones begin", Result: Result{ID: fmt.Sprintf("%+v", n)}}}
}

// resumptions counts streams that are taken up again and new ones.
func (c *signalChecker) resumptions(results []Result, upstreams []*upstream) (n Resumptions) {
	versions := map[string]string{}
	for _, r := range results {
		if v := versionsIn(r.Body); r.After == 0 && len(v) > 0 {
			versions[r.ID] = v[0]
		}
	}
	for _, r := range results {
		if r.Route != Resumed || r.Customer != "free" || len(r.Parts) > 0 || r.Text != "" && r.First == "" || c.outOfTouch(r.Entry, r.Began-contactTime, r.Ended) {
			continue
		}
		last, _ := countEvents(r.Body, r.After)
		switch {
		case r.First == "":
			n.New++
			n.Begun += core.CountIf(last > 0)
		case c.serving(versions[r.First], upstreams, r.Began, r.Ended) >= 2:
			n.TakenUp++
			n.WentOn += core.CountIf(last > r.After)
		}
	}
	return n
}

// serving returns the number of engines that served at a version throughout a span of time.
func (c *signalChecker) serving(version string, upstreams []*upstream, from, to time.Duration) (n int) {
	for i, u := range upstreams[:engines] {
		at := func(d time.Duration) string { return u.versionAt(c.start.Add(d)) }
		undisturbed := !slices.ContainsFunc(c.steps, func(s Step) bool {
			return strikes(s, i) && s.Begin < to && s.End > from-upstreamSettle
		})
		if undisturbed && at(from-upstreamSettle) == version && at(to) == version {
			n++
		}
	}
	return n
}

// strikes reports whether a step affects an engine, or any that a crashing request reaches.
func strikes(s Step, engine int) bool {
	switch s.Kind {
	case CrashingRequest, CrashingPart, ResetAll, SilenceAll:
		return true
	case ReleaseUpstream, MisstateVersion:
		return s.Target%engines == engine
	case CutUpstream, DelayUpstream, SpoilAnswers, LoseAnswers, FailAnswers, ShedRequests, HangRequests, RestartUpstream,
		LimitUpstream, LeaveUpstream, BackoffUpstream, DropFraming:
		return s.Target%(engines+services) == engine
	}
	return false
}

// quoted returns the version that the registry entry of an upstream states, in JSON.
func (u *upstream) quoted() string {
	if u.statedVersion != "" {
		return u.statedVersion
	}
	return strconv.Quote(u.Software())
}
