// Package warm decides how long an idle model stays loaded, and which models
// are loaded before anybody asks.
//
// The base is ski rental: a model is kept for as long as the idle time costs
// less than the cold start it may save, both in accelerator seconds, by what the
// deployment says a caller's second of waiting is worth. That alone is never
// worse than twice the best choice. It is bettered by what arrivals show: the
// times between uses, and the times of day at which uses begin.
//
// It answers evening sessions and working-day bursts, in which many models are
// wanted at once after hours of nothing. Without it a fixed time is either too
// short for a session's pauses or burns accelerators through the night. It must
// forget: what has been seen loses a fifth of its weight with each day, so that
// a habit that ends costs a few idle stretches and no more.
//
// docs/design/keep-warm.md has the ways weighed and the figures.
package warm
