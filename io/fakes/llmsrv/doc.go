// Package llmsrv is a stand-in for a model engine, for demos and tests.
//
// It speaks the OpenAI-style HTTP interface for work and takes orders beside
// it: load, unload, cancel, resume at an offset, and a state report. Loads take
// as long as its settings say for each tier of checkpoint; answers are made
// from the prompt, so that a test can tell whose answer it got. Its faults are
// switched over HTTP while it runs.
package llmsrv
