// Package httpd serves HTTP on kratos' transport, as all of radishwell's
// processes do.
package httpd
