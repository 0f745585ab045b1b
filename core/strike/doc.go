// Package strike identifies requests that crash upstreams and limits the number of
// crashes.
//
// When an engine dies, every request in flight there gets a strike. Requests are
// identified by fingerprint. A fingerprint with strikes is a suspect: it runs
// alone on an engine, its trial, so that the outcome distinguishes it from the
// innocent requests that were in flight with it. A suspect that ends well alone is
// cleared. A suspect that crashes an engine alone, after an earlier strike, is
// quarantined and refused everywhere.
//
// All entries send a suspect to the same host (TrialHost). So only one engine at a
// time is at risk, however many callers repeat the request and whichever entries
// they use.
//
// On a managed platform no process sees all requests at an upstream. There a request runs in
// trials (Trials), which one entry grants to all, and two crashes in trials are proof.
//
// The strikes are soft state: they spread between processes without the platform,
// expire, are merged by maximum, and only ever refuse or delay requests. Losing
// them costs at most the engines that crash until the request is identified again.
package strike
