// Package deploy is a process on a managed platform: it puts the entry's or the
// agent's parts together, feeds them from the platform's store and from other
// processes, and starts and stops them.
package deploy
