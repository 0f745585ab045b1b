package deploy

import (
	"context"
	"math/rand/v2"
	"time"

	"radishwell/core"
	"radishwell/io/peer"
	"radishwell/wire"
)

const (
	// lendCallTimeout bounds a call to an entry that may lend retries. Entries are a few milliseconds
	// apart.
	lendCallTimeout = 100 * time.Millisecond
	// maxLenders is the number of entries that are asked in turn until one lends.
	maxLenders = 3
	// maxLent bounds what an entry lends at once.
	maxLent = 64
)

// lenders implements core.RetryLenders by calls to other entries, chosen at random.
type lenders struct{ entry *entry }

var _ core.RetryLenders = lenders{}

// Borrow implements core.RetryLenders.
func (l lenders) Borrow(ctx context.Context, service core.ServiceName, n int) int {
	for _, to := range l.choose() {
		lent := 0
		callWithin(ctx, lendCallTimeout, to, func(ctx context.Context) error {
			reply, err := l.entry.client.Lend(ctx, to, &wire.LendCall{Service: string(service), Retries: uint32(n)})
			lent = min(n, int(reply.GetRetries()))
			return err
		})
		if lent > 0 || ctx.Err() != nil {
			return lent
		}
	}
	return 0
}

// choose returns the entries to ask.
func (l lenders) choose() []peer.Target {
	var out []peer.Target
	for name, at := range l.entry.members.addresses() {
		out = append(out, peer.Target{Host: name, Address: at})
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(len(out), maxLenders)]
}

// serveLend serves another entry's ask for retries.
func (e *entry) serveLend(c *wire.LendCall) (*wire.LendReply, error) {
	n := e.proxy.LendRetries(core.ServiceName(c.GetService()), int(min(c.GetRetries(), maxLent)))
	return &wire.LendReply{Retries: uint32(n)}, nil
}
