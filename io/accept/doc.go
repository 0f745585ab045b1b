// Package accept bounds the connections that a server takes over from the system, so that the
// requests it reads are those that it can serve.
//
// A load balancer may send most new connections of a region to one host. A connection that is
// closed before its request is read may be tried at another host, whatever the request; one that
// was read and answered too late may not.
package accept
