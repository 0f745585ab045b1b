// Package rtable is the routing table of a managed platform: which service a
// request goes to, how often it may be tried, and what models a service has.
//
// A Table is one version, built and checked once and never changed. A Keeper
// holds the version in force and never goes back to an older one.
package rtable
