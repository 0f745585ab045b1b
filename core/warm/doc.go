// Package warm decides how long an idle model stays loaded, and which models are loaded
// before they are requested.
//
// The basis is the ski rental problem: a model is kept as long as the idle time costs less
// than the cold start that it may save. Both are in accelerator seconds, by the worth of a
// caller's second of waiting as configured for the deployment. That rule alone costs at
// most twice the optimum. It is improved with statistics of arrivals: the times between
// uses and the times of day at which uses begin.
//
// It is designed for evening sessions and bursts on working days, in which many models are
// requested at once after hours without use. A fixed time would be either too short for the
// pauses in a session or would waste accelerators during the night. The statistics decay by
// a fifth each day, so that a habit that ends costs only a few idle periods.
//
// docs/design/keep-warm.md compares the alternatives and has the measurements.
package warm
