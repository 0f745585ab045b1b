package front

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"radishwell/core"
	"radishwell/core/catlog"
	"radishwell/core/rawurl"
)

// Call is one request that has passed all checks.
type Call struct {
	Request core.Request
	// Entry is the catalogue entry of the requested model, adapter or service.
	Entry *catlog.Entry
	// Account is the account of the owner whose key the caller sent.
	Account *catlog.Account
	// Method, Target, Header and Body form the request that the upstream receives.
	Method string
	Target rawurl.Target
	Header http.Header
	Body   []byte
	// Trace is the caller's W3C traceparent field.
	Trace  string
	Answer *Answer
}

// Handler is the http.Handler for callers. All fields have to be set before use.
type Handler struct {
	Clock core.Clock
	// Snapshot returns the catalogue in force, or nil before the first one has
	// arrived.
	Snapshot func() *catlog.Snapshot
	// Serve answers a call. It returns after it has called Done or Fail of the
	// call's Answer.
	Serve func(ctx context.Context, c *Call)
	// Refused is called for each request that is refused without a call of Serve.
	Refused func(id core.RequestID, r *core.Refusal)
	// MaxBody is the largest request body that is accepted.
	MaxBody core.Bytes
	// Deadline returns the deadline of a request that does not set its own.
	Deadline func(class core.Class, arrived time.Time) time.Time
	// NewID returns a unique request id.
	NewID func() core.RequestID
}

// ServeHTTP implements http.Handler.
func (f *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := f.NewID()
	arrived := f.Clock.Now()
	if refusal := f.serve(w, r, id, arrived); refusal != nil {
		f.Refused(id, refusal)
		writeRefusal(w, refusal, id, f.Clock.Now())
	}
}

func (f *Handler) serve(w http.ResponseWriter, r *http.Request, id core.RequestID, arrived time.Time) *core.Refusal {
	if refusal := checkSingle(r.Header); refusal != nil {
		return refusal
	}
	target, refusal := rawurl.Read(r.Method, r.RequestURI)
	if refusal != nil {
		return refusal
	}
	snapshot := f.Snapshot()
	if snapshot == nil {
		return core.RefuseUntil(core.CodeNotReady, "the catalogue has not arrived yet", arrived.Add(time.Second))
	}
	caller, refusal := authenticate(snapshot, r.Header)
	if refusal != nil {
		return refusal
	}
	p := inbound{handler: f, w: w, r: r, target: target, id: id, arrived: arrived, snapshot: snapshot, caller: caller}
	return p.dispatch()
}

func authenticate(s *catlog.Snapshot, h http.Header) (catlog.Caller, *core.Refusal) {
	digest, refusal := core.ReadBearer(h.Values(headerAuth))
	if refusal != nil {
		return catlog.Caller{}, refusal
	}
	caller, ok := s.Caller(digest)
	if !ok {
		return catlog.Caller{}, core.Refuse(core.CodeBadKey, "the key is unknown")
	}
	return caller, nil
}

// inbound is an authenticated request that is being checked.
type inbound struct {
	handler  *Handler
	w        http.ResponseWriter
	r        *http.Request
	target   rawurl.Target
	id       core.RequestID
	arrived  time.Time
	snapshot *catlog.Snapshot
	caller   catlog.Caller
}

func (p *inbound) dispatch() *core.Refusal {
	path := p.target.Path()
	switch {
	case path == "/v1/chat/completions":
		return p.serveModel(true)
	case path == "/v1/completions":
		return p.serveModel(false)
	case path == "/v1/models":
		return p.listModels()
	case strings.HasPrefix(path, "/v1/models/"):
		return p.showModel(core.ModelName(strings.TrimPrefix(p.r.URL.Path, "/v1/models/")))
	case strings.HasPrefix(path, "/services/"):
		return p.serveService()
	}
	return core.Refuse(core.CodeUnknownPath, "there is nothing at "+path)
}

func (p *inbound) requireMethod(want string) *core.Refusal {
	if p.r.Method == want {
		return nil
	}
	p.w.Header().Set("Allow", want)
	return core.Refuse(core.CodeMethod, "the path takes "+want)
}

// serveModel serves a request to a model or adapter. If chat is set, it came to
// /v1/chat/completions, otherwise to /v1/completions.
func (p *inbound) serveModel(chat bool) *core.Refusal {
	if refusal := p.requireMethod(http.MethodPost); refusal != nil {
		return refusal
	}
	raw, refusal := readAll(p.w, p.r, p.handler.MaxBody)
	if refusal != nil {
		return refusal
	}
	parsed, refusal := parseCompletion(p.r.Header, raw, chat)
	if refusal != nil {
		return refusal
	}
	entry, ok := p.snapshot.Model(parsed.model)
	if !ok {
		return core.Refuse(core.CodeUnknownModel, "no model "+string(parsed.model)+" is in force")
	}
	c := &Call{Entry: entry, Method: http.MethodPost, Target: p.target, Body: raw}
	c.Request.Tokens, c.Request.Stream, c.Request.Prefixes = parsed.tokens, parsed.stream, parsed.prefixes
	return p.forward(c, parsed.stream)
}

// serveService serves a request to a plain service.
func (p *inbound) serveService() *core.Refusal {
	name, below, ok := splitServiceTarget(p.target)
	if !ok {
		return core.Refuse(core.CodeUnknownPath, "name a service, as in /services/NAME/")
	}
	entry, ok := p.snapshot.Service(name)
	if !ok {
		return core.Refuse(core.CodeUnknownModel, "no service "+string(name)+" is in force")
	}
	if p.r.Header.Get("Upgrade") != "" {
		return core.Refuse(core.CodeMethod, "protocol upgrades are not relayed")
	}
	target, refusal := rawurl.Read(p.r.Method, below)
	if refusal != nil {
		return refusal
	}
	raw, refusal := readAll(p.w, p.r, p.handler.MaxBody)
	if refusal != nil {
		return refusal
	}
	c := &Call{Entry: entry, Method: p.r.Method, Target: target, Body: raw}
	c.Request.Stream = true
	return p.forward(c, true)
}

// forward fills in the remaining fields of the call and passes it to Handler.Serve.
func (p *inbound) forward(c *Call, stream bool) *core.Refusal {
	if !c.Entry.Allows(p.caller.Account.Name) {
		return core.Refuse(core.CodeForbidden, "the owner "+string(p.caller.Account.Name)+" may not use "+c.Entry.Target.Name())
	}
	key, refusal := idempotencyKey(p.r.Header)
	if refusal != nil {
		return refusal
	}
	due, refusal := deadline(p.r.Header, p.arrived, p.handler.Deadline(c.Entry.Class, p.arrived))
	if refusal != nil {
		return refusal
	}
	c.Account = p.caller.Account
	c.Header = upstreamHeader(p.r.Header)
	c.Trace = p.r.Header.Get(headerTraceParent)
	q := &c.Request
	q.ID, q.Target, q.Class, q.Key = p.id, c.Entry.Target, c.Entry.Class, key
	q.Owner, q.Caller = p.caller.Account.Name, p.caller.Name
	q.Arrived, q.Deadline = p.arrived, due
	q.Repeatable = c.Entry.Repeats(c.Method)
	q.Size = core.Bytes(len(c.Body))
	q.Fingerprint = core.FingerprintOf([]byte(q.Target.Name()), []byte(c.Method), []byte(c.Target), c.Body)
	c.Answer = &Answer{
		w: p.w, r: p.r, flush: http.NewResponseController(p.w), id: p.id, clock: p.handler.Clock,
		stream: stream, events: q.Target.Model != "", chunks: p.r.ProtoAtLeast(1, 1),
	}
	p.handler.Serve(p.r.Context(), c)
	return nil
}

type modelInfo struct {
	ID      core.ModelName `json:"id"`
	Object  string         `json:"object"`
	Created int64          `json:"created"`
	OwnedBy core.OwnerName `json:"owned_by"`
	Class   core.Class     `json:"radishwell-class"`
	Base    core.ModelName `json:"radishwell-base,omitempty"`
}

func infoOf(e *catlog.Entry) modelInfo {
	return modelInfo{ID: e.Target.Model, Object: "model", OwnedBy: e.Owner, Class: e.Class, Base: e.Target.Base}
}

func (p *inbound) listModels() *core.Refusal {
	if refusal := p.requireMethod(http.MethodGet); refusal != nil {
		return refusal
	}
	list := []modelInfo{}
	for e := range p.snapshot.Usable(p.caller.Account.Name) {
		list = append(list, infoOf(e))
	}
	p.writeDocument(map[string]any{"object": "list", "data": list})
	return nil
}

func (p *inbound) showModel(name core.ModelName) *core.Refusal {
	if refusal := p.requireMethod(http.MethodGet); refusal != nil {
		return refusal
	}
	e, ok := p.snapshot.Model(name)
	if !ok || !e.Allows(p.caller.Account.Name) {
		return core.Refuse(core.CodeUnknownModel, "no model "+string(name)+" is in force for this caller")
	}
	p.writeDocument(infoOf(e))
	return nil
}

func (p *inbound) writeDocument(v any) {
	h := p.w.Header()
	h.Set(headerType, "application/json")
	h.Set(HeaderOutcome, core.Done.String())
	h.Set(HeaderRequestID, string(p.id))
	// A write fails only if the caller has disconnected, so the error is ignored.
	_ = json.NewEncoder(p.w).Encode(v)
}
