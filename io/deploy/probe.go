package deploy

import (
	"net/netip"

	"radishwell/core"
	"radishwell/io/objapi"
	"radishwell/io/reply"
	plat "radishwell/platform"
)

// managed returns a function that returns the control interface of the upstream at an address. Each
// call has a connection of its own, since one that was used before may be silent for another reason
// than the upstream.
func managed() func(netip.AddrPort) core.Managed {
	transport := objapi.Transport(nil)
	transport.DisableKeepAlives = true
	client := reply.NewClient(transport)
	return func(address netip.AddrPort) core.Managed { return &plat.Upstream{Address: address, Client: client} }
}
