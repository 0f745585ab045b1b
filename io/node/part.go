package node

import (
	"context"

	"github.com/samber/oops"

	"radishwell/io/events"
)

// part is a part of the process that runs until its context ends, as a server
// of kratos.
type part struct {
	name string
	run  func(context.Context) error

	stop  context.CancelFunc
	ended chan error
}

// Start implements kratos' transport.Server.
func (p *part) Start(context.Context) error { return <-p.ended }

// Stop implements kratos' transport.Server.
func (p *part) Stop(context.Context) error {
	p.stop()
	return nil
}

// begin runs the part at once, before the servers, so that replicas fill while
// nothing is served yet.
func (p *part) begin(ctx context.Context) {
	ctx, p.stop = context.WithCancel(ctx)
	p.ended = make(chan error, 1)
	go func() {
		err := p.run(ctx)
		if err != nil {
			events.Fail(events.GoroutineFailed, err, "part", p.name)
		}
		p.ended <- oops.In("node").With("part", p.name).Wrap(err)
	}()
}
