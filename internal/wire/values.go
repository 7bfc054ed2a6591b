package wire

import (
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/mangoweir/mangoweir/core"
)

// portSize is the number of bytes of a port behind an address.
const portSize = 2

// addrBytes encodes an address as 4 or 16 bytes and the port.
func addrBytes(a netip.AddrPort) []byte {
	b := a.Addr().Unmap().AsSlice()
	return binary.BigEndian.AppendUint16(b, a.Port())
}

// addrFromBytes returns the zero AddrPort, which validate refuses, for a wrong length.
func addrFromBytes(b []byte) netip.AddrPort {
	if len(b) < portSize {
		return netip.AddrPort{}
	}
	split := len(b) - portSize
	addr, ok := netip.AddrFromSlice(b[:split])
	if !ok {
		return netip.AddrPort{}
	}
	return netip.AddrPortFrom(addr.Unmap(), binary.BigEndian.Uint16(b[split:]))
}

// clamp keeps a duration within 0 and maxDuration.
func clamp(d time.Duration) time.Duration {
	return min(max(d, 0), maxDuration)
}

// floorMillis rounds down. It is used where a shorter time is the cautious choice.
func floorMillis(d time.Duration) uint64 {
	return uint64(clamp(d) / time.Millisecond)
}

// ceilMillis rounds up. It is used for ages and for waits that protect a promise.
func ceilMillis(d time.Duration) uint64 {
	return uint64((clamp(d) + time.Millisecond - 1) / time.Millisecond)
}

// deadlineMillis rounds down but keeps every deadline that is not 0 above 0, since 0 stands for the
// service's default.
func deadlineMillis(d time.Duration) uint64 {
	if d == 0 {
		return 0
	}
	return max(floorMillis(d), 1)
}

// Flags of a holding's load.
const (
	flagCold    = 1
	flagLeaving = 2
)

// loadColumns is the number of values per holding in holding_loads.
const loadColumns = 5

func appendLoad(dst []uint32, l core.TargetLoad) []uint32 {
	var flags uint32
	if l.Cold {
		flags |= flagCold
	}
	if l.Draining {
		flags |= flagLeaving
	}
	return append(dst, l.Flows, uint32(l.InFlight), uint32(l.Limit), uint32(l.Queued), flags)
}
