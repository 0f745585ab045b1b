package node

import (
	"context"
	"time"
)

// trafficInterval is the time between two reads of the byte counts of control calls.
const trafficInterval = time.Second

// countTraffic adds the bytes of control calls to the metrics, until ctx ends.
func (n *Node) countTraffic(ctx context.Context) error {
	tick := time.NewTicker(trafficInterval)
	defer tick.Stop()
	var sent, received int64
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return nil
		}
		clientSent, clientReceived := n.client.Traffic()
		serverSent, serverReceived := n.control.Traffic()
		nowSent, nowReceived := clientSent+serverSent, clientReceived+serverReceived
		n.meter.Traffic(int(nowSent-sent), int(nowReceived-received))
		sent, received = nowSent, nowReceived
	}
}
