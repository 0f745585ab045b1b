package proxy

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"radishwell/core"
	"radishwell/core/fleet"
	"radishwell/core/parts"
	"radishwell/core/rawurl"
	"radishwell/core/retry"
	"radishwell/core/rtable"
	"radishwell/core/turn"
	"radishwell/io/accept"
	"radishwell/io/httpd"
)

const (
	// defaultTimeout applies if neither the caller nor the route sets a time limit.
	defaultTimeout = 30 * time.Second
	// defaultMaxBody bounds a request's body, in bytes, if the table sets no bound.
	defaultMaxBody = 4 << 20
	// refusalMargin is how long before its deadline a waiting request is refused, so
	// that the refusal arrives in time.
	refusalMargin = 20 * time.Millisecond
	// failureMargin is how long before a request's deadline a kept failure is written.
	failureMargin = 40 * time.Millisecond
	// recheckInterval is the interval at which a waiting request looks for a host while
	// nothing changes: hosts that were set aside for a time become available again
	// without a change.
	recheckInterval = 200 * time.Millisecond
	// retryPause is how long a request waits after all hosts have rejected it.
	retryPause = 100 * time.Millisecond
	// maxSends bounds the hosts that one request is sent to, whatever they answer:
	// after so many, an error now serves the caller better than another attempt.
	maxSends = 5
)

// call is one request in progress.
type call struct {
	proxy   *Proxy
	writer  http.ResponseWriter
	request *http.Request
	arrived time.Time
	// sentSince is a time before which the caller cannot have sent the request, zero if nothing tells.
	sentSince time.Time

	ask      core.RequestHead
	target   rawurl.Target
	route    *rtable.Route
	customer *rtable.Customer
	// rank is the request's priority; zero is the most urgent.
	rank    int
	service *rtable.Service
	body    []byte
	// heldID is the request's account of the bytes held for it.
	heldID uint64
	// fingerprint is equal for repetitions of the request by the same customer.
	fingerprint core.Fingerprint
	// shared are the parts of the prompt that other requests may share, and sentParts is the attempt
	// in progress if it has some, nil otherwise.
	shared    []parts.Name
	sentParts *sentParts
	// run is the trial in which the request runs, zero if it runs in none. trialBy is when it stops
	// waiting for one, zero before it waits, and tries counts the trials granted to it.
	run      trialRun
	trialBy  time.Time
	tries    int
	deadline time.Time
	query    fleet.Query

	// units is what the request costs of its customer's allowance, and chargedAt when
	// it was charged, zero if it is not charged.
	units     float64
	chargedAt time.Time

	// sends counts the hosts that received any part of the request, ran those that may
	// have run it.
	sends, ran int
	// retry is what the next send of the request is taken from, and retryBy the time by which it has
	// to be sent then.
	retry   retrySource
	retryBy time.Time
	// unread are the sends that may be read yet, and held counts the retries that are held for them.
	unread []retry.Unread
	held   int
	// The fields from here to longestPause are written to the log line; some are used
	// elsewhere, too. lastErr and lastHost are the error and the host of the last
	// attempt.
	lastErr  error
	lastHost core.HostName
	// chosen is the host chosen last; reportAge is the age of its agent's report, -1 if
	// there is none; cost and expectedWait are the estimates for the request there, and heldUp
	// and pauseChance those of pauses that are too long, and fullChance that of too little
	// memory (see fleet.Choice); and signals is what the host had stated about itself when the
	// request was sent.
	chosen                          core.HostName
	reportAge                       time.Duration
	cost                            float64
	expectedWait                    time.Duration
	heldUp, pauseChance, fullChance float64
	// promptCached is the number of the prompt's tokens that the host chosen last should keep.
	promptCached int
	signals      signals
	// tableVersion is the version of the routing table in force, and waitTime the time
	// spent waiting for a host.
	tableVersion int64
	waitTime     time.Duration
	// waits is the reason for which the request waits since waitsSince, and heldTime is the time
	// that it has waited for room at hosts. place is the number of requests that waited for the
	// same resource when it came, and turnID its item in the queue while it has its turn.
	waits      waitReason
	waitsSince time.Time
	heldTime   time.Duration
	place      int
	// granted is set if the host's agent granted room for the request.
	granted bool
	turnID  core.RequestID
	// triesAgainAt is when the request may go to hosts once more that it was sent to, zero unless
	// it waits after all of them were tried.
	triesAgainAt time.Time
	// verdict is the last decision on the request's turn, urgent the target of more urgent
	// requests that it allowed for, and own the time in which the host should process the prompt.
	verdict     turn.Verdict
	urgent, own time.Duration
	// pacingTime is the time spent waiting for reservations at hosts that name a rate
	// limit.
	pacingTime time.Duration
	// fetchTime is the time spent loading adapters. status is that of the upstream's
	// answer, zero before there is one.
	fetchTime time.Duration
	status    int
	// framing is that of the upstream's last answer, and partialEvent the number of bytes
	// of an unfinished event at the end of its stream.
	framing      core.Framing
	partialEvent int
	// events counts the events, or whole answers, that were forwarded, and firstEvent and
	// lastEvent are when the first and the latest were. longestPause is the longest pause
	// between two of them.
	events                int
	firstEvent, lastEvent time.Time
	longestPause          time.Duration
	// watched is the attempt in progress if its stream may move to another host, nil
	// otherwise.
	watched *watchedStream
	// started is set once part of an answer has been sent to the caller. unframed is set if
	// that answer has neither a length nor chunks.
	started, unframed bool
	// gone is set once the caller takes no more of an answer that is read to its end all the same.
	gone *GoneError
	// failure is an upstream's failed answer, kept in case no other host answers
	// better.
	failure *failure
	// lastEventID is the id of the last event that the caller has received.
	lastEventID string
	// unnamed is set if events without ids were forwarded since: nothing tells another host after which
	// event to go on.
	unnamed bool
	// origin is where the stream began whose events are in the answer or that the caller
	// resumes, and software the version at the host chosen last.
	origin   core.StreamOrigin
	software core.SoftwareVersion
	// loadBy is when the model should be loaded on a host of the stream's version, zero unless
	// the request waits for that. continuing is set while it counts as doing so.
	loadBy     time.Time
	continuing bool
}

// ServeHTTP implements http.Handler.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := &call{proxy: p, writer: w, request: r, arrived: p.Clock.Now()}
	if at, ok := accept.SentSince(r.Context()); ok {
		c.sentSince = at
	}
	c.heldID = p.held.open(w)
	defer p.held.close(c.heldID)
	refusal := c.prepare()
	accept.Understood(r.Context())
	if refusal == nil {
		ctx, stop := context.WithDeadline(r.Context(), c.deadline)
		defer stop()
		refusal = c.serve(ctx)
		c.refund()
	}
	c.log(refusal)
	if refusal == nil {
		c.endAnswer()
		return
	}
	if c.started || refusal.Code == core.CodeCancelled {
		// A partial answer must not look complete, and a missing one must not look
		// successful: net/http would terminate the former properly and send status 200
		// for the latter. Aborting closes the connection instead.
		httpd.Abort(w, c.unframed)
		return
	}
	if c.failure != nil {
		c.writeFailure()
		c.endAnswer()
		return
	}
	c.writeRefusal(refusal)
}

// endAnswer ends an answer that was written whole.
func (c *call) endAnswer() {
	if c.unframed {
		httpd.EndUnframed(c.writer, c.request)
	}
}

// prepare reads the request and finds its customer, route, service and deadline.
func (c *call) prepare() *core.Refusal {
	p := c.proxy
	table := p.Table()
	if table == nil {
		return core.RefuseUntil(core.CodeNotReady, "the routing table has not arrived yet", c.arrived.Add(retryPause))
	}
	var refusal *core.Refusal
	if c.ask, refusal = p.Protocol.ParseRequest(c.request.Header, c.arrived); refusal != nil {
		return refusal
	}
	c.tableVersion = table.Version
	if c.target, refusal = rawurl.Read(c.request.Method, c.request.RequestURI); refusal != nil {
		return refusal
	}
	c.route = table.Match(c.request.Host, c.target.Path())
	if c.route == nil {
		return p.refusePath(c.arrived)
	}
	if table.Ambiguous(c.request.Host, c.target.Path(), c.route) {
		return core.Refuse(core.CodeBadRequest, "the path may be read as one of another route")
	}
	if refusal := c.identify(table); refusal != nil {
		return refusal
	}
	c.rank = table.Rank(c.customer, c.route, core.PriorityLevels)
	c.service = table.Services[c.route.Service(rand.Float64())]
	if refusal := c.readBody(table.Limits.Body); refusal != nil {
		return refusal
	}
	c.fingerprint = c.fingerprintOf()
	c.deadline = c.arrived.Add(defaultTimeout)
	if c.route.Timeout > 0 {
		c.deadline = c.arrived.Add(c.route.Timeout)
	}
	if !c.ask.Deadline.IsZero() && c.ask.Deadline.Before(c.deadline) {
		c.deadline = c.ask.Deadline
	}
	c.query = fleet.Query{Service: c.service.Name, DataCentre: p.DataCentre}
	if c.service.HasModels() {
		c.query.Model, c.query.Adapter = c.ask.Model, c.ask.Adapter
		c.query.Parts, c.query.Tokens = c.ask.Parts, c.ask.Prompt
		c.foreseeLength()
		c.query.Target, c.query.Pause = c.route.Target, c.route.Pause
		c.shared = parts.Shared(c.service.Name, c.ask.Parts)
	}
	c.lastEventID = c.ask.LastEventID
	return nil
}

// fingerprintOf returns the request's fingerprint. Header fields do not count: a repetition
// has another id and deadline.
func (c *call) fingerprintOf() core.Fingerprint {
	var customer core.OwnerName
	if c.customer != nil {
		customer = c.customer.Name
	}
	return core.FingerprintOf([]byte(customer), []byte(c.request.Method), []byte(c.request.Host), []byte(c.request.RequestURI), c.body)
}

// readBody reads the whole body, so that it can be sent to a second host.
func (c *call) readBody(limit core.Bytes) *core.Refusal {
	if limit <= 0 {
		limit = defaultMaxBody
	}
	if !c.proxy.held.admits(c.arrived, max(0, c.request.ContentLength)) {
		return c.refuseFullEntry()
	}
	from := &heldReader{from: http.MaxBytesReader(c.writer, c.request.Body, int64(limit)), held: &c.proxy.held, id: c.heldID}
	body, err := io.ReadAll(from)
	var large *http.MaxBytesError
	var full *FullError
	switch {
	case errors.As(err, &full):
		return c.refuseFullEntry()
	case errors.As(err, &large):
		return core.Refuse(core.CodeTooLarge, "the body is larger than "+limit.String())
	case err != nil:
		return core.Refuse(core.CodeBadRequest, "the body could not be read: "+err.Error())
	}
	c.body = body
	return nil
}

// serve sends the request to hosts until one answers. It returns nil once the caller
// has its answer.
func (c *call) serve(ctx context.Context) *core.Refusal {
	if refusal := c.checkQuarantine(); refusal != nil {
		return refusal
	}
	if refusal := c.findOrigin(ctx); refusal != nil {
		return refusal
	}
	if refusal := c.charge(ctx); refusal != nil {
		return refusal
	}
	c.recordArrival()
	for {
		t, refusal := c.acquire(ctx)
		if refusal != nil {
			c.endTrial(false)
			return refusal
		}
		t, o := c.attempt(ctx, t)
		c.endTrial(o.done || o.sent && !o.rejected)
		if o.done {
			return nil
		}
		c.lastErr = o.cause
		if refusal := c.afterAttempt(ctx, t, o); refusal != nil {
			return refusal
		}
	}
}

// recordArrival records the request for the retry budget and the demand.
func (c *call) recordArrival() {
	p := c.proxy
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	if w := &p.budget(c.service.Name).window; c.sentSince.IsZero() {
		w.RecordUnknown(now)
	} else {
		w.RecordFirst(now, c.sentSince)
	}
	if p.ranks[c.service.Name] == nil {
		p.ranks[c.service.Name] = &turn.Ranks{}
	}
	p.ranks[c.service.Name].Note(now, c.rank, c.route.Target)
	if c.query.Model != "" {
		p.demand.NoteRequest(now, c.query.Model, c.route.Target, &c.ask, c.service)
	}
}

// afterAttempt decides what follows an attempt without an answer. It returns nil to try
// again.
func (c *call) afterAttempt(ctx context.Context, t *target, o outcome) *core.Refusal {
	// The deadline of an attempt may pass just before the request's own.
	if ctx.Err() != nil || !c.proxy.Clock.Now().Before(c.deadline) {
		return c.expired(ctx)
	}
	var gone *GoneError
	if errors.As(o.cause, &gone) {
		return &core.Refusal{Code: core.CodeCancelled, Outcome: core.MayHaveRun, Reason: gone.Error()}
	}
	if c.started && (c.route.Kind != rtable.Stream || c.unnamed) {
		return c.lost()
	}
	if !o.rejected && o.sent && !c.mayRepeat() {
		return c.lost()
	}
	if c.sends >= maxSends {
		return c.giveUp()
	}
	c.query.Tried = append(c.query.Tried, t.id)
	return nil
}

// mayRepeat reports whether a request that may have run may be sent to one more host.
func (c *call) mayRepeat() bool { return c.route.Repeats() && c.ran < c.route.MaxHosts }

// expired returns the refusal of a request whose deadline has passed or whose caller
// has left.
func (c *call) expired(ctx context.Context) *core.Refusal {
	cause := context.Cause(ctx)
	switch {
	case cause != nil && !errors.Is(cause, context.DeadlineExceeded):
		return &core.Refusal{Code: core.CodeCancelled, Outcome: c.outcome(), Reason: "the caller went away"}
	case c.ran > 0:
		return &core.Refusal{
			Code: core.CodeUpstreamLate, Outcome: core.MayHaveRun, Host: c.lastHost, Reason: "the upstream had not answered in time",
		}
	}
	return core.Refuse(core.CodeWaitTooLong, "no upstream host could run the request in its time")
}

// lost returns the refusal of a request that may have run and must not run again.
func (c *call) lost() *core.Refusal {
	reason := "contact with the upstream was lost"
	if withdrawn := (*WithdrawnError)(nil); errors.As(c.lastErr, &withdrawn) {
		reason = withdrawn.Error()
	}
	return &core.Refusal{Code: core.CodeUpstreamLost, Outcome: core.MayHaveRun, Host: c.lastHost, Reason: reason}
}

// giveUp returns the refusal of a request that gets no further attempt.
func (c *call) giveUp() *core.Refusal {
	if c.ran > 0 {
		return c.lost()
	}
	return core.RefuseUntil(core.CodeOverload, "the upstream hosts turn requests away", c.retryAt(retryPause))
}

func (c *call) outcome() core.Outcome {
	if c.ran > 0 {
		return core.MayHaveRun
	}
	return core.NotRun
}

// retryAt returns when the caller should retry: after a pause, but within a third of
// the request's remaining time, since callers wait no longer.
func (c *call) retryAt(pause time.Duration) time.Time {
	now := c.proxy.Clock.Now()
	return now.Add(min(pause, c.deadline.Sub(now)/3))
}

// writeRefusal writes the answer to a request that is not served.
func (c *call) writeRefusal(r *core.Refusal) {
	head := c.writer.Header()
	for name, values := range c.proxy.Protocol.RefusalHeader(c.ask.ID, r, c.proxy.Clock.Now()) {
		head[name] = values
	}
	text := "{\"code\":" + strconv.Quote(string(r.Code)) + ",\"message\":" + strconv.Quote(r.Reason) + "}\n"
	head.Set("Content-Type", "application/json")
	head.Set("Content-Length", strconv.Itoa(len(text)))
	c.writer.WriteHeader(r.Code.Info().Status)
	// An error means that the caller has left.
	_, _ = io.WriteString(c.writer, text)
}
