package config

import (
	"net/netip"
	"time"

	"radishwell/core"
)

// Settings are the settings of one process.
type Settings struct {
	Role       Role            `yaml:"role" required:"true" doc:"What the process does: an entry takes callers' requests, an agent runs beside an upstream."`
	Name       core.HostName   `yaml:"name" name:"true" required:"true" doc:"Name of the host, as in the platform's list of hosts."`
	DataCentre core.DataCentre `yaml:"data-centre" name:"true" required:"true" doc:"Name of the data centre of the host."`
	Region     core.Region     `yaml:"region" name:"true" doc:"Name of the region of the data centre."`
	Listen     Listen          `yaml:"listen"`
	// Peers are control addresses to try if the platform cannot be reached at the start.
	Peers     []netip.AddrPort `yaml:"peers" doc:"Control addresses of a few other processes, which are asked for the catalogue if the platform is down at the start. They may include the process's own."`
	Platform  Platform         `yaml:"platform"`
	Engine    Engine           `yaml:"engine"`
	TLS       TLS              `yaml:"tls"`
	Telemetry Telemetry        `yaml:"telemetry"`
	Store     Store            `yaml:"weight-store"`
	Warm      Warm             `yaml:"keep-warm"`
	Limits    Limits           `yaml:"limits"`
	Managed   Managed          `yaml:"managed"`
}

// Managed holds the settings for a managed platform: one that lists and runs the
// upstream hosts, keeps the routing table in its store, and sets bounds on the
// resources of a process, on retries and on the use of allowances.
type Managed struct {
	Enabled bool `yaml:"enabled" default:"false" doc:"Whether the process runs on a managed platform: routing table and registry of hosts in the platform's store, one agent beside each model engine."`
	// PlainPeers permits hosts without TLS files, since hosts of a managed platform have
	// no disk to store them.
	PlainPeers bool           `yaml:"plain-peers" default:"false" doc:"Whether own processes may communicate without TLS beyond the loopback. Only for networks that callers cannot reach."`
	Readiness  netip.AddrPort `yaml:"readiness" doc:"Address at which the platform checks whether the entry accepts new connections. Entry only."`
	AgentPort  int            `yaml:"agent-port" default:"7380" min:"1" max:"65535" doc:"Control port of the agents, the same on all hosts. Entry only."`
	Upstream   netip.AddrPort `yaml:"upstream" doc:"Address of the upstream beside the agent. Agent only."`
	Cores      int            `yaml:"cores" default:"1" min:"1" max:"1024" doc:"Number of processors that the process may use."`
	Share      float64        `yaml:"share" default:"1" min:"0.001" max:"1" doc:"Fraction of each of these processors that the process may use. Entries with a larger share are preferred for tasks that one entry does for others."`
	// EnginePace is set if entries choose hosts by the measured paces of engines, CachedParts if
	// they choose by what engines report to keep, and HoldForRoom if requests wait at entries
	// until hosts have room beside more urgent ones.
	EnginePace  bool `yaml:"engine-pace" default:"true" doc:"Whether entries choose hosts by the paces and the free prompt memory of engines that agents measure: prompts are kept away from hosts at which streams would pause for longer than callers accept. Read again on SIGHUP. Entry only."`
	CachedParts bool `yaml:"cached-parts" default:"true" doc:"Whether entries choose hosts by which parts of prompts the engines report to keep. Otherwise they go by their own requests of the last minute. Read again on SIGHUP. Entry only."`
	HoldForRoom bool `yaml:"hold-for-room" default:"true" doc:"Whether requests wait at the entry, in the order of their urgency and fair by customer, until a host has room for them beside more urgent ones. Otherwise they are sent or refused on arrival. Read again on SIGHUP. Entry only."`
	// BufferShare is the fraction of Memory for what an entry holds for callers and upstreams.
	BufferShare float64 `yaml:"buffer-share" default:"0.3" min:"0.02" max:"0.9" doc:"Fraction of managed.memory for what the entry holds for callers and upstreams: bodies, answers and events. As it fills, answers are passed on as they arrive, then new requests are refused, then callers that take nothing are ended. Entry only."`
	// DirectAgents is the number of agents up to which a fleet counts as small. An entry
	// follows an agent if it polls the agent itself.
	DirectAgents int           `yaml:"direct-agents" default:"64" min:"0" max:"100000" doc:"Number of agents up to which each entry follows all of them. In a larger fleet, one entry of each data centre follows the agents there and reports to the others. Entry only."`
	Memory       core.Bytes    `yaml:"memory" default:"256MiB" min:"32MiB" max:"1TiB" doc:"Memory limit, above which the platform ends the process."`
	StopGrace    time.Duration `yaml:"stop-grace" default:"8s" min:"1s" max:"24h" doc:"Time from the stop signal until the platform ends the process."`
	// ApplyTime is that of changes that the platform has acknowledged.
	ApplyTime   time.Duration `yaml:"apply-time" default:"2s" min:"1s" max:"1h" doc:"Time within which a change of the routing table has to be in force at all entries. An entry whose table was last confirmed longer ago calls no path or key unknown. Entry only."`
	RetryRatio  float64       `yaml:"retry-ratio" default:"0.2" min:"0" max:"10" doc:"Number of retries that the platform allows per request to a service, over all entries."`
	RetrySpare  float64       `yaml:"retry-spare" default:"56" min:"0" max:"1000000" doc:"Number of additional retries that the platform allows, over all entries."`
	RetrySpan   time.Duration `yaml:"retry-span" default:"10s" min:"1s" max:"1h" doc:"Time window in which the platform counts retries."`
	QuotaWindow time.Duration `yaml:"quota-window" default:"8s" min:"1s" max:"1h" doc:"Time window in which the platform counts customers' use of their allowances."`
	QuotaRatio  float64       `yaml:"quota-ratio" default:"0.1" min:"0" max:"10" doc:"Fraction of the allowance in that window by which customers may exceed it, over all entries."`
	QuotaSlack  float64       `yaml:"quota-slack" default:"0" min:"0" max:"1000000000" doc:"Number of additional units by which customers may exceed their allowance."`
}

// Listen holds the addresses on which a process accepts connections.
type Listen struct {
	Callers   netip.AddrPort `yaml:"callers" doc:"Address for callers' HTTP requests. Entry only, required there."`
	Work      netip.AddrPort `yaml:"work" doc:"Address to which entries forward requests (HTTP/2). Agent only, required there."`
	Control   netip.AddrPort `yaml:"control" required:"true" doc:"Address for calls from other processes (net/rpc)."`
	Operators netip.AddrPort `yaml:"operators" required:"true" doc:"Address at which operators find metrics, health and explanations. It has no authentication: keep it unreachable for callers."`
}

// Platform holds the settings for access to the platform's object API.
type Platform struct {
	URLs      []Origin `yaml:"urls" required:"true" doc:"Base addresses of the object API by IP number, as in https://10.1.0.5:6443. They are tried in turn."`
	TokenFile string   `yaml:"token-file" doc:"File with the bearer token for the object API. It is read again when it changes."`
	CA        string   `yaml:"ca" doc:"File with the authority certificates for verifying the object API's certificate. Required with https."`
}

// Engine describes the upstream on the same host as an agent.
type Engine struct {
	Address Origin           `yaml:"address" doc:"Base address of the upstream, as in http://127.0.0.1:9000. Agent only, required there."`
	Type    core.ServiceType `yaml:"type" default:"engine" doc:"Either engine, which loads models when ordered to, or plain, a service without models. Agent only."`
	Service core.ServiceName `yaml:"service" name:"true" doc:"Name of the service in the catalogue to which the upstream belongs. Agent only, required there."`
}

// TLS names the files for mutual TLS between own processes. Relative paths are resolved
// against the directory of the settings file. Files are read again when they change.
type TLS struct {
	CA      string    `yaml:"ca" doc:"File with the authority certificates for verifying other processes' certificates. Required, with cert and key, unless listen.work, listen.control and all peers are on the loopback."`
	Cert    string    `yaml:"cert" doc:"File with the certificate of the process, which contains its role and host name."`
	Key     string    `yaml:"key" doc:"File with the private key of cert."`
	Callers CallerTLS `yaml:"callers"`
}

// CallerTLS names the files with which an entry serves callers over TLS.
type CallerTLS struct {
	Cert string `yaml:"cert" doc:"File with the certificate for callers. Without it, callers are served over plain HTTP. Entry only."`
	Key  string `yaml:"key" doc:"File with the private key of tls.callers.cert. Entry only."`
}

// Telemetry holds the settings for logs and traces.
type Telemetry struct {
	OTLP        Origin  `yaml:"otlp" doc:"Base address of an OTLP/HTTP collector. Without it, no traces are exported."`
	SampleRatio float64 `yaml:"sample-ratio" default:"1" min:"0" max:"1" doc:"Fraction of requests that are traced if the caller does not decide it."`
	Verbosity   int     `yaml:"verbosity" default:"0" min:"0" max:"10" doc:"Log verbosity. Events of a higher level are not logged."`
}

// Store holds the limits of the weight store, which the whole fleet shares. They must be
// the same in all processes.
type Store struct {
	Starts   float64 `yaml:"starts" default:"4" min:"0.01" max:"10000" doc:"Number of model loads that the weight store can start per second."`
	Parallel int     `yaml:"parallel" default:"4" min:"1" max:"10000" doc:"Number of concurrent model transfers that the weight store is assumed to serve at full speed. On a managed platform, entries determine the number themselves and start with this value."`
	Adapters int     `yaml:"adapters" default:"30" min:"1" max:"100000" doc:"Number of concurrent adapter transfers up to which each runs at full speed."`
}

// Warm holds the settings that weigh the cost of idle models against cold starts.
type Warm struct {
	Worth float64 `yaml:"worth" default:"1" min:"0" max:"1000" doc:"Cost of one second that a caller waits for a cold start, as a multiple of the weight of the request's class. A larger value keeps idle models loaded for longer and loads more models ahead of need. Agent only."`
}

// Limits holds the limits of one process. Limits of owners, models and services are in
// the catalogue.
type Limits struct {
	MaxBody core.Bytes `yaml:"max-body" default:"8MiB" min:"1KiB" max:"1GiB" doc:"Maximum size of a request's body. Entry only."`
	// Deadlines apply to requests without a deadline of their own.
	Deadlines   Deadlines     `yaml:"deadlines"`
	StopGrace   time.Duration `yaml:"stop-grace" default:"24h" min:"1s" max:"24h" doc:"Maximum wait for requests in progress at a planned stop. A value below the longest deadline can abort requests."`
	KeptAnswers core.Bytes    `yaml:"kept-answers" default:"64MiB" min:"1MiB" max:"64GiB" doc:"Memory for answers that are kept in case a request is repeated with the same idempotency key. Agent only."`
	KeyAge      time.Duration `yaml:"key-age" default:"24h" min:"1m" max:"168h" doc:"Time for which an idempotency key is remembered. It must be the same in the whole fleet."`
}

// Deadlines holds the default deadline of each class, relative to a request's arrival.
type Deadlines struct {
	Interactive time.Duration `yaml:"interactive" default:"30s" min:"100ms" max:"24h" doc:"Time for an interactive request without a deadline. Entry only."`
	Evening     time.Duration `yaml:"evening" default:"2m" min:"100ms" max:"24h" doc:"Time for an evening request without a deadline. Entry only."`
	Overnight   time.Duration `yaml:"overnight" default:"8h" min:"100ms" max:"24h" doc:"Time for an overnight request without a deadline. Entry only."`
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
