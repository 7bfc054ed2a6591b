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

// Config says who this VM is and where the Manager reports. Name, Zone, Listen, OnMessage and OnLink
// are required.
type Config struct {
	Name        core.VMName
	Zone        core.ZoneName
	Incarnation core.Incarnation
	// Listen is the address of the peer port; port 0 picks a free one.
	Listen netip.AddrPort
	// Credentials turn on mutual TLS; nil means plain TCP.
	Credentials Credentials
	// OnMessage is called for every message, from one goroutine per stream. While it blocks, its
	// stream is not read.
	OnMessage func(core.PeerMessage)
	// OnLink is called for every change of a link, one at a time and in order. The messages of a
	// new link follow its LinkUp.
	OnLink func(core.LinkEvent)
	// Log defaults to slog.Default().
	Log *slog.Logger
	// MinVersion and MaxVersion default to the versions that this release speaks.
	MinVersion, MaxVersion wire.Version
}

// Credentials are the certificates of a VM. They are asked for on every connection, so that renewed
// ones are used without a restart.
type Credentials interface {
	// Certificate returns the VM's own certificate and key.
	Certificate() *tls.Certificate
	// Authorities returns the certificates that sign those of peers.
	Authorities() *x509.CertPool
}

// Timing of links.
const (
	// dialTimeout bounds the TCP connect, and helloTimeout the TLS handshake and Hello together; both
	// are many times the latency between zones.
	dialTimeout  = time.Second
	helloTimeout = time.Second
	// redialFirst is the wait after a loss. It is short because a refused connection proves that a
	// peer's process is dead, which saves the quarantine of its targets.
	redialFirst = 100 * time.Millisecond
	redialMax   = time.Second
	// monitorInterval is the time between two checks of a link.
	monitorInterval = 100 * time.Millisecond
	// pingAfter is the silence after which an answer is asked for. Heartbeats come every 500 ms, so
	// pings are only sent to peers that send none or are in trouble.
	pingAfter = time.Second
	// silentAfter is the silence after which a fresh connection is tried; three heartbeats are
	// missing then.
	silentAfter = 1500 * time.Millisecond
	// closeAfter is the silence after which a link is closed although no fresh connection works.
	closeAfter = 5 * time.Second
	// drainTime is how long received messages are delivered after the loss of a link. It is shorter
	// than redialFirst, so that no message of a dead process follows its LinkRefused.
	drainTime = 50 * time.Millisecond
	// retireGrace is the time in which a replaced connection is still read.
	retireGrace = 500 * time.Millisecond
)

// Limits of links.
const (
	// maxHandshakes bounds the connections that have not said Hello.
	maxHandshakes = 256
	// maxPeers bounds the peers with a link or a dialer.
	maxPeers = 4096
	// maxHello is the size limit of a Hello in bytes.
	maxHello = 512
	// writeChunk is the most bytes in one yamux frame. Frames are sent whole, so it bounds what a
	// request waits behind a transfer.
	writeChunk = 16 << 10
	// socketBuffer is the kernel's send buffer in bytes, of which Linux makes twice as much. What is
	// in it is sent in order, so it bounds that wait as well; it allows 16 MB/s at a round trip of
	// 4 ms.
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

// jitter returns a random time between half of d and d.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d/2+1)
}
