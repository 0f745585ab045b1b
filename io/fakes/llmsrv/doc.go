// Package llmsrv is a stand-in for a model engine, for demos and tests.
//
// It serves completion requests in the format of the OpenAI API, and orders of the agent:
// load, unload, cancel, resume at an offset, and a report of its state. The time of a load
// depends on the tier that holds the checkpoint and is configurable. Answers repeat the
// prompt, so that a test can check that an answer belongs to its request. Faults are set
// over HTTP while the stand-in runs.
package llmsrv
