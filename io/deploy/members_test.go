package deploy

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/core"
	"radishwell/core/follow"
	"radishwell/io/peer"
	plat "radishwell/platform"
	"radishwell/platform/stand"
)

// Guards against comparing a changed record with the replica of the records. An entry started
// and stopped ordering engines before the replica showed its first write. By the replica
// nothing had changed, so its record still named it as the entry that orders the engines.
func TestRecordFollowsOrders(t *testing.T) {
	srv := httptest.NewServer(&stand.Store{})
	t.Cleanup(srv.Close)
	store := &plat.Store{Address: netip.MustParseAddrPort(strings.TrimPrefix(srv.URL, "http://")), Client: http.DefaultClient}
	e := &entry{Process: &Process{store: store}, recordChanged: make(chan struct{}, 1)}
	e.members.self = follow.Member{Name: "edge-1", Control: netip.MustParseAddrPort("10.0.0.1:1"), DataCentre: "dc-1", Capacity: 1}
	spec, err := json.Marshal(memberJSON{Control: e.members.self.Control, DataCentre: "dc-1", Capacity: 1})
	assert.NilError(t, err)
	e.members.apply(core.Object{Kind: core.KindEntry, Name: "edge-1", Spec: spec})
	kinds := []core.Kind{core.KindEntry}
	e.state = &peer.Store{Kinds: kinds, Confirm: kinds, Platform: store, Client: &peer.Client{}}
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 2)
	go func() { ended <- e.state.Run(ctx) }()
	go func() { ended <- e.maintainRecord(ctx) }()
	for _, orders := range []bool{true, false} {
		e.setOrders(orders)
		wantOrders(t, store, orders)
	}
	stop()
	assert.NilError(t, <-ended)
	assert.NilError(t, <-ended)
}

// wantOrders waits until the entry's record in the store has the given value of Orders.
func wantOrders(t *testing.T, store *plat.Store, orders bool) {
	t.Helper()
	const patience = 10 * time.Second
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		o, err := store.Get(t.Context(), core.KindEntry, "edge-1")
		var record memberJSON
		if err == nil && json.Unmarshal(o.Spec, &record) == nil && record.Orders == orders {
			return
		}
	}
	t.Fatalf("no record with orders %v within %v", orders, patience)
}
