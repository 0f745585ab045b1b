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

// failoverPlatform is a platform that is reached at several addresses. A call that
// certainly had no effect at one address goes to the next one, which later calls
// then try first. A call that may have taken effect is never sent again.
type failoverPlatform struct {
	clients []core.Platform
	current atomic.Int64
}

// callFirst calls do for the clients in turn, beginning with the current one, until one
// is not unavailable. That client becomes the current one.
func callFirst[T any](c *failoverPlatform, do func(core.Platform) (T, error)) (T, error) {
	var out T
	var err error
	first := c.current.Load()
	for n := range c.clients {
		i := (int(first) + n) % len(c.clients)
		out, err = do(c.clients[i])
		var fault *core.PlatformError
		if !errors.As(err, &fault) || fault.Fault != core.Unavailable {
			c.current.Store(int64(i))
			return out, err
		}
	}
	return out, err
}

// List implements core.Platform.
func (c *failoverPlatform) List(ctx context.Context, kind core.Kind) (core.Listing, error) {
	return callFirst(c, func(p core.Platform) (core.Listing, error) { return p.List(ctx, kind) })
}

// Get implements core.Platform.
func (c *failoverPlatform) Get(ctx context.Context, kind core.Kind, name string) (core.Object, error) {
	return callFirst(c, func(p core.Platform) (core.Object, error) { return p.Get(ctx, kind, name) })
}

// Create implements core.Platform.
func (c *failoverPlatform) Create(ctx context.Context, o core.Object) (core.Object, error) {
	return callFirst(c, func(p core.Platform) (core.Object, error) { return p.Create(ctx, o) })
}

// Update implements core.Platform.
func (c *failoverPlatform) Update(ctx context.Context, o core.Object) (core.Object, error) {
	return callFirst(c, func(p core.Platform) (core.Object, error) { return p.Update(ctx, o) })
}

// UpdateStatus implements core.Platform.
func (c *failoverPlatform) UpdateStatus(ctx context.Context, o core.Object) (core.Object, error) {
	return callFirst(c, func(p core.Platform) (core.Object, error) { return p.UpdateStatus(ctx, o) })
}

// Delete implements core.Platform.
func (c *failoverPlatform) Delete(ctx context.Context, kind core.Kind, name string, version core.Version) error {
	_, err := callFirst(c, func(p core.Platform) (struct{}, error) {
		return struct{}{}, p.Delete(ctx, kind, name, version)
	})
	return err
}

// Watch implements core.Platform.
func (c *failoverPlatform) Watch(ctx context.Context, kind core.Kind, from core.Version) (core.Watch, error) {
	return callFirst(c, func(p core.Platform) (core.Watch, error) { return p.Watch(ctx, kind, from) })
}

// tokenMaxAge is how long a token is used before its file is read again. Platforms
// replace tokens minutes before the old ones expire.
const tokenMaxAge = 10 * time.Second

// tokenFile caches the bearer token in a file.
type tokenFile struct {
	path  string
	clock core.Clock

	mu   sync.Mutex
	text string
	// rereadAt is when the file is read next.
	rereadAt time.Time
}

// token returns the current token, or the last one read if the file can't be read.
func (t *tokenFile) token() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	if now.Before(t.rereadAt) {
		return t.text
	}
	t.rereadAt = now.Add(tokenMaxAge)
	if raw, err := os.ReadFile(t.path); err == nil {
		t.text = strings.TrimSpace(string(raw))
	}
	return t.text
}
