package node

import (
	"context"
	"time"
)

// trafficTime is how often the bytes of control calls are read.
const trafficTime = time.Second

// countTraffic brings the bytes of control calls into the metrics.
func (n *Node) countTraffic(ctx context.Context) error {
	tick := time.NewTicker(trafficTime)
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
