// Package recent keeps the latest of a series of durations, such as how long a service took for its latest answers.
package recent
