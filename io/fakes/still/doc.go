// Package still is a stand-in for a process that stands still, as one that was suspended does: its system
// accepts connections and bytes, and the process reads them once it runs again.
package still
