package contract

import (
	"errors"
	"net/netip"
)

var errUnusableAddress = errors.New("not a unicast address with a port")

// parseAddress parses a unicast address with a port. An IPv4-mapped IPv6 address is converted to IPv4,
// so that equal addresses compare equal.
func parseAddress(text string) (netip.AddrPort, error) {
	addr, err := netip.ParseAddrPort(text)
	if err != nil {
		return netip.AddrPort{}, err
	}
	ip := addr.Addr().Unmap()
	if ip.IsUnspecified() || ip.IsMulticast() || ip.Zone() != "" || addr.Port() == 0 {
		return netip.AddrPort{}, errUnusableAddress
	}
	return netip.AddrPortFrom(ip, addr.Port()), nil
}
