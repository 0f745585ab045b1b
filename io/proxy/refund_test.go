package proxy

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/core"
	"radishwell/core/rtable"
)

// putBack counts the units that were given back.
type putBack struct{ units float64 }

func (*putBack) Take(context.Context, core.OwnerName, float64) *core.Refusal { return nil }

func (p *putBack) Refund(_ core.OwnerName, units float64) { p.units += units }

// Guards against units given back of a request that ran and waits for another host.
func TestRefund(t *testing.T) {
	for name, c := range map[string]struct {
		ran  int
		want float64
	}{"has not run": {0, 7}, "may have run": {1, 0}} {
		t.Run(name, func(t *testing.T) {
			quota := &putBack{}
			held := &call{
				proxy: &Proxy{Quotas: quota}, customer: &rtable.Customer{Name: "c"},
				units: 7, charged: time.Unix(1000, 0), ran: c.ran,
			}
			held.refund()
			held.refund()
			assert.Equal(t, quota.units, c.want)
		})
	}
}
