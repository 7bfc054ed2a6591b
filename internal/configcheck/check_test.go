package configcheck

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"

	"github.com/mangoweir/mangoweir/core/registry"
	"github.com/mangoweir/mangoweir/internal/standin/objects"
	"github.com/mangoweir/mangoweir/platform"
)

// valid is a configuration without findings.
const valid = `{"version":7,"routes":[
{"name":"r-1","hostname":"198.18.0.1","pathPrefix":"/443/","service":"a","timeoutMs":4000,"targetLatencyMs":250,"priority":0},
{"name":"r-2","hostname":"198.18.0.2","pathPrefix":"/443/","targets":[{"service":"a","weight":9},{"service":"b","weight":1}],
"timeoutMs":4000,"targetLatencyMs":600,"priority":2}],
"services":[{"name":"a","coldStartS":2.5,"coldPerS":3},{"name":"b"}],"limits":{"idleTimeoutMs":15000}}`

func decode(t *testing.T, text string) *platform.CheckedConfig {
	t.Helper()
	config, err := platform.DecodeCheckedConfig([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return config
}

// readable reports whether forwarders can read a configuration.
func readable(t *testing.T, spec string) bool {
	t.Helper()
	store := objects.New()
	store.PutRaw("config", registry.ConfigName, json.RawMessage(spec))
	server := httptest.NewServer(store)
	defer server.Close()
	client, err := platform.NewStore(strings.TrimPrefix(server.URL, "http://"), nil)
	if err != nil {
		t.Fatal(err)
	}
	update, err := client.List(context.Background(), registry.Configs)
	if err != nil || len(update.Records) != 1 {
		t.Fatalf("%d records, error %v", len(update.Records), err)
	}
	return update.Records[0].Unreadable == ""
}

// Each case changes the valid configuration and guards against the fault in its name being sent unnoticed. Findings are given as
// severity, name of the entry and field; a fault must not cause further findings. All cases guard against a configuration that
// passes although forwarders cannot read it.
func TestCheck(t *testing.T) {
	for _, c := range []struct {
		fault string
		// replacements are pairs of a text of the valid configuration and its replacement.
		replacements []string
		want         []string
	}{
		{"none", nil, nil},
		{"no version", []string{`"version":7,`, ``}, []string{"error  version"}},
		{"version 0", []string{`"version":7`, `"version":0`}, []string{"error  version"}},
		{"host name instead of an address", []string{`198.18.0.1`, `example`}, []string{"error r-1 routes[0].hostname"}},
		{"no address", []string{`"hostname":"198.18.0.1",`, ``}, []string{"error r-1 routes[0].hostname"}},
		{"IPv6 address, which forwarders leave out", []string{`198.18.0.1`, `2001:db8::1`}, []string{"error r-1 routes[0].hostname"}},
		{"unspecified address", []string{`198.18.0.1`, `0.0.0.0`}, []string{"error r-1 routes[0].hostname"}},
		{"multicast address", []string{`198.18.0.1`, `224.0.0.1`}, []string{"error r-1 routes[0].hostname"}},
		{"no port", []string{`198.18.0.1","pathPrefix":"/443/"`, `198.18.0.1"`}, []string{"error r-1 routes[0].pathPrefix"}},
		{"port 0", []string{`198.18.0.1","pathPrefix":"/443/"`, `198.18.0.1","pathPrefix":"/0/"`}, []string{"error r-1 routes[0].pathPrefix"}},
		{"port above 65535", []string{`198.18.0.1","pathPrefix":"/443/"`, `198.18.0.1","pathPrefix":"/65536/"`}, []string{"error r-1 routes[0].pathPrefix"}},
		{"route without a service", []string{`"service":"a","timeoutMs"`, `"timeoutMs"`}, []string{"error r-1 routes[0].service"}},
		{"unlisted service", []string{`"service":"a","timeoutMs"`, `"service":"c","timeoutMs"`}, []string{"error r-1 routes[0].service"}},
		{"unlisted service with a weight", []string{`"service":"b","weight"`, `"service":"c","weight"`},
			[]string{"warning b services[1].name", "error r-2 routes[1].targets[1].service"}},
		{"service and targets", []string{`"targets":[`, `"service":"b","targets":[`}, []string{"warning r-2 routes[1].service"}},
		{"negative weight", []string{`"weight":1`, `"weight":-1`}, []string{"error r-2 routes[1].targets[1].weight"}},
		{"sum of weights 0", []string{`"weight":1`, `"weight":0`, `"weight":9`, `"weight":0`}, []string{"error r-2 routes[1].targets"}},
		{"weight 0", []string{`"weight":1`, `"weight":0`}, []string{"warning r-2 routes[1].targets[1].weight"}},
		{"duplicate route name", []string{`r-2`, `r-1`}, []string{"error r-1 routes[1].name"}},
		{"route without a name", []string{`"name":"r-1",`, ``}, []string{"warning  routes[0].name"}},
		{"duplicate service name", []string{`{"name":"b"}`, `{"name":"b"},{"name":"b"}`}, []string{"error b services[2].name"}},
		{"service without a name", []string{`{"name":"b"}`, `{"name":"b"},{}`}, []string{"error  services[2].name"}},
		{"negative priority", []string{`"priority":0`, `"priority":-1`}, []string{"error r-1 routes[0].priority"}},
		{"negative latency objective", []string{`"targetLatencyMs":250`, `"targetLatencyMs":-1`}, []string{"error r-1 routes[0].targetLatencyMs"}},
		{"negative time-out", []string{`"timeoutMs":4000,"targetLatencyMs":250`, `"timeoutMs":-1,"targetLatencyMs":250`}, []string{"error r-1 routes[0].timeoutMs"}},
		{"negative idle time-out", []string{`15000`, `-1`}, []string{"error  limits.idleTimeoutMs"}},
		{"negative cold start", []string{`2.5`, `-2.5`}, []string{"error a services[0].coldStartS"}},
		{"negative cold rate", []string{`"coldPerS":3`, `"coldPerS":-3`}, []string{"error a services[0].coldPerS"}},
		{"route hidden by a later one", []string{`198.18.0.2`, `198.18.0.1`}, []string{"warning r-1 routes[0].hostname"}},
		{"route hidden by the same address in IPv6 notation", []string{`198.18.0.2`, `::ffff:198.18.0.1`}, []string{"warning r-1 routes[0].hostname"}},
		{"unused service", []string{`{"name":"b"}`, `{"name":"b"},{"name":"c"}`}, []string{"warning c services[2].name"}},
		{"objective above the time-out", []string{`"targetLatencyMs":600`, `"targetLatencyMs":4001`}, []string{"warning r-2 routes[1].targetLatencyMs"}},
		{"idle time-out below time-outs", []string{`15000`, `3999`}, []string{"warning  limits.idleTimeoutMs"}},
		{"idle time-out below an objective", []string{`15000`, `500`, `"timeoutMs":4000,`, ``}, []string{"warning  limits.idleTimeoutMs"}},
		{"cold start without a rate", []string{`,"coldPerS":3`, ``}, []string{"warning a services[0].coldPerS"}},
		{"cold rate without a start", []string{`"coldStartS":2.5,`, ``}, []string{"warning a services[0].coldStartS"}},
		{"urgent route with the longer objective", []string{`"priority":0`, `"priority":3`}, []string{"warning r-2 routes[1].targetLatencyMs"}},
	} {
		t.Run(c.fault, func(t *testing.T) {
			text := valid
			for i := 0; i < len(c.replacements); i += 2 {
				if !strings.Contains(text, c.replacements[i]) {
					t.Fatalf("the configuration has no %q", c.replacements[i])
				}
				text = strings.ReplaceAll(text, c.replacements[i], c.replacements[i+1])
			}
			var got []string
			failed := false
			for _, f := range Check(decode(t, text)) {
				got = append(got, fmt.Sprintf("%s %s%s %s", f.Severity, f.Route, f.Service, f.Field))
				failed = failed || f.Severity == Error
				if f.Message == "" || f.Remedy == "" {
					t.Errorf("%+v lacks a message or remedy", f)
				}
			}
			if !slices.Equal(got, c.want) {
				t.Errorf("got findings %q, want %q", got, c.want)
			}
			if !failed && !readable(t, text) {
				t.Error("no error although forwarders cannot read the configuration")
			}
		})
	}
}

// Guards against warnings about routes that cannot contradict each other: of the same priority, without an objective, of
// different services, or with a weight of 0.
func TestObjectivesThatDoNotContradict(t *testing.T) {
	contradicting := strings.Replace(valid, `"priority":0`, `"priority":3`, 1)
	for _, c := range []struct {
		old, new string
		want     bool
	}{
		{"", "", true},
		{`"priority":3`, `"priority":2`, false},
		{`"targetLatencyMs":250`, `"targetLatencyMs":0`, false},
		{`{"service":"a","weight":9},`, ``, false},
		{`"weight":9`, `"weight":0`, false},
	} {
		got := slices.ContainsFunc(Check(decode(t, strings.Replace(contradicting, c.old, c.new, 1))), func(f Finding) bool {
			return strings.HasSuffix(f.Field, "."+platform.FieldLatencyObjective)
		})
		if got != c.want {
			t.Errorf("%s instead of %s: warning is %v, want %v", c.new, c.old, got, c.want)
		}
	}
}

// Guards against a text that cannot be decoded being reported at another position than that of the fault.
func TestUndecodable(t *testing.T) {
	for _, c := range []struct{ text, want string }{
		{"{\"version\":7,\n \"routes\":]}", "f:2:11: error: invalid character ']' looking for beginning of value; correct the JSON at this position"},
		{"", "f:1:1: error: unexpected end of JSON input; correct the JSON at this position"},
		{"{\"version\":\n  -1}", "f:2:4: error: version: the value has the wrong type, found number -1; give a whole number that is not negative"},
		{"{\"meta\":{},\"spec\":{\"routes\":[{},\n{\"name\":\"é\",\"timeoutMs\":\"4s\"}]}}",
			"f:2:28: error: spec.routes.timeoutMs: the value has the wrong type, found string; give a number"},
		{`{"version":7,"routes":[{"hostname":5}]}`, "f:1:36: error: routes.hostname: the value has the wrong type, found number; give a string"},
		{"[]", "f:1:1: error: the value has the wrong type, found array; give an object"},
	} {
		_, err := platform.DecodeCheckedConfig([]byte(c.text))
		if err == nil {
			t.Errorf("%s: decoded", c.text)
			continue
		}
		if got := Undecodable([]byte(c.text), err).Text("f"); got != c.want {
			t.Errorf("%s: got %q, want %q", c.text, got, c.want)
		}
	}
}
