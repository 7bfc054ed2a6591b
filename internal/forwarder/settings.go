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

// Settings are the settings of a forwarder process.
type Settings struct {
	VM   core.VMName
	Zone core.ZoneName
	// PacketAddr is the address for packets (UDP), HTTPAddr the address for readiness and metrics, and FeedAddr
	// the address for subscriptions of other VMs to the change feed.
	PacketAddr, HTTPAddr, FeedAddr netip.AddrPort
	// Seeds are the FeedAddr of some other VMs, which may be down.
	Seeds []netip.AddrPort
	// StoreAddr is the address of the platform's store.
	StoreAddr string
	// Grace is the maximum time from SIGTERM to the end of the process.
	Grace  time.Duration
	Limits registry.Limits
	// CPUShare is the VM's share of a processor core, LinkMbps the bandwidth of its link in Mbit/s.
	CPUShare, LinkMbps float64
}

// PacketFormat decodes and encodes the platform's packets. A frame is a packet with Prefix bytes before it,
// which are meant for the target.
type PacketFormat struct {
	// Prefix and MaxSize are sizes in bytes.
	Prefix, MaxSize int
	// Decode reads the header of a client's packet.
	Decode func(packet []byte, h *forward.Header) error
	// SetTarget writes a target's prefix and token into a frame.
	SetTarget func(frame []byte, numericID uint64, token forward.Token)
	// EncodeReset returns the reset that ends the flow of a packet; it may reuse the memory of b.
	EncodeReset func(b []byte, h *forward.Header) []byte
}

// Platform contains the functions and values of the platform that the process runs on.
type Platform struct {
	// LoadSettings reads the settings. It is called again whenever they may have changed.
	LoadSettings func() (*Settings, error)
	// SettingsPath is the file that LoadSettings reads.
	SettingsPath string
	// NewStore returns a client of the store at an address. observe is called after each call.
	NewStore     func(address string, observe func(op string, took time.Duration, err error)) (feed.Store, error)
	PacketFormat PacketFormat
	// ReadinessHandler returns the handler for ReadinessPath, an http.ServeMux pattern. It reports whether the VM
	// accepts packets.
	ReadinessHandler func(ready func() bool) http.Handler
	ReadinessPath    string
}
