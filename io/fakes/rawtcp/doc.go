// Package rawtcp has stand-ins that speak HTTP/1 over plain connections: an upstream that writes
// given bytes, and a caller that tells how its answer ended.
package rawtcp
