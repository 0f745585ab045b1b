package bench

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/samber/oops"

	"radishwell/core"
	"radishwell/io/config"
)

// Paired holds the result of a paired measurement of the time to the first byte of
// a loaded model.
type Paired struct {
	Model    core.ModelName `json:"model"`
	Direct   string         `json:"direct"`
	Requests int            `json:"requests"`
	// Through is the time through an entry and an agent, At the time at the engine
	// itself. Added is the distribution of the differences within the pairs,
	// AddedP50 and AddedP99 are the differences between the percentiles of Through
	// and At. All are in milliseconds.
	Through  Quantiles `json:"through"`
	At       Quantiles `json:"at-engine"`
	Added    Quantiles `json:"added-in-pairs"`
	AddedP50 float64   `json:"added-p50"`
	AddedP99 float64   `json:"added-p99"`
	// Negative counts pairs in which the direct call took longer.
	Negative int `json:"negative-pairs"`
}

// Parameters of the paired measurement.
const (
	pairWarmUp   = 50
	pairTokens   = 4
	pairDeadline = 30 * time.Second
)

// NotLoadedError reports that none of the engines has the model loaded, although
// it was just used.
type NotLoadedError struct{ Model core.ModelName }

// Error implements error.
func (e *NotLoadedError) Error() string {
	return "none of the engines of the pair has " + string(e.Model) + " loaded"
}

// PairError reports a request whose answer had another status than 200.
type PairError struct {
	URL    string
	Status int
}

// Error implements error.
func (e *PairError) Error() string { return e.URL + " answered with status " + strconv.Itoa(e.Status) }

// pairing measures pairs of requests one after the other, each pair in a random
// order.
type pairing struct {
	plan *Pair
	key  string
	run  string
	// through and direct are the base URLs of the entry and the engine.
	through string
	direct  string
	// Entry and engine have a client each, so that neither uses connections of the
	// other.
	entry, engine *http.Client
	number        int
}

// pair runs the paired measurement of the experiment through the first entry.
func (b *Bench) pair(ctx context.Context, bal *balancer) (*Paired, error) {
	plan := &b.Plan.Pair
	p := &pairing{
		plan: plan, key: b.Keys[plan.Caller], run: strconv.FormatInt(time.Now().UnixNano(), 36),
		through: b.Entries[0].At.String(), entry: bal.clients[0], engine: newClient(nil),
	}
	for range pairWarmUp {
		if _, err := p.firstByte(ctx, p.entry, p.through); err != nil {
			return nil, err
		}
	}
	direct, err := findLoaded(ctx, plan)
	if err != nil {
		return nil, err
	}
	p.direct = direct.String()
	for range pairWarmUp {
		if _, err := p.firstByte(ctx, p.engine, p.direct); err != nil {
			return nil, err
		}
	}
	return p.measure(ctx, rand.New(rand.NewPCG(uint64(b.Plan.Seed), streamContents)))
}

// findLoaded returns the first engine that has the model loaded.
func findLoaded(ctx context.Context, plan *Pair) (config.Origin, error) {
	for _, at := range plan.Direct {
		var s core.EngineState
		if err := getJSON(ctx, at.String()+"/state", &s); err != nil {
			return at, err
		}
		if slices.ContainsFunc(s.Items, func(i core.EngineItem) bool { return i.Name == plan.Model && i.State == core.Loaded }) {
			return at, nil
		}
	}
	return config.Origin{}, oops.Wrap(&NotLoadedError{Model: plan.Model})
}

func (p *pairing) measure(ctx context.Context, r *rand.Rand) (*Paired, error) {
	through, at, added := newHistogram(), newHistogram(), newHistogram()
	out := &Paired{Model: p.plan.Model, Direct: p.direct, Requests: p.plan.Requests}
	for range p.plan.Requests {
		viaEntry, atEngine, err := p.measureOne(ctx, r.IntN(2) == 0)
		if err != nil {
			return nil, err
		}
		record(through, viaEntry)
		record(at, atEngine)
		record(added, viaEntry-atEngine)
		if viaEntry < atEngine {
			out.Negative++
		}
	}
	out.Through, out.At, out.Added = quantiles(through), quantiles(at), quantiles(added)
	out.AddedP50, out.AddedP99 = round(out.Through.P50-out.At.P50), round(out.Through.P99-out.At.P99)
	return out, nil
}

// measureOne measures one pair, with the request to the engine first or second.
func (p *pairing) measureOne(ctx context.Context, engineFirst bool) (through, at time.Duration, err error) {
	if engineFirst {
		at, err = p.firstByte(ctx, p.engine, p.direct)
	}
	if err == nil {
		through, err = p.firstByte(ctx, p.entry, p.through)
	}
	if err == nil && !engineFirst {
		at, err = p.firstByte(ctx, p.engine, p.direct)
	}
	return through, at, err
}

// firstByte sends one streamed request and returns the time to the first byte of
// its body. It reads the rest of the body, so that the connection can be reused.
func (p *pairing) firstByte(ctx context.Context, client *http.Client, base string) (time.Duration, error) {
	p.number++
	body := mustJSON(chatBody{
		Model: p.plan.Model, Stream: true, MaxTokens: pairTokens,
		Messages: []message{{Role: "user", Content: fmt.Sprintf("%s-%d warm first byte", p.run, p.number)}},
	})
	ctx, stop := context.WithTimeout(ctx, pairDeadline)
	defer stop()
	url := base + "/v1/chat/completions"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return 0, oops.Wrap(err)
	}
	req.Header.Set("Authorization", "Bearer "+p.key)
	req.Header.Set("Content-Type", "application/json")
	start := time.Now()
	resp, err := client.Do(req)
	if err != nil {
		return 0, oops.Wrap(err)
	}
	defer resp.Body.Close()
	first := &timedReader{from: resp.Body}
	if _, err := io.Copy(io.Discard, first); err != nil {
		return 0, oops.Wrap(err)
	}
	if resp.StatusCode != http.StatusOK {
		return 0, oops.Wrap(&PairError{URL: url, Status: resp.StatusCode})
	}
	pause(ctx, p.plan.Pause)
	return first.at.Sub(start), nil
}

func (p *Paired) print(w io.Writer) {
	fmt.Fprintf(w, "\nwarm first byte of %s, %d pairs, ms\tp50\tp90\tp99\tp99.9\tmax\t\n", p.Model, p.Requests)
	for _, row := range []struct {
		name string
		q    Quantiles
	}{{"through entry and agent", p.Through}, {"at the engine " + p.Direct, p.At}, {"added in pairs", p.Added}} {
		fmt.Fprintf(w, "%s\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t\n", row.name, row.q.P50, row.q.P90, row.q.P99, row.q.P999, row.q.Max)
	}
	fmt.Fprintf(w, "difference of the percentiles: p50 %.3f ms, p99 %.3f ms; pairs with a longer direct call: %d\n", p.AddedP50, p.AddedP99, p.Negative)
}
