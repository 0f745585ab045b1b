package resume

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"radishwell/core"
	"radishwell/core/follow"
	"radishwell/core/origin"
	"radishwell/io/events"
	"radishwell/io/loop"
	"radishwell/io/peer"
	"radishwell/wire"
)

const (
	// entryCopies and agentCopies are the numbers of other entries and of agents to which a record
	// is sent, and loneCopies that of entries in a fleet without agents. One of the entries, in a
	// large fleet, is one that saves records in the platform. Agents outlive all entries. Those beside hosts of the stream's version are chosen, since the record is of use
	// only as long as one of these hosts is there; and otherCopies beside hosts of each other
	// version, for entries whose registry does not list the stream's version yet.
	entryCopies = 2
	agentCopies = 3
	otherCopies = 1
	loneCopies  = 4
	// askedMore is by how much more processes of each kind are asked for a record, since entries may
	// differ in those that they know or avoid. If none of these has it, askedLast further ones
	// are asked: hosts of a version may have started since the record was sent.
	askedMore = 2
	askedLast = 8
	// callTimeout bounds a call. The callers of Find wait for it.
	callTimeout = 200 * time.Millisecond
	// avoidTime is how long an entry that did not answer is passed over.
	avoidTime = 2 * time.Second
	// shareInterval is the interval at which records are looked for that have not been sent:
	// those of streams that began before their service had several versions.
	shareInterval = 500 * time.Millisecond
	// maxQueued bounds the records that wait for a call to one entry.
	maxQueued = 4096
)

// Caller calls other entries.
type Caller interface {
	Keep(ctx context.Context, to peer.Target, in *wire.KeepCall) (*wire.Empty, error)
	Find(ctx context.Context, to peer.Target, in *wire.FindCall) (*wire.FindReply, error)
}

// Records are an entry's records of where streams began.
type Records interface {
	TakeUnsharedOrigins() []origin.Record
	ReshareOrigins()
	KeepOrigins([]origin.Record)
	FindOrigin(key core.Fingerprint, service core.ServiceName) core.OriginAnswer
}

// Agent is an agent and the software version of the host beside it.
type Agent struct {
	peer.Target
	Software core.SoftwareVersion
}

// Exchange is one entry's exchange. Set the exported fields before Start; its methods may be
// called from several goroutines.
type Exchange struct {
	Self    core.HostName
	Clock   core.Clock
	Caller  Caller
	Records Records
	// Members returns the other entries, and Agents the agents. Agents is nil if there are none.
	Members func() []follow.Member
	Agents  func() []Agent
	// Save, if set, is called with the records of this entry's streams and those that other
	// entries have sent.
	Save func([]origin.Record)

	wake   chan struct{}
	mu     sync.Mutex
	queues map[core.HostName]*queue
	// unsent are the records that no entry could be sent.
	unsent []origin.Record
	// agents are those at the last look, by name.
	agents map[core.HostName]bool
	// avoided holds the entries that did not answer, with the time until which they are
	// passed over.
	avoided map[core.HostName]time.Time
}

var _ core.StreamOrigins = (*Exchange)(nil)

// queue holds the records for one entry. While a call is in progress, further records wait and
// go with the next one.
type queue struct {
	to      peer.Target
	waiting []origin.Record
	// calling is set while a call is in progress.
	calling bool
}

// batch is the records of one call.
type batch struct {
	*queue
	to      peer.Target
	records []origin.Record
}

// Start initialises the exchange. It is called before all other methods.
func (x *Exchange) Start() {
	x.wake = make(chan struct{}, 1)
	x.queues = map[core.HostName]*queue{}
	x.avoided = map[core.HostName]time.Time{}
}

// Share implements core.StreamOrigins.
func (x *Exchange) Share() { loop.Wake(x.wake) }

// Run sends records until the context ends.
func (x *Exchange) Run(ctx context.Context) error {
	ended := make(chan struct{})
	calls := 0
	ticker := time.NewTicker(shareInterval)
	defer ticker.Stop()
	for {
		x.distribute(x.Records.TakeUnsharedOrigins())
		for _, b := range x.takeReady() {
			calls++
			go func() {
				x.send(ctx, b)
				ended <- struct{}{}
			}()
		}
		select {
		case <-ctx.Done():
			for range calls {
				<-ended
			}
			return nil
		case <-x.wake:
		case <-ticker.C:
			x.distribute(x.takeUnsent())
			if x.agentsChanged() {
				x.Records.ReshareOrigins()
			}
		case <-ended:
			calls--
		}
	}
}

// agentsChanged reports whether there are other agents than at the last call.
func (x *Exchange) agentsChanged() bool {
	if x.Agents == nil {
		return false
	}
	now := map[core.HostName]bool{}
	for _, a := range x.Agents() {
		now[a.Host] = true
	}
	changed := x.agents != nil && !maps.Equal(now, x.agents)
	x.agents = now
	return changed
}

// distribute queues records for their holders.
func (x *Exchange) distribute(records []origin.Record) {
	if len(records) == 0 {
		return
	}
	x.save(records)
	groups := x.groups()
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, r := range records {
		sent := 0
		for _, g := range groups {
			for _, to := range x.holders(r.Key, g, g.copiesOf(r)) {
				x.add(r, to)
				sent++
			}
		}
		if sent == 0 {
			x.keepUnsent(r)
		}
	}
}

// save has records saved in the platform.
func (x *Exchange) save(records []origin.Record) {
	if x.Save != nil {
		x.Save(records)
	}
}

// keepUnsent keeps a record that no entry can be sent now, as while this one is cut off. The
// caller holds mu.
func (x *Exchange) keepUnsent(r origin.Record) {
	if len(x.unsent) < maxQueued {
		x.unsent = append(x.unsent, r)
	}
}

// takeUnsent returns the records that no entry could be sent and that are still needed.
func (x *Exchange) takeUnsent() []origin.Record {
	x.mu.Lock()
	defer x.mu.Unlock()
	now := x.Clock.Now()
	out := slices.DeleteFunc(x.unsent, func(r origin.Record) bool { return !now.Before(r.Until) })
	x.unsent = nil
	return out
}

// add queues a record for an entry. The caller holds mu.
func (x *Exchange) add(r origin.Record, to peer.Target) {
	q := x.queues[to.Host]
	if q == nil {
		q = &queue{}
		x.queues[to.Host] = q
	}
	q.to = to
	if len(q.waiting) < maxQueued {
		q.waiting = append(q.waiting, r)
	}
}

// group is processes of one kind that may hold copies, by name, and the largest number of them that
// hold one of a record.
type group struct {
	members map[core.HostName]peer.Target
	copies  int
	// agents is set for a group of agents, which are beside hosts of the given version.
	agents   bool
	software core.SoftwareVersion
}

// copiesOf returns the number of processes of the group that hold copies of a record.
func (g group) copiesOf(r origin.Record) int {
	if g.agents && g.software != r.Origin.Software {
		return otherCopies
	}
	return g.copies
}

// groups returns the other entries that save records in the platform, the others that do not, and the
// agents by the software versions of their hosts.
func (x *Exchange) groups() []group {
	if x.Agents == nil {
		return x.entryGroups(loneCopies)
	}
	agents := map[core.SoftwareVersion]group{}
	for _, a := range x.Agents() {
		g, ok := agents[a.Software]
		if !ok {
			g = group{members: map[core.HostName]peer.Target{}, copies: agentCopies, agents: true, software: a.Software}
			agents[a.Software] = g
		}
		g.members[a.Host] = a.Target
	}
	if len(agents) == 0 {
		return x.entryGroups(loneCopies)
	}
	return append(x.entryGroups(entryCopies), slices.Collect(maps.Values(agents))...)
}

// entryGroups returns the other entries that save records in the platform, of which one at least holds a
// copy of each record, and those that do not, with so many copies in all.
func (x *Exchange) entryGroups(copies int) []group {
	all := x.Members()
	names := []core.HostName{x.Self}
	for _, m := range all {
		names = append(names, m.Name)
	}
	writers := origin.Writers(names)
	saving, plain := group{members: map[core.HostName]peer.Target{}}, group{members: map[core.HostName]peer.Target{}}
	for _, m := range all {
		g := plain
		if slices.Contains(writers, m.Name) {
			g = saving
		}
		g.members[m.Name] = peer.Target{Host: m.Name, Address: m.Control}
	}
	plain.copies = min(copies-1, len(plain.members))
	saving.copies = copies - plain.copies
	return []group{saving, plain}
}

// holders returns the first n holders of a record in a group that are not avoided. The caller
// holds mu.
func (x *Exchange) holders(key core.Fingerprint, g group, n int) []peer.Target {
	now := x.Clock.Now()
	names := make([]core.HostName, 0, len(g.members))
	for name := range g.members {
		if !now.Before(x.avoided[name]) {
			names = append(names, name)
		}
	}
	var out []peer.Target
	for _, name := range origin.Holders(key, names, n) {
		out = append(out, g.members[name])
	}
	return out
}

// takeReady returns the records of each queue that has some and no call in progress.
func (x *Exchange) takeReady() (out []batch) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for name, q := range x.queues {
		switch {
		case q.calling:
		case len(q.waiting) == 0:
			delete(x.queues, name)
		default:
			out = append(out, batch{queue: q, to: q.to, records: q.waiting})
			q.waiting, q.calling = nil, true
		}
	}
	return out
}

// send sends records. If their entry does not answer, the next holder of each record gets it
// instead.
func (x *Exchange) send(ctx context.Context, b batch) {
	now := x.Clock.Now()
	in := &wire.KeepCall{Origins: make([]*wire.StreamOrigin, 0, len(b.records))}
	for _, r := range b.records {
		in.Origins = append(in.Origins, encode(now, r))
	}
	callCtx, stop := context.WithTimeout(ctx, callTimeout)
	_, err := x.Caller.Keep(callCtx, b.to, in)
	stop()
	var groups []group
	if err != nil {
		groups = x.groups()
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	b.calling = false
	if err == nil || ctx.Err() != nil {
		return
	}
	x.noteFailure(b.to, err)
	for _, r := range append(b.records, b.waiting...) {
		x.replaceHolder(r, b.to, groups)
	}
	b.waiting = nil
}

// replaceHolder queues a record for the next holder in place of one that does not answer. The caller
// holds mu.
func (x *Exchange) replaceHolder(r origin.Record, failed peer.Target, groups []group) {
	left := 0
	for _, g := range groups {
		copies := g.copiesOf(r)
		next := x.holders(r.Key, g, copies)
		left += len(next)
		if _, ok := g.members[failed.Host]; ok && len(next) == copies {
			x.add(r, next[copies-1])
		}
	}
	if left == 0 {
		x.keepUnsent(r)
	}
}

// noteFailure has an entry that did not answer passed over for some time. The caller holds mu.
func (x *Exchange) noteFailure(to peer.Target, err error) {
	events.Fail(events.PeerUnreachable, err, "host", to.Host, "address", to.Address)
	now := x.Clock.Now()
	for name, until := range x.avoided {
		if !now.Before(until) {
			delete(x.avoided, name)
		}
	}
	x.avoided[to.Host] = now.Add(avoidTime)
}

// Find implements core.StreamOrigins. It returns the first record that a process has.
func (x *Exchange) Find(ctx context.Context, attempt core.RequestID, service core.ServiceName) core.OriginAnswer {
	key := origin.KeyOf(attempt)
	ctx, stop := context.WithTimeout(ctx, callTimeout)
	defer stop()
	first, last, count, out := x.toAsk(key)
	x.askAll(ctx, first, key, service, &count, &out)
	if !out.Found {
		x.askAll(ctx, last, key, service, &count, &out)
	}
	out.Answered = count.IsInTouch()
	return out
}

// asked is a process that is asked for a record.
type asked struct {
	peer.Target
	agent bool
}

// toAsk returns the processes that are asked for a record first and last, how many are to be heard, and
// what is known before they are: the answer cannot be complete if all processes of a kind are avoided.
func (x *Exchange) toAsk(key core.Fingerprint) (first, last []asked, count origin.Count, out core.OriginAnswer) {
	groups := x.groups()
	x.mu.Lock()
	defer x.mu.Unlock()
	out.Complete = true
	for _, g := range groups {
		most := g.copies + askedMore
		if g.agents {
			most += askedLast
		}
		count.Ask(g.agents, min(most, len(g.members)))
		holders := x.holders(key, g, g.copies+askedMore+askedLast)
		out.Complete = out.Complete && (len(holders) > 0 || len(g.members) == 0)
		for i, to := range holders {
			if i < g.copies+askedMore {
				first = append(first, asked{to, g.agents})
			} else if g.agents {
				last = append(last, asked{to, true})
			}
		}
	}
	return first, last, count, out
}

// askAll asks processes at the same time, and adds their answers to out until one has the record.
func (x *Exchange) askAll(ctx context.Context, to []asked, key core.Fingerprint, service core.ServiceName, count *origin.Count, out *core.OriginAnswer) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	type answer struct {
		*wire.FindReply
		asked
	}
	answers := make(chan answer, len(to))
	for _, a := range to {
		go func() { answers <- answer{x.ask(ctx, a.Target, key, service), a} }()
	}
	for range to {
		reply := <-answers
		if reply.FindReply == nil {
			out.Complete = false
			continue
		}
		count.Hear(reply.agent)
		out.Recorded = out.Recorded || reply.GetRecorded()
		out.Versions = append(out.Versions, core.Names[core.SoftwareVersion](reply.GetVersions())...)
		if o := reply.GetOrigin(); o != nil {
			out.Origin, out.Found = decodeOrigin(o), true
			return
		}
	}
}

// ask returns the answer of one process, nil if it does not answer.
func (x *Exchange) ask(ctx context.Context, to peer.Target, key core.Fingerprint, service core.ServiceName) *wire.FindReply {
	reply, err := x.Caller.Find(ctx, to, &wire.FindCall{Key: uint64(key), Service: string(service)})
	if err == nil {
		return reply
	}
	if context.Cause(ctx) != context.Canceled {
		x.mu.Lock()
		x.noteFailure(to, err)
		x.mu.Unlock()
	}
	return nil
}

// ServeKeep serves the records of another entry.
func (x *Exchange) ServeKeep(in *wire.KeepCall) (*wire.Empty, error) {
	records := decodeAll(x.Clock.Now(), in)
	x.save(records)
	x.Records.KeepOrigins(records)
	return &wire.Empty{}, nil
}

// ServeFind serves another entry's question where a stream began.
func (x *Exchange) ServeFind(in *wire.FindCall) (*wire.FindReply, error) {
	return encodeAnswer(x.Records.FindOrigin(core.Fingerprint(in.GetKey()), core.ServiceName(in.GetService()))), nil
}
