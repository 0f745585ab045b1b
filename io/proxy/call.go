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
	"radishwell/core/rtable"
)

const (
	// defaultTime is the time of a request whose caller and route name none.
	defaultTime = 30 * time.Second
	// defaultBody bounds a request's body where the table does not, in bytes.
	defaultBody = 4 << 20
	// answerSlack is how long before its deadline a request that still waits is
	// refused, so that the refusal arrives in time.
	answerSlack = 20 * time.Millisecond
	// failureMargin is how long before a request's deadline a failure that was kept
	// is passed on.
	failureMargin = 40 * time.Millisecond
	// lookAgain is how often a request that waits looks again without a change:
	// hosts set aside for a time come back without one.
	lookAgain = 200 * time.Millisecond
	// restPause is how long a request rests after all hosts have turned it away.
	restPause = 100 * time.Millisecond
	// mostSends bounds the hosts that one request is sent to, whatever they say:
	// past that its caller is better served by an answer.
	mostSends = 5
)

// call is one request on its way.
type call struct {
	proxy   *Proxy
	writer  http.ResponseWriter
	request *http.Request
	arrived time.Time

	ask      core.Ask
	route    *rtable.Route
	customer *rtable.Customer
	rank     int
	service  *rtable.Service
	body     []byte
	deadline time.Time
	query    fleet.Query

	// units are what the request counts against its customer's allowance, and charged is
	// when they were taken; zero while they are not.
	units   float64
	charged time.Time

	// sends counts the hosts that got any of the request, ran those that may have
	// run it.
	sends, ran int
	// What follows is for the log: the failure behind the last attempt and its
	// host; the host chosen last, with the age of its report, the cost and wait
	// foreseen there and what it had said of itself by then; the table that was in
	// force, and the time spent waiting.
	last      error
	host      core.HostName
	best      core.HostName
	reportAge time.Duration
	cost      float64
	foreseen  time.Duration
	known     signals
	version   int64
	waited    time.Duration
	// paced is the time spent on reservations at hosts that name a rate limit.
	paced time.Duration
	// fetched is the time in which an adapter was on its way, and status that of the
	// upstream's answer, zero before it has one.
	fetched time.Duration
	status  int
	// The times of a stream's first and last events, and the longest pause between
	// two.
	first, latest time.Time
	longest       time.Duration
	// watched is the attempt in progress, if it is left when its host falls silent.
	watched *watched
	// begun tells that part of an answer has gone to the caller.
	begun bool
	// failure is an upstream's own, which another host may not have.
	failure *failure
	// event is the id of the last event that the caller has.
	event string
}

// ServeHTTP implements http.Handler.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := &call{proxy: p, writer: w, request: r, arrived: p.Clock.Now()}
	refusal := c.prepare()
	if refusal == nil {
		ctx, stop := context.WithDeadline(r.Context(), c.deadline)
		defer stop()
		refusal = c.serve(ctx)
		c.refund()
	}
	c.log(refusal)
	if refusal == nil {
		return
	}
	if c.begun || refusal.Code == core.CodeCancelled {
		// An answer that broke off must not look complete, nor one that was never
		// written: net/http would end the one and send status 200 for the other. The
		// connection is closed instead.
		panic(http.ErrAbortHandler)
	}
	if c.failure != nil {
		c.passFailure()
		return
	}
	c.refuse(refusal)
}

// prepare reads the request and finds its route.
func (c *call) prepare() *core.Refusal {
	p := c.proxy
	table := p.Table()
	if table == nil {
		return core.RefuseUntil(core.CodeNotReady, "the routing table has not arrived yet", c.arrived.Add(restPause))
	}
	var refusal *core.Refusal
	if c.ask, refusal = p.Protocol.Ask(c.request.Header, c.arrived); refusal != nil {
		return refusal
	}
	c.version = table.Version
	c.route = table.Match(c.request.Host, c.request.URL.EscapedPath())
	if c.route == nil {
		return core.Refuse(core.CodeUnknownPath, "no route has this host name and path")
	}
	if refusal := c.identify(table); refusal != nil {
		return refusal
	}
	c.rank = table.Rank(c.customer, c.route, core.Ranks)
	c.service = table.Services[c.route.Service(rand.Float64())]
	if refusal := c.read(table.Limits.Body); refusal != nil {
		return refusal
	}
	c.deadline = c.arrived.Add(defaultTime)
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
	}
	c.event = c.ask.After
	return nil
}

// read takes the body in whole, so that it can be sent to a second host.
func (c *call) read(most core.Bytes) *core.Refusal {
	if most <= 0 {
		most = defaultBody
	}
	body, err := io.ReadAll(http.MaxBytesReader(c.writer, c.request.Body, int64(most)))
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return core.Refuse(core.CodeTooLarge, "the body is larger than "+most.String())
	case err != nil:
		return core.Refuse(core.CodeBadRequest, "the body could not be read: "+err.Error())
	}
	c.body = body
	return nil
}

// serve has the request run. It returns nil once the caller has its answer.
func (c *call) serve(ctx context.Context) *core.Refusal {
	if refusal := c.charge(ctx); refusal != nil {
		return refusal
	}
	c.begin()
	for {
		t, refusal := c.acquire(ctx)
		if refusal != nil {
			return refusal
		}
		o := c.attempt(ctx, t)
		if o.done {
			return nil
		}
		c.last = o.cause
		if refusal := c.after(ctx, t, o); refusal != nil {
			return refusal
		}
	}
}

// begin notes the request's arrival.
func (c *call) begin() {
	p := c.proxy
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	p.window(c.service.Name).First(now)
	if c.query.Model != "" {
		p.demand.NoteRequest(now, c.query.Model, c.route.Target, &c.ask, c.service)
	}
}

// after decides what follows an attempt that brought no answer; nil to go on.
func (c *call) after(ctx context.Context, t *target, o outcome) *core.Refusal {
	// An attempt's own deadline may fire just before the request's.
	if ctx.Err() != nil || !c.proxy.Clock.Now().Before(c.deadline) {
		return c.over(ctx)
	}
	var gone *GoneError
	if errors.As(o.cause, &gone) {
		return &core.Refusal{Code: core.CodeCancelled, Outcome: core.MayHaveRun, Reason: gone.Error()}
	}
	if c.begun && c.route.Kind != rtable.Stream {
		return c.lost()
	}
	if !o.rejected && o.sent && !c.mayRepeat() {
		return c.lost()
	}
	if c.sends >= mostSends {
		return c.giveUp()
	}
	c.query.Tried = append(c.query.Tried, t.id)
	return nil
}

// mayRepeat tells whether a request that may have run may be sent to one host
// more.
func (c *call) mayRepeat() bool { return c.route.Repeats() && c.ran < c.route.MaxHosts }

// over returns the answer to a request whose time is over, or whose caller left.
func (c *call) over(ctx context.Context) *core.Refusal {
	cause := context.Cause(ctx)
	switch {
	case cause != nil && !errors.Is(cause, context.DeadlineExceeded):
		return &core.Refusal{Code: core.CodeCancelled, Outcome: c.outcome(), Reason: "the caller went away"}
	case c.ran > 0:
		return &core.Refusal{
			Code: core.CodeUpstreamLate, Outcome: core.MayHaveRun, Host: c.host, Reason: "the upstream had not answered in time",
		}
	}
	return core.Refuse(core.CodeWaitTooLong, "no upstream host could run the request in its time")
}

// lost returns the answer to a request that may have run and may not run again.
func (c *call) lost() *core.Refusal {
	return &core.Refusal{
		Code: core.CodeUpstreamLost, Outcome: core.MayHaveRun, Host: c.host, Reason: "contact with the upstream was lost",
	}
}

// giveUp returns the answer to a request that gets no further attempt.
func (c *call) giveUp() *core.Refusal {
	if c.ran > 0 {
		return c.lost()
	}
	return core.RefuseUntil(core.CodeOverload, "the upstream hosts turn requests away", c.back(restPause))
}

func (c *call) outcome() core.Outcome {
	if c.ran > 0 {
		return core.MayHaveRun
	}
	return core.NotRun
}

// back returns when a caller may come back: after a pause, but within the third
// of its time that callers wait at the most.
func (c *call) back(pause time.Duration) time.Time {
	now := c.proxy.Clock.Now()
	return now.Add(min(pause, c.deadline.Sub(now)/3))
}

// refuse writes the answer to a request that is not served.
func (c *call) refuse(r *core.Refusal) {
	head := c.writer.Header()
	for name, values := range c.proxy.Protocol.Refuse(c.ask.ID, r, c.proxy.Clock.Now()) {
		head[name] = values
	}
	text := "{\"code\":" + strconv.Quote(string(r.Code)) + ",\"message\":" + strconv.Quote(r.Reason) + "}\n"
	head.Set("Content-Type", "application/json")
	head.Set("Content-Length", strconv.Itoa(len(text)))
	c.writer.WriteHeader(r.Code.Info().Status)
	// An error here is the caller's going away.
	_, _ = io.WriteString(c.writer, text)
}
