package contract

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/internal/jsonc"
	. "github.com/smartystreets/goconvey/convey"
)

// validManifest is a valid manifest with one item per line, so that tests can replace lines.
const validManifest = `{ // trial
"deployment": "trial",
"zones": [{"name": "za"}, {"name": "zb", "state": "in"}],
"services": [
{"name": "desk", "address": "10.0.0.1:1",
"contract": {"coldLimit": 1, "maxWait": {"feed": "500ms"}},
"targets": [
{"name": "d1", "address": "10.0.1.1:1", "zone": "za", "slots": 4, "connections": 2000, "reportsLoad": true},
{"name": "d2", "address": "10.0.1.2:1", "zone": "zb", "slots": 4, "connections": 2000, "weight": 0},
]},
{"name": "audit", "address": "10.0.0.2:1", "contract": {}, "targets": [
{"name": "a1", "address": "10.0.2.1:1", "zone": "za", "slots": 2, "connections": 10, "state": "draining", "instance": "i2"}
]}]
}
`

// editedManifest returns validManifest with some text replaced; pairs alternate old and new text.
func editedManifest(pairs ...string) []byte {
	for i := 0; i < len(pairs); i += 2 {
		if !strings.Contains(validManifest, pairs[i]) {
			panic("validManifest does not contain " + pairs[i])
		}
	}
	return []byte(strings.NewReplacer(pairs...).Replace(validManifest))
}

// Guards against values that are lost, and defaults that are missing, in the conversion to a core.Config.
func TestDecode(t *testing.T) {
	Convey("A manifest is converted to a configuration with defaults", t, func() {
		config, err := Decode(7, []byte(validManifest))
		So(err, ShouldBeNil)
		So(config.Generation, ShouldEqual, core.Generation(7))
		So(string(config.Text), ShouldEqual, validManifest)
		So(config.ZoneState("za"), ShouldEqual, core.ZoneIn)
		desk := config.Service(core.NewServiceID("desk"))
		So(desk.Contract.Ramp, ShouldEqual, DefaultRamp)
		So(desk.Contract.MaxWait, ShouldResemble,
			[core.NumClasses]time.Duration{500 * time.Millisecond, DefaultReadWait, DefaultPostingWait, DefaultUploadWait})
		So(desk.Targets[0].Weight, ShouldEqual, 1)
		So(desk.Targets[0].ReportsLoad, ShouldBeTrue)
		So(desk.Targets[1].Weight, ShouldEqual, 0)
		audit := config.Services[1].Targets[0]
		So(audit.State, ShouldEqual, core.TargetDraining)
		So(audit.ID, ShouldEqual, core.NewTargetID("audit", "a1", "i2"))
	})
}

// Guards against accepting manifests with which the load balancer cannot keep its guarantees.
func TestValidate(t *testing.T) {
	deskTarget := `"name": "d1", "address": "10.0.1.1:1"`
	cases := []struct {
		name, old, new string
		line           int
		want           string
	}{
		{"zone twice", `"zb"`, `"za"`, 3, "declared twice"},
		{"zone state", `"state": "in"`, `"state": "off"`, 3, "unknown state"},
		{"unknown zone", `"zone": "zb"`, `"zone": "zc"`, 9, "zone is not declared"},
		{"no zones", `[{"name": "za"}, {"name": "zb", "state": "in"}]`, `[]`, 3, "no zone is declared"},
		{"service twice", `"audit"`, `"desk"`, 11, "declared twice"},
		{"target twice", `"d2"`, `"d1"`, 9, "two targets"},
		{"same target address", `10.0.1.2:1`, `10.0.1.1:1`, 9, "belongs to target desk/d1"},
		{"address as mapped IPv6", `10.0.1.2:1`, `[::ffff:10.0.1.1]:1`, 9, "belongs to target desk/d1"},
		{"target at service address", `10.0.2.1:1`, `10.0.0.1:1`, 12, "belongs to service desk"},
		{"port zero", `10.0.1.2:1`, `10.0.1.2:0`, 9, "no usable address"},
		{"host name", `10.0.1.2:1`, `host:1`, 9, "no usable address"},
		{"multicast", `10.0.1.2:1`, `224.0.0.1:1`, 9, "no usable address"},
		{"no address", deskTarget, `"name": "d1"`, 8, "address is missing"},
		{"zero slots", `"slots": 2`, `"slots": 0`, 12, "out of range"},
		{"no connections", `, "connections": 10`, ``, 12, "out of range"},
		{"weight", `"weight": 0`, `"weight": -1`, 9, "weight is out of range"},
		{"zero limit", `"coldLimit": 1`, `"coldLimit": 0`, 6, "out of range"},
		{"cold limit above slots", `"coldLimit": 1`, `"coldLimit": 5`, 8, "fewer slots"},
		{"long deadline", `"coldLimit": 1`, `"defaultDeadline": "10.001s"`, 6, "more than 0s and at most 10s"},
		{"zero wait", `"500ms"`, `"0s"`, 6, "out of range"},
		{"long ramp", `"coldLimit": 1`, `"ramp": "25h"`, 6, "at most 24h"},
		{"target state", `"draining"`, `"gone"`, 12, "unknown state"},
		{"bad name", `"a1"`, `"A 1"`, 12, "no valid name"},
		{"unknown field", `"coldLimit"`, `"coldlimit"`, 6, "unknown field"},
		{"wrong type", `"slots": 2`, `"slots": "2"`, 12, "whole number"},
	}
	Convey("Each fault is reported once with its line", t, func() {
		for _, c := range cases {
			_, err := Parse("m.json", editedManifest(c.old, c.new))
			var problems *jsonc.Problems
			So(errors.As(err, &problems), ShouldBeTrue)
			p := problems.List[0]
			So(c.name+": "+p.Error(), ShouldContainSubstring, c.want)
			So(fmt.Sprint(c.name, p.Line), ShouldEqual, fmt.Sprint(c.name, c.line))
			So(p.Remedy, ShouldNotBeEmpty)
		}
	})
	Convey("All faults are reported at once, without follow-on faults", t, func() {
		_, err := Parse("m.json", editedManifest(`"zb"`, `"za"`, `"slots": 2`, `"slots": "2"`, `"500ms"`, `"1h"`, `"zone": "zb"`, `"zone": "za"`))
		So(strings.Split(err.Error(), "\n"), ShouldHaveLength, 3)
	})
	Convey("Names with the same id are rejected", t, func() {
		a, b := collidingNames()
		_, err := Parse("m.json", editedManifest(`"desk"`, `"`+a+`"`, `"audit"`, `"`+b+`"`))
		So(err.Error(), ShouldContainSubstring, "same id as service "+a)
	})
}

// collidingNames returns two service names with the same 32-bit id. They are among the first 80,000 or
// so names that it tries.
func collidingNames() (string, string) {
	seen := map[core.ServiceID]string{}
	for i := 0; ; i++ {
		name := fmt.Sprintf("s%d", i)
		id := core.NewServiceID(name)
		if other, ok := seen[id]; ok {
			return other, name
		}
		seen[id] = name
	}
}

// Guards against packets that reach the wrong service shortly after an address moved to another service.
func TestAddGeneratedQuarantine(t *testing.T) {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	activeAfter := func(text []byte, service, target int) time.Duration {
		c, err := Decode(1, text)
		So(err, ShouldBeNil)
		return c.Services[service].Targets[target].ActiveAfter
	}
	addGenerated := func(prev, text []byte, now time.Time) []byte {
		out, err := AddGenerated(StoredManifest{1, prev}, text, "n", now)
		So(err, ShouldBeNil)
		return out
	}
	Convey("An address", t, func() {
		first := addGenerated([]byte(validManifest), []byte(validManifest), now)
		moved := editedManifest(`10.0.1.2:1`, `10.0.1.9:1`, `10.0.2.1:1`, `10.0.1.2:1`)
		Convey("that moves is quarantined", func() {
			second := addGenerated(first, moved, now)
			So(activeAfter(second, 1, 0), ShouldEqual, core.AddressQuarantine)
			So(activeAfter(second, 0, 1), ShouldEqual, 0)
			Convey("also in a generation that follows at once, but not after the retention time", func() {
				third := addGenerated(second, moved, now.Add(time.Second))
				So(activeAfter(third, 1, 0), ShouldEqual, core.AddressQuarantine)
				So(activeAfter(addGenerated(third, moved, now.Add(releasedRetention)), 1, 0), ShouldEqual, 0)
			})
		})
		Convey("that is removed first and added to another service a second later is quarantined", func() {
			second := addGenerated(first, editedManifest(`10.0.1.2:1`, `10.0.1.9:1`), now)
			So(activeAfter(addGenerated(second, moved, now.Add(time.Second)), 1, 0), ShouldEqual, core.AddressQuarantine)
		})
		Convey("that returns to its service is not quarantined", func() {
			second := addGenerated(first, editedManifest(`10.0.1.2:1`, `10.0.1.9:1`), now)
			So(activeAfter(addGenerated(second, []byte(validManifest), now), 0, 1), ShouldEqual, 0)
		})
		Convey("of a service cannot move to another service at once", func() {
			_, err := AddGenerated(StoredManifest{1, first}, editedManifest(`10.0.0.1:1`, `10.0.0.3:1`, `10.0.0.2:1`, `10.0.0.1:1`), "n", now)
			So(err.Error(), ShouldContainSubstring, "services[1].address: the address belongs to another service")
		})
	})
}

// Guards against a stored text that differs from the operator's by more than the generated field.
func TestStripGenerated(t *testing.T) {
	Convey("Without the generated field, a stored text is the operator's text", t, func() {
		stored, err := AddGenerated(StoredManifest{}, []byte(validManifest), "abc", time.Now())
		So(err, ShouldBeNil)
		So(string(StripGenerated(stored)), ShouldEqual, validManifest)
		So(strings.Count(string(stored), "\n"), ShouldEqual, strings.Count(validManifest, "\n"))
		again, err := AddGenerated(StoredManifest{1, stored}, stored, "def", time.Now())
		So(err, ShouldBeNil)
		So(string(StripGenerated(again)), ShouldEqual, validManifest)
		Convey("and it has the nonces of the applies that wrote the generations", func() {
			for gen, want := range map[core.Generation]string{1: "abc", 2: "def"} {
				nonce, known := StoredManifest{2, again}.NonceOf(gen)
				So(known, ShouldBeTrue)
				So(nonce, ShouldEqual, want)
			}
			_, known := StoredManifest{2, again}.NonceOf(3)
			So(known, ShouldBeFalse)
			_, known = StoredManifest{2, []byte(validManifest)}.NonceOf(2)
			So(known, ShouldBeFalse)
		})
		So(string(StripGenerated([]byte(`{"a": 1, "generated": {}}`))), ShouldEqual, `{"a": 1}`)
		So(string(StripGenerated([]byte(`no JSON`))), ShouldEqual, `no JSON`)
	})
}

// Guards against a zone change that alters other parts of the text, and against a generated manifest
// that undoes the change.
func TestZoneState(t *testing.T) {
	Convey("The state of a zone", t, func() {
		out, err := SetZoneState([]byte(validManifest), "za", ZoneOut)
		So(err, ShouldBeNil)
		So(string(out), ShouldEqual, string(editedManifest(`{"name": "za"}`, `{"name": "za", "state": "out"}`)))
		Convey("replaces an existing one", func() {
			back, err := SetZoneState(out, "za", ZoneIn)
			So(err, ShouldBeNil)
			So(string(back), ShouldEqual, string(editedManifest(`{"name": "za"}`, `{"name": "za", "state": "in"}`)))
		})
		Convey("is kept when the next manifest does not give it", func() {
			kept, err := KeepZoneStates(StoredManifest{1, out}, []byte(validManifest))
			So(err, ShouldBeNil)
			So(string(kept), ShouldEqual, string(out))
			So(Diff(mustParse(out), mustParse(kept)), ShouldBeEmpty)
		})
		Convey("cannot be set for an unknown zone", func() {
			_, err := SetZoneState([]byte(validManifest), "zx", ZoneOut)
			var unknown *UnknownZoneError
			So(errors.As(err, &unknown), ShouldBeTrue)
			So(unknown.Declared, ShouldResemble, []string{"za", "zb"})
		})
	})
}

func mustParse(text []byte) *Manifest {
	m, err := Parse("m.json", text)
	if err != nil {
		panic(err)
	}
	return m
}

// Guards against a change that the list of differences lacks.
func TestDiff(t *testing.T) {
	Convey("All differences are listed", t, func() {
		next := mustParse(editedManifest(`"za"}`, `"za", "state": "out"}`, `"500ms"`, `"1s"`, `"d2"`, `"d3"`, `"slots": 2`, `"slots": 3`))
		lines := []string{}
		for _, c := range Diff(mustParse([]byte(validManifest)), next) {
			lines = append(lines, c.String())
		}
		So(lines, ShouldResemble, []string{
			"~ zone za: state in -> out",
			"~ service desk: contract.maxWait.feed 500ms -> 1s",
			"- target desk/d2",
			"~ target audit/a1: slots 2 -> 3",
			"+ target desk/d3",
		})
		So(Diff(next, next), ShouldBeEmpty)
		So(Diff(nil, next), ShouldHaveLength, 8)
	})
}

// FuzzDecode guards against a text that crashes a VM, or that decodes differently after the generated
// field was added.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(validManifest))
	f.Add([]byte(`{"deployment": 1, "zones": {}, "services": [[]]}`))
	f.Add([]byte(`{"generated":{"nonce":"x","left":[{"address":"1.2.3.4:5","service":"a"}]},"zones":[]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		config, err := Decode(1, text)
		if err != nil {
			var problems *jsonc.Problems
			if !errors.As(err, &problems) || len(problems.List) == 0 {
				t.Fatalf("the error is not a list of problems: %v", err)
			}
			return
		}
		if len(config.Services) == 0 || len(config.Zones) == 0 {
			t.Fatal("a configuration without zones or services was accepted")
		}
		stored, err := AddGenerated(StoredManifest{}, text, "n", time.Unix(0, 0))
		if err != nil {
			return
		}
		if changes := Diff(mustParse(StripGenerated(text)), mustParse(stored)); len(changes) != 0 {
			t.Fatalf("adding the generated field changed the manifest: %v", changes)
		}
	})
}
