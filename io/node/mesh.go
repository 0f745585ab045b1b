package node

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"net/netip"
	"os"
	"time"

	"github.com/samber/oops"

	"radishwell/core"
	"radishwell/core/strike"
	"radishwell/io/certs"
	"radishwell/io/config"
	"radishwell/io/entry"
	"radishwell/io/events"
	"radishwell/io/objapi"
	"radishwell/io/peer"
	"radishwell/io/stale"
	"radishwell/wire"
)

// prepareStore sets up the replicas of the platform's objects and the client for
// calls to other processes.
func (n *Node) prepareStore() error {
	if n.Platform == nil {
		if err := n.preparePlatform(); err != nil {
			return err
		}
	}
	n.Platform = &meteredPlatform{Platform: n.Platform, meter: n.meter, clock: n.clock}
	n.client = &peer.Client{TLS: n.tlsToPeer(), OnSilent: n.recordSilence, OnCall: n.meter.Peer}
	self := peer.Target{Host: n.Settings.Name, Address: n.Settings.Listen.Control}
	n.store = &peer.Store{
		Self: self, Kinds: storedKinds(), Confirm: n.confirmKinds(), Platform: n.Platform, Client: n.client, Clock: n.clock,
		Peers: n.peers, Seed: uint64(n.incarnation), OnChange: n.fleet.apply, OnMarks: n.members.applyMarks,
		Strikes: peer.Gossip[*wire.Strike]{
			Next: func() []*wire.Strike { return peer.EncodeStrikes(n.strikes()) }, Join: n.receiveStrikes,
		},
		OnError: n.logFailure,
	}
	stale.Export(n.meter, n.store)
	n.handler.Sync, n.handler.Fetch = n.store.ServeSync, n.store.ServeFetch
	n.addComponent("store", n.store.Run)
	return nil
}

// preparePlatform makes the platform's clients from the settings, one per address.
func (n *Node) preparePlatform() error {
	conf, err := n.platformTLS()
	if err != nil {
		return err
	}
	tokens := &tokenFile{path: n.Settings.Platform.TokenFile, clock: n.clock}
	platforms := &failoverPlatform{}
	for _, at := range n.Settings.Platform.URLs {
		c := &objapi.Client{
			Address: at.Addr, Writes: objapi.Budget{PerSecond: platformWrites, Burst: platformWrites},
			Reads: objapi.Budget{PerSecond: platformReads, Burst: platformReads},
		}
		if at.TLS {
			c.TLS = conf
		}
		if tokens.path != "" {
			c.TokenSource = tokens.token
		}
		platforms.clients = append(platforms.clients, c)
	}
	n.Platform = platforms
	return nil
}

// platformTLS returns the TLS configuration that verifies the platform's certificates
// with the CA file of the settings, or nil if there is none.
func (n *Node) platformTLS() (*tls.Config, error) {
	file := n.Settings.Platform.CA
	if file == "" {
		return nil, nil
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, oops.In("node").Wrapf(err, "read the platform's certificates")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, &certs.FileError{File: file, Reason: "holds no certificate"}
	}
	return &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: pool}, nil
}

// platformWrites and platformReads bound the calls a second of one process. A decider
// under load writes 60 grants and 80 groups of claims a second.
const (
	platformWrites = 150
	platformReads  = 200
)

// storedKinds returns the kinds of which every process keeps a replica.
func storedKinds() []core.Kind {
	return append(core.CatalogueKinds(), core.KindHost, core.KindGrant, core.KindLease)
}

// confirmKinds returns the kinds that the store reads from the platform itself, even
// if peers have them. An agent loads nothing by a peer's copy of the grants. A decider
// doesn't rely on peers' copies either, but lists all kinds itself in listAll.
func (n *Node) confirmKinds() []core.Kind {
	if n.Settings.Role == config.Agent {
		return []core.Kind{core.KindGrant, core.KindHost}
	}
	return nil
}

// peers lists the other processes: those that the platform lists and those of the
// settings. The latter are the only ones known if the platform is down at the start.
func (n *Node) peers() []peer.Target {
	list := n.fleet.controlTargets()
	known := map[netip.AddrPort]bool{n.Settings.Listen.Control: true}
	for _, t := range list {
		known[t.Address] = true
	}
	for _, at := range n.Settings.Peers {
		if !known[at] {
			list = append(list, peer.Target{Address: at})
		}
	}
	return list
}

// tlsToPeer returns a function that makes the TLS configuration for calls to a
// process of the fleet, or nil without TLS.
func (n *Node) tlsToPeer() func(core.HostName) *tls.Config {
	if n.peerCerts == nil {
		return nil
	}
	return func(host core.HostName) *tls.Config {
		h, ok := n.fleet.host(host)
		switch {
		case !ok:
			return n.peerCerts.AnyClient(nil)
		case h.spec.Role == core.EntryHost:
			return n.tlsTo(certs.Entry, host)
		default:
			return n.tlsTo(certs.Agent, host)
		}
	}
}

// servingHosts lists the hosts that may serve a target, with their health.
func (n *Node) servingHosts(t core.Target) []entry.Host {
	return n.members.withHealth(n.fleet.serving(t))
}

// findHost returns one host with its health.
func (n *Node) findHost(name core.HostName) (entry.Host, bool) {
	h, ok := n.fleet.entryHost(name)
	if !ok {
		return h, false
	}
	return n.members.withHealth([]entry.Host{h})[0], true
}

// leavingMarkLifetime is how long a leaving mark counts. The platform's list lags by
// less and shows the host as leaving or gone by then.
const leavingMarkLifetime = 5 * time.Minute

// markLeaving notifies peers that this process accepts no new requests.
func (n *Node) markLeaving() { n.mark(peer.MarkLeaving, leavingMarkLifetime) }

// startedMarkLifetime is how long peers pass on that a process has started. It is
// longer than a mark takes to reach the whole fleet.
const startedMarkLifetime = 30 * time.Second

// markReady notifies peers that this process accepts requests.
func (n *Node) markReady() { n.mark(markStarted, startedMarkLifetime) }

func (n *Node) mark(kind string, age time.Duration) {
	n.store.Mark(peer.Mark{Host: n.Settings.Name, Kind: kind, Incarnation: n.incarnation, Expires: n.clock.Now().Add(age)})
}

const (
	// maxStrikeCalls bounds the entries that strikes are sent to directly. Others
	// get them by the exchange between peers, which takes a second or two.
	maxStrikeCalls = 32
	// strikeTimeout bounds one such call. A request that was lost in a crash of its
	// engine is answered only after these calls, so that entries know of the
	// strike when the caller repeats the request.
	strikeTimeout = 500 * time.Millisecond
)

// broadcastStrikes sends strikes to up to maxStrikeCalls entries and waits for the
// calls to end. Other processes get the strikes by the next exchange between peers.
func (n *Node) broadcastStrikes(list []strike.Record) {
	n.store.SyncNow()
	entries := n.fleet.entries()
	entries = entries[:min(len(entries), maxStrikeCalls)]
	ended := make(chan struct{}, len(entries))
	for _, name := range entries {
		go func() {
			n.sendStrikes(name, list)
			ended <- struct{}{}
		}()
	}
	for range entries {
		<-ended
	}
}

// sendStrikes sends strikes to one host.
func (n *Node) sendStrikes(host core.HostName, list []strike.Record) {
	h, ok := n.fleet.host(host)
	if !ok {
		return
	}
	ctx, stop := context.WithTimeout(context.Background(), strikeTimeout)
	defer stop()
	// If the call fails, the exchange between peers delivers the strikes.
	_, _ = n.client.Sync(ctx, peer.Target{Host: host, Address: h.spec.Control}, &wire.SyncCall{
		From: string(n.Settings.Name), Strikes: peer.EncodeStrikes(list),
	})
}

// receiveStrikes merges strikes from peers and reports whether any was new.
func (n *Node) receiveStrikes(list []*wire.Strike) bool {
	return n.mergeStrikes(peer.DecodeStrikes(list))
}

// logFailure logs a failed call to the platform or a peer.
func (n *Node) logFailure(err error) {
	var platform *core.PlatformError
	if errors.As(err, &platform) {
		events.Fail(events.WatchRestarted, err, "kind", platform.Kind)
		return
	}
	stale.LogFailure(err)
}

// replicasFilled reports whether this process has replicas of the whole catalogue,
// the hosts, the grants and the lease, from the platform or from a peer.
func (n *Node) replicasFilled() bool {
	for _, k := range storedKinds() {
		if n.store.Status(k).Through == 0 {
			return false
		}
	}
	return true
}

// recordSilence counts and logs a control connection that was closed because it had
// gone silent.
func (n *Node) recordSilence(to peer.Target) {
	n.meter.SilentConnection()
	events.Log(events.ConnectionSilent, "host", to.Host, "address", to.Address)
}
