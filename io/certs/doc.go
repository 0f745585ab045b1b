// Package certs manages the TLS files of a process and provides the configurations for
// mutual TLS between the system's own processes and for TLS between entries and callers.
//
// The certificate of a process names its role and host in a URI, as in
// radishwell://agent/qalam-3. A listener accepts given roles, and a dialler expects a
// given role and host; both refuse and log all other peers. Between own processes, DNS
// names and IP numbers in certificates are not checked, since addresses change whenever
// a host is replaced.
//
// Files are read again when they change. New connections use the new files; open
// connections continue.
package certs
