package node

import "sync/atomic"

// state is whether the process is leaving.
type state struct{ leaving atomic.Bool }

func (s *state) leave() { s.leaving.Store(true) }

func (s *state) isLeaving() bool { return s.leaving.Load() }
