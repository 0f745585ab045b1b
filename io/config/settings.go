package config

import (
	"net/netip"
	"time"

	"radishwell/core"
)

// Settings are the settings of one process.
type Settings struct {
	Role       Role            `yaml:"role" required:"true" doc:"What the process does: entry takes callers' requests, agent runs beside an upstream."`
	Name       core.HostName   `yaml:"name" required:"true" doc:"Name of the host, as in the platform's list of hosts."`
	DataCentre core.DataCentre `yaml:"data-centre" required:"true" doc:"Name of the data centre the host stands in."`
	Region     core.Region     `yaml:"region" doc:"Name of the region the data centre belongs to."`
	Listen     Listen          `yaml:"listen"`
	// Peers are control addresses to try before the platform has been reached.
	Peers     []netip.AddrPort `yaml:"peers" doc:"Control addresses of a few other processes, asked for the catalogue when the platform is down at the start. The process's own may be among them."`
	Platform  Platform         `yaml:"platform"`
	Engine    Engine           `yaml:"engine"`
	TLS       TLS              `yaml:"tls"`
	Telemetry Telemetry        `yaml:"telemetry"`
	Store     Store            `yaml:"weight-store"`
	Warm      Warm             `yaml:"keep-warm"`
	Limits    Limits           `yaml:"limits"`
	Managed   Managed          `yaml:"managed"`
}

// Managed holds what only a managed platform has: one that lists and runs the
// upstream hosts, holds the routing table in its store, and sets bounds.
type Managed struct {
	Enabled bool `yaml:"enabled" default:"false" doc:"Whether the process runs on a managed platform: routing table and registry of hosts in the platform's store, one agent beside each model engine."`
	// PlainPeers stands for TLS files, which such hosts have no disk for.
	PlainPeers bool           `yaml:"plain-peers" default:"false" doc:"Whether own processes may talk without TLS off the loopback. Only for networks that callers cannot reach."`
	Readiness  netip.AddrPort `yaml:"readiness" doc:"Where the platform asks whether the entry takes new connections. Entry only."`
	AgentPort  int            `yaml:"agent-port" default:"7380" min:"1" max:"65535" doc:"Control port of the agents, the same on all hosts. Entry only."`
	Upstream   netip.AddrPort `yaml:"upstream" doc:"Address of the upstream beside the agent. Agent only."`
	Cores      int            `yaml:"cores" default:"1" min:"1" max:"1024" doc:"Processors that the process may use."`
	Share      float64        `yaml:"share" default:"1" min:"0.001" max:"1" doc:"Part of each of these processors that the process may use. Entries with more are chosen first for work that one does for others."`
	// DirectAgents is where a small fleet ends.
	DirectAgents int           `yaml:"direct-agents" default:"64" min:"0" max:"100000" doc:"Number of agents up to which each entry follows all of them itself. Beyond it one entry of each data centre follows those there and tells the others. Entry only."`
	Memory       core.Bytes    `yaml:"memory" default:"256MiB" min:"32MiB" max:"1TiB" doc:"Memory above which the platform ends the process."`
	StopGrace    time.Duration `yaml:"stop-grace" default:"8s" min:"1s" max:"24h" doc:"Time from the signal to stop until the platform ends the process."`
	RetryRatio   float64       `yaml:"retry-ratio" default:"0.2" min:"0" max:"10" doc:"Retries that the platform allows for each request to a service, over all entries."`
	RetrySpare   float64       `yaml:"retry-spare" default:"56" min:"0" max:"1000000" doc:"Retries that it allows besides, over all entries."`
	RetrySpan    time.Duration `yaml:"retry-span" default:"10s" min:"1s" max:"1h" doc:"Time over which it counts them."`
	QuotaWindow  time.Duration `yaml:"quota-window" default:"8s" min:"1s" max:"1h" doc:"Time over which the platform counts what customers use of their allowances."`
	QuotaRatio   float64       `yaml:"quota-ratio" default:"0.1" min:"0" max:"10" doc:"Part of the allowance of that time by which it lets customers exceed it, over all entries."`
	QuotaSlack   float64       `yaml:"quota-slack" default:"0" min:"0" max:"1000000000" doc:"Units by which it lets customers exceed their allowance besides."`
}

// Listen holds the addresses that a process takes connections on.
type Listen struct {
	Callers   netip.AddrPort `yaml:"callers" doc:"Where callers' HTTP requests are taken. Entry only, needed there."`
	Work      netip.AddrPort `yaml:"work" doc:"Where entries hand requests over (HTTP/2). Agent only, needed there."`
	Control   netip.AddrPort `yaml:"control" required:"true" doc:"Where calls of other processes are taken (net/rpc)."`
	Operators netip.AddrPort `yaml:"operators" required:"true" doc:"Where operators find metrics, health and explanations. It has no authentication of its own: keep it off callers' networks."`
}

// Platform tells how to reach the platform's object API.
type Platform struct {
	URLs      []Origin `yaml:"urls" required:"true" doc:"Base addresses of the object API by IP number, as in https://10.1.0.5:6443; tried in turn."`
	TokenFile string   `yaml:"token-file" doc:"File with the bearer token for the object API; read again when it changes."`
	CA        string   `yaml:"ca" doc:"File with the certificates that the object API's own is checked against. Needed with https."`
}

// Engine tells an agent which upstream it stands beside.
type Engine struct {
	Address Origin           `yaml:"address" doc:"Base address of the upstream, as in http://127.0.0.1:9000. Agent only, needed there."`
	Type    core.ServiceType `yaml:"type" default:"engine" doc:"Either engine, which loads models by order, or plain, a service without them. Agent only."`
	Service core.ServiceName `yaml:"service" doc:"Name of the service in the catalogue that the upstream belongs to. Agent only, needed there."`
}

// TLS names the files for TLS. Paths that are not absolute start at the
// directory of the settings file. Files are read again when they change.
type TLS struct {
	CA      string    `yaml:"ca" doc:"File with the certificates that other processes' are checked against. Needed, with cert and key, unless listen.work, listen.control and all peers are on the loopback."`
	Cert    string    `yaml:"cert" doc:"File with the process's own certificate, which carries its role and host name."`
	Key     string    `yaml:"key" doc:"File with the key of cert."`
	Callers CallerTLS `yaml:"callers"`
}

// CallerTLS names the files with which an entry serves callers over TLS.
type CallerTLS struct {
	Cert string `yaml:"cert" doc:"File with the certificate shown to callers; without it callers are served in plain HTTP. Entry only."`
	Key  string `yaml:"key" doc:"File with the key of tls.callers.cert. Entry only."`
}

// Telemetry tells what a process says of itself.
type Telemetry struct {
	OTLP        Origin  `yaml:"otlp" doc:"Base address of an OTLP/HTTP collector; without it no traces are made."`
	SampleRatio float64 `yaml:"sample-ratio" default:"1" min:"0" max:"1" doc:"Share of requests that are traced, where the caller does not say."`
	Verbosity   int     `yaml:"verbosity" default:"0" min:"0" max:"10" doc:"Log verbosity; events of a higher level are left out."`
}

// Store holds the weight store's limits, which the whole fleet shares. They have
// to be the same in all processes.
type Store struct {
	Starts   float64 `yaml:"starts" default:"4" min:"0.01" max:"10000" doc:"Loads of models that the weight store starts a second."`
	Parallel int     `yaml:"parallel" default:"4" min:"1" max:"10000" doc:"Transfers of models that the weight store is taken to move at once at full speed. On a managed platform entries find out by themselves and begin with this."`
	Adapters int     `yaml:"adapters" default:"30" min:"1" max:"100000" doc:"Transfers of adapters in flight up to which each is at full speed."`
}

// Warm says how idle models are weighed against cold starts.
type Warm struct {
	Worth float64 `yaml:"worth" default:"1" min:"0" max:"1000" doc:"What a caller's second of waiting for a cold start is worth, as a multiple of the class's own weight. A larger value keeps idle models loaded for longer and loads more of them ahead of need. Agent only."`
}

// Limits bound what one process takes on. Limits of owners, models and services
// are in the catalogue.
type Limits struct {
	MaxBody core.Bytes `yaml:"max-body" default:"8MiB" min:"1KiB" max:"1GiB" doc:"Largest body of a request. Entry only."`
	// Deadlines apply to requests that come without one.
	Deadlines   Deadlines     `yaml:"deadlines"`
	StopGrace   time.Duration `yaml:"stop-grace" default:"24h" min:"1s" max:"24h" doc:"Longest wait for requests in progress at a planned stop. A value below the longest deadline can cut requests."`
	KeptAnswers core.Bytes    `yaml:"kept-answers" default:"64MiB" min:"1MiB" max:"64GiB" doc:"Memory for answers that are kept for repeats under the same idempotency key. Agent only."`
	KeyAge      time.Duration `yaml:"key-age" default:"24h" min:"1m" max:"168h" doc:"How long an idempotency key is remembered. Has to be the same in the whole fleet."`
}

// Deadlines are the default deadlines of each class, from a request's arrival.
type Deadlines struct {
	Interactive time.Duration `yaml:"interactive" default:"30s" min:"100ms" max:"24h" doc:"Time for an interactive request that comes without a deadline. Entry only."`
	Evening     time.Duration `yaml:"evening" default:"2m" min:"100ms" max:"24h" doc:"The same for an evening request. Entry only."`
	Overnight   time.Duration `yaml:"overnight" default:"8h" min:"100ms" max:"24h" doc:"The same for an overnight request. Entry only."`
}

// At returns the default deadline of a request that arrived at a time.
func (d Deadlines) At(c core.Class, arrived time.Time) time.Time {
	switch c {
	case core.Interactive:
		return arrived.Add(d.Interactive)
	case core.Evening:
		return arrived.Add(d.Evening)
	default:
		return arrived.Add(d.Overnight)
	}
}
