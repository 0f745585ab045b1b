// Package turn decides whether a request starts now, waits or is refused, from what is foreseen
// at the host that should answer it first.
//
// The load that it answers: urgent requests with little time and patient ones with long prompts
// want the same engines at once, more than these can read in time. Engines read prompts in the
// order in which they come. If a patient request is sent as soon as it can still be in time, an
// urgent one that comes next finds more work ahead than its callers can wait for, and is refused
// or late, while the patient one had seconds to spare.
//
// A request therefore goes ahead only as far as leaves room for more urgent ones that come for
// the same service, and waits at the entry as long as it can afford to. One that is late already
// waits behind those that can be in time. What cannot start before its caller leaves is refused
// at once, with a time at which to return; these times are spread over those refused together.
//
// All thresholds follow from what callers accept: the targets, pauses and deadlines of routes.
package turn
