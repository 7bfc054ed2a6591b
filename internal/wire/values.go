package wire

import (
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/mangoweir/mangoweir/core"
)

// portSize is the number of bytes of the port that follows an address.
const portSize = 2

// addrBytes encodes an address as 4 or 16 bytes followed by the port in 2 bytes.
func addrBytes(a netip.AddrPort) []byte {
	b := a.Addr().Unmap().AsSlice()
	return binary.BigEndian.AppendUint16(b, a.Port())
}

// addrFromBytes decodes an address. For a wrong length it returns the zero AddrPort, which validate
// refuses.
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

// clamp limits a duration to the range from 0 to maxDuration.
func clamp(d time.Duration) time.Duration {
	return min(max(d, 0), maxDuration)
}

// floorMillis converts to milliseconds and rounds down. It is used where a shorter time is safe.
func floorMillis(d time.Duration) uint64 {
	return uint64(clamp(d) / time.Millisecond)
}

// ceilMillis converts to milliseconds and rounds up. It is used for ages, and for waits that are unsafe
// when they are too short.
func ceilMillis(d time.Duration) uint64 {
	return uint64((clamp(d) + time.Millisecond - 1) / time.Millisecond)
}

// deadlineMillis converts to milliseconds and rounds down. A deadline that is not 0 becomes at least 1,
// because 0 stands for the service's default.
func deadlineMillis(d time.Duration) uint64 {
	if d == 0 {
		return 0
	}
	return max(floorMillis(d), 1)
}

// Flags of an owned target's load.
const (
	flagCold     = 1
	flagDraining = 2
)

// loadColumns is the number of values per owned target in holding_loads.
const loadColumns = 5

func appendLoad(dst []uint32, l core.TargetLoad) []uint32 {
	var flags uint32
	if l.Cold {
		flags |= flagCold
	}
	if l.Draining {
		flags |= flagDraining
	}
	return append(dst, l.Flows, uint32(l.InFlight), uint32(l.Limit), uint32(l.Queued), flags)
}
