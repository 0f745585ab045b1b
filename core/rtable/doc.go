// Package rtable holds the routing table of a managed platform: the service that a request
// goes to, how often it may be tried, which models a service has, and which customers may
// call.
//
// A Table is one version, which is validated when it is built and immutable afterwards. A
// Keeper holds the current version and rejects older ones.
package rtable
