package resume

import (
	"sync"

	"radishwell/core"
	"radishwell/core/origin"
	"radishwell/wire"
)

// Holder holds records for entries, at a process where no streams begin. Set Clock before use. Its
// methods may be called from several goroutines.
type Holder struct {
	Clock core.Clock

	mu    sync.Mutex
	table origin.Table
}

// maxHeld bounds the records of a Holder.
const maxHeld = 1 << 15

// ServeKeep serves the records of an entry.
func (h *Holder) ServeKeep(in *wire.KeepCall) (*wire.Empty, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.table.MaxRecords = maxHeld
	now := h.Clock.Now()
	for _, r := range decodeAll(now, in) {
		h.table.Put(now, r)
	}
	return &wire.Empty{}, nil
}

// ServeFind serves an entry's question where a stream began. The versions in the answer are those at
// which streams began whose records are held.
func (h *Holder) ServeFind(in *wire.FindCall) (*wire.FindReply, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.Clock.Now()
	o, ok := h.table.Find(now, core.Fingerprint(in.GetKey()))
	answer := core.OriginAnswer{Origin: o, Found: ok}
	if !ok {
		answer.Versions = h.table.Versions(now, core.ServiceName(in.GetService()))
	}
	return encodeAnswer(answer), nil
}
