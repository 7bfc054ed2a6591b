package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"slices"
	"time"

	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/internal/jsonc"
)

// validator checks decoded settings against the rules that their types do not express.
type validator struct {
	doc      *jsonc.Document
	settings *Settings
}

func (v *validator) validate() {
	v.checkName(jsonc.Path{"name"}, string(v.settings.Name))
	v.checkName(jsonc.Path{"zone"}, string(v.settings.Zone))
	v.checkListen()
	v.checkAddress(jsonc.Path{"fabricReturn"}, v.settings.FabricReturn)
	v.checkPlatform()
	v.checkSeeds()
	v.checkTLS()
	v.checkOneOf(jsonc.Path{"log", "level"}, v.settings.Log.Level, "debug", "info", "warn", "error")
	v.checkOneOf(jsonc.Path{"log", "format"}, v.settings.Log.Format, "text", "json")
	if v.settings.Traces.OTLP != "" {
		v.checkURL(jsonc.Path{"traces", "otlp"}, v.settings.Traces.OTLP)
	}
	if v.settings.Traces.File != "" && v.settings.Traces.OTLP != "" {
		v.report(jsonc.Path{"traces", "otlp"}, "traces go to a file already", "remove traces.file or traces.otlp")
	}
	if ratio := v.settings.Traces.Ratio; !(ratio >= 0 && ratio <= 1) {
		v.report(jsonc.Path{"traces", "ratio"}, "the ratio is out of range", "use 0 to 1")
	}
	if threads := v.settings.TrafficThreads; threads < 1 || threads > MaxTrafficThreads {
		v.report(jsonc.Path{"trafficThreads"}, "the number is out of range",
			fmt.Sprintf("use 1 to %d", MaxTrafficThreads))
	}
}

// report adds a problem unless decoding has already reported a wrong type of the value.
func (v *validator) report(path jsonc.Path, message, remedy string) {
	if !v.doc.HasWrongType(path) {
		v.doc.Report(path, message, remedy)
	}
}

func (v *validator) checkListen() {
	path := jsonc.Path{"listen"}
	listen := &v.settings.Listen
	v.checkAddress(path.Field("fabric"), listen.Fabric)
	v.checkAddress(path.Field("targets"), listen.Targets)
	v.checkAddress(path.Field("peers"), listen.Peers)
	v.checkAddress(path.Field("http"), listen.HTTP)
	if listen.PeersAnnounced.IsValid() {
		v.checkAddress(path.Field("peersAnnounced"), listen.PeersAnnounced)
	}
	if listen.Fabric.IsValid() && listen.Fabric == listen.Targets {
		v.report(path.Field("targets"), "the address is that of listen.fabric", "use another port")
	}
	if listen.Peers.IsValid() && listen.Peers == listen.HTTP {
		v.report(path.Field("http"), "the address is that of listen.peers", "use another port")
	}
}

func (v *validator) checkPlatform() {
	path := jsonc.Path{"platform"}
	v.checkURL(path.Field("url"), v.settings.Platform.URL)
	if timeout := time.Duration(v.settings.Platform.Timeout); timeout <= 0 || timeout > MaxTimeout {
		v.report(path.Field("timeout"), "the duration is out of range",
			fmt.Sprintf("use more than 0s and at most %s", MaxTimeout))
	}
	if rate := v.settings.Platform.Rate; !(rate > 0 && rate <= MaxRate) {
		v.report(path.Field("rate"), "the rate is out of range", fmt.Sprintf("use more than 0 and at most %g", MaxRate))
	}
}

func (v *validator) checkSeeds() {
	names := map[core.VMName]bool{}
	for i, seed := range v.settings.Seeds {
		path := jsonc.Path{"seeds"}.Index(i)
		v.checkName(path.Field("name"), string(seed.Name))
		v.checkName(path.Field("zone"), string(seed.Zone))
		v.checkAddress(path.Field("address"), seed.Address)
		if seed.Name != "" && names[seed.Name] {
			v.report(path.Field("name"), "the seed is listed twice", "list each VM once")
		}
		names[seed.Name] = true
		if seed.Name != v.settings.Name {
			continue
		}
		if seed.Zone != v.settings.Zone {
			v.report(path.Field("zone"), "the VM's own entry names another zone", "use the zone of the settings")
		}
		if seed.Address != v.settings.Listen.announcedPeers() {
			v.report(path.Field("address"), "the VM's own entry names another address",
				"use listen.peersAnnounced if it is set, else listen.peers")
		}
	}
}

func (v *validator) checkTLS() {
	if v.settings.TLS == nil {
		return
	}
	path := jsonc.Path{"tls"}
	files := []struct{ field, name string }{
		{"ca", v.settings.TLS.CA}, {"cert", v.settings.TLS.Cert}, {"key", v.settings.TLS.Key},
	}
	for _, f := range files {
		if f.name == "" {
			v.report(path.Field(f.field), "the file is missing",
				"give all of ca, cert and key, which mangoweir keys creates, or remove tls")
		}
	}
}

func (v *validator) checkName(path jsonc.Path, name string) {
	if core.ValidName(name) {
		return
	}
	message := "no valid name"
	if name == "" {
		message = "the name is missing or empty"
	}
	v.report(path, message, core.NameRemedy)
}

// checkAddress checks an address to which other VMs, the fabric or targets send. It needs a specific
// unicast IP address and a port.
func (v *validator) checkAddress(path jsonc.Path, addr netip.AddrPort) {
	const remedy = `give a unicast IP address and a port, such as "10.0.0.1:5683"`
	switch {
	case !addr.IsValid():
		v.report(path, "the address is missing", remedy)
	case addr.Port() == 0 || addr.Addr().IsUnspecified() || addr.Addr().IsMulticast():
		v.report(path, "no usable address", remedy)
	}
}

func (v *validator) checkURL(path jsonc.Path, text string) {
	u, err := url.Parse(text)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		v.report(path, "no usable URL", `give an http or https URL such as "http://10.0.0.9:8500"`)
	}
}

func (v *validator) checkOneOf(path jsonc.Path, value string, allowed ...string) {
	if !slices.Contains(allowed, value) {
		v.report(path, "unknown value", fmt.Sprintf("use one of %q", allowed))
	}
}
