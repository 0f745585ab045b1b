// Package certs keeps the TLS files of a process: mutual TLS between own
// processes and, at entries, TLS towards callers.
//
// Each own certificate names a role and a host in one URI, as in
// radishwell://agent/qalam-3. A listener names the roles it takes, a dialler the
// role and host it wants, and both refuse and log everything else. Names of hosts
// and IP numbers in certificates play no part between own processes, since their
// addresses change whenever a host is replaced.
//
// Files are read again when they change. New connections use the new files;
// connections that are open go on.
package certs
