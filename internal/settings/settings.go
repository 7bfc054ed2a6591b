package settings

import (
	"net/netip"
	"time"

	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/internal/jsonc"
)

// Settings are the settings of one entry VM.
type Settings struct {
	// Name is the VM's name, unique in the deployment.
	Name core.VMName `json:"name" expect:"the VM's name as a string"`
	// Zone is the availability zone that the VM is in.
	Zone   core.ZoneName `json:"zone" expect:"the zone's name as a string"`
	Listen Listen        `json:"listen" expect:"an object with listen addresses"`
	// FabricReturn is the UDP address of the fabric to which answers to clients are sent.
	FabricReturn netip.AddrPort `json:"fabricReturn" expect:"an IP address and port such as \"10.0.0.1:5683\""`
	Platform     Platform       `json:"platform" expect:"an object with the platform's URL"`
	// Seeds are the peers to contact first. The VM's own entry is ignored, so that all VMs of a
	// deployment can have the same list.
	Seeds []Seed `json:"seeds" expect:"an array of seeds"`
	// TLS names the certificates of peer links; without it the links are not encrypted.
	TLS    *TLS   `json:"tls" expect:"an object with the files ca, cert and key"`
	Log    Log    `json:"log" expect:"an object with level and format"`
	Traces Traces `json:"traces" expect:"an object with file or otlp"`
	// TrafficThreads is the number of traffic goroutines; default 2, at most MaxTrafficThreads.
	TrafficThreads int `json:"trafficThreads" expect:"a whole number from 1 up"`
}

// Listen holds the addresses that the VM listens on.
type Listen struct {
	// Fabric is the UDP address for datagrams from the fabric.
	Fabric netip.AddrPort `json:"fabric" expect:"an IP address and port such as \"10.0.0.1:5683\""`
	// Targets is the UDP address for datagrams from targets.
	Targets netip.AddrPort `json:"targets" expect:"an IP address and port such as \"10.0.0.1:5684\""`
	// Peers is the TCP address for links from other VMs.
	Peers netip.AddrPort `json:"peers" expect:"an IP address and port such as \"10.0.0.1:7400\""`
	// PeersAnnounced is the address at which other VMs reach Peers; default Peers. It differs from
	// Peers when addresses are translated between the VMs.
	PeersAnnounced netip.AddrPort `json:"peersAnnounced" expect:"an IP address and port such as \"10.0.0.1:7400\""`
	// HTTP is the TCP address for metrics, health and status.
	HTTP netip.AddrPort `json:"http" expect:"an IP address and port such as \"10.0.0.1:8080\""`
}

// Platform holds the settings of the client of the platform's object API.
type Platform struct {
	URL string `json:"url" expect:"an http or https URL such as \"http://10.0.0.9:8500\""`
	// Timeout bounds a call; default 2 s.
	Timeout jsonc.Duration `json:"timeout" expect:"a duration such as \"2s\""`
	// Rate is the number of calls per second that the VM may make; default 20.
	Rate float64 `json:"rate" expect:"a number of calls a second"`
}

// Seed is a peer that the VM contacts when it starts.
type Seed struct {
	Name core.VMName   `json:"name" expect:"the VM's name as a string"`
	Zone core.ZoneName `json:"zone" expect:"the zone's name as a string"`
	// Address is the peer's TCP address for links.
	Address netip.AddrPort `json:"address" expect:"an IP address and port such as \"10.0.0.1:7400\""`
}

// TLS names PEM files. Relative names are relative to the settings file.
type TLS struct {
	// CA holds the certificate that signs the certificates of all VMs.
	CA   string `json:"ca" expect:"a file name"`
	Cert string `json:"cert" expect:"a file name"`
	Key  string `json:"key" expect:"a file name"`
}

// announcedPeers returns the address at which other VMs reach Peers.
func (l *Listen) announcedPeers() netip.AddrPort {
	if l.PeersAnnounced.IsValid() {
		return l.PeersAnnounced
	}
	return l.Peers
}

// Log holds the level and the format of the log.
type Log struct {
	// Level is "debug", "info", "warn" or "error"; default "info".
	Level string `json:"level" expect:"\"debug\", \"info\", \"warn\" or \"error\""`
	// Format is "text" or "json"; default "text".
	Format string `json:"format" expect:"\"text\" or \"json\""`
}

// Traces holds the destination of traces. Tracing is off when File and OTLP are empty; at most one of
// them may be set.
type Traces struct {
	// File is the file to which traces are appended. A relative name is relative to the settings file.
	File string `json:"file" expect:"a file name"`
	// OTLP is the URL of an OTLP endpoint over HTTP.
	OTLP string `json:"otlp" expect:"an http or https URL"`
	// Ratio is the share of requests that are traced, from 0 to 1; default 1.
	Ratio float64 `json:"ratio" expect:"a number from 0 to 1"`
}

// Defaults of settings.
const (
	DefaultTimeout        = 2 * time.Second
	DefaultRate           = 20.0
	DefaultLogLevel       = "info"
	DefaultLogFormat      = "text"
	DefaultTrafficThreads = 2
	DefaultTraceRatio     = 1.0
)

// Bounds of settings.
const (
	MaxTrafficThreads = 64
	// MaxTimeout is the time for which a confirmation by the platform gives authority. A call that gets no
	// response must not take longer.
	MaxTimeout = core.ConfirmTTL
	MaxRate    = 1000.0
)

// defaultSettings returns settings that contain only the defaults.
func defaultSettings() *Settings {
	return &Settings{
		Platform:       Platform{Timeout: jsonc.Duration(DefaultTimeout), Rate: DefaultRate},
		Log:            Log{Level: DefaultLogLevel, Format: DefaultLogFormat},
		Traces:         Traces{Ratio: DefaultTraceRatio},
		TrafficThreads: DefaultTrafficThreads,
	}
}
