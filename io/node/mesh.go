package node

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/samber/oops"

	"radishwell/core"
	"radishwell/core/strike"
	"radishwell/io/certs"
	"radishwell/io/entry"
	"radishwell/io/objapi"
	"radishwell/io/peer"
)

// prepareStore sets up the replicas and the calls of other processes.
func (n *Node) prepareStore() error {
	if n.Platform == nil {
		if err := n.preparePlatform(); err != nil {
			return err
		}
	}
	n.client = &peer.Client{TLS: n.tlsToPeer()}
	n.store = newStore(n.Platform, func(list []core.Object) { n.world.apply(list) })
	n.addPart("store", n.store.run)
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

// tlsToPeer returns the configurations for calls of any own process.
func (n *Node) tlsToPeer() func(core.HostName) *tls.Config {
	if n.keeper == nil {
		return nil
	}
	return func(host core.HostName) *tls.Config {
		role := certs.Agent
		if h, ok := n.world.host(host); ok && h.spec.Role == core.EntryHost {
			role = certs.Entry
		}
		return n.tlsTo(role, host)
	}
}

// hosts lists the hosts that may serve a target, as membership sees them.
func (n *Node) hosts(t core.Target) []entry.Host { return n.world.serving(t) }

// noted tells membership how contact with a host went.
func (n *Node) noted(core.HostName, bool, core.Incarnation, bool) {}

// spread sends strikes to peers at once.
func (n *Node) spread([]strike.Record) {}

// catalogueConfirmed tells that this process knows the whole catalogue, the
// hosts and the grants from the platform itself.
func (n *Node) catalogueConfirmed() bool {
	for _, k := range storedKinds {
		if !n.store.Confirmed(k) {
			return false
		}
	}
	return true
}
