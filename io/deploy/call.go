package deploy

import (
	"context"
	"time"

	"radishwell/io/events"
	"radishwell/io/peer"
)

// callWithin makes a call of another entry within a time limit, and reports whether it was answered.
// It logs a failure, unless ctx has ended.
func callWithin(ctx context.Context, limit time.Duration, to peer.Target, call func(ctx context.Context) error) bool {
	bounded, stop := context.WithTimeout(ctx, limit)
	defer stop()
	err := call(bounded)
	if err != nil && ctx.Err() == nil {
		events.Fail(events.PeerUnreachable, err, "address", to.Address)
	}
	return err == nil
}
