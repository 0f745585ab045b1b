// Package config reads the settings file of a process: its role, its addresses and
// data centre, the addresses of the platform and of its engine, TLS files, telemetry
// and limits. Operators change everything else at run time, in the catalogue.
//
// The struct Settings and its tags define how a file is decoded and checked, and the
// contents of docs/SETTINGS.md. All problems of a file are reported in one run.
//
// Only settings hold time spans as durations, because a file is read before there is a
// point in time to count from. Code that uses a duration converts it to a deadline when
// the wait begins.
package config
