package node

import "sync/atomic"

// state records whether the process is leaving. It is safe for concurrent use.
type state struct{ leaving atomic.Bool }

func (s *state) leave() { s.leaving.Store(true) }

func (s *state) isLeaving() bool { return s.leaving.Load() }
