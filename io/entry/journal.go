package entry

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"radishwell/core"
	"radishwell/core/claims"
	"radishwell/io/events"
	"radishwell/wire"
)

// Journals carries out what core/claims decides: it asks the entry in charge of
// a key's journal, or writes to the platform where that is this one.
type Journals struct {
	Self     core.HostName
	Clock    core.Clock
	Platform core.Platform
	// Known tells that the platform has answered since the start.
	Known func() bool
	// Entries lists the live entries, this one included.
	Entries func() []core.HostName
	// Ask asks another entry to record a claim.
	Ask func(ctx context.Context, entry core.HostName, c *wire.ClaimCall) (*wire.ClaimReply, error)

	books []*journal
	slots listing
}

const (
	// journalSlots and segmentBytes bound a journal: at 56 bytes a claim, 256
	// segments of 64 KiB hold 300,000 claims, in all four journals a day of 14 a
	// second or 40 minutes of 500 a second. A segment is written again with every
	// group, so it is kept small; a ring is read whole by an entry that takes it
	// over, so it has few segments.
	journalSlots = 256
	segmentBytes = 64 * core.KiB
	// maxClaims bounds the claims that wait in one journal.
	maxClaims = 4096
	// platformTime bounds one call of the platform for a claim.
	platformTime = time.Second
	// askTime bounds the question to the entry in charge.
	askTime = time.Second
)

// journal is one journal and the goroutine that owns it.
type journal struct {
	in      chan func(now time.Time) claims.Effects
	state   claims.Journal
	waiting map[uint64]chan claims.Answer
	token   uint64
	// ready tells that the journal has been read whole once.
	ready bool
}

// Init prepares the journals; Run serves them.
func (s *Journals) Init() {
	for n := range claims.Journals {
		s.books = append(s.books, &journal{
			in:      make(chan func(time.Time) claims.Effects, maxClaims),
			waiting: map[uint64]chan claims.Answer{},
			state:   claims.Journal{Number: n, Slots: journalSlots, SegmentBytes: segmentBytes, MaxWaiting: maxClaims},
		})
	}
}

// Run serves the journals until the context ends.
func (s *Journals) Run(ctx context.Context) error {
	ended := make(chan struct{}, len(s.books))
	for _, b := range s.books {
		go func() { s.serve(ctx, b); ended <- struct{}{} }()
	}
	s.keepWarm(ctx)
	for range s.books {
		<-ended
	}
	return nil
}

// warmTime is the time between two looks at which journals this entry leads.
const warmTime = 200 * time.Millisecond

// keepWarm has the journals that this entry leads read before the first claim,
// which would wait for it otherwise.
func (s *Journals) keepWarm(ctx context.Context) {
	tick := time.NewTicker(warmTime)
	defer tick.Stop()
	warm := make([]bool, len(s.books))
	leads := make([]bool, len(s.books))
	var ranked []core.HostName
	for {
		// Ranking 400 entries five times a second for each journal took a third
		// of what an entry at rest may; they seldom change.
		if entries := s.Entries(); !slices.Equal(entries, ranked) {
			ranked = slices.Clone(entries)
			for n := range s.books {
				first := claims.Rank(n, ranked)
				leads[n] = len(first) > 0 && first[0] == s.Self
			}
		}
		for n, b := range s.books {
			if leads[n] && !warm[n] && s.Known() {
				b.send(ctx, b.state.Preload)
				warm[n] = true
			}
			warm[n] = warm[n] && leads[n]
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// serve owns one journal: every event of it passes here.
func (s *Journals) serve(ctx context.Context, b *journal) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		wait := time.Hour
		if next := b.state.NextTick(); !next.IsZero() {
			wait = max(0, next.Sub(s.Clock.Now()))
		}
		timer.Reset(wait)
		var effects claims.Effects
		select {
		case event := <-b.in:
			effects = event(s.Clock.Now())
		case <-timer.C:
			effects = b.state.Tick(s.Clock.Now())
		case <-ctx.Done():
			return
		}
		s.carryOut(ctx, b, effects)
	}
}

func (s *Journals) carryOut(ctx context.Context, b *journal, e claims.Effects) {
	for _, a := range e.Answers {
		if to := b.waiting[a.Token]; to != nil {
			delete(b.waiting, a.Token)
			to <- a
		}
	}
	b.ready = b.ready || b.state.Ready()
	if !b.ready && len(e.Reads) > 0 {
		go s.readMany(ctx, b, e.Reads)
	} else {
		for _, name := range e.Reads {
			go s.read(ctx, b, name)
		}
	}
	if e.Write != nil {
		go s.write(ctx, b, *e.Write)
	}
}

// send passes an event to the journal's owner.
func (b *journal) send(ctx context.Context, event func(time.Time) claims.Effects) {
	select {
	case b.in <- event:
	case <-ctx.Done():
	}
}

func (s *Journals) read(ctx context.Context, b *journal, name string) {
	call, stop := context.WithTimeout(ctx, platformTime)
	defer stop()
	o, err := s.Platform.Get(call, core.KindClaim, name)
	if err == nil {
		events.Log(events.ClaimSettled, "segment", name)
	}
	b.send(ctx, func(now time.Time) claims.Effects { return b.state.ReadDone(now, replyOf(name, o, err)) })
}

// listAge is how old a list may be that slots are read from. While a journal is
// read for the first time, one list serves for all of its slots, which a read
// of each would take the platform's budget for seconds. Old content does no
// harm: a segment that has moved on makes the next append, which is conditional
// on the version read, fail; it is then read by itself.
const listAge = 2 * time.Second

// listing is the latest list of all journals' slots.
type listing struct {
	mu      sync.Mutex
	until   time.Time
	objects map[string]core.Object
}

// readMany reads many slots, as when a journal is taken over, from one list.
func (s *Journals) readMany(ctx context.Context, b *journal, names []string) {
	objects, err := s.list(ctx)
	for _, name := range names {
		o, found := objects[name]
		reply := claims.Reply{Name: name, Object: o, OK: found, Fault: core.NotFound}
		if err != nil {
			reply = replyOf(name, o, err)
		}
		b.send(ctx, func(now time.Time) claims.Effects { return b.state.ReadDone(now, reply) })
	}
}

func (s *Journals) list(ctx context.Context) (map[string]core.Object, error) {
	s.slots.mu.Lock()
	defer s.slots.mu.Unlock()
	if s.Clock.Now().Before(s.slots.until) {
		return s.slots.objects, nil
	}
	call, stop := context.WithTimeout(ctx, platformTime)
	defer stop()
	asked := s.Clock.Now()
	l, err := s.Platform.List(call, core.KindClaim)
	if err != nil {
		return nil, err
	}
	s.slots.objects = make(map[string]core.Object, len(l.Objects))
	for _, o := range l.Objects {
		s.slots.objects[o.Name] = o
	}
	s.slots.until = asked.Add(listAge)
	return s.slots.objects, nil
}

func (s *Journals) write(ctx context.Context, b *journal, w claims.Write) {
	call, stop := context.WithTimeout(ctx, platformTime)
	defer stop()
	do := s.Platform.Update
	if w.Create {
		do = s.Platform.Create
	}
	o, err := do(call, w.Object)
	b.send(ctx, func(now time.Time) claims.Effects { return b.state.WriteDone(now, replyOf(w.Object.Name, o, err)) })
}

func replyOf(name string, o core.Object, err error) claims.Reply {
	if err == nil {
		return claims.Reply{Name: name, Object: o, OK: true}
	}
	fault := core.Unknown
	var known *core.PlatformError
	if errors.As(err, &known) {
		fault = known.Fault
	}
	return claims.Reply{Name: name, Fault: fault}
}

// Claim records a claim through the entry in charge of the key's journal, or
// here where that one does not answer: any entry may append, since every append
// is conditional.
func (s *Journals) Claim(ctx context.Context, a claims.Submission) claims.Answer {
	n := claims.JournalOf(a.Claim.ID)
	ranked := claims.Rank(n, s.Entries())
	if len(ranked) == 0 || ranked[0] == s.Self {
		return s.Local(ctx, a)
	}
	call, stop := context.WithTimeout(ctx, askTime)
	reply, err := s.Ask(call, ranked[0], callOf(a))
	stop()
	if err != nil {
		return s.Local(ctx, a)
	}
	return answerOf(reply)
}

// Local records a claim here.
func (s *Journals) Local(ctx context.Context, a claims.Submission) claims.Answer {
	b := s.books[claims.JournalOf(a.Claim.ID)]
	to := make(chan claims.Answer, 1)
	b.send(ctx, func(now time.Time) claims.Effects {
		b.token++
		a.Token = b.token
		b.waiting[a.Token] = to
		return b.state.Submit(now, a)
	})
	select {
	case answer := <-to:
		return answer
	case <-ctx.Done():
		return claims.Answer{Result: claims.Unsure, RetryAt: s.Clock.Now().Add(time.Second)}
	}
}

// Serve records a claim for another entry.
func (s *Journals) Serve(ctx context.Context, c *wire.ClaimCall) *wire.ClaimReply {
	return replyTo(s.Local(ctx, askOf(c, s.Clock.Now().Add(askTime))))
}
