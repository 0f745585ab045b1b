package deploy

import (
	"context"
	"errors"
	"sync"
	"time"

	"radishwell/core"
	"radishwell/core/fleet"
	"radishwell/io/events"
	"radishwell/io/peer"
	plat "radishwell/platform"
	"radishwell/wire"
)

// protocol is how the platform's callers and upstreams name things.
var protocol core.Protocol = plat.Headers{}

const (
	// watchPause is the pause after a failed call of the store. A store that is
	// back is noticed within it; each try costs a call.
	watchPause = 200 * time.Millisecond
	// basisTime bounds a question to a peer at the start.
	basisTime = time.Second
)

// basis is what this process has read from the store, for peers that start while
// the store is out.
type basis struct {
	mu      sync.Mutex
	objects map[core.Kind]map[string]core.Object
}

func (b *basis) put(o core.Object) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.objects == nil {
		b.objects = map[core.Kind]map[string]core.Object{}
	}
	kind := b.objects[o.Kind]
	if kind == nil {
		kind = map[string]core.Object{}
		b.objects[o.Kind] = kind
	}
	if o.Deleted {
		delete(kind, o.Name)
		return
	}
	kind[o.Name] = o
}

// reset empties a kind before a list of it is put in.
func (b *basis) reset(kind core.Kind) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.objects, kind)
}

func (b *basis) has(kind core.Kind) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.objects[kind]) > 0
}

func (b *basis) serve(*wire.BasisCall) (*wire.BasisReply, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := &wire.BasisReply{}
	for _, kind := range b.objects {
		for _, o := range kind {
			out.Objects = append(out.Objects, &wire.StoredObject{
				Kind: string(o.Kind), Name: o.Name, Version: uint64(o.Version), Spec: o.Spec,
			})
		}
	}
	return out, nil
}

// feed is what follows a kind of objects of the store.
type feed struct {
	kind core.Kind
	// list takes in all objects of the kind, change one of them.
	list   func([]core.Object)
	change func(core.Object)
	// trouble is told of each failed call.
	trouble func()
}

// follow lists a kind and watches it, and begins anew whenever that fails.
func (e *entry) follow(ctx context.Context, f feed) error {
	reached := true
	for ctx.Err() == nil {
		err := e.followOnce(ctx, f, func() {
			if !reached {
				events.Log(events.PlatformBack, "kind", f.kind)
			}
			reached = true
		})
		if ctx.Err() != nil {
			return nil
		}
		var failed *core.PlatformError
		if errors.As(err, &failed) && failed.Fault == core.Gone {
			events.Log(events.WatchRestarted, "kind", f.kind, "cause", "history dropped")
			continue
		}
		f.trouble()
		if reached {
			reached = false
			events.Fail(events.PlatformUnreachable, err, "kind", f.kind)
		}
		sleep(ctx, watchPause)
	}
	return nil
}

func (e *entry) followOnce(ctx context.Context, f feed, answered func()) error {
	listing, err := e.store.List(ctx, f.kind)
	if err != nil {
		return err
	}
	answered()
	e.basis.reset(f.kind)
	for _, o := range listing.Objects {
		e.basis.put(o)
	}
	f.list(listing.Objects)
	watch, err := e.store.Watch(ctx, f.kind, listing.Version)
	if err != nil {
		return err
	}
	defer watch.Close()
	for {
		change, err := watch.Next(ctx)
		if err != nil {
			return err
		}
		if change.Bookmark {
			continue
		}
		e.basis.put(change.Object)
		f.change(change.Object)
	}
}

// watchTable keeps the routing table up to date.
func (e *entry) watchTable(ctx context.Context) error {
	return e.follow(ctx, feed{
		kind: core.KindTable,
		list: func(list []core.Object) {
			for _, o := range list {
				e.takeTable(o)
			}
		},
		change:  e.takeTable,
		trouble: func() {},
	})
}

func (e *entry) takeTable(o core.Object) {
	if o.Name != plat.MainTable || o.Deleted {
		return
	}
	table, err := plat.Table(o.Spec)
	if err != nil {
		events.Fail(events.TableRejected, err, "revision", o.Version)
		return
	}
	e.proxy.Offer(table)
}

// watchRegistry keeps what is known of the upstream hosts up to date.
func (e *entry) watchRegistry(ctx context.Context) error {
	return e.follow(ctx, feed{
		kind: core.KindRegistry,
		list: func(list []core.Object) {
			hosts := make([]fleet.Entry, 0, len(list))
			for _, o := range list {
				hosts = append(hosts, readHost(o))
			}
			e.proxy.Update(func(v *fleet.View, now time.Time) { v.Replace(now, hosts) })
		},
		change: func(o core.Object) {
			e.proxy.Update(func(v *fleet.View, now time.Time) {
				if o.Deleted {
					v.Remove(now, core.HostName(o.Name))
					return
				}
				v.Apply(readHost(o))
			})
		},
		trouble: func() {
			e.proxy.Update(func(v *fleet.View, now time.Time) { v.Troubled(now) })
		},
	})
}

func readHost(o core.Object) fleet.Entry {
	host, err := plat.Host(o.Name, o.Spec)
	if err != nil {
		events.Fail(events.RegistryEntryUnusable, err, "name", o.Name, "revision", o.Version)
	}
	return host
}

// askPeers takes the state of the store from another entry while the store
// itself has not answered.
func (e *entry) askPeers(ctx context.Context) error {
	for sleep(ctx, watchPause) {
		if e.basis.has(core.KindTable) && e.basis.has(core.KindRegistry) {
			break
		}
		for _, at := range e.Settings.Peers {
			if at != e.Settings.Listen.Control {
				e.askPeer(ctx, peer.Target{Address: at})
			}
		}
	}
	<-ctx.Done()
	return nil
}

func (e *entry) askPeer(ctx context.Context, to peer.Target) {
	ctx, stop := context.WithTimeout(ctx, basisTime)
	defer stop()
	reply, err := e.client.Basis(ctx, to, &wire.BasisCall{})
	if err != nil {
		events.Fail(events.PeerUnreachable, err, "address", to.Address)
		return
	}
	for _, o := range reply.GetObjects() {
		object := core.Object{Kind: core.Kind(o.GetKind()), Name: o.GetName(), Version: core.Version(o.GetVersion()), Spec: o.GetSpec()}
		if e.basis.has(object.Kind) {
			continue // the store itself has answered meanwhile
		}
		switch object.Kind {
		case core.KindTable:
			e.takeTable(object)
		case core.KindRegistry:
			e.proxy.Update(func(v *fleet.View, _ time.Time) { v.Apply(readHost(object)) })
		}
	}
	if len(reply.GetObjects()) > 0 {
		events.Log(events.BasisTaken, "from", to.Address, "objects", len(reply.GetObjects()))
	}
}
