package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

const validSettings = `{
"name": "vm-1", "zone": "za",
"listen": {"fabric": "127.0.0.1:1", "targets": "127.0.0.1:2", "peers": "127.0.0.1:3", "http": "127.0.0.1:4"},
"fabricReturn": "127.0.0.9:1",
"platform": {"url": "http://127.0.0.1:8500"},
"seeds": [{"name": "vm-1", "zone": "za", "address": "127.0.0.1:3"}, {"name": "vm-2", "zone": "zb", "address": "127.0.0.2:3"}],
"tls": {"ca": "ca.pem", "cert": "/k/c.pem", "key": "k.pem"},
}`

// Guards against defaults that are missing and file names that depend on the working directory.
func TestLoad(t *testing.T) {
	Convey("Settings get defaults and resolved file names", t, func() {
		file := filepath.Join(t.TempDir(), "vm.json")
		So(os.WriteFile(file, []byte(validSettings), 0o600), ShouldBeNil)
		s, err := Load(file)
		So(err, ShouldBeNil)
		So(time.Duration(s.Platform.Timeout), ShouldEqual, DefaultTimeout)
		So(s.Platform.Rate, ShouldEqual, DefaultRate)
		So(s.Log, ShouldResemble, Log{Level: "info", Format: "text"})
		So(s.TrafficThreads, ShouldEqual, DefaultTrafficThreads)
		So(s.Seeds, ShouldHaveLength, 1)
		So(s.TLS.CA, ShouldEqual, filepath.Join(filepath.Dir(file), "ca.pem"))
		So(s.TLS.Cert, ShouldEqual, "/k/c.pem")
	})
}

// Guards against accepting settings with which a VM runs but is unreachable or never gets authority.
func TestValidate(t *testing.T) {
	cases := []struct{ old, new, want string }{
		{`"vm-1", "zone": "za",
`, `"", "zone": "Z",
`, "s.json:2:9: name: the name is missing"},
		{`127.0.0.1:1"`, `0.0.0.0:1"`, "listen.fabric: no usable address"},
		{`127.0.0.1:2`, `127.0.0.1:1`, "listen.targets: the address is that of listen.fabric"},
		{`, "http": "127.0.0.1:4"`, ``, "listen.http: the address is missing"},
		{`127.0.0.9:1`, `127.0.0.9`, `fabricReturn: not a valid value, found "127.0.0.9"`},
		{`http://127.0.0.1:8500`, `127.0.0.1:8500`, "platform.url: no usable URL"},
		{`:8500"`, `:8500", "timeout": "7s"`, "at most 6s"},
		{`:8500"`, `:8500", "rate": 0`, "platform.rate: the rate is out of range"},
		{`"vm-2"`, `"vm-1"`, "seeds[1].name: the seed is listed twice"},
		{`"address": "127.0.0.1:3"`, `"address": "127.0.0.1:9"`, "seeds[0].address: the VM's own entry names another address"},
		{`"ca": "ca.pem",`, ``, "tls.ca: the file is missing"},
		{`"tls"`, `"log": {"level": "loud"}, "tls"`, "log.level: unknown value"},
		{`"tls"`, `"trafficThreads": 0, "tls"`, "use 1 to 64"},
		{`"tls"`, `"threads": 0, "tls"`, "threads: unknown field"},
	}
	Convey("Each fault is reported", t, func() {
		for _, c := range cases {
			So(validSettings, ShouldContainSubstring, c.old)
			_, err := Parse("s.json", []byte(strings.Replace(validSettings, c.old, c.new, 1)))
			So(err, ShouldNotBeNil)
			So(err.Error(), ShouldContainSubstring, c.want)
		}
	})
}
