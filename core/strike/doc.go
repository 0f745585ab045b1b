// Package strike finds requests that crash upstreams and keeps them from
// crashing more.
//
// When an engine dies, every request in flight there gets a strike, told apart
// by fingerprint. A fingerprint with strikes is a suspect: it runs alone on an
// engine, so that the next crash, or its absence, tells the guilty from its
// neighbours. A suspect that ends well alone is cleared; one that crashes an
// engine alone, after an earlier strike, is quarantined and refused everywhere.
//
// All entries send a suspect to the same host (Trial). So however many callers
// repeat it, through however many entries, one engine at a time is at risk.
//
// The strikes are soft state: they spread between processes without the
// platform, expire, join by maximum, and only ever refuse or delay. To lose
// them costs at most the engines that it takes to find the request again.
package strike
