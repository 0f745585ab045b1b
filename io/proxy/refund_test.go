package proxy

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/core"
	"radishwell/core/rtable"
)

// refundCounter counts the units that are returned.
type refundCounter struct{ units float64 }

func (*refundCounter) Take(context.Context, core.OwnerName, float64) *core.Refusal { return nil }

func (p *refundCounter) Refund(_ core.OwnerName, units float64) { p.units += units }

// Guards against returning the units of a request that may have run and waits for
// another host.
func TestRefund(t *testing.T) {
	for name, c := range map[string]struct {
		ran  int
		want float64
	}{"has not run": {0, 7}, "may have run": {1, 0}} {
		t.Run(name, func(t *testing.T) {
			quota := &refundCounter{}
			testCall := &call{
				proxy: &Proxy{Quotas: quota}, customer: &rtable.Customer{Name: "c"},
				units: 7, chargedAt: time.Unix(1000, 0), ran: c.ran,
			}
			testCall.refund()
			testCall.refund()
			assert.Equal(t, quota.units, c.want)
		})
	}
}
