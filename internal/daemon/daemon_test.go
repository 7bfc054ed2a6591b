package daemon

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/internal/jsonc"
	"github.com/mangoweir/mangoweir/internal/keys"
	"github.com/mangoweir/mangoweir/internal/platform"
	"github.com/mangoweir/mangoweir/internal/settings"
	standin "github.com/mangoweir/mangoweir/internal/standin/platform"
	"github.com/mangoweir/mangoweir/internal/telemetry"
)

// manifest returns a manifest with one service of one target.
func manifest(service, target netip.AddrPort) []byte {
	return fmt.Appendf(nil, manifestFormat, service, target)
}

const manifestFormat = `{
  "deployment": "test",
  "zones": [{"name": "zone-a"}],
  "services": [{
    "name": "desk", "address": "%s",
    "targets": [{"name": "desk-1", "address": "%s", "zone": "zone-a", "slots": 4, "connections": 100}]
  }]
}`

// Addresses at which nothing listens.
var (
	noService = netip.MustParseAddrPort("127.94.0.1:5683")
	noTarget  = netip.MustParseAddrPort("127.94.1.1:5683")
)

var discard = slog.New(slog.DiscardHandler)

var freeAddr = netip.MustParseAddrPort("127.0.0.1:0")

// startPlatform starts a stand-in of the platform with the manifest and returns its URL.
func startPlatform(t *testing.T, service, target netip.AddrPort) string {
	t.Helper()
	server := standin.New()
	url, err := server.Start("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = server.Close() })
	server.Set(platform.ManifestKey, manifest(service, target))
	return url
}

// testSettings returns the settings of a VM on free loopback ports, with the given daemons as seeds.
func testSettings(url string, name core.VMName, seeds ...*Daemon) *settings.Settings {
	vmSettings := &settings.Settings{
		Name: name, Zone: "zone-a",
		Listen:         settings.Listen{Fabric: freeAddr, Targets: freeAddr, Peers: freeAddr, HTTP: freeAddr},
		FabricReturn:   netip.MustParseAddrPort("127.94.100.1:5683"),
		Platform:       settings.Platform{URL: url, Timeout: jsonc.Duration(settings.DefaultTimeout), Rate: settings.DefaultRate},
		TrafficThreads: settings.DefaultTrafficThreads,
	}
	for _, d := range seeds {
		vmSettings.Seeds = append(vmSettings.Seeds, settings.Seed{Name: d.opts.Settings.Name, Zone: "zone-a", Address: d.PeerAddr()})
	}
	return vmSettings
}

// startDaemon starts a VM that ends with the test.
func startDaemon(t *testing.T, opts Options) *Daemon {
	t.Helper()
	if opts.Log == nil {
		opts.Log = discard
	}
	d, err := Start(opts)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Kill)
	return d
}

// waitUntil waits until ok returns true, for at most limit, and reports whether it did.
func waitUntil(limit time.Duration, ok func() bool) bool {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if ok() {
			return true
		}
	}
	return false
}

// Guards against log lines without the prefix of their component, and against an HTTP port that lacks
// metrics or does not report why the VM is not ready.
func TestLogAndHTTP(t *testing.T) {
	Convey("Given a VM with a platform that is down", t, func() {
		out := &bytes.Buffer{}
		log, err := telemetry.NewLogger(out, telemetry.LogSettings{Format: telemetry.LogJSON})
		So(err, ShouldBeNil)
		d := startDaemon(t, Options{Settings: testSettings("http://127.0.0.1:1", "vm-a"), Log: log})
		get := func(path string) (int, string) {
			r, err := http.Get("http://" + d.HTTPAddr().String() + path)
			So(err, ShouldBeNil)
			defer r.Body.Close()
			body, err := io.ReadAll(r.Body)
			So(err, ShouldBeNil)
			return r.StatusCode, string(body)
		}
		status, body := get("/readyz")
		So(status, ShouldEqual, http.StatusServiceUnavailable)
		So(body, ShouldContainSubstring, "apply a manifest")
		status, body = get("/metrics")
		So(status, ShouldEqual, http.StatusOK)
		So(body, ShouldContainSubstring, "mangoweir_links 0\n")
		So(body, ShouldContainSubstring, `mangoweir_events_total{kind=`)
		So(body, ShouldContainSubstring, "go_goroutines")
		status, _ = get(platform.StatusPath)
		So(status, ShouldEqual, http.StatusOK)
		d.Kill()
		lines := 0
		for dec := json.NewDecoder(out); dec.More(); lines++ {
			var line struct{ Msg, Part string }
			So(dec.Decode(&line), ShouldBeNil)
			So(line.Msg, ShouldContainSubstring, ": ")
			So(line.Part, ShouldBeEmpty)
			So([]string{"daemon", "link", "core", "carrier", "http", "traces"}, ShouldContain, strings.SplitN(line.Msg, ":", 2)[0])
		}
		So(lines, ShouldBeGreaterThanOrEqualTo, 3)
	})
}

// issueCertificate creates the certificate of a VM in dir, which has an authority, and loads it.
func issueCertificate(t *testing.T, dir string, name core.VMName) *keys.Store {
	t.Helper()
	if err := keys.Issue(dir, dir, string(name), 0, false); err != nil {
		t.Fatal(err)
	}
	store, err := keys.Load(keys.FilesIn(dir, string(name)), string(name), discard)
	if err != nil {
		t.Fatal(err)
	}
	return store
}

// Guards against missing links between VMs whose certificates are of the same authority, and against links
// with a VM whose certificate is of another authority.
func TestMutualTLS(t *testing.T) {
	Convey("VMs of one authority form links, and a VM of another authority is refused", t, func() {
		url := startPlatform(t, noService, noTarget)
		ownDir, otherDir := t.TempDir(), t.TempDir()
		for _, dir := range []string{ownDir, otherDir} {
			So(keys.CreateAuthority(dir, "test", 0), ShouldBeNil)
		}
		a := startDaemon(t, Options{Settings: testSettings(url, "vm-a"), Credentials: issueCertificate(t, ownDir, "vm-a")})
		b := startDaemon(t, Options{Settings: testSettings(url, "vm-b", a), Credentials: issueCertificate(t, ownDir, "vm-b")})
		linked := func() bool { return a.links.Stats().Links == 1 && b.links.Stats().Links == 1 }
		So(waitUntil(10*time.Second, func() bool { return linked() && a.Ready() && b.Ready() }), ShouldBeTrue)

		other := startDaemon(t, Options{Settings: testSettings(url, "vm-c", a, b), Credentials: issueCertificate(t, otherDir, "vm-c")})
		// The wait between two dials is at most 1 s, so the VM dials several times.
		time.Sleep(3 * time.Second)
		So(other.links.Stats().Links, ShouldEqual, 0)
		So(linked(), ShouldBeTrue)
	})
}
