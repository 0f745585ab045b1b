package bench

import (
	"context"
	"sync"
	"time"

	"radishwell/core"
	"radishwell/io/config"
)

// Constants of looking at engines.
const (
	lookEvery = 200 * time.Millisecond
	lookTime  = time.Second
)

// Held is what the engines' accelerators held during a run.
type Held struct {
	// Looks is how often the engines were asked.
	Looks int `json:"looks"`
	// LoadedSeconds is the time for which models were loaded, summed over models
	// and engines; IdleSeconds is the part in which no request to the model or
	// one of its adapters ran there.
	LoadedSeconds float64 `json:"loaded-model-seconds"`
	IdleSeconds   float64 `json:"idle-model-seconds"`
	// LoadedGiBSeconds and IdleGiBSeconds weigh the same by memory.
	LoadedGiBSeconds float64 `json:"loaded-gib-seconds"`
	IdleGiBSeconds   float64 `json:"idle-gib-seconds"`
}

// loads looks at the engines again and again: what is loaded, and what is idle.
type loads struct {
	engines []config.Origin

	mu     sync.Mutex
	looked bool
	loaded map[core.ModelName]bool
	held   Held
	last   time.Time
}

// watch looks until the context ends.
func (l *loads) watch(ctx context.Context) {
	tick := time.NewTicker(lookEvery)
	defer tick.Stop()
	for ctx.Err() == nil && len(l.engines) > 0 {
		l.look(ctx)
		select {
		case <-tick.C:
		case <-ctx.Done():
		}
	}
}

func (l *loads) look(ctx context.Context) {
	ctx, stop := context.WithTimeout(ctx, lookTime)
	defer stop()
	states := make([]core.EngineState, len(l.engines))
	got := make(chan struct{})
	for i, at := range l.engines {
		go func() {
			// An engine that is down holds nothing: its state stays empty.
			_ = getJSON(ctx, at.String()+"/state", &states[i])
			got <- struct{}{}
		}()
	}
	for range l.engines {
		<-got
	}
	l.take(time.Now(), states)
}

func (l *loads) take(now time.Time, states []core.EngineState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	since := now.Sub(l.last).Seconds()
	if !l.looked {
		since = 0
	}
	l.looked, l.last, l.loaded = true, now, map[core.ModelName]bool{}
	l.held.Looks++
	for _, s := range states {
		l.takeOne(s, since)
	}
}

func (l *loads) takeOne(s core.EngineState, since float64) {
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

// cold tells whether no engine had a model loaded at the last look, and whether
// there was one.
func (l *loads) cold(m core.ModelName) (cold, known bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.loaded[m], l.looked && m != ""
}

func (l *loads) sum() Held {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.held
}
