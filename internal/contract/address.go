package contract

import (
	"errors"
	"net/netip"
)

var errUnusable = errors.New("the address is no unicast address with a port")

// parseAddress parses an address and port. IPv4 addresses written as IPv6 become IPv4, so that equal
// addresses compare equal.
func parseAddress(text string) (netip.AddrPort, error) {
	a, err := netip.ParseAddrPort(text)
	if err != nil {
		return netip.AddrPort{}, err
	}
	ip := a.Addr().Unmap()
	if ip.IsUnspecified() || ip.IsMulticast() || ip.Zone() != "" || a.Port() == 0 {
		return netip.AddrPort{}, errUnusable
	}
	return netip.AddrPortFrom(ip, a.Port()), nil
}
