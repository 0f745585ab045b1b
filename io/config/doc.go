// Package config reads the settings file of a process: its role, its addresses
// and data centre, where the platform and its engine are, TLS files, telemetry
// and limits. What operators decide at run time is in the catalogue instead.
//
// The struct Settings, with its tags, is the one table that reads a file, checks
// it and makes docs/SETTINGS.md. All problems of a file are reported in one run.
//
// Settings are the one place where spans of time are held as durations: a file
// is read before there is a moment to count from. Code that uses one turns it
// into a deadline where the wait begins.
package config
