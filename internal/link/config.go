package link

import (
	"crypto/tls"
	"crypto/x509"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/internal/wire"
)

// Config holds the identity of this VM and the callbacks of the Manager. Name, Zone, Listen, OnMessage
// and OnLink are required.
type Config struct {
	Name        core.VMName
	Zone        core.ZoneName
	Incarnation core.Incarnation
	// Listen is the address of the peer port; port 0 picks a free one.
	Listen netip.AddrPort
	// Credentials enable mutual TLS; nil means plain TCP.
	Credentials Credentials
	// OnMessage is called for every message, from one goroutine per stream. While a call blocks, its
	// stream is not read.
	OnMessage func(core.PeerMessage)
	// OnLink is called for every change of a link, one call at a time and in order. The messages of a
	// new link are delivered after its LinkUp.
	OnLink func(core.LinkEvent)
	// Log defaults to slog.Default().
	Log *slog.Logger
	// MinVersion and MaxVersion default to the versions that this release supports.
	MinVersion, MaxVersion wire.Version
}

// Credentials are the certificates of a VM. They are read for every connection, so that renewed
// certificates are used without a restart.
type Credentials interface {
	// Certificate returns the VM's own certificate and key.
	Certificate() *tls.Certificate
	// Authorities returns the CA certificates that sign the certificates of peers.
	Authorities() *x509.CertPool
}

// Timing of links.
const (
	// dialTimeout bounds the TCP connect, and helloTimeout the TLS handshake and Hello together; both
	// are many times the latency between zones.
	dialTimeout  = time.Second
	helloTimeout = time.Second
	// redialFirst is the delay before the first dial after the loss of a link. It is short because a
	// refused connection proves that the peer's process has ended, so that its targets need no quarantine.
	redialFirst = 100 * time.Millisecond
	redialMax   = time.Second
	// monitorInterval is the time between two checks of a link.
	monitorInterval = 100 * time.Millisecond
	// pingAfter is the time without received bytes after which the link sends a ping. Heartbeats arrive
	// every 500 ms, so pings are sent only when a peer sends no heartbeats or the connection fails.
	pingAfter = time.Second
	// silentAfter is the time without received bytes after which the Manager dials a new connection;
	// three heartbeats are missing by then.
	silentAfter = 1500 * time.Millisecond
	// closeAfter is the time without received bytes after which a link is closed even if no new connection
	// could be established.
	closeAfter = 5 * time.Second
	// lateDeliveryTime is how long received messages are still delivered after the loss of a link. It is
	// shorter than redialFirst, so that no message of an ended process is delivered after its LinkRefused.
	lateDeliveryTime = 50 * time.Millisecond
	// retireGrace is how long a replaced connection is still read.
	retireGrace = 500 * time.Millisecond
)

// Limits of links.
const (
	// maxHandshakes is the limit of accepted connections whose handshake is in progress.
	maxHandshakes = 256
	// maxPeers is the limit of peers with a link or a dialer.
	maxPeers = 4096
	// maxHello is the size limit of a Hello in bytes.
	maxHello = 512
	// writeChunk is the largest payload of a yamux frame in bytes. A frame is sent without interruption,
	// so this limit bounds the time that a request waits behind a large transfer.
	writeChunk = 16 << 10
	// socketBuffer is the size requested for the kernel's send buffer in bytes; Linux doubles it. Buffered
	// bytes are sent in order, so the buffer's size also bounds the time that a request waits behind a large
	// transfer. It allows 16 MB/s at a round-trip time of 4 ms.
	socketBuffer = 32 << 10
)

func (c Config) withDefaults() Config {
	if c.Log == nil {
		c.Log = slog.Default()
	}
	if c.MinVersion == 0 {
		c.MinVersion = wire.MinVersion
	}
	if c.MaxVersion == 0 {
		c.MaxVersion = wire.MaxVersion
	}
	return c
}

// jitter returns a random duration between half of d and d.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d/2+1)
}
