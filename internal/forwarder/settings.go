package forwarder

import (
	"net/http"
	"net/netip"
	"time"

	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/core/forward"
	"github.com/mangoweir/mangoweir/core/registry"
	"github.com/mangoweir/mangoweir/internal/feed"
)

// Settings are the settings of a process.
type Settings struct {
	VM   core.VMName
	Zone core.ZoneName
	// PacketAddr is where packets arrive (UDP), HTTP where readiness and metrics are served, Feed where
	// other VMs subscribe.
	PacketAddr, HTTPAddr, FeedAddr netip.AddrPort
	// Seeds are Feed addresses of other VMs, which may be down.
	Seeds []netip.AddrPort
	// StoreAddr is the address of the platform's store.
	StoreAddr string
	// Grace is the time from SIGTERM to the end of the process.
	Grace  time.Duration
	Limits registry.Limits
	// CPUShare is the VM's share of a core, LinkMbps the bandwidth of its link in Mbit/s.
	CPUShare, LinkMbps float64
}

// PacketFormat translates packets. Frames have Prefix bytes before the packet, for the target's use.
type PacketFormat struct {
	// Prefix and MaxSize are sizes in bytes.
	Prefix, MaxSize int
	// Decode reads the header of a client's packet.
	Decode func(packet []byte, h *forward.Header) error
	// SetTarget makes a frame out of a packet: it writes the prefix and the token.
	SetTarget func(frame []byte, hostID uint64, token forward.Token)
	// EncodeReset returns the reset that ends the flow of a packet; it may use the memory of b.
	EncodeReset func(b []byte, h *forward.Header) []byte
}

// Platform is what the process needs of the platform it runs on.
type Platform struct {
	// LoadSettings reads the settings; it is called again when they may have changed.
	LoadSettings func() (*Settings, error)
	// SettingsPath is the file that Load reads.
	SettingsPath string
	// NewStore returns a client of the store at an address. observe is called after each call.
	NewStore     func(address string, observe func(op string, took time.Duration, err error)) (feed.Store, error)
	PacketFormat PacketFormat
	// ReadinessHandler answers at ReadinessPath, an http.ServeMux pattern, whether the VM takes packets.
	ReadinessHandler func(ready func() bool) http.Handler
	ReadinessPath    string
}
