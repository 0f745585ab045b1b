// Package httpd provides the HTTP server that all processes of radishwell use.
// It is built on the HTTP transport of kratos.
package httpd
