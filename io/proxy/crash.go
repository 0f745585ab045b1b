package proxy

import (
	"context"
	"errors"
	"io"
	"net/netip"
	"slices"
	"strconv"
	"syscall"
	"time"

	"radishwell/core"
	"radishwell/core/fleet"
	"radishwell/core/parts"
	"radishwell/core/strike"
	"radishwell/io/events"
)

const (
	// maxStrikes bounds the strikes that are kept.
	maxStrikes = 4096
	// probeTimeout bounds the probe of a host at which an attempt broke off. The caller
	// waits for it, so that a crash is known before the request is repeated.
	probeTimeout = 100 * time.Millisecond
)

// Strikes returns the strikes to send to another entry with the next message.
func (p *Proxy) Strikes() []strike.Record {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.sharer.Next(p.Clock.Now(), &p.book)
}

// MergeStrikes merges strikes from other entries and reports whether any was new.
func (p *Proxy) MergeStrikes(list []strike.Record) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.book.Merge(p.Clock.Now(), list)) == 0 {
		return false
	}
	p.wake() // waiting requests may have to be refused now
	return true
}

// Restricted returns the strikes against each request that is refused because it crashes
// upstreams, or that runs in trials only because it may.
func (p *Proxy) Restricted() map[core.Fingerprint][]strike.Record {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.book.Restricted(p.Clock.Now())
}

// Crashed returns the strikes against requests, and the records of parts of prompts, that were in the
// most crashes: of n requests and n parts at most.
func (p *Proxy) Crashed(n int) (requests [][]strike.Record, shared []parts.Record) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	return p.book.Crashed(now, n), p.parts.Crashed(now, n)
}

// refuseQuarantined refuses a request that is known to crash upstreams, or that has a part in its
// prompt that does. The caller holds the proxy's mu.
func (c *call) refuseQuarantined(now time.Time) *core.Refusal {
	if c.proxy.book.Refuse(now, c.fingerprint) == nil {
		return c.refuseParts(now)
	}
	if c.ran > 0 {
		return c.lost()
	}
	events.Log(events.RequestQuarantined, "request", c.ask.ID, "fingerprint", c.fingerprint, "crashes", c.proxy.book.CrashesOf(now, c.fingerprint))
	return core.Refuse(core.CodeQuarantined, "this request has crashed several upstreams")
}

// isQuarantined reports whether refuseQuarantined would refuse the request. The caller holds the
// proxy's mu.
func (c *call) isQuarantined(now time.Time) bool {
	p := c.proxy
	if p.book.Refuse(now, c.fingerprint) != nil {
		return true
	}
	return c.hasRefusedParts(now)
}

// checkQuarantine refuses a request that is known to crash upstreams before it counts anywhere.
func (c *call) checkQuarantine() *core.Refusal {
	p := c.proxy
	p.mu.Lock()
	defer p.mu.Unlock()
	return c.refuseQuarantined(p.Clock.Now())
}

// noteError records the error of an attempt as a sign of a crash of its host. sent is set if
// the host may have received the request.
func (c *call) noteError(ctx context.Context, t *target, sent bool, err error) {
	p, inc := c.proxy, t.incarnation()
	switch {
	case ctx.Err() != nil:
	case !sent && errors.Is(err, syscall.ECONNREFUSED):
		p.noteRefused(inc)
	case sent && isBrokenOff(err):
		c.run.shows = showsBrokenOff
		probe := false
		p.Update(func(v *fleet.View, now time.Time) {
			if t.host.ShortNotice {
				return // the request is not the reason
			}
			probe = v.NoteBrokenOff(now, inc, fleet.BrokenOff{
				Fingerprint: c.fingerprint, Parts: c.shared, Began: t.startedAt, Late: t.late,
				Tried: c.run.whole, TriedParts: c.run.provenParts(), At: now,
			})
		})
		if probe && p.upstreams.refuses(ctx, t.address) {
			p.noteRefused(inc)
		}
	}
}

func (p *Proxy) noteRefused(inc fleet.Incarnation) {
	p.Update(func(v *fleet.View, _ time.Time) { v.NoteRefused(inc) })
}

// isBrokenOff reports whether an error is that of a connection that the host's system closed,
// as it does when the process ends.
func isBrokenOff(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// strikeCrashed gives a strike to each request that was in progress at a host that is now
// known to have crashed, and reports whether there are new strikes. The caller holds mu.
func (p *Proxy) strikeCrashed(now time.Time) (struck bool) {
	for inc, attempts := range p.view.TakeCrashed(now) {
		upstream := incarnationName(inc)
		list := make([]strike.Attempt, 0, len(attempts))
		ran := map[core.Fingerprint]time.Duration{}
		for _, a := range attempts {
			list = append(list, strike.Attempt{Fingerprint: a.Fingerprint, Late: a.Late, Alone: a.Tried})
			if !a.Began.IsZero() {
				ran[a.Fingerprint] = max(ran[a.Fingerprint], a.At.Sub(a.Began))
			}
		}
		if p.strikeParts(now, upstream, attempts) {
			struck = true
		}
		for _, f := range p.book.RecordIncarnationCrash(now, upstream, list) {
			struck = true
			_, began := ran[f]
			p.Meter.Strike(began)
			events.Log(
				events.RequestStruck, "host", inc.ID, "fingerprint", f, "strikes", p.book.Find(now, f).Count,
				"began", began, "ran", ran[f].Round(time.Millisecond), "together", len(attempts),
			)
		}
	}
	return struck
}

// strikeParts records a crash against the parts of the prompts of the requests that were in progress
// there, and reports whether anything was new. The caller holds mu.
func (p *Proxy) strikeParts(now time.Time, upstream core.HostName, attempts []fleet.BrokenOff) (news bool) {
	crashes := map[parts.Name]parts.Crash{}
	for _, a := range attempts {
		var ran time.Duration
		if !a.Began.IsZero() {
			ran = a.At.Sub(a.Began)
		}
		for _, name := range a.Parts {
			crash, ok := crashes[name]
			if !ok {
				crash = parts.Crash{Upstream: upstream, At: a.At, Ran: ran}
			}
			crash.At, crash.Ran = core.Earlier(crash.At, a.At), min(crash.Ran, ran)
			crash.Tried = crash.Tried || slices.Contains(a.TriedParts, name)
			crash.Requests++
			crashes[name] = crash
		}
	}
	for name, crash := range crashes {
		if p.parts.NoteCrash(now, crash, []parts.Name{name}) {
			news = true
			events.Log(
				events.PartsStruck, "host", upstream, "part", name, "requests", crash.Requests,
				"ran", crash.Ran.Round(time.Millisecond), "tried", crash.Tried,
			)
		}
	}
	if news {
		p.withdrawParts()
	}
	return news
}

// incarnationName returns a name that identifies one run of a host's process.
func incarnationName(inc fleet.Incarnation) core.HostName {
	if inc.Born == 0 {
		return inc.ID
	}
	return inc.ID + "@" + core.HostName(strconv.FormatInt(inc.Born, 10))
}

// noteServed clears the strikes of a request that was served: others have crashed the hosts
// where it was in progress.
func (c *call) noteServed() {
	p := c.proxy
	p.mu.Lock()
	now := p.Clock.Now()
	struck := p.book.Find(now, c.fingerprint).Count > 0
	if struck {
		p.book.Clear(now, c.fingerprint)
	}
	p.mu.Unlock()
	if struck {
		p.sendStrikes()
	}
}

func (p *Proxy) sendStrikes() {
	if p.OnStrikes != nil {
		p.OnStrikes()
	}
}

// CrashedError reports an upstream that crashed while it sent an answer without framing.
type CrashedError struct{ Host core.HostName }

// Error implements error.
func (e *CrashedError) Error() string {
	return "the host " + string(e.Host) + " refuses connections since its answer ended"
}

// Unwrap returns the error of a connection that ended too early.
func (e *CrashedError) Unwrap() error { return io.ErrUnexpectedEOF }

// checkCrash returns a CrashedError if an answer without framing has ended because its host
// crashed: the system of a process that has ended closes its connections in order. A host that
// is leaving, or that the registry has removed already, may end after a complete answer, but not
// one that ends at a stated time, whatever it runs.
func (c *call) checkCrash(ctx context.Context, t *target) error {
	if c.framing != core.Unframed {
		return nil
	}
	p := c.proxy
	p.mu.Lock()
	shortNotice := t.host.ShortNotice
	ends := p.view.Host(t.id) == nil || t.host.IsLeaving(p.Clock.Now())
	p.mu.Unlock()
	if ends && !shortNotice || !p.upstreams.refuses(ctx, t.address) {
		return nil
	}
	return &CrashedError{Host: t.id}
}

// refuses reports whether a host refuses a connection, as its system does if the process has
// ended.
func (u *upstreams) refuses(ctx context.Context, at netip.AddrPort) bool {
	ctx, stop := context.WithTimeout(ctx, probeTimeout)
	defer stop()
	conn, err := u.dialer.DialContext(ctx, "tcp", at.String())
	if err == nil {
		_ = conn.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}
