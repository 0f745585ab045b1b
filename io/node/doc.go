// Package node assembles and runs one process of the fleet, an entry or an agent.
//
// A Node takes the settings and builds what both roles share: TLS files, replicas
// of the platform's objects, the peer protocol, telemetry and servers. It adds the
// components of its role, starts everything in a fixed order, and on a planned stop
// drains requests before it stops the servers.
package node
