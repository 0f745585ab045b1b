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
	"radishwell/io/relay"
	"radishwell/io/stale"
	"radishwell/wire"
)

// prepareStore sets up the replicas and the calls of other processes.
func (n *Node) prepareStore() error {
	if n.Platform == nil {
		if err := n.preparePlatform(); err != nil {
			return err
		}
	}
	n.Platform = &measured{Platform: n.Platform, meter: n.meter, clock: n.clock}
	n.client = &peer.Client{TLS: n.tlsToPeer(), Silent: n.silent, Called: n.meter.Peer}
	self := peer.Target{Host: n.Settings.Name, Address: n.Settings.Listen.Control}
	n.store = &peer.Store{
		Self: self, Kinds: storedKinds(), Confirm: n.confirmKinds(), Platform: n.Platform, Client: n.client, Clock: n.clock,
		Peers: n.peers, Seed: uint64(n.incarnation), Changed: n.world.apply, Marked: n.members.marked,
		Strikes: func() []*wire.Strike { return relay.StrikesOut(n.strikes()) },
		Struck:  n.struck, Failed: n.failed,
	}
	stale.Feed(n.meter, n.store)
	n.handler.Sync, n.handler.Fetch = n.store.Serve, n.store.ServeFetch
	n.addPart("store", n.store.Run)
	return nil
}

// preparePlatform makes clients of the platform's addresses.
func (n *Node) preparePlatform() error {
	conf, err := n.platformTLS()
	if err != nil {
		return err
	}
	tokens := &tokenFile{path: n.Settings.Platform.TokenFile, clock: n.clock}
	links := &chain{}
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
		links.links = append(links.links, c)
	}
	n.Platform = links
	return nil
}

// platformTLS checks the platform's certificates against the file of the
// settings.
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

// platformWrites and platformReads bound the calls a second of one process: a
// decider in a wave writes 60 grants and 80 groups of claims.
const (
	platformWrites = 150
	platformReads  = 200
)

// storedKinds are the kinds that every process keeps a replica of.
func storedKinds() []core.Kind {
	return append(core.CatalogueKinds(), core.KindHost, core.KindGrant, core.KindLease)
}

// confirmKinds are the kinds that this process reads from the platform itself,
// whatever its peers have. An agent loads nothing on a peer's word; a decider
// decides nothing on it.
func (n *Node) confirmKinds() []core.Kind {
	if n.Settings.Role == config.Agent {
		return []core.Kind{core.KindGrant, core.KindHost}
	}
	return nil
}

// peers lists the other processes: those the platform lists, and those of the
// settings, which are all that is known when the platform is down at the start.
func (n *Node) peers() []peer.Target {
	list := n.world.targets()
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

// tlsToPeer returns the configurations for calls of any own process.
func (n *Node) tlsToPeer() func(core.HostName) *tls.Config {
	if n.keeper == nil {
		return nil
	}
	return func(host core.HostName) *tls.Config {
		h, ok := n.world.host(host)
		switch {
		case !ok:
			return n.keeper.AnyClient(nil)
		case h.spec.Role == core.EntryHost:
			return n.tlsTo(certs.Entry, host)
		default:
			return n.tlsTo(certs.Agent, host)
		}
	}
}

// hosts lists the hosts that may serve a target, as membership sees them.
func (n *Node) hosts(t core.Target) []entry.Host { return n.members.judge(n.world.serving(t)) }

// find returns one host as membership sees it.
func (n *Node) find(name core.HostName) (entry.Host, bool) {
	h, ok := n.world.entryHost(name)
	if !ok {
		return h, false
	}
	return n.members.judge([]entry.Host{h})[0], true
}

// markAge is how long a leaving mark counts: the platform's list, which lags by
// less, has the host as leaving or gone by then.
const markAge = 5 * time.Minute

// leave tells peers that this process takes no new work.
func (n *Node) leave() { n.mark(peer.MarkLeaving, markAge) }

// startedAge is how long peers pass on that a process has started: longer than a
// mark takes to cross the fleet.
const startedAge = 30 * time.Second

// started tells peers that this process takes work now.
func (n *Node) started() { n.mark(markStarted, startedAge) }

func (n *Node) mark(kind string, age time.Duration) {
	n.store.Mark(peer.Mark{Host: n.Settings.Name, Kind: kind, Incarnation: n.incarnation, Expires: n.clock.Now().Add(age)})
}

const (
	// mostTold bounds the entries that are told of strikes one by one. Beyond it
	// the exchange between peers, which takes a second or two, has to do.
	mostTold = 32
	// tellTime bounds one such call. A request that was lost with its engine is
	// answered after it, so that its repeat meets entries that know.
	tellTime = 500 * time.Millisecond
)

// spread sends strikes to all entries at once, and to the others with the next
// exchange between peers.
func (n *Node) spread(list []strike.Record) {
	n.store.Kick()
	entries := n.world.entries()
	entries = entries[:min(len(entries), mostTold)]
	ended := make(chan struct{}, len(entries))
	for _, name := range entries {
		go func() {
			n.tell(name, list)
			ended <- struct{}{}
		}()
	}
	for range entries {
		<-ended
	}
}

// tell sends strikes to one host.
func (n *Node) tell(host core.HostName, list []strike.Record) {
	h, ok := n.world.host(host)
	if !ok {
		return
	}
	ctx, stop := context.WithTimeout(context.Background(), tellTime)
	defer stop()
	// A lost call is made up for by the exchange between peers.
	_, _ = n.client.Sync(ctx, peer.Target{Host: host, Address: h.spec.Control}, &wire.SyncCall{
		From: string(n.Settings.Name), Strikes: relay.StrikesOut(list),
	})
}

// struck takes peers' strikes and tells whether any was news.
func (n *Node) struck(list []*wire.Strike) bool { return n.mergeStrikes(relay.StrikesIn(list)) }

// failed logs calls of platform and peers that failed.
func (n *Node) failed(err error) {
	var platform *core.PlatformError
	if errors.As(err, &platform) {
		events.Fail(events.WatchRestarted, err, "kind", platform.Kind)
		return
	}
	stale.Failed(err)
}

// catalogueKnown tells that this process has the whole catalogue, the hosts
// and the grants, as the platform said to it or to a peer not long ago.
func (n *Node) catalogueKnown() bool {
	for _, k := range storedKinds() {
		if n.store.Status(k).Through == 0 {
			return false
		}
	}
	return true
}

// silent notes a control connection that was closed for its silence.
func (n *Node) silent(to peer.Target) {
	n.meter.SilentConnection()
	events.Log(events.ConnectionSilent, "host", to.Host, "address", to.Address)
}
