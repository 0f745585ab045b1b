// Package reply reads the HTTP responses of upstreams and of the platform: it decides whether a
// response is well formed, and tells how it shows its end.
package reply
