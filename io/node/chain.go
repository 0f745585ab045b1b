package node

import (
	"context"
	"errors"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"radishwell/core"
)

// chain is the platform behind several addresses: a call that one of them
// certainly did not take goes to the next, which is then kept. A call that may
// have taken effect is never sent again.
type chain struct {
	links   []core.Platform
	current atomic.Int64
}

func try[T any](c *chain, do func(core.Platform) (T, error)) (T, error) {
	var out T
	var err error
	first := c.current.Load()
	for n := range c.links {
		i := (int(first) + n) % len(c.links)
		out, err = do(c.links[i])
		var fault *core.PlatformError
		if !errors.As(err, &fault) || fault.Fault != core.Unavailable {
			c.current.Store(int64(i))
			return out, err
		}
	}
	return out, err
}

// List implements core.Platform.
func (c *chain) List(ctx context.Context, kind core.Kind) (core.Listing, error) {
	return try(c, func(p core.Platform) (core.Listing, error) { return p.List(ctx, kind) })
}

// Get implements core.Platform.
func (c *chain) Get(ctx context.Context, kind core.Kind, name string) (core.Object, error) {
	return try(c, func(p core.Platform) (core.Object, error) { return p.Get(ctx, kind, name) })
}

// Create implements core.Platform.
func (c *chain) Create(ctx context.Context, o core.Object) (core.Object, error) {
	return try(c, func(p core.Platform) (core.Object, error) { return p.Create(ctx, o) })
}

// Update implements core.Platform.
func (c *chain) Update(ctx context.Context, o core.Object) (core.Object, error) {
	return try(c, func(p core.Platform) (core.Object, error) { return p.Update(ctx, o) })
}

// UpdateStatus implements core.Platform.
func (c *chain) UpdateStatus(ctx context.Context, o core.Object) (core.Object, error) {
	return try(c, func(p core.Platform) (core.Object, error) { return p.UpdateStatus(ctx, o) })
}

// Delete implements core.Platform.
func (c *chain) Delete(ctx context.Context, kind core.Kind, name string, version core.Version) error {
	_, err := try(c, func(p core.Platform) (struct{}, error) {
		return struct{}{}, p.Delete(ctx, kind, name, version)
	})
	return err
}

// Watch implements core.Platform.
func (c *chain) Watch(ctx context.Context, kind core.Kind, from core.Version) (core.Watch, error) {
	return try(c, func(p core.Platform) (core.Watch, error) { return p.Watch(ctx, kind, from) })
}

// tokenAge is how old the text of a token file may be. Platforms replace tokens
// minutes before the old ones end.
const tokenAge = 10 * time.Second

// tokenFile reads a bearer token, again when it may have changed.
type tokenFile struct {
	path  string
	clock core.Clock

	mu    sync.Mutex
	text  string
	until time.Time
}

// token returns the newest token that could be read.
func (t *tokenFile) token() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	if now.Before(t.until) {
		return t.text
	}
	t.until = now.Add(tokenAge)
	if raw, err := os.ReadFile(t.path); err == nil {
		t.text = strings.TrimSpace(string(raw))
	}
	return t.text
}
