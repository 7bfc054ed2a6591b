package configcheck

import (
	"fmt"
	"strings"
	"testing"
)

// Guards against a configuration that never comes into force, as its version is not above the one in force.
func TestCheckVersion(t *testing.T) {
	for version, want := range map[int]int{0: 0, 6: 1, 7: 1, 8: 0} {
		next := decode(t, strings.Replace(valid, `"version":7`, fmt.Sprintf(`"version":%d`, version), 1))
		if got := CheckVersion(decode(t, valid), next); len(got) != want {
			t.Errorf("version %d: got %v, want %d findings", version, got, want)
		}
	}
}

// Guards against differences that are not shown or shown wrongly. Each case changes the valid configuration.
func TestCompare(t *testing.T) {
	for _, c := range []struct{ name, old, new, want string }{
		{"nothing", "", "", ""},
		{"fields of a route", `"timeoutMs":4000,"targetLatencyMs":250`, `"timeoutMs":5000,"targetLatencyMs":200`,
			"route r-1: targetLatencyMs: 250 -> 200\nroute r-1: timeoutMs: 4000 -> 5000"},
		{"weights", `"weight":9`, `"weight":8`,
			`route r-2: targets: [{"service":"a","weight":9},{"service":"b","weight":1}] -> [{"service":"a","weight":8},{"service":"b","weight":1}]`},
		{"name of a route", `r-2`, `r-3`, "route r-3: added\nroute r-2: removed"},
		{"second route with a name", `"r-2","hostname":"198.18.0.2","pathPrefix":"/443/","targets":[{"service":"a","weight":9},{"service":"b","weight":1}],
"timeoutMs":4000,"targetLatencyMs":600,"priority":2`, `"r-1","hostname":"198.18.0.2","pathPrefix":"/443/","service":"a","timeoutMs":4000,"targetLatencyMs":250`,
			"route r-1: hostname: \"198.18.0.1\" -> \"198.18.0.2\"\nroute r-2: removed"},
		{"field of a service", `"coldPerS":3`, `"coldPerS":4`, "service a: coldPerS: 3 -> 4"},
		{"services", `{"name":"b"}`, `{"name":"c"}`, "service c: added\nservice b: removed"},
		{"order of services", `{"name":"a","coldStartS":2.5,"coldPerS":3},{"name":"b"}`, `{"name":"b"},{"name":"a","coldStartS":2.5,"coldPerS":3}`, ""},
		{"empty list", `"service":"a","timeoutMs"`, `"targets":[],"service":"a","timeoutMs"`, ""},
		{"limits", `15000`, `9000`, "limits: idleTimeoutMs: 15000 -> 9000"},
	} {
		var lines []string
		for _, change := range Compare(decode(t, valid), decode(t, strings.Replace(valid, c.old, c.new, 1))) {
			lines = append(lines, change.String())
		}
		if got := strings.Join(lines, "\n"); got != c.want {
			t.Errorf("%s: got %q, want %q", c.name, got, c.want)
		}
	}
}
