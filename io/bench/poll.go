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
func (l *enginePoller) watch(ctx context.Context) {
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for ctx.Err() == nil && len(l.engines) > 0 {
		l.poll(ctx)
		select {
		case <-tick.C:
		case <-ctx.Done():
		}
	}
}

func (l *enginePoller) poll(ctx context.Context) {
	ctx, stop := context.WithTimeout(ctx, pollTimeout)
	defer stop()
	states := make([]core.EngineState, len(l.engines))
	got := make(chan struct{})
	for i, at := range l.engines {
		go func() {
			// An engine that is down holds no models, so its state stays empty.
			_ = getJSON(ctx, at.String()+"/state", &states[i])
			got <- struct{}{}
		}()
	}
	for range l.engines {
		<-got
	}
	l.update(time.Now(), states)
}

func (l *enginePoller) update(now time.Time, states []core.EngineState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	since := now.Sub(l.last).Seconds()
	if !l.polled {
		since = 0
	}
	l.polled, l.last, l.loaded = true, now, map[core.ModelName]bool{}
	l.held.Polls++
	for _, s := range states {
		l.updateEngine(s, since)
	}
}

func (l *enginePoller) updateEngine(s core.EngineState, since float64) {
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
			l.loaded[item.Name] = true
		}
		if item.Base != "" {
			continue
		}
		memory := float64(item.Bytes) * float64(max(len(item.Accelerators), 1)) / float64(core.GiB)
		l.held.LoadedSeconds += since
		l.held.LoadedGiBSeconds += since * memory
		if !busy[item.Name] {
			l.held.IdleSeconds += since
			l.held.IdleGiBSeconds += since * memory
		}
	}
}

// cold reports whether no engine had a model loaded at the last poll. known is
// false if the engines haven't been polled or the request has no model.
func (l *enginePoller) cold(m core.ModelName) (cold, known bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.loaded[m], l.polled && m != ""
}

func (l *enginePoller) total() Held {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.held
}
