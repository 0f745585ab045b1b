package peer

import (
	"net/netip"

	"radishwell/core"
	"radishwell/core/cached"
	"radishwell/wire"
)

// EncodeCached encodes a change of what an engine keeps, without its address.
func EncodeCached(u cached.Update) *wire.CachedParts {
	return &wire.CachedParts{Instance: string(u.ID), Born: u.Born, Whole: u.Whole, Added: u.Added, Dropped: u.Dropped}
}

// DecodeCached decodes a change of what the engine at an address keeps.
func DecodeCached(address netip.AddrPort, k *wire.CachedParts) cached.Update {
	return cached.Update{
		Engine: cached.Engine{Address: address, ID: core.HostName(k.GetInstance()), Born: k.GetBorn()},
		Delta:  cached.Delta{Whole: k.GetWhole(), Added: k.GetAdded(), Dropped: k.GetDropped()},
	}
}
