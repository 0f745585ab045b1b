// Package rawurl reads the targets of requests as they were sent, and builds URLs that net/http
// writes unchanged.
package rawurl
