package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"regexp"
	"slices"
	"time"

	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/internal/jsonc"
)

// validator checks the rules that go beyond types.
type validator struct {
	doc *jsonc.Document
	s   *Settings
}

func (v *validator) run() {
	v.name(jsonc.Path{"name"}, string(v.s.Name))
	v.name(jsonc.Path{"zone"}, string(v.s.Zone))
	v.listen()
	v.address(jsonc.Path{"fabricReturn"}, v.s.FabricReturn)
	v.platform()
	v.seeds()
	v.tls()
	v.oneOf(jsonc.Path{"log", "level"}, v.s.Log.Level, "debug", "info", "warn", "error")
	v.oneOf(jsonc.Path{"log", "format"}, v.s.Log.Format, "text", "json")
	if v.s.Traces.OTLP != "" {
		v.url(jsonc.Path{"traces", "otlp"}, v.s.Traces.OTLP)
	}
	if v.s.Traces.File != "" && v.s.Traces.OTLP != "" {
		v.report(jsonc.Path{"traces", "otlp"}, "traces go to a file already", "remove traces.file or traces.otlp")
	}
	if r := v.s.Traces.Ratio; !(r >= 0 && r <= 1) {
		v.report(jsonc.Path{"traces", "ratio"}, "the ratio is out of range", "use 0 to 1")
	}
	if n := v.s.TrafficThreads; n < 1 || n > MaxTrafficThreads {
		v.report(jsonc.Path{"trafficThreads"}, "the number is out of range",
			fmt.Sprintf("use 1 to %d", MaxTrafficThreads))
	}
}

// report adds a problem unless decoding already complained about the value.
func (v *validator) report(path jsonc.Path, message, remedy string) {
	if !v.doc.HasWrongType(path) {
		v.doc.Report(path, message, remedy)
	}
}

func (v *validator) listen() {
	at := jsonc.Path{"listen"}
	l := &v.s.Listen
	v.address(at.Field("fabric"), l.Fabric)
	v.address(at.Field("targets"), l.Targets)
	v.address(at.Field("peers"), l.Peers)
	v.address(at.Field("http"), l.HTTP)
	if l.PeersAnnounced.IsValid() {
		v.address(at.Field("peersAnnounced"), l.PeersAnnounced)
	}
	if l.Fabric.IsValid() && l.Fabric == l.Targets {
		v.report(at.Field("targets"), "the address is that of listen.fabric", "use another port")
	}
	if l.Peers.IsValid() && l.Peers == l.HTTP {
		v.report(at.Field("http"), "the address is that of listen.peers", "use another port")
	}
}

func (v *validator) platform() {
	at := jsonc.Path{"platform"}
	v.url(at.Field("url"), v.s.Platform.URL)
	if d := time.Duration(v.s.Platform.Timeout); d <= 0 || d > MaxTimeout {
		v.report(at.Field("timeout"), "the duration is out of range",
			fmt.Sprintf("use more than 0s and at most %s", MaxTimeout))
	}
	if r := v.s.Platform.Rate; !(r > 0 && r <= MaxRate) {
		v.report(at.Field("rate"), "the rate is out of range", fmt.Sprintf("use more than 0 and at most %g", MaxRate))
	}
}

func (v *validator) seeds() {
	names := map[core.VMName]bool{}
	for i, seed := range v.s.Seeds {
		at := jsonc.Path{"seeds"}.Index(i)
		v.name(at.Field("name"), string(seed.Name))
		v.name(at.Field("zone"), string(seed.Zone))
		v.address(at.Field("address"), seed.Address)
		if seed.Name != "" && names[seed.Name] {
			v.report(at.Field("name"), "the seed is listed twice", "list each VM once")
		}
		names[seed.Name] = true
		if seed.Name != v.s.Name {
			continue
		}
		if seed.Zone != v.s.Zone {
			v.report(at.Field("zone"), "the VM's own entry names another zone", "use the zone of the settings")
		}
		if seed.Address != v.s.Listen.announced() {
			v.report(at.Field("address"), "the VM's own entry names another address",
				"use listen.peersAnnounced if it is set, else listen.peers")
		}
	}
}

func (v *validator) tls() {
	if v.s.TLS == nil {
		return
	}
	at := jsonc.Path{"tls"}
	files := []struct{ field, name string }{
		{"ca", v.s.TLS.CA}, {"cert", v.s.TLS.Cert}, {"key", v.s.TLS.Key},
	}
	for _, f := range files {
		if f.name == "" {
			v.report(at.Field(f.field), "the file is missing",
				"name all of ca, cert and key, which the command keys creates, or remove tls")
		}
	}
}

// namePattern is what names of VMs and zones have to match; manifests use the same for zones.
var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]{0,61}[a-z0-9])?$`)

func (v *validator) name(at jsonc.Path, name string) {
	if namePattern.MatchString(name) {
		return
	}
	message := "no valid name"
	if name == "" {
		message = "the name is missing or empty"
	}
	v.report(at, message, "use up to 63 lower-case letters, digits, '.', '-' or '_' between letters or digits")
}

// address checks an address that others send to, so that it needs a definite IP address and port.
func (v *validator) address(at jsonc.Path, a netip.AddrPort) {
	const remedy = `give a unicast IP address and a port, such as "10.0.0.1:5683"`
	switch {
	case !a.IsValid():
		v.report(at, "the address is missing", remedy)
	case a.Port() == 0 || a.Addr().IsUnspecified() || a.Addr().IsMulticast():
		v.report(at, "no usable address", remedy)
	}
}

func (v *validator) url(at jsonc.Path, text string) {
	u, err := url.Parse(text)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		v.report(at, "no usable URL", `give an http or https URL such as "http://10.0.0.9:8500"`)
	}
}

func (v *validator) oneOf(at jsonc.Path, value string, allowed ...string) {
	if !slices.Contains(allowed, value) {
		v.report(at, "unknown value", fmt.Sprintf("use one of %q", allowed))
	}
}
