package configcheck

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"

	"github.com/mangoweir/mangoweir/platform"
)

// Change is a difference between a configuration and the one in force.
type Change struct {
	// Entry is "route", "service" or "limits", Name the name of a route or service.
	Entry string `json:"entry"`
	Name  string `json:"name,omitempty"`
	// Kind is "added", "removed" or "changed".
	Kind string `json:"kind"`
	// Field, Old and New are set for a changed field; the values are JSON.
	Field string          `json:"field,omitempty"`
	Old   json.RawMessage `json:"old,omitempty"`
	New   json.RawMessage `json:"new,omitempty"`
}

// String returns the change on one line.
func (c Change) String() string {
	entry := strings.TrimSpace(c.Entry + " " + c.Name)
	if c.Field == "" {
		return fmt.Sprintf("%s: %s", entry, c.Kind)
	}
	return fmt.Sprintf("%s: %s: %s -> %s", entry, c.Field, c.Old, c.New)
}

// CheckVersion returns the finding for a version that never comes into force, as it is not above the one in force.
func CheckVersion(inForce, next *platform.CheckedConfig) []Finding {
	c := &checker{}
	if next.Version > 0 && next.Version <= inForce.Version {
		entry{checker: c}.report(Error, platform.FieldVersion, fmt.Sprintf("give version %d or a later one", inForce.Version+1),
			"version %d is not above version %d, which is in force", next.Version, inForce.Version)
	}
	return c.findings
}

// Compare returns what differs between the configuration in force and the next one. The order of entries is not compared.
func Compare(inForce, next *platform.CheckedConfig) []Change {
	changes := compareEntries("route", inForce.Routes, next.Routes, func(r platform.CheckedRoute) string { return r.Name })
	changes = append(changes, compareEntries("service", inForce.Services, next.Services,
		func(s platform.ServiceSpec) string { return s.Name })...)
	return append(changes, compareFields(Change{Entry: "limits"}, inForce.Limits, next.Limits)...)
}

func compareEntries[E any](kind string, before, after []E, name func(E) string) []Change {
	var changes []Change
	inForce, kept := map[string]E{}, map[string]bool{}
	for _, e := range before {
		inForce[name(e)] = e
	}
	for _, e := range after {
		kept[name(e)] = true
		if old, ok := inForce[name(e)]; ok {
			changes = append(changes, compareFields(Change{Entry: kind, Name: name(e)}, old, e)...)
		} else {
			changes = append(changes, Change{Entry: kind, Name: name(e), Kind: "added"})
		}
	}
	for _, e := range before {
		if !kept[name(e)] {
			changes = append(changes, Change{Entry: kind, Name: name(e), Kind: "removed"})
		}
	}
	return changes
}

// compareFields compares two structs of the same type by the fields that have a JSON name. The results are copies of change.
func compareFields(change Change, before, after any) []Change {
	var changes []Change
	a, b := reflect.ValueOf(before), reflect.ValueOf(after)
	for _, field := range reflect.VisibleFields(a.Type()) {
		change.Kind, change.Field = "changed", field.Tag.Get("json")
		change.Old, change.New = jsonText(a.FieldByIndex(field.Index)), jsonText(b.FieldByIndex(field.Index))
		if change.Field != "" && string(change.Old) != string(change.New) {
			changes = append(changes, change)
		}
	}
	return changes
}

// jsonText returns a decoded value as JSON. An empty list and a missing one are the same.
func jsonText(v reflect.Value) json.RawMessage {
	if v.Kind() == reflect.Slice && v.Len() == 0 {
		return json.RawMessage("[]")
	}
	text, err := json.Marshal(v.Interface())
	if err != nil {
		return json.RawMessage("null")
	}
	return text
}
