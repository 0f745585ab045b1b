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

// Journals carries out what core/claims decides. It sends a claim to the entry that
// leads the key's journal, or writes it to the platform if that is this entry.
type Journals struct {
	Self     core.HostName
	Clock    core.Clock
	Platform core.Platform
	// Known reports whether the platform has responded since the start.
	Known func() bool
	// Entries lists the live entries, this one included.
	Entries func() []core.HostName
	// Ask asks another entry to record a claim.
	Ask func(ctx context.Context, entry core.HostName, c *wire.ClaimCall) (*wire.ClaimReply, error)

	journals []*journal
	listing  listing
}

const (
	// journalSlots and segmentBytes bound a journal. At 56 bytes a claim, 256 segments
	// of 64 KiB hold 300,000 claims; all four journals hold those of a day at 14 a
	// second, or of 40 minutes at 500 a second. Segments are small since a segment is
	// rewritten with every group of claims. There are few of them since an entry that
	// takes over a journal reads it whole.
	journalSlots = 256
	segmentBytes = 64 * core.KiB
	// maxClaims bounds the claims that wait in one journal.
	maxClaims = 4096
	// platformTime bounds one call of the platform for a claim.
	platformTime = time.Second
	// askTimeout bounds a call of the entry that leads a journal.
	askTimeout = time.Second
)

// journal is one journal. The goroutine of Journals.serve owns all fields but events.
type journal struct {
	events chan func(now time.Time) claims.Effects
	state  claims.Journal
	// waiting has the channels for the answers to submissions by their tokens; token is
	// the last token used.
	waiting map[uint64]chan claims.Answer
	token   uint64
	// ready is set once the journal has been read whole.
	ready bool
}

// Init initialises the journals; Run serves them.
func (s *Journals) Init() {
	for n := range claims.Journals {
		s.journals = append(s.journals, &journal{
			events:  make(chan func(time.Time) claims.Effects, maxClaims),
			waiting: map[uint64]chan claims.Answer{},
			state:   claims.Journal{Number: n, Slots: journalSlots, SegmentBytes: segmentBytes, MaxWaiting: maxClaims},
		})
	}
}

// Run serves the journals until the context ends.
func (s *Journals) Run(ctx context.Context) error {
	ended := make(chan struct{}, len(s.journals))
	for _, j := range s.journals {
		go func() { s.serve(ctx, j); ended <- struct{}{} }()
	}
	s.keepWarm(ctx)
	for range s.journals {
		<-ended
	}
	return nil
}

// warmInterval is the time between two checks of which journals this entry leads.
const warmInterval = 200 * time.Millisecond

// keepWarm reads the journals that this entry leads, since their first claims would
// otherwise wait for that.
func (s *Journals) keepWarm(ctx context.Context) {
	tick := time.NewTicker(warmInterval)
	defer tick.Stop()
	warm := make([]bool, len(s.journals))
	leads := make([]bool, len(s.journals))
	var ranked []core.HostName
	for {
		// The ranking is kept since the entries seldom change: ranking 400 entries for
		// each journal five times a second took a third of the CPU time allowed to an
		// idle entry.
		if entries := s.Entries(); !slices.Equal(entries, ranked) {
			ranked = slices.Clone(entries)
			for n := range s.journals {
				first := claims.Rank(n, ranked)
				leads[n] = len(first) > 0 && first[0] == s.Self
			}
		}
		for n, j := range s.journals {
			if leads[n] && !warm[n] && s.Known() {
				j.send(ctx, j.state.Preload)
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

// serve handles all events of one journal, which it owns.
func (s *Journals) serve(ctx context.Context, j *journal) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		wait := time.Hour
		if next := j.state.NextTick(); !next.IsZero() {
			wait = max(0, next.Sub(s.Clock.Now()))
		}
		timer.Reset(wait)
		var effects claims.Effects
		select {
		case event := <-j.events:
			effects = event(s.Clock.Now())
		case <-timer.C:
			effects = j.state.Tick(s.Clock.Now())
		case <-ctx.Done():
			return
		}
		s.apply(ctx, j, effects)
	}
}

func (s *Journals) apply(ctx context.Context, j *journal, e claims.Effects) {
	for _, a := range e.Answers {
		if answer := j.waiting[a.Token]; answer != nil {
			delete(j.waiting, a.Token)
			answer <- a
		}
	}
	j.ready = j.ready || j.state.Ready()
	if !j.ready && len(e.Reads) > 0 {
		go s.readMany(ctx, j, e.Reads)
	} else {
		for _, name := range e.Reads {
			go s.read(ctx, j, name)
		}
	}
	if e.Write != nil {
		go s.write(ctx, j, *e.Write)
	}
}

// send passes an event to the journal's owner.
func (j *journal) send(ctx context.Context, event func(time.Time) claims.Effects) {
	select {
	case j.events <- event:
	case <-ctx.Done():
	}
}

func (s *Journals) read(ctx context.Context, j *journal, name string) {
	call, stop := context.WithTimeout(ctx, platformTime)
	defer stop()
	o, err := s.Platform.Get(call, core.KindClaim, name)
	if err == nil {
		events.Log(events.ClaimSettled, "segment", name)
	}
	j.send(ctx, func(now time.Time) claims.Effects { return j.state.ReadDone(now, replyOf(name, o, err)) })
}

// maxListAge is how old a list may be from which slots are read. When a journal is read
// for the first time, one list serves all of its slots; reading each slot would use up
// the platform's budget for seconds. Outdated content does no harm: if a segment has
// changed since, the next append fails, as it is conditional on the version read, and
// the segment is then read alone.
const maxListAge = 2 * time.Second

// listing is the latest list of all journals' slots.
type listing struct {
	mu      sync.Mutex
	until   time.Time
	objects map[string]core.Object
}

// readMany reads many slots from one list, as when a journal is taken over.
func (s *Journals) readMany(ctx context.Context, j *journal, names []string) {
	objects, err := s.list(ctx)
	for _, name := range names {
		o, found := objects[name]
		reply := claims.Reply{Name: name, Object: o, OK: found, Fault: core.NotFound}
		if err != nil {
			reply = replyOf(name, o, err)
		}
		j.send(ctx, func(now time.Time) claims.Effects { return j.state.ReadDone(now, reply) })
	}
}

func (s *Journals) list(ctx context.Context) (map[string]core.Object, error) {
	s.listing.mu.Lock()
	defer s.listing.mu.Unlock()
	if s.Clock.Now().Before(s.listing.until) {
		return s.listing.objects, nil
	}
	call, stop := context.WithTimeout(ctx, platformTime)
	defer stop()
	requested := s.Clock.Now()
	l, err := s.Platform.List(call, core.KindClaim)
	if err != nil {
		return nil, err
	}
	s.listing.objects = make(map[string]core.Object, len(l.Objects))
	for _, o := range l.Objects {
		s.listing.objects[o.Name] = o
	}
	s.listing.until = requested.Add(maxListAge)
	return s.listing.objects, nil
}

func (s *Journals) write(ctx context.Context, j *journal, w claims.Write) {
	call, stop := context.WithTimeout(ctx, platformTime)
	defer stop()
	put := s.Platform.Update
	if w.Create {
		put = s.Platform.Create
	}
	o, err := put(call, w.Object)
	j.send(ctx, func(now time.Time) claims.Effects { return j.state.WriteDone(now, replyOf(w.Object.Name, o, err)) })
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

// Claim records a claim through the entry that leads the key's journal, or locally if
// that entry does not respond. Any entry may append, since every append is conditional.
func (s *Journals) Claim(ctx context.Context, a claims.Submission) claims.Answer {
	n := claims.JournalOf(a.Claim.ID)
	ranked := claims.Rank(n, s.Entries())
	if len(ranked) == 0 || ranked[0] == s.Self {
		return s.Local(ctx, a)
	}
	call, stop := context.WithTimeout(ctx, askTimeout)
	reply, err := s.Ask(call, ranked[0], encodeSubmission(a))
	stop()
	if err != nil {
		return s.Local(ctx, a)
	}
	return decodeAnswer(reply)
}

// Local records a claim without asking another entry.
func (s *Journals) Local(ctx context.Context, a claims.Submission) claims.Answer {
	j := s.journals[claims.JournalOf(a.Claim.ID)]
	to := make(chan claims.Answer, 1)
	j.send(ctx, func(now time.Time) claims.Effects {
		j.token++
		a.Token = j.token
		j.waiting[a.Token] = to
		return j.state.Submit(now, a)
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
	return encodeAnswer(s.Local(ctx, decodeSubmission(c, s.Clock.Now().Add(askTimeout))))
}
