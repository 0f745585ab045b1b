package objapi

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"radishwell/core"
	"radishwell/io/reply"
)

// Default budgets of one process, in calls per second. The platform can handle about
// 2,000 reads and several hundred writes a second from the whole fleet. An idle process
// makes less than one call a second, so that the budgets only bound a process that
// malfunctions. The bursts allow a process to list all kinds at the start.
const (
	defaultReads      = 20
	defaultReadBurst  = 40
	defaultWrites     = 20
	defaultWriteBurst = 40
)

// defaultWatchSilence is a little more than the time of three missed bookmarks, of which
// the platform sends one a second.
const defaultWatchSilence = 4 * time.Second

// Budget bounds the rate of calls: PerSecond on average, and Burst at once after a pause.
// The zero Budget stands for the default of the package.
type Budget struct {
	PerSecond float64
	Burst     int
}

func (b Budget) limiter(perSecond float64, burst int) *rate.Limiter {
	if b.PerSecond > 0 {
		perSecond, burst = b.PerSecond, max(b.Burst, 1)
	}
	return rate.NewLimiter(rate.Limit(perSecond), burst)
}

// Client implements core.Platform. Its exported fields must be set before first use. It
// is safe for concurrent use.
type Client struct {
	// Address is the address of the object API.
	Address netip.AddrPort
	// TLS is the configuration of TLS connections; nil for plain HTTP.
	TLS *tls.Config
	// Token is sent as a bearer token unless it is empty. If TokenSource is set, it
	// returns the token for each call instead.
	Token       string
	TokenSource func() string
	// Reads bounds list, get and the start of watches; Writes bounds all other calls.
	Reads, Writes Budget
	// WatchSilence is the time after which a watch without a change or bookmark is
	// considered dead; zero stands for four seconds. It must be longer than the
	// platform's interval between bookmarks.
	WatchSilence time.Duration
	// OnRetry, if set, is called with the error of each call that is about to be repeated.
	OnRetry func(*core.PlatformError)

	once   sync.Once
	http   *http.Client
	base   string
	reads  *rate.Limiter
	writes *rate.Limiter
}

var _ core.Platform = (*Client)(nil)

func (c *Client) token() string {
	if c.TokenSource != nil {
		return c.TokenSource()
	}
	return c.Token
}

func (c *Client) init() { c.once.Do(c.build) }

func (c *Client) build() {
	scheme := "http"
	if c.TLS != nil {
		scheme = "https"
	}
	c.base = scheme + "://" + c.Address.String() + "/apis/" + apiVersion + "/"
	c.http = reply.NewClient(Transport(c.TLS))
	c.reads = c.Reads.limiter(defaultReads, defaultReadBurst)
	c.writes = c.Writes.limiter(defaultWrites, defaultWriteBurst)
	if c.WatchSilence <= 0 {
		c.WatchSilence = defaultWatchSilence
	}
}

// Close closes idle connections.
func (c *Client) Close() {
	c.init()
	c.http.CloseIdleConnections()
}

// List implements core.Platform.
func (c *Client) List(ctx context.Context, kind core.Kind) (core.Listing, error) {
	var body listJSON
	err := c.call(ctx, &operation{verb: http.MethodGet, kind: kind, read: true, into: &body})
	if err != nil {
		return core.Listing{}, err
	}
	return body.listing(kind)
}

// Get implements core.Platform.
func (c *Client) Get(ctx context.Context, kind core.Kind, name string) (core.Object, error) {
	return c.object(ctx, &operation{verb: http.MethodGet, kind: kind, name: name, read: true})
}

// Create implements core.Platform.
func (c *Client) Create(ctx context.Context, o core.Object) (core.Object, error) {
	o.UID = ""
	o.Version = 0
	return c.object(ctx, &operation{verb: http.MethodPost, kind: o.Kind, name: o.Name, body: fromObject(o)})
}

// Update implements core.Platform.
func (c *Client) Update(ctx context.Context, o core.Object) (core.Object, error) {
	o.Status = nil
	return c.object(ctx, &operation{verb: http.MethodPut, kind: o.Kind, name: o.Name, body: fromObject(o)})
}

// UpdateStatus implements core.Platform.
func (c *Client) UpdateStatus(ctx context.Context, o core.Object) (core.Object, error) {
	return c.object(ctx, &operation{
		verb:        http.MethodPut,
		kind:        o.Kind,
		name:        o.Name,
		subresource: "/status",
		body:        fromObject(o),
	})
}

// Delete implements core.Platform.
func (c *Client) Delete(ctx context.Context, kind core.Kind, name string, version core.Version) error {
	var options deleteJSON
	options.Preconditions.ResourceVersion = versionText(version)
	return c.call(ctx, &operation{verb: http.MethodDelete, kind: kind, name: name, body: options})
}

// object makes a call whose answer is an object.
func (c *Client) object(ctx context.Context, op *operation) (core.Object, error) {
	var body objectJSON
	op.into = &body
	if err := c.call(ctx, op); err != nil {
		return core.Object{}, err
	}
	return body.object(op.kind)
}

// backoff returns the wait before attempt n+1. It is exponential with full jitter, so
// that processes whose calls failed at the same time do not repeat them at the same time.
func backoff(n int) time.Duration {
	limit := min(firstBackoff<<min(n, maxDoublings), maxBackoff)
	return time.Duration(rand.Int64N(int64(limit)) + 1)
}
