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

// base is a valid manifest with one item per line, so that tests can replace lines.
const base = `{ // trial
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

// edit replaces text in base; pairs are old and new.
func edit(pairs ...string) []byte {
	for i := 0; i < len(pairs); i += 2 {
		if !strings.Contains(base, pairs[i]) {
			panic("base does not contain " + pairs[i])
		}
	}
	return []byte(strings.NewReplacer(pairs...).Replace(base))
}

// Guards against values that get lost or defaults that are missing on the way to the core.
func TestDecode(t *testing.T) {
	Convey("A manifest becomes a config with defaults", t, func() {
		c, err := Decode(7, []byte(base))
		So(err, ShouldBeNil)
		So(c.Generation, ShouldEqual, core.Generation(7))
		So(string(c.Text), ShouldEqual, base)
		So(c.ZoneState("za"), ShouldEqual, core.ZoneIn)
		desk := c.Service(core.NewServiceID("desk"))
		So(desk.Contract.Ramp, ShouldEqual, DefaultRamp)
		So(desk.Contract.MaxWait, ShouldResemble,
			[core.NumClasses]time.Duration{500 * time.Millisecond, DefaultReadWait, DefaultPostingWait, DefaultUploadWait})
		So(desk.Targets[0].Weight, ShouldEqual, 1)
		So(desk.Targets[0].ReportsLoad, ShouldBeTrue)
		So(desk.Targets[1].Weight, ShouldEqual, 0)
		audit := c.Services[1].Targets[0]
		So(audit.State, ShouldEqual, core.TargetDraining)
		So(audit.ID, ShouldEqual, core.NewTargetID("audit", "a1", "i2"))
	})
}

// Guards against manifests that would break promises being accepted.
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
			_, err := Parse("m.json", edit(c.old, c.new))
			var problems *jsonc.Problems
			So(errors.As(err, &problems), ShouldBeTrue)
			p := problems.List[0]
			So(c.name+": "+p.Error(), ShouldContainSubstring, c.want)
			So(fmt.Sprint(c.name, p.Line), ShouldEqual, fmt.Sprint(c.name, c.line))
			So(p.Remedy, ShouldNotBeEmpty)
		}
	})
	Convey("All faults are reported at once, without follow-on faults", t, func() {
		_, err := Parse("m.json", edit(`"zb"`, `"za"`, `"slots": 2`, `"slots": "2"`, `"500ms"`, `"1h"`, `"zone": "zb"`, `"zone": "za"`))
		So(strings.Split(err.Error(), "\n"), ShouldHaveLength, 3)
	})
	Convey("Ids that collide are refused", t, func() {
		a, b := collidingNames()
		_, err := Parse("m.json", edit(`"desk"`, `"`+a+`"`, `"audit"`, `"`+b+`"`))
		So(err.Error(), ShouldContainSubstring, "same id as service "+a)
	})
}

// collidingNames finds two service names with the same id; about 80,000 names suffice.
func collidingNames() (string, string) {
	seen := map[core.ServiceID]string{}
	for i := 0; ; i++ {
		name := fmt.Sprintf("s%d", i)
		id := core.NewServiceID(name)
		if former, ok := seen[id]; ok {
			return former, name
		}
		seen[id] = name
	}
}

// Guards against an address whose packets reach another service shortly after it moved.
func TestStampQuarantine(t *testing.T) {
	at := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	activeAfter := func(text []byte, service, target int) time.Duration {
		c, err := Decode(1, text)
		So(err, ShouldBeNil)
		return c.Services[service].Targets[target].ActiveAfter
	}
	stamp := func(prev, text []byte, at time.Time) []byte {
		out, err := AddGenerated(StoredManifest{1, prev}, text, "n", at)
		So(err, ShouldBeNil)
		return out
	}
	Convey("An address", t, func() {
		first := stamp([]byte(base), []byte(base), at)
		moved := edit(`10.0.1.2:1`, `10.0.1.9:1`, `10.0.2.1:1`, `10.0.1.2:1`)
		Convey("that moves is quarantined", func() {
			second := stamp(first, moved, at)
			So(activeAfter(second, 1, 0), ShouldEqual, core.AddressQuarantine)
			So(activeAfter(second, 0, 1), ShouldEqual, 0)
			Convey("also in a generation that follows at once, but not for ever", func() {
				third := stamp(second, moved, at.Add(time.Second))
				So(activeAfter(third, 1, 0), ShouldEqual, core.AddressQuarantine)
				So(activeAfter(stamp(third, moved, at.Add(leftKeep)), 1, 0), ShouldEqual, 0)
			})
		})
		Convey("that is removed first and added a moment later is quarantined", func() {
			second := stamp(first, edit(`10.0.1.2:1`, `10.0.1.9:1`), at)
			So(activeAfter(stamp(second, moved, at.Add(time.Second)), 1, 0), ShouldEqual, core.AddressQuarantine)
		})
		Convey("that returns to its service is not quarantined", func() {
			second := stamp(first, edit(`10.0.1.2:1`, `10.0.1.9:1`), at)
			So(activeAfter(stamp(second, []byte(base), at), 0, 1), ShouldEqual, 0)
		})
		Convey("of a service cannot move to another service at once", func() {
			_, err := AddGenerated(StoredManifest{1, first}, edit(`10.0.0.1:1`, `10.0.0.3:1`, `10.0.0.2:1`, `10.0.0.1:1`), "n", at)
			So(err.Error(), ShouldContainSubstring, "services[1].address: the address belongs to another service")
		})
	})
}

// Guards against a stored text that differs from the operator's by more than the generated field.
func TestStampSource(t *testing.T) {
	Convey("The source of a stamped text is the operator's text", t, func() {
		stored, err := AddGenerated(StoredManifest{}, []byte(base), "abc", time.Now())
		So(err, ShouldBeNil)
		So(string(StripGenerated(stored)), ShouldEqual, base)
		So(strings.Count(string(stored), "\n"), ShouldEqual, strings.Count(base, "\n"))
		again, err := AddGenerated(StoredManifest{1, stored}, stored, "def", time.Now())
		So(err, ShouldBeNil)
		So(string(StripGenerated(again)), ShouldEqual, base)
		Convey("and tells which apply wrote which generation", func() {
			for gen, want := range map[core.Generation]string{1: "abc", 2: "def"} {
				nonce, known := StoredManifest{2, again}.NonceOf(gen)
				So(known, ShouldBeTrue)
				So(nonce, ShouldEqual, want)
			}
			_, known := StoredManifest{2, again}.NonceOf(3)
			So(known, ShouldBeFalse)
			_, known = StoredManifest{2, []byte(base)}.NonceOf(2)
			So(known, ShouldBeFalse)
		})
		So(string(StripGenerated([]byte(`{"a": 1, "generated": {}}`))), ShouldEqual, `{"a": 1}`)
		So(string(StripGenerated([]byte(`no JSON`))), ShouldEqual, `no JSON`)
	})
}

// Guards against a zone change that alters anything else, and a pipeline that undoes it.
func TestZoneState(t *testing.T) {
	Convey("The state of a zone", t, func() {
		out, err := SetZoneState([]byte(base), "za", ZoneOut)
		So(err, ShouldBeNil)
		So(string(out), ShouldEqual, string(edit(`{"name": "za"}`, `{"name": "za", "state": "out"}`)))
		Convey("replaces an existing one", func() {
			back, err := SetZoneState(out, "za", ZoneIn)
			So(err, ShouldBeNil)
			So(string(back), ShouldEqual, string(edit(`{"name": "za"}`, `{"name": "za", "state": "in"}`)))
		})
		Convey("is kept by a manifest that leaves it open", func() {
			kept, err := KeepZoneStates(StoredManifest{1, out}, []byte(base))
			So(err, ShouldBeNil)
			So(string(kept), ShouldEqual, string(out))
			So(Diff(mustParse(out), mustParse(kept)), ShouldBeEmpty)
		})
		Convey("is refused for an unknown zone", func() {
			_, err := SetZoneState([]byte(base), "zx", ZoneOut)
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

// Guards against a review that misses a change.
func TestDiff(t *testing.T) {
	Convey("All differences are listed", t, func() {
		next := mustParse(edit(`"za"}`, `"za", "state": "out"}`, `"500ms"`, `"1s"`, `"d2"`, `"d3"`, `"slots": 2`, `"slots": 3`))
		lines := []string{}
		for _, c := range Diff(mustParse([]byte(base)), next) {
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

// FuzzDecode guards against a text that crashes a VM, or that decodes differently after stamping.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(base))
	f.Add([]byte(`{"deployment": 1, "zones": {}, "services": [[]]}`))
	f.Add([]byte(`{"generated":{"nonce":"x","left":[{"address":"1.2.3.4:5","service":"a"}]},"zones":[]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		c, err := Decode(1, text)
		if err != nil {
			var problems *jsonc.Problems
			if !errors.As(err, &problems) || len(problems.List) == 0 {
				t.Fatalf("error is no list of problems: %v", err)
			}
			return
		}
		if len(c.Services) == 0 || len(c.Zones) == 0 {
			t.Fatal("a config without zones or services was accepted")
		}
		stored, err := AddGenerated(StoredManifest{}, text, "n", time.Unix(0, 0))
		if err != nil {
			return
		}
		if changes := Diff(mustParse(StripGenerated(text)), mustParse(stored)); len(changes) != 0 {
			t.Fatalf("stamping changed the manifest: %v", changes)
		}
	})
}
