package node

import (
	"context"

	"github.com/samber/oops"

	"radishwell/io/events"
)

// component is a long-running function of the process, which runs until its context
// ends. It implements kratos' transport.Server.
type component struct {
	name string
	run  func(context.Context) error

	stop  context.CancelFunc
	ended chan error
}

// Start implements kratos' transport.Server.
func (c *component) Start(context.Context) error { return <-c.ended }

// Stop implements kratos' transport.Server.
func (c *component) Stop(context.Context) error {
	c.stop()
	return nil
}

// start starts the component. Run calls it before the servers start, so that the replicas
// fill before requests are served.
func (c *component) start(ctx context.Context) {
	ctx, c.stop = context.WithCancel(ctx)
	c.ended = make(chan error, 1)
	go func() {
		err := c.run(ctx)
		if err != nil {
			events.Fail(events.GoroutineFailed, err, "part", c.name)
		}
		c.ended <- oops.In("node").With("part", c.name).Wrap(err)
	}()
}
