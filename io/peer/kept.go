package peer

import (
	"net/netip"

	"radishwell/core"
	"radishwell/core/kept"
	"radishwell/wire"
)

// EncodeKept encodes a change of what an engine keeps, without its address.
func EncodeKept(u kept.Update) *wire.KeptParts {
	return &wire.KeptParts{Instance: string(u.ID), Born: u.Born, Whole: u.Whole, Added: u.Added, Dropped: u.Dropped}
}

// DecodeKept decodes a change of what the engine at an address keeps.
func DecodeKept(address netip.AddrPort, k *wire.KeptParts) kept.Update {
	return kept.Update{
		Engine: kept.Engine{Address: address, ID: core.HostName(k.GetInstance()), Born: k.GetBorn()},
		Delta:  kept.Delta{Whole: k.GetWhole(), Added: k.GetAdded(), Dropped: k.GetDropped()},
	}
}
