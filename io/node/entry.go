package node

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"radishwell/core"
	"radishwell/core/admit"
	"radishwell/core/catlog"
	"radishwell/io/certs"
	"radishwell/io/entry"
	"radishwell/io/events"
	"radishwell/io/front"
	"radishwell/io/httpd"
	"radishwell/io/loop"
	"radishwell/io/peer"
	"radishwell/wire"
)

// demandInterval is the time between two reports of an entry's demand.
const demandInterval = 2 * time.Second

// buildEntry builds the entry role.
func (n *Node) buildEntry(context.Context) error {
	s := n.Settings
	d := newDecider(s.Name, n.incarnation, n.clock, n.Platform, n.fleet)
	n.meter.Decider(d.isDeciding)
	n.fleet.onReports = func(list []catlog.Report) {
		n.logCatalogue(list)
		d.applyCatalogue(list, n.fleet.snapshot())
	}
	journals := &entry.Journals{Self: s.Name, Clock: n.clock, Platform: n.Platform, Known: n.replicasFilled, Entries: n.entryNames, Ask: n.askClaim}
	journals.Init()
	e := &entry.Entry{
		Name: s.Name, DataCentre: s.DataCentre, Clock: n.clock, Meter: n.meter, Tracer: n.tracer,
		Rand: rand.New(rand.NewPCG(n.rand.Uint64(), n.rand.Uint64())), Snapshot: n.fleet.snapshot,
		Hosts: n.servingHosts, Find: n.findHost, Share: n.limitShare, OnContact: n.members.recordContact,
		Probe: n.probe, Seal: n.seal, Claim: journals.Claim, KeyAge: s.Limits.KeyAge,
		Relay: &entry.Relay{TLS: n.tlsToAgent()}, BroadcastStrikes: n.broadcastStrikes, SendStrikes: n.sendStrikes,
	}
	e.Init()
	deleted := make(chan core.Object, maxDeletedHosts)
	n.fleet.onObject = func(o core.Object) {
		d.observe(o)
		if o.Kind == core.KindHost && o.Deleted {
			// The entry's mutex must not be locked here, since its holder may be
			// waiting for the mutex of fleetView. Hosts that don't fit into the
			// channel stay in the entry's tables, which costs some memory.
			select {
			case deleted <- o:
			default:
			}
		}
	}
	n.addComponent("forget", func(ctx context.Context) error { return forgetHosts(ctx, e, deleted) })
	n.handler.Claim = func(c *wire.ClaimCall) (*wire.ClaimReply, error) {
		return journals.Serve(context.Background(), c), nil
	}
	slots := &slotServer{limits: s.Store, clock: n.clock}
	d.onChange = slots.setDeciding
	n.handler.Slot = func(c *wire.SlotCall) (*wire.SlotReply, error) { return slots.serve(c), nil }
	n.handler.Demand = func(c *wire.DemandCall) (*wire.Empty, error) {
		d.recordDemand(c)
		return &wire.Empty{}, nil
	}
	n.strikes, n.mergeStrikes = e.Strikes, e.MergeStrikes
	n.addComponent("entry", e.Run)
	n.addComponent("journals", journals.Run)
	n.addComponent("members", n.probeSuspects)
	n.addComponent("decider", func(ctx context.Context) error {
		return d.run(ctx, n.replicasFilled, func() bool { return n.store.Confirmed(core.KindGrant) })
	})
	n.addComponent("demand", func(ctx context.Context) error { return n.reportDemand(ctx, e, d) })
	n.addServer(n.callersServer(e))
	n.role = role{
		ready: func() bool { return n.fleet.snapshot().Revision() > 0 },
		drain: func(ctx context.Context) {
			loop.Sleep(ctx, drainDelay)
			waitIdle(ctx, e.Idle)
		},
		explain: func(subject, name string) []string { return n.explainEntry(e, d, subject, name) },
		routes:  quarantineRoutes(e),
	}
	return nil
}

// maxDeletedHosts bounds the deleted hosts that wait for forgetHosts. It suffices for
// the loss of a data centre.
const maxDeletedHosts = 1024

// forgetHosts removes hosts that the platform no longer lists from the entry's
// tables, until ctx ends.
func forgetHosts(ctx context.Context, e *entry.Entry, gone <-chan core.Object) error {
	for {
		select {
		case o := <-gone:
			var spec core.HostSpec
			// The last specification names the service. Without it, Forget removes
			// only the host's load.
			_ = json.Unmarshal(o.Spec, &spec)
			e.Forget(spec.Service, core.HostName(o.Name))
		case <-ctx.Done():
			return nil
		}
	}
}

// callersServer returns the server of the callers' interface.
func (n *Node) callersServer(e *entry.Entry) *httpd.Server {
	f := &front.Handler{
		Clock: n.clock, Serve: e.Serve, MaxBody: n.Settings.Limits.MaxBody, Deadline: n.Settings.Limits.Deadlines.At,
		Snapshot: func() *catlog.Snapshot {
			if !n.role.ready() {
				return nil
			}
			return n.fleet.snapshot()
		},
		Refused: func(id core.RequestID, r *core.Refusal) {
			n.meter.Request(core.Interactive, r, n.clock.Now(), time.Time{}, n.clock.Now(), false)
			events.Log(events.RequestRefused, "request", id, "code", r.Code, "reason", r.Reason)
		},
		NewID: newIDs(n.Settings.Name, n.incarnation),
	}
	out := &httpd.Server{Address: n.Settings.Listen.Callers, Handler: n.closeWhenLeaving(f)}
	if n.callers != nil {
		out.TLS = n.callers.Callers([]string{"h2", "http/1.1"})
	}
	return out
}

// closeWhenLeaving closes callers' connections after their answer while the process
// is leaving, so that their next request goes to another entry.
func (n *Node) closeWhenLeaving(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if n.state.isLeaving() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// newIDs returns a generator of request ids. An id consists of the host, its
// incarnation and a counter, so that it is unique in the fleet.
func newIDs(host core.HostName, incarnation core.Incarnation) func() core.RequestID {
	var count atomic.Uint64
	prefix := string(host) + "-" + strconv.FormatUint(uint64(incarnation), 36) + "-"
	return func() core.RequestID {
		return core.RequestID(prefix + strconv.FormatUint(count.Add(1), 36))
	}
}

// tlsToAgent returns a function that makes the TLS configuration for requests to an
// agent, or nil without TLS.
func (n *Node) tlsToAgent() func(core.HostName) *tls.Config {
	if n.peerCerts == nil {
		return nil
	}
	return func(host core.HostName) *tls.Config { return n.tlsTo(certs.Agent, host, "h2") }
}

// entryNames lists the live entries, including this one, sorted by name.
func (n *Node) entryNames() []core.HostName {
	list := n.fleet.entries()
	if !slices.Contains(list, n.Settings.Name) {
		list = append(list, n.Settings.Name)
		slices.Sort(list)
	}
	return list
}

// limitShare returns this entry's share of the limits of owners and models.
func (n *Node) limitShare() admit.Share {
	list := n.entryNames()
	return admit.Share{Entries: len(list), Rank: slices.Index(list, n.Settings.Name)}
}

func (n *Node) askClaim(ctx context.Context, host core.HostName, c *wire.ClaimCall) (*wire.ClaimReply, error) {
	h, ok := n.fleet.host(host)
	if !ok {
		return nil, &UnknownHostError{Host: host}
	}
	return n.client.Claim(ctx, peer.Target{Host: host, Address: h.spec.Control}, c)
}

// UnknownHostError reports a host that the platform does not list.
type UnknownHostError struct{ Host core.HostName }

// Error implements error.
func (e *UnknownHostError) Error() string { return "the platform lists no host " + string(e.Host) }

func (n *Node) probe(ctx context.Context, h entry.Host, names []core.ModelName) (*wire.HostLoad, error) {
	call := &wire.ProbeCall{}
	for _, name := range names {
		call.Names = append(call.Names, string(name))
	}
	return n.client.Probe(ctx, peer.Target{Host: h.Name, Address: h.Control}, call)
}

func (n *Node) seal(ctx context.Context, h entry.Host, c *wire.SealCall) (*wire.SealReply, error) {
	return n.client.Seal(ctx, peer.Target{Host: h.Name, Address: h.Control}, c)
}

// reportDemand reports this entry's demand by model to the decider at an interval,
// until ctx ends.
func (n *Node) reportDemand(ctx context.Context, e *entry.Entry, d *decider) error {
	tick := time.NewTicker(demandInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return nil
		}
		call := &wire.DemandCall{Entry: string(n.Settings.Name), Demands: e.Demand()}
		holder := d.holder()
		if holder == n.Settings.Name || holder == "" {
			d.recordDemand(call)
			continue
		}
		h, ok := n.fleet.host(holder)
		if !ok || len(call.GetDemands()) == 0 {
			continue
		}
		to, stop := context.WithTimeout(ctx, demandInterval)
		// The next report replaces a lost one.
		_, _ = n.client.Demand(to, peer.Target{Host: holder, Address: h.spec.Control}, call)
		stop()
	}
}

// quarantineRoutes returns the paths on which operators list and clear the strikes
// against requests.
func quarantineRoutes(e *entry.Entry) map[string]operatorRoute {
	return map[string]operatorRoute{
		"GET /quarantine": func(w http.ResponseWriter, _ *http.Request) {
			type row struct {
				Fingerprint string `json:"fingerprint"`
				Standing    string `json:"standing"`
				Engines     uint32 `json:"engines-lost"`
				Alone       uint32 `json:"alone"`
				Expires     string `json:"expires"`
			}
			rows := []row{}
			for _, f := range e.Quarantined() {
				rows = append(rows, row{
					strconv.FormatUint(uint64(f.Fingerprint), 16), f.Standing.String(), f.Count, f.Alone,
					f.Expires.UTC().Format(time.RFC3339),
				})
			}
			writeJSON(w, rows)
		},
		"DELETE /quarantine/{fingerprint}": func(w http.ResponseWriter, r *http.Request) {
			f, ok := core.ParseFingerprint(r.PathValue("fingerprint"))
			if !ok {
				writeText(w, http.StatusBadRequest, "a fingerprint is hexadecimal, as GET /quarantine shows it")
				return
			}
			e.ClearStrikes(f)
			writeText(w, http.StatusOK, "cleared")
		},
	}
}
