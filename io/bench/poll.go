package bench

import (
	"context"
	"sync"
	"time"

	"radishwell/core"
	"radishwell/io/config"
)

// Interval and timeout of polling the engines.
const (
	pollInterval = 200 * time.Millisecond
	pollTimeout  = time.Second
)

// Held reports for how long the accelerators of the engines held models during a
// run.
type Held struct {
	// Polls is the number of times that the engines were polled.
	Polls int `json:"looks"`
	// LoadedSeconds is the time for which models were loaded, summed over models
	// and engines. IdleSeconds is the part of it during which the engine ran no
	// request to the model or one of its adapters.
	LoadedSeconds float64 `json:"loaded-model-seconds"`
	IdleSeconds   float64 `json:"idle-model-seconds"`
	// LoadedGiBSeconds and IdleGiBSeconds are the same times multiplied by the
	// memory of the models.
	LoadedGiBSeconds float64 `json:"loaded-gib-seconds"`
	IdleGiBSeconds   float64 `json:"idle-gib-seconds"`
}

// enginePoller polls the state of the engines and records which models are loaded
// and for how long they are loaded and idle.
type enginePoller struct {
	engines []config.Origin

	mu     sync.Mutex
	polled bool
	loaded map[core.ModelName]bool
	held   Held
	last   time.Time
}

// watch polls until ctx ends.
func (p *enginePoller) watch(ctx context.Context) {
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for ctx.Err() == nil && len(p.engines) > 0 {
		p.poll(ctx)
		select {
		case <-tick.C:
		case <-ctx.Done():
		}
	}
}

func (p *enginePoller) poll(ctx context.Context) {
	ctx, stop := context.WithTimeout(ctx, pollTimeout)
	defer stop()
	states := make([]core.EngineState, len(p.engines))
	got := make(chan struct{})
	for i, at := range p.engines {
		go func() {
			// An engine that is down holds no models, so its state stays empty.
			_ = getJSON(ctx, at.String()+"/state", &states[i])
			got <- struct{}{}
		}()
	}
	for range p.engines {
		<-got
	}
	p.update(time.Now(), states)
}

func (p *enginePoller) update(now time.Time, states []core.EngineState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	since := now.Sub(p.last).Seconds()
	if !p.polled {
		since = 0
	}
	p.polled, p.last, p.loaded = true, now, map[core.ModelName]bool{}
	p.held.Polls++
	for _, s := range states {
		p.updateEngine(s, since)
	}
}

func (p *enginePoller) updateEngine(s core.EngineState, since float64) {
	busy := map[core.ModelName]bool{}
	for _, r := range s.Runs {
		busy[r.Model] = true
	}
	for _, item := range s.Items {
		if busy[item.Name] && item.Base != "" {
			busy[item.Base] = true
		}
	}
	for _, item := range s.Items {
		if item.State == core.Loaded {
			p.loaded[item.Name] = true
		}
		if item.Base != "" {
			continue
		}
		memory := float64(item.Bytes) * float64(max(len(item.Accelerators), 1)) / float64(core.GiB)
		p.held.LoadedSeconds += since
		p.held.LoadedGiBSeconds += since * memory
		if !busy[item.Name] {
			p.held.IdleSeconds += since
			p.held.IdleGiBSeconds += since * memory
		}
	}
}

// cold reports whether no engine had a model loaded at the last poll. known is
// false if the engines haven't been polled or the request has no model.
func (p *enginePoller) cold(m core.ModelName) (cold, known bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.loaded[m], p.polled && m != ""
}

func (p *enginePoller) total() Held {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.held
}
