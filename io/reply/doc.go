// Package reply tells how the HTTP response of an upstream shows its end.
package reply
