package deploy

import (
	"context"
	"sync"
	"time"

	"radishwell/core"
	"radishwell/core/share"
	"radishwell/io/loop"
	"radishwell/io/peer"
	"radishwell/wire"
)

const (
	// spareInterval is the interval at which an entry looks for others that do not count it.
	spareInterval = 500 * time.Millisecond
	// countTimeout bounds a call to another entry. Entries are a few milliseconds apart.
	countTimeout = 300 * time.Millisecond
	// maxCountCalls bounds the calls in progress.
	maxCountCalls = 16
)

// spareRetries is this entry's part of the spare retries, which all entries share.
type spareRetries struct {
	entry *entry

	mu    sync.Mutex
	share share.Share
}

// part returns this entry's part now.
func (s *spareRetries) part(now time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.share.Part(now)
}

// serve counts another entry that asks for it.
func (s *spareRetries) serve(c *wire.CountCall) (*wire.Empty, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.share.Count(core.HostName(c.GetEntry()))
	return &wire.Empty{}, nil
}

// run keeps the part up to date until the context ends.
func (s *spareRetries) run(ctx context.Context) error {
	for {
		s.askAll(ctx, s.update())
		if !loop.Sleep(ctx, spareInterval) {
			return nil
		}
	}
}

// update counts the entries that are known, and returns those that are to be asked to count this one.
func (s *spareRetries) update() []peer.Target {
	e := s.entry
	// The status is read first: the replica then has all changes up to the time at which it was fresh.
	status := e.state.Status(core.KindEntry)
	records := e.state.All(core.KindEntry)
	addresses := e.members.addresses()
	if status.Confirmed {
		e.unread.adopt(e.proxy, e.members.ownUnread()) // before this entry has a part
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	listed := false
	for _, o := range records {
		s.share.Count(core.HostName(o.Name))
		listed = listed || core.HostName(o.Name) == s.share.Self
	}
	for name := range addresses {
		s.share.Count(name)
	}
	if listed && status.Confirmed {
		s.share.List(status.FreshAt, e.storeEra() > 0)
	}
	var ask []peer.Target
	for _, name := range s.share.Uncounted() {
		if at, ok := addresses[name]; ok {
			ask = append(ask, peer.Target{Host: name, Address: at})
		}
	}
	return ask
}

// askAll asks other entries to count this one.
func (s *spareRetries) askAll(ctx context.Context, others []peer.Target) {
	ended := make(chan struct{}, len(others))
	free := make(chan struct{}, maxCountCalls)
	for _, to := range others {
		free <- struct{}{}
		go func() {
			s.ask(ctx, to)
			<-free
			ended <- struct{}{}
		}()
	}
	for range others {
		<-ended
	}
}

func (s *spareRetries) ask(ctx context.Context, to peer.Target) {
	counted := callWithin(ctx, countTimeout, to, func(ctx context.Context) error {
		_, err := s.entry.client.Count(ctx, to, &wire.CountCall{Entry: string(s.share.Self)})
		return err
	})
	if !counted {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.share.Confirm(to.Host)
}
