// Package apisrv is a stand-in for the object API of the platform, for tests and local
// fleets. It follows the resource conventions of Kubernetes as JSON over HTTP: list, get,
// create, conditional update, status subresource, delete with preconditions, and watch
// with bookmarks and the status "gone".
//
// Its faults can be read and set over HTTP while it runs (GET and PUT /faults). It counts
// calls by verb (GET /calls).
package apisrv
