// Package member decides which upstream hosts may get work, from the
// platform's lagging list of hosts, the hosts' own signals and what the data
// path sees of them.
package member
