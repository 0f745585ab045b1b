package driver

import (
	"time"

	"radishwell/core"
	"radishwell/core/credit"
	"radishwell/io/loop"
	"radishwell/wire"
)

const (
	// maxRoomWait bounds how long a request for a credit is held.
	maxRoomWait = 400 * time.Millisecond
	// freshReport is the age of a report up to which room is granted by it.
	freshReport = 30 * time.Millisecond
	// roomInterval is the interval at which credits are granted while requests for them wait.
	// Between two reports the room is estimated.
	roomInterval = 15 * time.Millisecond
)

// roomKeeper hands out the room of the upstream's current incarnation. Driver.mu guards it.
type roomKeeper struct {
	account credit.Account
	lastID  uint64
	// granted has the channels that are closed once an ask is granted.
	granted map[uint64]chan struct{}
}

// asking returns one more than the most urgent rank that was asked for of late, zero if there is
// none.
func (k *roomKeeper) asking(now time.Time) uint32 {
	rank := k.account.MostUrgent(now)
	if rank >= core.PriorityLevels {
		return 0
	}
	return uint32(rank) + 1
}

// ServeRoom serves an entry's request for a credit. It returns once the credit is granted, or
// after the wait in the call, up to maxRoomWait. The error is always nil. If the upstream is on
// another host, its reports come too late to tell its room, and nothing is granted.
func (d *Driver) ServeRoom(c *wire.RoomCall) (*wire.RoomReply, error) {
	wait := min(time.Duration(c.GetWait()), maxRoomWait)
	id, granted, ok := d.putAsk(c, wait)
	if !ok {
		return &wire.RoomReply{}, nil
	}
	defer d.dropAsk(id)
	end := time.NewTimer(wait)
	defer end.Stop()
	tick := time.NewTicker(roomInterval)
	defer tick.Stop()
	for {
		select {
		case <-granted:
			return &wire.RoomReply{Granted: true}, nil
		case <-end.C:
			return &wire.RoomReply{}, nil
		case <-tick.C:
			d.mu.Lock()
			if now := d.Clock.Now(); now.Sub(d.reportedAt) < 2*freshReport {
				d.grantRoom(now)
			}
			d.mu.Unlock()
		}
	}
}

// putAsk adds an ask to the account.
func (d *Driver) putAsk(c *wire.RoomCall, wait time.Duration) (id uint64, granted chan struct{}, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	known := !d.Remote && d.failures == 0 && core.HostName(c.GetInstance()) == d.incarnations.Current()
	if !known || wait <= 0 {
		return 0, nil, false
	}
	now := d.Clock.Now()
	d.room.lastID++
	id = d.room.lastID
	urgent := d.room.account.MostUrgent(now)
	ask := credit.Ask{
		ID: id, Rank: int(c.GetRank()), Customer: core.OwnerName(c.GetCustomer()), Tokens: int(c.GetTokens()),
		Reading: time.Duration(c.GetReading()), Ahead: time.Duration(c.GetAhead()), Until: now.Add(wait),
	}
	if !d.room.account.Put(now, ask) {
		return 0, nil, false
	}
	if d.room.granted == nil {
		d.room.granted = map[uint64]chan struct{}{}
	}
	if d.room.account.MostUrgent(now) != urgent {
		d.notify()
	}
	granted = make(chan struct{})
	d.room.granted[id] = granted
	if now.Sub(d.reportedAt) < freshReport {
		d.grantRoom(now)
		return id, granted, true
	}
	loop.Wake(d.wake) // the report that follows grants
	return id, granted, true
}

// dropAsk removes an ask whose call ends.
func (d *Driver) dropAsk(id uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.room.account.Drop(id)
	delete(d.room.granted, id)
}

// grantRoom grants the credits for which there is room. The caller holds mu.
func (d *Driver) grantRoom(now time.Time) {
	for _, id := range d.room.account.Grant(now) {
		if ch := d.room.granted[id]; ch != nil {
			close(ch)
			delete(d.room.granted, id)
		}
	}
}
