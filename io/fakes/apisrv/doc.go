// Package apisrv is a stand-in of the platform's object API for tests and
// local fleets. It follows the Kubernetes resource conventions as JSON over
// HTTP: list, get, create, conditional update, status subresource, delete with
// preconditions, and watch with bookmarks and "gone".
//
// Its faults are switched over HTTP while it runs (GET and PUT /faults), and it
// counts the calls it gets by verb (GET /calls).
package apisrv
